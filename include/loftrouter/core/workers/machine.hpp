// Describes a worker machine and the tasks allocated to it, as known to the leader.
//
// Owned and modified by the `WorkerRegistry` alone. Times are monotonic seconds; -1 means "never". The lifecycle of an
// allocation only moves forward: if one that was sent were taken for unsent, its task would be started elsewhere while
// it runs (docs/safety.md "ran_twice").
#pragma once

#include <compare>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/workers/downlink_state.hpp"
#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/admin_settings.hpp"

namespace loftrouter::core {

// States how far an allocation has got. It only moves forward: if a sent start counted as unsent, the task could be
// started elsewhere while it runs (docs/safety.md "ran_twice").
enum class AllocationState : std::uint8_t {
  Unsent,    // no response has carried the start
  Sent,      // a response that may not have arrived has carried it
  Observed,  // a heartbeat has listed the task
  Completed, // listed as succeeded; kept until the result is recorded
};

// States how the last heartbeat listed an allocated task.
enum class Presence : std::uint8_t {
  Absent,
  Listed,
  Failed, // listed as exited, and not completed
};

struct Allocation {
  JobIndex job; // invalid: belongs to no open job and is being stopped
  std::string job_id;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  AllocationState state = AllocationState::Unsent;
  TaskPhase phase = TaskPhase::Fetching;
  bool was_unaccounted = false; // adopted from an earlier leader while its task was unaccounted
  Presence presence = Presence::Absent;
  std::optional<double> stop_grace_s; // time to save a checkpoint; set: a stop was requested
  double placed_at = 0;
  double start_sent_at = -1;
  double waiting_since = -1;
  double running_since = -1;
  Resources need;

  bool sent() const { return state >= AllocationState::Sent; }
  bool observed() const { return state >= AllocationState::Observed; }
  bool completed() const { return state == AllocationState::Completed; }
  bool stop_requested() const { return stop_grace_s.has_value(); }
};

// States whether the machine can run tasks. An accepted heartbeat makes a lost machine available again.
enum class MachineAvailability : std::uint8_t {
  Starting, // no heartbeat yet
  Available,
  Lost, // the lease expired, or the machine failed or was removed
};

// States whether the machine is being returned to the cloud. `Returning` is final.
enum class ScaleInState : std::uint8_t {
  Retained,
  Draining,  // takes no new tasks; is returned once it is empty
  Returning, // takes no new tasks; is being returned
};

// Keeps what the last accepted heartbeat has shown.
struct HeartbeatState {
  std::string worker_address;      // receives stop commands; empty: none
  ReplicaIndex forwarding_replica; // forwarded the last heartbeat; invalid: received directly
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  double incarnation_since = 0;
  double first_accepted_at = -1;
  double last_accepted_at = -1; // also renews the lease

  bool received() const { return first_accepted_at >= 0; }
};

// Keeps what the cloud's list of machines has shown so far.
struct CloudListing {
  bool running = false; // listed as running; may have stopped since
  bool failed = false;  // stopped without a request
};

struct Machine {
  std::string name;
  int type = -1; // in the instance type catalog; -1: unknown
  int zone = -1;
  bool spot = false;
  Resources size;

  double known_since = 0;
  double launched_at = 0;
  double idle_since = -1;                             // -1: not idle, or unknown
  std::optional<double> reclaim_at;                   // when the cloud will reclaim it, by its spot notice
  std::optional<wire::MachineAdminState> admin_state; // if set by an operator: takes no new tasks

  MachineAvailability availability = MachineAvailability::Starting;
  ScaleInState scale_in = ScaleInState::Retained;
  HeartbeatState heartbeat;
  DownlinkState downlink;
  CloudListing listing;

  std::vector<Allocation> allocations;
  bool stop_commands_pending = false;       // requested, not yet sent
  Resources used;                           // by allocations that are not completed
  std::list<std::pair<int, double>> images; // cached images and their GB, most recently used first
  double busy_cpu_s = 0;                    // CPU seconds of tasks that succeeded here

  bool lost() const { return availability == MachineAvailability::Lost; }
  bool available() const { return availability == MachineAvailability::Available; }
  bool draining() const { return scale_in == ScaleInState::Draining; }
  bool returning() const { return scale_in == ScaleInState::Returning; }
  bool heartbeat_overdue(double now, double heartbeat_interval_s) const {
    return now - heartbeat.last_accepted_at > 2.5 * heartbeat_interval_s + 1;
  }
};

// Groups machines by instance type, zone and price model.
struct MachineKind {
  int type = -1;
  int zone = -1;
  bool spot = false;
  auto operator<=>(const MachineKind &) const = default;
};

} // namespace loftrouter::core
