// Answers of the administration API about what is configured: quotas, and where records are in force.
//
// All functions are pure. The JSON keys are the API's; operators' tools read them, so they don't change.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "loftrouter/model/settings.hpp"
#include "loftrouter/wire/configuration.hpp"

namespace loftrouter::wire {

struct AdminQuota {
  Team here;                 // in force at this node
  Team over_all_cells;       // the same, over all cells
  std::uint64_t version = 0; // 0: it was never changed
  std::string owner;         // the cell that decides it; empty: this cell is alone
  AmountsByCell caps;        // what each cell was last granted
  AmountsByCell held;        // the most that each cell may still use
};
[[nodiscard]] std::string encode_quotas(const std::vector<AdminQuota> &quotas);

// Times are in seconds since 1970.
struct AdminConfigRecord {
  std::string key;
  std::uint64_t revision = 0;
  std::map<std::string, double> in_force;           // since when, by node of this cell; other nodes: not yet
  std::map<std::string, double> acknowledged_cells; // since when, by other cell; as far as this node knows
};

struct AdminConfiguration {
  std::string node;
  std::uint64_t revision = 0;     // applied here
  bool watch_open = false;        // a watch is open; otherwise changes come by lists alone
  double current_s = -1;          // since the copy was last known to be complete; negative: never
  std::vector<std::string> nodes; // of this cell
  std::vector<AdminConfigRecord> records;
  std::string next; // the record after which to go on; empty: there is no more
};
// Bytes that a record takes in `encode_configuration`, at the most.
[[nodiscard]] std::size_t listed_bytes(const AdminConfigRecord &record, std::size_t nodes);
[[nodiscard]] std::string encode_configuration(const AdminConfiguration &configuration);

// The latest changes of a team's quota, in the order of the record.
[[nodiscard]] std::string encode_quota_history(const std::string &team,
                                               const std::vector<QuotaRecord::Change> &history);

} // namespace loftrouter::wire
