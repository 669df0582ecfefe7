// Names and sets of tasks, as messages and stored records spell them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::wire {

struct TaskName {
  std::string job;
  std::uint32_t index = 0;
};

// job/index
[[nodiscard]] std::string format_task_name(std::string_view job, std::uint32_t index);
// Nothing unless the job's id is valid and the index is a number of 32 bits.
[[nodiscard]] std::optional<TaskName> parse_task_name(std::string_view name);

// A set of task indices in the shorter of two forms: a list of range ends, or a bitmap in hexadecimal digits of four
// tasks each, which scattered tasks need. 1,800 scattered tasks as a list would not fit into a value of 8 KiB.
[[nodiscard]] Json task_set_to_json(const Ranges &ranges);
[[nodiscard]] std::optional<Ranges> task_set_from_json(const Json &json);

} // namespace loftrouter::wire
