// Encodes and decodes the state service's records of single jobs: open records of unfinished jobs and end records of
// ended ones.
//
// All functions are pure. Decoding returns nullopt for an unreadable record, as guessing could lose an accepted job or
// revert its state (docs/safety.md "forgotten", "went_back"). Fields are only ever added, so that nodes of earlier
// versions can read records of later ones.
#pragma once

#include <optional>

#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::wire {

// Encode and decode the value of `open/<job>`.
[[nodiscard]] Json to_json(const OpenRecord &record);
[[nodiscard]] std::optional<OpenRecord> open_from_json(const Json &json);

// Encode and decode the value of `end/<job>`.
[[nodiscard]] Json to_json(const EndRecord &end);
[[nodiscard]] std::optional<EndRecord> end_from_json(const Json &json);

// Encode and decode the value of `open/<job>` after the job has ended, until its end record is moved to `end/<job>`.
[[nodiscard]] Json final_json(const EndRecord &end);
[[nodiscard]] std::optional<EndRecord> final_from_json(const Json &json);

} // namespace loftrouter::wire
