// Encodes task names and sets of task indices for messages and stored records.
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

// Returns "job/index".
[[nodiscard]] std::string format_task_name(std::string_view job, std::uint32_t index);
// Returns nullopt unless the job id is valid and the index is a 32-bit unsigned integer.
[[nodiscard]] std::optional<TaskName> parse_task_name(std::string_view name);

// Encodes a set of task indices in the shorter of two forms: an array of half-open ranges [begin, end, ...], or a
// hexadecimal bitmap with four tasks per digit, lowest index in the lowest bit. The bitmap keeps scattered sets within
// the state service's value limit of 8 KiB.
[[nodiscard]] Json task_set_to_json(const Ranges &ranges);
[[nodiscard]] std::optional<Ranges> task_set_from_json(const Json &json);

} // namespace loftrouter::wire
