// Registers the leader's machines and the tasks that run or may run on them.
//
// Owns machines and allocations; used by the core's thread alone. Invariant: an allocation is released only on proof
// that its attempt is over: the start was never sent, a newer heartbeat does not list it, the lease has expired, or the
// machine was removed. Otherwise the task could be started elsewhere while it runs (docs/safety.md "ran_twice").
// The index of a removed machine is reused after `MachineRemoved`.
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

  std::size_t index_limit() const { return machines_.size(); }
  const Machine *find(MachineIndex machine_index) const { return machines_[machine_index.position()].get(); } // or null
  const Machine &operator[](MachineIndex machine_index) const { return *machines_[machine_index.position()]; }
  MachineIndex index(const std::string &name) const;      // invalid: unknown
  template <class Visit> void each(Visit &&visit) const { // visit(index, machine), in index order
    for (std::size_t i = 0; i < machines_.size(); ++i)
      if (machines_[i]) visit(MachineIndex(i), *machines_[i]);
  }
  std::size_t available_count() const;
  // Counts the available workers whose heartbeats this replica forwards; invalid: those received directly.
  std::size_t available_count(ReplicaIndex forwarding_replica) const;
  // Returns when the machine was removed, monotonic s; nothing if it was not or the removal has been forgotten.
  std::optional<double> removed_at(const std::string &name) const;
  // Counts running tasks, by job index. Includes those in remote cells, and unaccounted ones, most of which are
  // running.
  std::vector<std::uint32_t> running_tasks_by_job() const;
  std::uint32_t running_tasks(JobIndex job_index) const;
  bool consistent(MachineIndex machine_index) const; // for asserts and tests

  // ---- lifecycle of machines ----

  MachineIndex find_or_add(const std::string &name, const std::string &type, const std::string &zone, bool spot);
  void set_launched_at(MachineIndex machine_index, double launched_at); // monotonic s
  void mark_verified(MachineIndex machine_index);
  void mark_returning(MachineIndex machine_index);
  void set_draining(MachineIndex machine_index, bool draining);
  void mark_listed_running(MachineIndex machine_index);
  void mark_listed_failed(MachineIndex machine_index);
  void remove(MachineIndex machine_index);
  void forget_removal(const std::string &name) { removed_at_.erase(name); }
  void forget_removals(double older_than_s);

  // ---- heartbeats ----

  enum class HeartbeatResult : std::uint8_t {
    Stale,         // not newer than the last accepted one
    MachineFailed, // by the cloud's list of machines
    Accepted,
  };
  // Renews the lease and reconciles the allocations with the listed tasks. Appends the commands that concern these
  // tasks; `build_response` appends the others after the events have been handled.
  [[nodiscard]] HeartbeatResult accept_heartbeat(MachineIndex machine_index, const Heartbeat &heartbeat,
                                                 ReplicaIndex forwarding_replica, std::vector<TaskCommand> &commands);
  // Appends requested stops and, with `may_start`, the recorded starts.
  void build_response(MachineIndex machine_index, bool may_start, std::vector<TaskCommand> &commands);

  // ---- allocations ----

  void allocate(MachineIndex machine_index, JobIndex job_index, std::uint32_t task_index, std::uint64_t attempt);
  // Releases an unsent allocation at once; otherwise requests a stop, and a later heartbeat that no longer lists the
  // task releases it. `grace_s`: time to save a checkpoint.
  void stop(MachineIndex machine_index, std::size_t position, double grace_s);
  // Stops all tasks of the job. Returns false if they were being stopped already.
  bool stop_job(JobIndex job_index, double grace_s);
  void release_unsent(JobIndex job_index);
  // Stops a gang that has lost a task since it started, so that it can be started again as a whole.
  void reconcile_gang(JobIndex job_index);

  void tick();               // handles expired leases and spot reclaims
  void send_stop_commands(); // called at the end of each batch
  void on(const JobCancelled &event) { stop_job(event.job, 0); }
  void on(const JobFinalized &event);
  void on(const MachineQuarantined &event) { mark_returning(event.machine); }
  void on(const MachineAdminStatesChanged &event);
  void on(const TermStarted &) { removed_at_.clear(); }
  void on(const TermEnded &);

private:
  struct TaskListing; // the tasks of a heartbeat, matched with the allocations

  Machine &at(MachineIndex machine_index) { return *machines_[machine_index.position()]; }
  MachineIndex free_index();
  void mark_lost(MachineIndex machine_index, std::string_view reason);
  bool lease_expired(const Machine &machine) const;
  void stop_checkpointable_before_reclaim(MachineIndex machine_index);

  DownlinkEvidence downlink_evidence(const Machine &machine, const Heartbeat &heartbeat) const;
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

  void release(MachineIndex machine_index, std::size_t position);
  void publish_released(MachineIndex machine_index, const Allocation &allocation, bool completed);
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
  std::unordered_map<std::string, MachineIndex> index_by_name_;
  std::unordered_map<std::string, double> removed_at_; // by name, monotonic s
  std::vector<MachineIndex> stop_commands_pending_;    // machines with stops to be sent
};

} // namespace loftrouter::core
