// Requests to the cloud's API and its answers, and the catalog of instance types as it is stored.
//
// All functions are pure; CloudClient carries the requests. A CloudReply with status 0 proves nothing: machines may
// have been rented, or may yet be, and show in the machine list or by their heartbeats.
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

// An answer to any request; what the request doesn't ask for stays empty.
struct CloudReply {
  int status = 0;                      // HTTP; 0: no answer, or one that can't be read: the outcome is unknown
  bool no_capacity = false;            // ScaleOut, 503: none of this type, zone and kind to be had
  std::vector<MachineType> types;      // MachineTypes
  std::vector<std::string> names;      // ScaleOut: the machines rented
  std::vector<ListedMachine> machines; // ListMachines
  bool more = false;                   // ListMachines: the list goes on after its last entry
};

// Rents up to `count` machines. `request` names it and must never be used again, not even by another node: a request
// that is repeated rents nothing.
[[nodiscard]] std::string encode_scale_out(std::string_view request, std::string_view type, std::string_view zone,
                                           bool spot, int count);
// Returns machines, with everything on them.
[[nodiscard]] std::string encode_scale_in(const std::vector<std::string> &names);

// `status` is HTTP's, or 0 if there was no answer.
[[nodiscard]] CloudReply decode_cloud_reply(CloudCall call, int status, std::string_view body);

// The catalog of instance types. One entry that can't be read makes the whole catalog invalid: a job must not be
// refused as one that can never run because its machine type is missing.
[[nodiscard]] Json to_json(const std::vector<MachineType> &types);
[[nodiscard]] std::optional<std::vector<MachineType>> types_from_json(const Json &json);

} // namespace loftrouter::wire
