// A worker machine and the tasks allocated to it, as a leader knows them.
//
// Plain data, owned by the `WorkerRegistry` and changed by it alone; everybody else reads it. Times are monotonic
// seconds of the runtime's clock; -1 stands for "never". The lifecycle of an allocation only moves forward: if one that
// was sent were taken for unsent, its task would be started elsewhere while it runs (ran_twice).
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

// How far the start of a task has come, in this order.
enum class AllocationState : std::uint8_t {
  Unsent,    // the start is not in any response yet, so the worker cannot know of it
  Sent,      // it is in a response, which may or may not have arrived
  Observed,  // a heartbeat has listed the task
  Completed, // a heartbeat has listed it as exited with success; kept until the result is recorded
};

// What the last heartbeat says of a task that was allocated when it came.
enum class Presence : std::uint8_t {
  Absent, // not listed
  Listed,
  Failed, // listed as exited without success
};

// A task bound to a machine.
struct Allocation {
  JobIndex job; // none: a task of an unknown job, to be stopped
  std::string job_id;
  std::uint32_t index = 0; // of the task in its job
  std::uint64_t attempt = 0;
  AllocationState state = AllocationState::Unsent;
  TaskPhase phase = TaskPhase::Fetching; // by the last heartbeat that listed it
  // Started by an earlier leader, and unaccounted for until a heartbeat to this one listed it.
  bool was_unaccounted = false;
  Presence presence = Presence::Absent;
  std::optional<double> stop_grace_s; // set: it is to be stopped, with so many seconds to save a checkpoint
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

// Whether the machine can be counted on. `MachineLost` is published on the way to `Lost`; a heartbeat leads back.
enum class MachineAvailability : std::uint8_t {
  Starting,  // no heartbeat yet
  Available, // a heartbeat was accepted, and the lease it renewed has not expired
  Lost,      // its lease expired, or it failed
};

// Whether the autoscaler keeps the machine. It goes from the first two to `Returning` and never back.
enum class ScaleInState : std::uint8_t {
  Retained,
  Draining,  // surplus: takes no new tasks, and is given back once it is empty
  Returning, // takes no new tasks, and is being given back to the cloud
};

// What the worker's heartbeats have said.
struct HeartbeatState {
  std::string worker_address;      // where the worker takes stop commands; empty: nowhere
  ReplicaIndex forwarding_replica; // the replica that forwarded the last heartbeat; none: it came directly
  std::uint64_t incarnation = 0;   // of the last heartbeat
  std::uint64_t sequence = 0;      // of the last heartbeat, within its incarnation
  double incarnation_since = 0;
  double first_accepted_at = -1;
  double last_accepted_at = -1; // when the lease was last renewed, too

  bool received() const { return first_accepted_at >= 0; }
};

// What the cloud's list of machines has said; neither is taken back.
struct CloudListing {
  bool running = false; // it was up; it may have gone in the last half minute
  bool failed = false;  // it stopped on its own
};

struct Machine {
  std::string name;
  int type = -1; // by the instance type catalog; -1: not known there
  int zone = -1;
  bool spot = false;
  Resources size;

  double known_since = 0;
  double launched_at = 0;
  double idle_since = -1;                             // -1: not idle, or not known to be
  std::optional<double> reclaim_at;                   // the cloud's notice: when it takes the spot instance back
  std::optional<wire::MachineAdminState> admin_state; // by an operator: takes no new tasks

  MachineAvailability availability = MachineAvailability::Starting;
  ScaleInState scale_in = ScaleInState::Retained;
  HeartbeatState heartbeat;
  DownlinkState downlink;
  CloudListing listing;

  std::vector<Allocation> allocations;
  bool stop_commands_pending = false;       // stops were requested that no response has carried yet
  Resources used;                           // by allocations that are not completed
  std::list<std::pair<int, double>> images; // cached there by index, and their GB, most recently used first
  double busy_cpu_s = 0;                    // CPU seconds of tasks that ran to their end here

  bool lost() const { return availability == MachineAvailability::Lost; }
  bool available() const { return availability == MachineAvailability::Available; }
  bool draining() const { return scale_in == ScaleInState::Draining; }
  bool returning() const { return scale_in == ScaleInState::Returning; }
  bool heartbeat_overdue(double now, double heartbeat_interval_s) const {
    return now - heartbeat.last_accepted_at > 2.5 * heartbeat_interval_s + 1;
  }
};

// What machines are rented as.
struct MachineKind {
  int type = -1;
  int zone = -1;
  bool spot = false;
  auto operator<=>(const MachineKind &) const = default;
};

} // namespace loftrouter::core
