// Records of what operators configure, one for each thing, as the state service and other cells hold them: keys,
// values, and the requests that change them. docs/configuration.md describes how they spread.
//
// All functions are pure. A record that can't be read whole is nothing, and what was in force stays so: limits that
// were guessed could let a team use more than its quota (rule `quota`).
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/field_error.hpp"

namespace loftrouter::wire {

// Keys. The first is the common prefix of all of them, and of the documents that earlier versions wrote.
constexpr std::string_view kConfigPrefix = "conf";
constexpr std::string_view kConfigRecords = "config/";         // config/<kind>/<name>
constexpr std::string_view kConfigQuota = "config/quota/";     // by team
constexpr std::string_view kConfigBudget = "config/budget/";   // by team
constexpr std::string_view kConfigMachine = "config/machine/"; // by machine
constexpr std::string_view kConfigChange = "config-change/";   // changes forwarded to another cell, by number
constexpr std::string_view kConfigApplied = "config-applied/"; // by node

// Of a kind. Every one of 11,000 machines may be cordoned or drained at once, with some of machines that are gone.
// A node keeps them all: 0.5 KB each, 6.1 MB, and 1.7 MB more while it lists.
constexpr std::size_t kMaxConfigRecords = 12'000;
constexpr std::size_t kMaxConfigChanges = 64; // under way
constexpr std::size_t kMaxQuotaHistory = 8;   // changes kept in a quota's record

// CPUs and GPUs; infinite where there is no limit.
struct Amounts {
  double cpus = 0;
  double gpus = 0;
  static constexpr double kUnlimited = std::numeric_limits<double>::infinity();
  bool operator==(const Amounts &) const = default;
};
using AmountsByCell = std::map<std::string, Amounts>;

// Of a team, over all cells.
struct QuotaLimits {
  Amounts guaranteed;                                     // within it, its jobs need not wait for other teams
  Amounts most{Amounts::kUnlimited, Amounts::kUnlimited}; // that its tasks may use at any time
  bool operator==(const QuotaLimits &) const = default;
};

// `config/quota/<team>`
struct QuotaRecord {
  struct Change {
    std::uint64_t number = 0; // of the request, never used again
    double wall = 0;          // seconds since 1970
    QuotaLimits limits;
  };
  std::uint64_t version = 0; // grows with each commit of the owner
  QuotaLimits limits;
  AmountsByCell shares;        // as set by an operator; cells that are not named share the rest evenly
  AmountsByCell caps;          // what each cell was last granted; empty: one cell alone
  AmountsByCell held;          // the most that each cell may still use; empty: one cell alone
  std::vector<Change> history; // the newest last, at most kMaxQuotaHistory
};
[[nodiscard]] Json to_json(const QuotaRecord &record);
[[nodiscard]] std::optional<QuotaRecord> quota_from_json(const Json &json);

// What an operator asks for. What is not set stays as it is.
struct QuotaChange {
  std::string team;
  std::optional<double> guaranteed_cpus;
  std::optional<double> max_cpus;
  std::optional<double> guaranteed_gpus;
  std::optional<double> max_gpus;
  std::optional<AmountsByCell> shares;
  std::optional<std::uint64_t> version; // that the operator has seen; if it is not the present one: conflict
};
[[nodiscard]] std::variant<QuotaChange, FieldError> read_quota_change(std::string_view team, const Json &json);
[[nodiscard]] Json to_json(const QuotaChange &change);

// `config-change/<number>`: a change that a node of another cell was asked for, and its answer once the owner has
// given it.
struct ForwardedChange {
  QuotaChange change;
  std::string node; // that waits for the answer
  int status = 0;   // HTTP; 0: no answer yet
  std::string text; // of the answer
};
[[nodiscard]] Json to_json(const ForwardedChange &forwarded);
[[nodiscard]] std::optional<ForwardedChange> forwarded_from_json(const Json &json);

// `config-applied/<node>`
struct AppliedRecord {
  std::uint64_t revision = 0; // all records up to this one are in force at the node
  double wall = 0;            // since then, seconds since 1970
};
[[nodiscard]] Json to_json(const AppliedRecord &applied);
[[nodiscard]] std::optional<AppliedRecord> applied_from_json(const Json &json);

} // namespace loftrouter::wire
