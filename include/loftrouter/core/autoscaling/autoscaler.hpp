// The fleet's size: what to rent, what to give back, and what the cloud's list says.
//
// Owns the calls to the cloud. Promises that no call is made beyond the cloud's limit, that a rental that is asked
// for again bears the same name, and that a machine counts as gone only when the cloud has said so.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "loftrouter/core/liveness/failure_detector.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/scheduling/scheduler.hpp"

namespace loftrouter::core {

class Autoscaler {
public:
  Autoscaler(Runtime &runtime, const Settings &settings, InstanceTypeCatalog &catalog, const Operators &operators,
             const Leadership &leadership, const JobTable &jobs, const Dependencies &dependencies,
             const FailureAttribution &failure_attribution, WorkerRegistry &workers,
             const FailureDetector &failure_detector, const Scheduler &scheduler, const JobObjectives &objectives);

  void tick();
  void probe(); // asks the cloud something, so that it is known whether it answers this node; seldom
  // The cloud had none of this kind to give, lately.
  bool refused(const MachineKind &kind) const;
  std::vector<MachineKind> refused_kinds() const;
  void on(const TermStarted &);
  void on(const TermEnded &);

private:
  struct Wanted { // machines of one kind
    MachineKind kind;
    int count = 0, jobs = 0;
    JobIndex job; // the first that wants them
  };
  void load_types();
  void list(std::string from);
  void merge(const wire::CloudReply &reply);
  std::vector<double> ready_soon() const;
  void scale();
  void drain_surplus(double waiting_cpus);
  void rent(const Wanted &wanted);
  void send_rent(CloudScaleOut call, MachineKind kind, int tries);
  std::vector<std::string> names_to_return();
  void return_machines();

  Runtime &runtime_;
  const Settings &settings_;
  InstanceTypeCatalog &catalog_;
  const Operators &operators_;
  const Leadership &leadership_;
  const JobTable &jobs_;
  const Dependencies &dependencies_;
  const FailureAttribution &failure_attribution_;
  WorkerRegistry &workers_;
  const FailureDetector &failure_detector_;
  const Scheduler &scheduler_;
  const JobObjectives &objectives_;
  TokenBucket calls_;
  bool types_loading_ = false, listing_ = false, returning_ = false;
  double next_types_ = 0, next_probe_ = 0, next_list_ = 0, next_scale_ = 0, listed_once_at_ = -1;
  double nothing_placed_until_ =
      -1e9; // up to then this leader could place nothing: no machine was idle for want of work
  std::uint64_t rents_ = 0;
  std::map<MachineKind, int> rents_open_;
  std::map<MachineKind, double> no_capacity_until_;
};

} // namespace loftrouter::core
