// Quotas between cells, on the leaders: the owner's record goes to the others until they have acknowledged it, changes
// asked for elsewhere go to the owner, and caps rise once others have fallen.
//
// Owns what each other cell has acknowledged, and the changes that are being passed on. Promises that a cell takes a
// record only if its version is higher than its own, and that it acknowledges a cap only when its team can use no more
// than that there (quota). docs/safety.md, "Quotas that change"; docs/configuration.md.
#pragma once

#include <map>
#include <set>
#include <string>

#include "loftrouter/core/federation/cell_federation.hpp"
#include "loftrouter/core/quotas/quota_changes.hpp"

namespace loftrouter::core {

class QuotaExchange {
public:
  struct Acknowledged { // by another cell
    std::uint64_t version = 0;
    double wall = 0;     // first said
    bool within = false; // and its team can use no more than its cap there
  };

  QuotaExchange(Runtime &runtime, const Settings &settings, Configuration &configuration, const Leadership &leadership,
                const Quotas &quotas, QuotaChanges &changes, StateServiceLimits &state_limits, CellFederation &cells);

  void tick();
  // By each other cell that has, of a team's quota; on the owner's leader alone.
  const std::map<std::string, Acknowledged> &acknowledged(const std::string &team) const;
  void on(const TermStarted &);

private:
  struct Sent { // of a record, to a cell
    std::uint64_t version = 0;
    double next = 0;
  };
  void take(int cell, wire::CellMessage &&message);
  void take_record(int cell, const wire::CellMessage &message);
  void take_acknowledgement(int cell, const wire::CellMessage &message);
  void take_change(int cell, const wire::CellMessage &message);
  void take_outcome(const wire::CellMessage &message);
  bool offer(int cell, const std::string &team, const wire::QuotaRecord &record); // true: it was sent
  void step(const std::string &team, wire::QuotaRecord record, std::uint64_t revision);
  void pass_changes_on();
  void write_change(const std::string &key, std::optional<wire::Json> value, std::uint64_t revision);
  bool within_cap(const std::string &team, const wire::QuotaRecord &record) const;

  Runtime &runtime_;
  const Settings &settings_;
  Configuration &configuration_;
  const Leadership &leadership_;
  const Quotas &quotas_;
  QuotaChanges &changes_;
  StateServiceLimits &state_limits_;
  CellFederation &federation_;
  std::vector<Resources> used_;                                             // by team, at this tick
  std::map<std::string, std::map<std::string, Acknowledged>> acknowledged_; // by team and cell
  std::map<std::pair<std::string, std::string>, Sent> sent_;                // by team and cell
  std::map<std::string, double> asked_; // changes passed on, by key: not again before
  std::map<std::string, double> seen_;  // the same: when it was first seen
  std::set<std::string> committing_;    // teams and changes whose record is being written
  double next_tick_ = 0;
};

} // namespace loftrouter::core
