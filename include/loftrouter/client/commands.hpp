// What loftrouterctl does, apart from reading its command line.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace loftrouter::client {

enum Exit { kGood = 0, kRefused = 1, kUsage = 2, kUnreachable = 3 };

struct Command {
  enum class Kind {
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
  } kind = Kind::Status;
  std::string servers = "127.0.0.1:8080", output = "table"; // table, json or csv
  double timeout_s = 20;
  std::string team, period, html;
  bool late = false, ended = false, by_job = false;
  // BudgetSet
  std::optional<double> cpu_hours, warn_share;
  std::string when_spent, every, starts, utc_offset;
  bool none = false;
  // QuotaSet
  std::optional<double> cpus, cpus_max, gpus, gpus_max;
  std::optional<std::uint64_t> version;
  std::vector<std::string> shares; // cell=CPUs
};

// Writes to standard output, and what went wrong to standard error; an `Exit`.
int run(const Command &command);

} // namespace loftrouter::client
