// The commands of loftrouterctl, apart from reading its command line: each asks the administration API of any replica
// and prints the answer.
//
// Owns nothing beyond one call. It changes the service's state by the administration API alone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace loftrouter::client {

// Exit codes of the program, for scripts.
enum class ExitCode : std::uint8_t {
  Success = 0,
  Refused = 1,     // by the service: the request itself is wrong
  Usage = 2,       // the command line is wrong, or a file cannot be written
  Unreachable = 3, // no replica has answered within the timeout
};

// One command with its options, as they were given.
struct Command {
  enum class Kind : std::uint8_t {
    Status,
    Jobs,
    Statement,
    BudgetGet,
    BudgetSet,
    Report,
    QuotaShow,
    QuotaSet,
    ConfigStatus,
    ConfigHistory
  };
  Kind kind = Kind::Status;
  std::string servers = "127.0.0.1:8080"; // of any replicas, joined by commas
  std::string output = "table";           // table, json or csv
  double timeout_s = 20;                  // for all tries together
  std::string team;                       // empty: all
  std::string period;                     // by the date of its beginning; empty: the present one
  std::string html;                       // Report: the file to write

  // Jobs, Statement
  bool late = false;
  bool ended = false;
  bool by_job = false;

  // BudgetSet
  std::optional<double> cpu_hours;
  std::optional<double> warn_share;
  std::string when_spent; // finish or stop
  std::string every;      // day or week
  std::string starts;     // hh:mm
  std::string utc_offset; // +hh:mm
  bool none = false;      // BudgetSet, QuotaSet: remove it

  // QuotaSet
  std::optional<double> cpus;
  std::optional<double> cpus_max;
  std::optional<double> gpus;
  std::optional<double> gpus_max;
  std::optional<std::uint64_t> version; // only if the quota still has this one
  std::vector<std::string> shares;      // cell=CPUs
};

// Writes the answer to standard output, and what went wrong to standard error.
[[nodiscard]] ExitCode run(const Command &command);

} // namespace loftrouter::client
