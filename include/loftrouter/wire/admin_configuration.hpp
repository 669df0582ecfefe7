// Answers of the administration API about what is configured: quotas, and where records are in force.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "loftrouter/model/settings.hpp"
#include "loftrouter/wire/configuration.hpp"

namespace loftrouter::wire {

struct AdminQuota {
  Team here, over_all_cells; // in force at this node
  std::uint64_t version = 0; // 0: it was never changed
  std::string owner;         // the cell that decides it; empty: this cell is alone
  AmountsByCell caps, held;
};
std::string encode_quotas(const std::vector<AdminQuota> &quotas);

struct AdminConfigRecord {
  std::string key;
  std::uint64_t revision = 0;
  std::map<std::string, double> in_force;           // since when (wall), by node of this cell; others: not yet
  std::map<std::string, double> acknowledged_cells; // since when, by other cell; as far as this node knows
};
struct AdminConfiguration {
  std::string node;
  std::uint64_t revision = 0;     // applied here
  bool watches = false;           // else it goes by lists alone
  double current_s = -1;          // since the copy was last known to be complete; negative: never
  std::vector<std::string> nodes; // of this cell
  std::vector<AdminConfigRecord> records;
  std::string next; // where to go on; empty: this is all
};
// Bytes that a record takes in `encode_configuration`, at the most.
std::size_t listed_bytes(const AdminConfigRecord &record, std::size_t nodes);
std::string encode_configuration(const AdminConfiguration &configuration);
std::string encode_quota_history(const std::string &team, const std::vector<QuotaRecord::Change> &history);

} // namespace loftrouter::wire
