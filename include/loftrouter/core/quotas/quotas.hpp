// What each team may use at a time, here and over all cells, as the settings file and the operators' records say.
//
// Owns the limits in force in this cell. Promises that they never exceed the settings file's (quota), that the leader
// goes by no limit older than one that any leader before it has acknowledged (`ready`), and that work beyond a lowered
// limit is stopped, with time to save. docs/safety.md, "Quotas that change".
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
  static constexpr double kOverLimitGraceS = 30.0; // s, that work beyond a lowered limit may go on

  Quotas(Runtime &runtime, Events &events, const Settings &settings, const Configuration &configuration,
         const Leadership &leadership, const JobTable &jobs, WorkerRegistry &workers);

  // Guarantee and limit of a team; 0: none, as in the settings file.
  const Team &local_quota(int team) const { return here_[static_cast<std::size_t>(team)]; }
  const Team &total_quota(int team) const { return whole_[static_cast<std::size_t>(team)]; }
  double largest_share(int team) const { return largest_share_[static_cast<std::size_t>(team)]; } // CPUs; 0: no limit
  // Whether this leader may place: it has read all records since its election.
  bool ready() const { return !settings_.configuration || configuration_.listed_since(elected_at_); }

  // What each team may still use here: negative where there is no limit. Everything that may be on a machine counts,
  // unaccounted and lent tasks included.
  std::vector<Resources> headroom() const;
  std::vector<Resources> used() const;
  // The record of a team's quota, if it has one and can be read.
  std::optional<wire::QuotaRecord> record(const std::string &team) const;
  const std::vector<std::string> &cells() const { return cells_; } // all names, this one's first; one if it is alone
  const std::string &this_cell() const { return cells_.front(); }
  // The settings file's limits, as a record has them.
  wire::QuotaLimits platform_limits(int team) const;
  int find_team(const std::string &name) const;

  void tick(); // stops what is beyond a lowered limit and has had its time
  void on(const ConfigurationChanged &event);
  void on(const LeaderElected &) { elected_at_ = runtime_.now(); }
  void on(const TermStarted &);

private:
  void read(int team);
  void withdraw_beyond(int team);
  void stop_beyond(int team);

  Runtime &runtime_;
  Events &events_;
  const Settings &settings_;
  const Configuration &configuration_;
  const Leadership &leadership_;
  const JobTable &jobs_;
  WorkerRegistry &workers_;
  std::vector<std::string> cells_;
  std::vector<Team> here_, whole_;
  std::vector<double> largest_share_;
  std::vector<double> over_since_; // mono, by team; negative: it is within its limit
  double elected_at_ = -1e9, next_tick_ = 0;
};

} // namespace loftrouter::core
