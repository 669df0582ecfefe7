// Encodes requests to the cloud provider's API, decodes its replies, and converts the stored catalog of instance types.
//
// All functions are pure; CloudClient sends the requests. A CloudReply with status 0 means that the outcome is unknown:
// machines may have been rented or may still be, and appear in the machine list or through their heartbeats.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::wire {

enum class CloudCall : std::uint8_t { MachineTypes, ListMachines, ScaleOut, ScaleIn };

// Holds the reply to any request; fields that don't apply to the request stay empty.
struct CloudReply {
  int status = 0;                      // HTTP status; 0: no reply or an invalid one, outcome unknown
  bool no_capacity = false;            // ScaleOut, 503: no capacity for this type, zone and spot setting
  std::vector<MachineType> types;      // MachineTypes
  std::vector<std::string> names;      // ScaleOut: rented machines
  std::vector<ListedMachine> machines; // ListMachines
  bool more = false;                   // ListMachines: further entries follow the last one
  bool undecodable = false;            // there was a body, and it could not be read
};

// Encodes a request to rent up to `count` machines. `request_name` is an idempotency key and must be unique across all
// nodes: a repeated request rents nothing.
[[nodiscard]] std::string encode_scale_out(std::string_view request_name, std::string_view type, std::string_view zone,
                                           bool spot, int count);
// Encodes a request to return machines; anything still running on them is lost.
[[nodiscard]] std::string encode_scale_in(const std::vector<std::string> &names);

// `status` is the HTTP status, or 0 if there was no reply.
[[nodiscard]] CloudReply decode_cloud_reply(CloudCall call, int status, std::string_view body);

// Encode and decode the catalog of instance types. One invalid entry invalidates the whole catalog: with a machine type
// missing, a job could be rejected as one that can never run.
[[nodiscard]] Json to_json(const std::vector<MachineType> &types);
[[nodiscard]] std::optional<std::vector<MachineType>> types_from_json(const Json &json);

} // namespace loftrouter::wire
