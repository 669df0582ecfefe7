// Changes of team quotas that operators ask for, at any node of any cell.
//
// Owns the operators' requests that wait for another cell's answer. Promises that a change is answered with 200 only
// after the owner's state service has it, and carried out once, whoever repeats it. A node of the owner's cell commits
// it itself; any other leaves it in its own state service, from where its leader passes it on (`QuotaExchange`).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "loftrouter/core/quotas/quotas.hpp"
#include "loftrouter/core/runtime/state_service_limits.hpp"

namespace loftrouter::core {

class QuotaChanges {
public:
  struct Outcome {
    int status = 503; // HTTP
    std::string text; // why not
  };
  using Done = std::function<void(const Outcome &)>;

  QuotaChanges(Runtime &runtime, const Settings &settings, Configuration &configuration, const Quotas &quotas,
               StateServiceLimits &state_limits)
      : runtime_(runtime), settings_(settings), configuration_(configuration), quotas_(quotas),
        state_limits_(state_limits) {}

  void request(const wire::QuotaChange &change, Done done);
  // In the owner's cell: commits the change, unless this number was carried out before.
  void commit_once(const wire::QuotaChange &change, std::uint64_t number, Done done);
  // In the owner's cell: a record that has taken a step by itself. `done`: whether it is committed.
  void commit(const std::string &team, const wire::QuotaRecord &record, std::uint64_t revision,
              std::function<void(bool)> done);
  bool owns(const std::string &team) const;
  std::string owner(const std::string &team) const;
  void tick(); // gives up requests that have waited too long
  void on(const ConfigurationChanged &event);

private:
  struct Waiting { // for another cell's answer
    Done done;
    double until;
  };
  // What the record becomes, or why it cannot be changed so.
  std::optional<Outcome> apply(const wire::QuotaChange &change, std::uint64_t number, wire::QuotaRecord &record) const;
  void forward(const wire::QuotaChange &change, Done done);
  void forget(const std::string &key);

  Runtime &runtime_;
  const Settings &settings_;
  Configuration &configuration_;
  const Quotas &quotas_;
  StateServiceLimits &state_limits_;
  std::map<std::uint64_t, Waiting> waiting_; // by number
};

} // namespace loftrouter::core
