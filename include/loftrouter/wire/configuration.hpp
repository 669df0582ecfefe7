// Defines the configuration records that the state service and other cells store: their keys, values and change
// requests. docs/configuration.md describes how they are replicated.
//
// All functions are pure. Readers reject a malformed record as a whole, so that the previous one stays in force:
// guessed limits could let a team exceed its quota (rule `quota`).
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

// kConfigPrefix starts all configuration keys, including those written by earlier versions.
constexpr std::string_view kConfigPrefix = "conf";
constexpr std::string_view kConfigRecords = "config/";         // followed by <kind>/<name>
constexpr std::string_view kConfigQuota = "config/quota/";     // followed by the team
constexpr std::string_view kConfigBudget = "config/budget/";   // followed by the team
constexpr std::string_view kConfigMachine = "config/machine/"; // followed by the machine
constexpr std::string_view kConfigChange = "config-change/";   // followed by the number of a forwarded change
constexpr std::string_view kConfigApplied = "config-applied/"; // followed by the node

constexpr std::size_t kMaxConfigRecords = 12'000; // per kind; allows cordoning all machines of a large cell
constexpr std::size_t kMaxConfigChanges = 64;     // forwarded and not yet completed
constexpr std::size_t kMaxQuotaHistory = 8;       // changes kept in a quota record

// Amounts are numbers of CPUs and GPUs, or kUnlimited.
struct Amounts {
  double cpus = 0;
  double gpus = 0;
  static constexpr double kUnlimited = std::numeric_limits<double>::infinity();
  bool operator==(const Amounts &) const = default;
};
using AmountsByCell = std::map<std::string, Amounts>;

// QuotaLimits are a team's limits, summed over all cells.
struct QuotaLimits {
  Amounts guaranteed;                                     // usage up to this does not wait for other teams
  Amounts most{Amounts::kUnlimited, Amounts::kUnlimited}; // upper limit of usage
  bool operator==(const QuotaLimits &) const = default;
};

// QuotaRecord is stored under `config/quota/<team>`.
struct QuotaRecord {
  struct Change {
    std::uint64_t number = 0; // unique number of the request
    double wall = 0;          // seconds since 1970
    QuotaLimits limits;
  };
  std::uint64_t version = 0; // incremented by each commit of the owner cell
  QuotaLimits limits;
  AmountsByCell shares;        // set by an operator; cells without a share split the rest evenly
  AmountsByCell caps;          // last granted to each cell; empty with a single cell
  AmountsByCell held;          // upper bound of what each cell may still use; empty with a single cell
  std::vector<Change> history; // oldest first, at most kMaxQuotaHistory
};
[[nodiscard]] Json to_json(const QuotaRecord &record);
[[nodiscard]] std::optional<QuotaRecord> quota_from_json(const Json &json);

// QuotaUpdate is the body of a message that sends a quota record to another cell.
struct QuotaUpdate {
  std::string team;
  QuotaRecord record;
};
[[nodiscard]] std::string encode_quota_update(const QuotaUpdate &update);
[[nodiscard]] std::optional<QuotaUpdate> decode_quota_update(std::string_view body);

// EntryRecord is one entry of an operators' document, stored under `config/budget/<team>` or
// `config/machine/<machine>`.
struct EntryRecord {
  Json value;
  bool in_document = false; // mirrored in the document, which earlier versions read
};
[[nodiscard]] Json to_json(const EntryRecord &entry);
[[nodiscard]] std::optional<EntryRecord> entry_from_json(const Json &json);

// QuotaChange is an operator's request. Fields that are not set keep their values.
struct QuotaChange {
  std::string team;
  std::optional<double> guaranteed_cpus;
  std::optional<double> max_cpus;
  std::optional<double> guaranteed_gpus;
  std::optional<double> max_gpus;
  std::optional<AmountsByCell> shares;
  std::optional<std::uint64_t> version; // expected version; a different one is a conflict
};
[[nodiscard]] std::variant<QuotaChange, FieldError> read_quota_change(std::string_view team, const Json &json);
[[nodiscard]] Json to_json(const QuotaChange &change);

// ForwardedChange is a quota change that a cell forwards to the quota's owner cell, with the owner's response. The
// forwarding cell stores it under `config-change/<number>`.
struct ForwardedChange {
  QuotaChange change;
  std::string node; // node that waits for the response
  int status = 0;   // HTTP status; 0: no response yet
  std::string text; // response text
};
[[nodiscard]] Json to_json(const ForwardedChange &forwarded);
[[nodiscard]] std::optional<ForwardedChange> forwarded_from_json(const Json &json);

// AppliedRecord is stored under `config-applied/<node>`.
struct AppliedRecord {
  std::uint64_t revision = 0; // the node has applied all records up to this revision
  double wall = 0;            // time of applying, seconds since 1970
};
[[nodiscard]] Json to_json(const AppliedRecord &applied);
[[nodiscard]] std::optional<AppliedRecord> applied_from_json(const Json &json);

} // namespace loftrouter::wire
