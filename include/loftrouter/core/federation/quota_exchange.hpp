// Exchanges quotas between the leaders of cells. The owner cell sends a team's record until the other cells have
// acknowledged it; changes requested in other cells are forwarded to the owner. A cell's cap rises only after the other
// cells have acknowledged their lower caps.
//
// Owns the acknowledgements of the other cells and the state of forwarded changes. A cell applies a record only if its
// version is higher than its own, and acknowledges a cap only once its team can use no more than that there. Keeps
// teams within their quota over all cells: docs/safety.md, "Quotas that change"; docs/configuration.md.
#pragma once

#include <map>
#include <set>
#include <string>

#include "loftrouter/core/federation/cell_federation.hpp"
#include "loftrouter/core/quotas/quota_changes.hpp"

namespace loftrouter::core {

class QuotaExchange {
public:
  struct Acknowledged { // record version that another cell has applied
    std::uint64_t version = 0;
    double wall = 0;         // time of the first acknowledgement
    bool within_cap = false; // its team can use no more than its cap there
  };

  QuotaExchange(Runtime &runtime, const Settings &settings, Configuration &configuration, const Leadership &leadership,
                const Quotas &quotas, QuotaChanges &changes, StateServiceLimits &state_limits, CellFederation &cells);

  void tick();
  // Returns the acknowledgements of a team's record by cell; filled only on the leader of the owner cell.
  const std::map<std::string, Acknowledged> &acknowledged(const std::string &team) const;
  void on(const TermStarted &);

private:
  struct SentRecord { // latest record sent to a cell
    std::uint64_t version = 0;
    double next_send = 0;
  };
  void handle_message(int cell, wire::CellMessage &&message);
  void handle_record(int cell, const wire::CellMessage &message);
  void handle_acknowledgement(int cell, const wire::CellMessage &message);
  void handle_change(int cell, const wire::CellMessage &message);
  void handle_outcome(const wire::CellMessage &message);
  bool send_record(int cell, const std::string &team, const wire::QuotaRecord &record); // returns whether it was sent
  void advance_record(const std::string &team, wire::QuotaRecord record, std::uint64_t revision);
  void forward_changes();
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
  std::map<std::pair<std::string, std::string>, SentRecord> sent_;          // by team and cell
  std::map<std::string, double> next_forward_; // earliest next forwarding of a change, by key
  std::map<std::string, double> first_seen_;   // of a change, by key
  std::set<std::string> committing_;           // teams and changes whose record is being written
  double next_tick_ = 0;
};

} // namespace loftrouter::core
