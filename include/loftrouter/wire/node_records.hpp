// Encodes and decodes the stored records about the controller nodes: which node is the leader, and the connectivity of
// each node.
//
// All functions are pure. Decoders return nullopt for an invalid record.
#pragma once

#include <optional>

#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::wire {

[[nodiscard]] Json to_json(const LeaderRecord &record);
[[nodiscard]] std::optional<LeaderRecord> leader_from_json(const Json &json);

[[nodiscard]] Json to_json(const StoredConnectivityRecord &record);
[[nodiscard]] std::optional<StoredConnectivityRecord> connectivity_from_json(const Json &json);
// Encodes the record without its timestamp, for status replies.
[[nodiscard]] Json to_json(const ConnectivityRecord &connectivity);

} // namespace loftrouter::wire
