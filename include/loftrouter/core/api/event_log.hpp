// Writes what has happened to the log. A listener: it owns nothing and changes nothing.
#pragma once

#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/workers/worker_registry.hpp"

namespace loftrouter::core {

class EventLog {
public:
  EventLog(Runtime &runtime, const JobTable &jobs, const WorkerRegistry &workers)
      : runtime_(runtime), jobs_(jobs), workers_(workers) {}

  void on(const LeaderElected &e);
  void on(const TermStarted &e);
  void on(const TermEnded &e);
  void on(const JobSuspected &e);
  void on(const TaskRunning &e);
  void on(const TaskExited &e);
  void on(const TasksAbandoned &e);
  void on(const MachineLost &e);
  void on(const MachineQuarantined &e);
  void on(const MachineRemoved &e);

private:
  Runtime &runtime_;
  const JobTable &jobs_;
  const WorkerRegistry &workers_;
};

} // namespace loftrouter::core
