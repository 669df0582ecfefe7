// Encodes the administration API's responses about quotas and the replication of configuration records.
//
// All functions are pure. The JSON keys are a stable API read by operators' tools.
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

// AdminQuota is a team's quota as known to one node.
struct AdminQuota {
  Team here;                 // in force at this node, for this cell
  Team over_all_cells;       // summed over all cells
  std::uint64_t version = 0; // 0: never changed
  std::string owner;         // cell that commits changes; empty with a single cell
  AmountsByCell caps;        // last granted to each cell
  AmountsByCell held;        // upper bound of what each cell may still use
};
[[nodiscard]] std::string encode_quotas(const std::vector<AdminQuota> &quotas);

// AdminConfigRecord tells where a configuration record is in force. Times are in seconds since 1970.
struct AdminConfigRecord {
  std::string key;
  std::uint64_t revision = 0;
  std::map<std::string, double> in_force;           // since when, by node of this cell; missing: not yet
  std::map<std::string, double> acknowledged_cells; // since when, by other cell, as known to this node
};

// AdminConfiguration is one page of a node's configuration records.
struct AdminConfiguration {
  std::string node;
  std::uint64_t revision = 0;     // applied by this node
  bool watch_open = false;        // otherwise changes arrive only through list requests
  double current_s = -1;          // time since the copy was last known to be complete; negative: never
  std::vector<std::string> nodes; // of this cell
  std::vector<AdminConfigRecord> records;
  std::string next; // record after which the next page starts; empty: last page
};
// Returns an upper bound of a record's size in the output of encode_configuration.
[[nodiscard]] std::size_t listed_bytes(const AdminConfigRecord &record, std::size_t nodes);
[[nodiscard]] std::string encode_configuration(const AdminConfiguration &configuration);

// Encodes the latest changes of a team's quota in the order of its record.
[[nodiscard]] std::string encode_quota_history(const std::string &team,
                                               const std::vector<QuotaRecord::Change> &history);

} // namespace loftrouter::wire
