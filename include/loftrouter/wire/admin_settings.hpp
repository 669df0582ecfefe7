// Defines scheduling parameters and machine states set by operators, as used by administration requests and the state
// service.
//
// All functions are pure. Ranges are checked both before a parameter is stored and when it is read: an invalid value
// could stop scheduling on all nodes at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/field_error.hpp"

namespace loftrouter::wire {

// Tunables are scheduling parameters. Bonuses and weights contribute to a placement's score.
struct Tunables {
  double full_plan_bonus = 10;  // for filling a machine completely
  double age_weight = 0.05;     // of a job's waiting time
  double image_weight = 0.3;    // of images cached on the machine
  double price_weight = 1;      // of the machine's price
  double in_time_bonus = 30;    // for a placement that meets the deadline
  double reserve_after_s = 120; // waiting time after which large tasks get reservations
  double idle_boots = 0.8;      // idle time before scale-in, in boot times of the machine
  double probe_pause_s = 5;     // between probes of a quarantined machine
  double late_notice_share = 1; // share of a spot instance's termination notice that is relied on
};
[[nodiscard]] Json to_json(const Tunables &tunables);
// Overwrites the fields of `tunables` that `json` contains. The error names the invalid field; fields before it may
// already have been overwritten.
[[nodiscard]] std::optional<FieldError> apply_tunables(const Json &json, Tunables &tunables);

// MachineAdminState is a machine state that an operator has set.
enum class MachineAdminState : std::uint8_t {
  Drain,     // evict tasks gracefully and start none
  Quarantine // start no tasks and keep the machine
};
using MachineAdminStates = std::map<std::string, MachineAdminState>; // by machine
// Limits the machines in the settings document; earlier versions read no more. Machines with records of their own do
// not count.
constexpr std::size_t kMaxMachineOrders = 100;
// Limits the entries of one page of a configuration listing.
constexpr std::size_t kMaxListingBytes = std::size_t{48} * 1024;

[[nodiscard]] Json to_json(MachineAdminState state);
[[nodiscard]] std::optional<MachineAdminState> machine_admin_state_from_json(const Json &json);
[[nodiscard]] Json to_json(const MachineAdminStates &states);
// Skips malformed entries and those beyond kMaxMachineOrders.
[[nodiscard]] MachineAdminStates machine_admin_states_from_json(const Json &json);

// Returns an upper bound of a machine's size in the output of encode_settings.
[[nodiscard]] std::size_t listed_bytes(const std::string &machine);
// Encodes the response of GET /admin/v1/settings. `next` is the machine after which the next page starts; empty: last
// page.
[[nodiscard]] std::string encode_settings(const Tunables &tunables, const MachineAdminStates &states,
                                          std::string_view next);

} // namespace loftrouter::wire
