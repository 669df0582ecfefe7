// Records of single jobs in the state service: the open record of a job that is not over, and the end record of one
// that is.
//
// All functions are pure. A record that can't be read is nothing, never a guess: an accepted job that is dropped or
// misread would be `forgotten` or `went_back`. Fields are only ever added, so that a node of an earlier version can
// still read what a later one has written.
#pragma once

#include <optional>

#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::wire {

// `open/<job>`
[[nodiscard]] Json to_json(const OpenRecord &record);
[[nodiscard]] std::optional<OpenRecord> open_from_json(const Json &json);

// `end/<job>`
[[nodiscard]] Json to_json(const EndRecord &end);
[[nodiscard]] std::optional<EndRecord> end_from_json(const Json &json);

// The value of `open/<job>` between the job's end and the move of its end record.
[[nodiscard]] Json final_json(const EndRecord &end);
[[nodiscard]] std::optional<EndRecord> final_from_json(const Json &json);

} // namespace loftrouter::wire
