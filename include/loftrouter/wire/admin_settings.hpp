// Operators' scheduling parameters and their orders about machines, as administration requests and the state service
// hold them.
//
// All functions are pure. Every parameter has a range, checked before it is stored and again when it is read: a value
// outside could stop the scheduler for all nodes at once.
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

// Scheduling parameters. Bonuses and weights are parts of a placement's score.
struct Tunables {
  double full_plan_bonus = 10;  // for filling a machine completely
  double age_weight = 0.05;     // of a job's waiting time
  double image_weight = 0.3;    // of images that a machine has cached
  double price_weight = 1;      // of a machine's price
  double in_time_bonus = 30;    // for a placement that meets the deadline
  double reserve_after_s = 120; // wait after which large tasks get reservations
  double idle_boots = 0.8;      // idle time before scale-in, in boot times of the machine
  double probe_pause_s = 5;     // between tests of a quarantined machine
  double late_notice_share = 1; // of a spot notice that is relied on
};
[[nodiscard]] Json to_json(const Tunables &tunables);
// What `json` names replaces fields of `tunables`; the rest stays. On an error, which names the field, fields before
// it may have been replaced.
[[nodiscard]] std::optional<FieldError> apply_tunables(const Json &json, Tunables &tunables);

// What operators have ordered for a machine.
enum class MachineAdminState : std::uint8_t {
  Drain,     // evict its tasks gracefully, start none
  Quarantine // start none, and keep it
};
using MachineAdminStates = std::map<std::string, MachineAdminState>; // by machine
// In the document alone, without records of their own: the production version reads no more of it.
constexpr std::size_t kMaxMachineOrders = 100;
// Of the entries of one answer that lists what is configured; what is beyond stands on the next page.
constexpr std::size_t kMaxListingBytes = std::size_t{48} * 1024;

[[nodiscard]] Json to_json(MachineAdminState state);
[[nodiscard]] std::optional<MachineAdminState> machine_admin_state_from_json(const Json &json);
[[nodiscard]] Json to_json(const MachineAdminStates &states);
// Entries that can't be read, and those beyond kMaxMachineOrders, are left out.
[[nodiscard]] MachineAdminStates machine_admin_states_from_json(const Json &json);

// Bytes that a machine takes in `encode_settings`, at the most.
[[nodiscard]] std::size_t listed_bytes(const std::string &machine);
// The answer of GET /admin/v1/settings. `next` names the machine after which to go on; empty: there is no more.
[[nodiscard]] std::string encode_settings(const Tunables &tunables, const MachineAdminStates &states,
                                          std::string_view next);

} // namespace loftrouter::wire
