// Applies changes of team quotas that operators request at any node of any cell.
//
// Each team's quota is owned by one cell. A node of that cell commits a change itself. Any other node stores it in its
// own state service, from where its leader forwards it to the owner (`QuotaExchange`).
//
// Owns the operators' requests that wait for the owner's response. A change is answered with 200 only after it is
// committed in the owner's state service, and a repeated change is applied once.
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
    std::string text; // error message; empty on success
  };
  using Callback = std::function<void(const Outcome &)>;

  QuotaChanges(Runtime &runtime, const Settings &settings, Configuration &configuration, const Quotas &quotas,
               StateServiceLimits &state_limits)
      : runtime_(runtime), settings_(settings), configuration_(configuration), quotas_(quotas),
        state_limits_(state_limits) {}

  void request(const wire::QuotaChange &change, Callback done);
  // Commits the change; a change with the same number that was committed before is not applied again. Called in the
  // owner's cell only.
  void commit_once(const wire::QuotaChange &change, std::uint64_t number, Callback done);
  // Commits a record whose caps have changed and passes the result to `done`. Called in the owner's cell only.
  void commit(const std::string &team, const wire::QuotaRecord &record, std::uint64_t revision,
              std::function<void(bool)> done);
  bool owns(const std::string &team) const;
  std::string owner(const std::string &team) const;
  void tick(); // fails requests that have timed out
  void on(const ConfigurationChanged &event);

private:
  struct PendingRequest {
    Callback done;
    double deadline; // s, monotonic
  };
  // Applies the change to `record`. Returns an error if it is invalid, nothing otherwise.
  std::optional<Outcome> apply(const wire::QuotaChange &change, std::uint64_t number, wire::QuotaRecord &record) const;
  void forward(const wire::QuotaChange &change, Callback done);
  void remove_forwarded(const std::string &key);

  Runtime &runtime_;
  const Settings &settings_;
  Configuration &configuration_;
  const Quotas &quotas_;
  StateServiceLimits &state_limits_;
  std::map<std::uint64_t, PendingRequest> pending_; // by number
};

} // namespace loftrouter::core
