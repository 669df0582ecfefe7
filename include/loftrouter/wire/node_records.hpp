// Records of the controller nodes themselves in the state service: who leads, and what each node reaches.
//
// All functions are pure. What can't be read is nothing.
#pragma once

#include <optional>

#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::wire {

[[nodiscard]] Json to_json(const LeaderRecord &record);
[[nodiscard]] std::optional<LeaderRecord> leader_from_json(const Json &json);

[[nodiscard]] Json to_json(const StoredConnectivityRecord &record);
[[nodiscard]] std::optional<StoredConnectivityRecord> connectivity_from_json(const Json &json);
// The same without its time, as status answers show it.
[[nodiscard]] Json to_json(const ConnectivityRecord &connectivity);

} // namespace loftrouter::wire
