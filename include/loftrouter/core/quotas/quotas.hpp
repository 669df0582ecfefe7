// Team quotas in this cell and over all cells, from the settings file and the operators' records.
//
// Owns the limits in force in this cell. They never exceed those of the settings file (rule `quota`). A leader never
// applies a limit older than one that an earlier leader has acknowledged (`ready`). Tasks beyond a lowered limit are
// stopped after a grace period, with time to save a checkpoint. See docs/safety.md, "Quotas that change".
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "loftrouter/core/configuration/configuration.hpp"
#include "loftrouter/core/workers/worker_registry.hpp"
#include "loftrouter/wire/configuration.hpp"

namespace loftrouter::core {

class Quotas {
public:
  static constexpr double kOverLimitGraceS = 30.0; // time that tasks beyond a lowered limit may continue

  Quotas(Runtime &runtime, Events &events, const Settings &settings, const Configuration &configuration,
         const Leadership &leadership, const JobTable &jobs, WorkerRegistry &workers);

  // Guarantee and limit of a team in this cell and over all cells; 0: none.
  const Team &local_quota(int team) const { return local_[static_cast<std::size_t>(team)]; }
  const Team &total_quota(int team) const { return total_[static_cast<std::size_t>(team)]; }
  // The largest share of any cell, in CPUs; 0: no limit.
  double largest_share(int team) const { return largest_share_[static_cast<std::size_t>(team)]; }
  // Returns whether this leader may place tasks: it has listed all records since its election.
  bool ready() const { return !settings_.configuration || configuration_.listed_since(elected_at_); }

  // The resources that each team may still use in this cell, by team; negative: no limit.
  std::vector<Resources> headroom() const;
  // The resources in use, by team. Unaccounted and delegated tasks count too.
  std::vector<Resources> used() const;
  // The team's quota record; nothing if there is none or it cannot be read.
  std::optional<wire::QuotaRecord> record(const std::string &team) const;
  const std::vector<std::string> &cells() const { return cells_; } // all cells, this one first
  const std::string &this_cell() const { return cells_.front(); }
  // The limits of the settings file.
  wire::QuotaLimits platform_limits(int team) const;
  int find_team(const std::string &name) const;

  void tick(); // stops tasks beyond a lowered limit after the grace period
  void on(const ConfigurationChanged &event);
  void on(const LeaderElected &) { elected_at_ = runtime_.now(); }
  void on(const TermStarted &);

private:
  void update_limits(int team);
  void release_unsent_excess(int team);
  void stop_excess(int team);

  Runtime &runtime_;
  Events &events_;
  const Settings &settings_;
  const Configuration &configuration_;
  const Leadership &leadership_;
  const JobTable &jobs_;
  WorkerRegistry &workers_;
  std::vector<std::string> cells_;
  std::vector<Team> local_, total_; // by team
  std::vector<double> largest_share_;
  std::vector<double> over_since_; // s, monotonic, by team; negative: within its limit
  double elected_at_ = -1e9, next_tick_ = 0;
};

} // namespace loftrouter::core
