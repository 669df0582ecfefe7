// The worker registry of a leader: machines, and the tasks that are or may be on them.
//
// Owns machines and their allocations; used by the core's thread alone. Invariant: an allocation is released only on
// proof that its attempt is over on that machine: it was never sent, a newer heartbeat does not list it, the lease has
// expired, or the cloud has taken the machine back. If that were wrong, the task would be started elsewhere while it
// runs (ran_twice). See docs/safety.md, "ran_twice".
//
// Machines are named by their index, which is free for another one once `MachineRemoved` has been delivered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/catalog/instance_type_catalog.hpp"
#include "loftrouter/core/configuration/operator_settings.hpp"
#include "loftrouter/core/election/leadership.hpp"
#include "loftrouter/core/jobs/job_table.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/state/state_writer.hpp"
#include "loftrouter/core/workers/machine.hpp"

namespace loftrouter::core {

class WorkerRegistry {
public:
  WorkerRegistry(Runtime &runtime, Events &events, const Settings &settings, InstanceTypeCatalog &catalog,
                 const OperatorSettings &operators, const Leadership &leadership, JobTable &jobs,
                 StateWriter &state_writer)
      : runtime_(runtime), events_(events), settings_(settings), catalog_(catalog), operators_(operators),
        leadership_(leadership), jobs_(jobs), state_writer_(state_writer) {}

  // ---- look-ups ----

  std::size_t index_limit() const { return machines_.size(); } // indices are below this
  // The machine at this index, or null.
  const Machine *find(MachineIndex machine_index) const { return machines_[machine_index.position()].get(); }
  // There has to be one.
  const Machine &operator[](MachineIndex machine_index) const { return *machines_[machine_index.position()]; }
  MachineIndex index(const std::string &name) const;      // none: not known
  template <class Visit> void each(Visit &&visit) const { // visit(index, machine), by ascending index
    for (std::size_t i = 0; i < machines_.size(); ++i)
      if (machines_[i]) visit(MachineIndex(i), *machines_[i]);
  }
  std::size_t available_count() const;
  // Available workers whose heartbeats come through this replica, or with none to this node directly.
  std::size_t available_count(ReplicaIndex forwarding_replica) const;
  // When the cloud took the machine back, monotonic; nothing if it did not, or if that is forgotten.
  std::optional<double> removed_at(const std::string &name) const;
  // By job index. Tasks unaccounted for are counted too, as most of them run.
  std::vector<std::uint32_t> running_tasks_by_job() const;
  std::uint32_t running_tasks(JobIndex job_index) const;
  // Allocations agree with the job table and with `used`; for asserts and tests.
  bool consistent(MachineIndex machine_index) const;

  // ---- lifecycle of machines ----

  // The index of the machine of this name, which is added if it is not known.
  MachineIndex find_or_add(const std::string &name, const std::string &type, const std::string &zone, bool spot);
  void set_rented_at(MachineIndex machine_index, double rented_at); // monotonic
  void mark_verified(MachineIndex machine_index);                   // rented by this leader
  void mark_returning(MachineIndex machine_index);                  // takes no new tasks from here on
  void set_draining(MachineIndex machine_index, bool draining);     // without effect on one that is returning
  void mark_listed_running(MachineIndex machine_index);
  void mark_listed_failed(MachineIndex machine_index); // it stopped on its own: lost, and to be given back
  void remove(MachineIndex machine_index);             // the cloud has taken it back
  void forget_removal(const std::string &name) { removed_at_.erase(name); } // it is listed again
  void forget_removals(double older_than_s);

  // ---- heartbeats ----

  enum class HeartbeatResult : std::uint8_t {
    Stale,         // not newer than the last one accepted: as old as its list of tasks
    MachineFailed, // the cloud has listed the machine as failed
    Accepted,
  };
  // Renews the lease and reconciles the allocations with the tasks that the worker lists. `commands` receives what is
  // to be forgotten or stopped of those; `build_response` adds the rest once others have acted on the events.
  [[nodiscard]] HeartbeatResult accept_heartbeat(MachineIndex machine_index, const Heartbeat &heartbeat,
                                                 ReplicaIndex forwarding_replica, std::vector<TaskCommand> &commands);
  // Appends the commands of the response: stops, and with `may_start` the starts that are recorded.
  void build_response(MachineIndex machine_index, bool may_start, std::vector<TaskCommand> &commands);

  // ---- allocations ----

  void allocate(MachineIndex machine_index, JobIndex job_index, std::uint32_t task_index, std::uint64_t attempt);
  // Released at once if its start was never sent, otherwise when a heartbeat shows it gone. `allocation`: its position
  // among the machine's. `grace_s`: time to save a checkpoint.
  void stop(MachineIndex machine_index, std::size_t allocation, double grace_s);
  // Stops all tasks of a job; false if all of them were to be stopped already.
  bool stop_job(JobIndex job_index, double grace_s);
  void release_unsent(JobIndex job_index);
  // Stops a gang that can no longer complete its attempt as a whole; the next attempt starts when every task of this
  // one is gone.
  void reconcile_gang(JobIndex job_index);

  // ---- time and events ----

  void tick();               // expired leases, and notices of spot instances being reclaimed
  void send_stop_commands(); // at the end of each batch
  void on(const JobCancelled &event) { stop_job(event.job, 0); }
  void on(const JobFinalized &event);
  void on(const MachineQuarantined &event) { mark_returning(event.machine); }
  void on(const MachineAdminStatesChanged &event);
  void on(const TermStarted &) { removed_at_.clear(); }
  void on(const TermEnded &);

private:
  struct TaskListing; // how the tasks that a heartbeat lists match the allocations

  Machine &at(MachineIndex machine_index) { return *machines_[machine_index.position()]; }
  MachineIndex free_index();
  void mark_lost(MachineIndex machine_index, std::string_view why);
  bool lease_expired(const Machine &machine) const;
  void stop_checkpointable_before_reclaim(MachineIndex machine_index);

  DownlinkEvidence fencing_token_evidence(const Machine &machine, const Heartbeat &heartbeat) const;
  void renew_lease(Machine &machine, const Heartbeat &heartbeat, ReplicaIndex forwarding_replica);
  void reconcile_tasks(MachineIndex machine_index, const Heartbeat &heartbeat, DownlinkEvidence evidence,
                       std::vector<TaskCommand> &commands);
  TaskListing match_listed_tasks(MachineIndex machine_index, const Heartbeat &heartbeat, DownlinkEvidence &evidence);
  void observe(MachineIndex machine_index, Allocation &allocation, const TaskStatus &task);
  void handle_listed_exits(MachineIndex machine_index, const TaskListing &listing, std::vector<TaskCommand> &commands);
  void handle_exit(MachineIndex machine_index, Allocation &allocation, const TaskStatus &task);
  void update_downlink(Machine &machine, const DownlinkEvidence &evidence);
  void release_absent(MachineIndex machine_index);
  void reconcile_unknown_task(MachineIndex machine_index, const TaskStatus &task, std::vector<TaskCommand> &commands);
  bool may_adopt(JobIndex job_index, const TaskStatus &task);
  void adopt(MachineIndex machine_index, JobIndex job_index, const TaskStatus &task,
             std::vector<TaskCommand> &commands);
  void add_unwanted(MachineIndex machine_index, JobIndex job_index, const TaskStatus &task);
  bool may_send_start(const Machine &machine, const Allocation &allocation) const;
  void mark_start_sent(MachineIndex machine_index, Allocation &allocation);

  void release(MachineIndex machine_index, std::size_t allocation);
  void publish_released(MachineIndex machine_index, const Allocation &allocation, bool done);
  void request_stop(MachineIndex machine_index, Allocation &allocation, double grace_s);
  void touch_cached_image(Machine &machine, int image, double image_gb);
  bool gang_has_started(JobIndex job_index) const;

  Runtime &runtime_;
  Events &events_;
  const Settings &settings_;
  InstanceTypeCatalog &catalog_;
  const OperatorSettings &operators_;
  const Leadership &leadership_;
  JobTable &jobs_;
  StateWriter &state_writer_;
  std::vector<std::unique_ptr<Machine>> machines_; // by index; null: free
  std::unordered_map<std::string, MachineIndex> index_;
  std::unordered_map<std::string, double> removed_at_; // by name; see `forget_removals`
  std::vector<MachineIndex> stop_commands_pending_;    // machines whose `stop_commands_pending` was set in this batch
};

} // namespace loftrouter::core
