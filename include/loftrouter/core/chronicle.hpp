// Writes what has happened to the log. A listener: it owns nothing and changes nothing.
#pragma once

#include "loftrouter/core/events.hpp"
#include "loftrouter/core/fleet.hpp"

namespace loft::core {

class Chronicle {
public:
  Chronicle(Port &port, const JobTable &jobs, const Fleet &fleet) : port_(port), jobs_(jobs), fleet_(fleet) {}

  void on(const TermElected &e);
  void on(const TermBegun &e);
  void on(const TermEnded &e);
  void on(const JobSuspected &e);
  void on(const TaskRuns &e);
  void on(const TaskExited &e);
  void on(const TasksGivenUp &e);
  void on(const MachineLost &e);
  void on(const MachineCondemned &e);
  void on(const MachineReturned &e);

private:
  Port &port_;
  const JobTable &jobs_;
  const Fleet &fleet_;
};

} // namespace loft::core
