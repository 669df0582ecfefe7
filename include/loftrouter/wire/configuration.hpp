// Records of what operators configure, one for each thing, as the state service and other cells hold them: keys,
// values, and the requests that change them. docs/configuration.md.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::wire {

constexpr std::string_view kConfigPrefix = "conf";             // of all that follows, and of the older documents
constexpr std::string_view kConfigRecords = "config/";         // config/<kind>/<name>
constexpr std::string_view kConfigQuota = "config/quota/";     // by team
constexpr std::string_view kConfigBudget = "config/budget/";   // by team
constexpr std::string_view kConfigMachine = "config/machine/"; // by machine
constexpr std::string_view kConfigChange = "config-change/";   // changes passed to another cell, by number
constexpr std::string_view kConfigApplied = "config-applied/"; // by node
// Of a kind. Every one of 11,000 machines may be cordoned or drained at once, with some of machines that are gone.
// A node keeps them all: 0.5 KB each, 6.1 MB, and 1.7 MB more while it lists.
constexpr std::size_t kMaxConfigRecords = 12'000;
constexpr std::size_t kMaxConfigChanges = 64; // under way
constexpr std::size_t kMaxQuotaHistory = 8;   // changes kept in a quota's record

// CPUs and GPUs; infinite where there is no limit.
struct Amounts {
  double cpus = 0, gpus = 0;
  static constexpr double kUnlimited = std::numeric_limits<double>::infinity();
  bool operator==(const Amounts &) const = default;
};
using AmountsByCell = std::map<std::string, Amounts>;

// Of a team, over all cells.
struct QuotaLimits {
  Amounts guaranteed;                                     // its jobs need not wait for other teams within it
  Amounts most{Amounts::kUnlimited, Amounts::kUnlimited}; // that its tasks may use at any time
  bool operator==(const QuotaLimits &) const = default;
};

struct QuotaRecord {
  struct Change {
    std::uint64_t number = 0; // of the request, never used again
    double wall = 0;
    QuotaLimits limits;
  };
  std::uint64_t version = 0; // grows with each commit of the owner
  QuotaLimits limits;
  AmountsByCell shares;        // as set by an operator; of cells that are not named, even parts of the rest
  AmountsByCell caps, held;    // what each cell was told last; the most that it may still use. Empty: one cell alone
  std::vector<Change> history; // the newest last
};
Json to_json(const QuotaRecord &record);
std::optional<QuotaRecord> quota_from_json(const Json &json);

// What an operator asks for. Nothing: stays as it is.
struct QuotaChange {
  std::string team;
  std::optional<double> guaranteed_cpus, max_cpus, guaranteed_gpus, max_gpus;
  std::optional<AmountsByCell> shares;
  std::optional<std::uint64_t> version; // that the operator has seen; another one: conflict
};
// Or what is wrong, naming the field.
std::variant<QuotaChange, std::string> read_quota_change(std::string_view team, const Json &json);
Json to_json(const QuotaChange &change);

// A change that a node of another cell was asked for: `config-change/<number>`. Its answer, once the owner has given
// it.
struct ForwardedChange {
  QuotaChange change;
  std::string node; // that waits for the answer
  int status = 0;   // HTTP; 0: none yet
  std::string text;
};
Json to_json(const ForwardedChange &forwarded);
std::optional<ForwardedChange> forwarded_from_json(const Json &json);

// `config-applied/<node>`
struct AppliedRecord {
  std::uint64_t revision = 0; // all records up to this one are in force there
  double wall = 0;            // since then
};
Json to_json(const AppliedRecord &applied);
std::optional<AppliedRecord> applied_from_json(const Json &json);

} // namespace loftrouter::wire
