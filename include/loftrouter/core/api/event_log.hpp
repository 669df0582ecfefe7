// EventLog writes the core's events to the structured log. It keeps no state.
#pragma once

#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/workers/worker_registry.hpp"

namespace loftrouter::core {

class EventLog {
public:
  EventLog(Runtime &runtime, const JobTable &jobs, const WorkerRegistry &workers)
      : runtime_(runtime), jobs_(jobs), workers_(workers) {}

  void on(const LeaderElected &event);
  void on(const TermStarted &event);
  void on(const TermEnded &event);
  void on(const JobSuspected &event);
  void on(const TaskRunning &event);
  void on(const TaskExited &event);
  void on(const TasksAbandoned &event);
  void on(const MachineLost &event);
  void on(const MachineQuarantined &event);
  void on(const MachineRemoved &event);

private:
  Runtime &runtime_;
  const JobTable &jobs_;
  const WorkerRegistry &workers_;
};

} // namespace loftrouter::core
