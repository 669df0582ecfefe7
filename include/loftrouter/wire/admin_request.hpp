// Requests of the administration API, /admin/v1, checked and read. Bodies are JSON, so that an operator can ask with
// curl.
//
// All functions are pure. What read_admin_request accepts has been checked whole: the parts of the core that carry it
// out don't check again.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "loftrouter/wire/admin_settings.hpp"
#include "loftrouter/wire/admin_status.hpp"
#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/configuration.hpp"

namespace loftrouter::wire {

struct AdminRequest {
  enum class Kind : std::uint8_t {
    Status,
    Jobs,
    Forecast, // jobs that are expected to miss their deadline
    Report,   // jobs that have ended
    Settings,
    ChangeSettings,
    ChangeMachine,
    Budgets,
    ChangeBudgets,
    Statement,
    CellRules,
    ChangeCellRules,
    Quotas,
    ChangeQuota,
    Configuration,
    QuotaHistory
  } kind = Kind::Status;
  std::string team;        // Jobs, Forecast, Report, Statement: only of this team, if not empty
  std::string from;        // the same, Settings and Configuration: only entries after this one, if not empty
  double period_s = 86400; // Report: how far back
  std::string period;      // Statement: by name; empty: the present one
  Json change;             // ChangeSettings, ChangeBudgets, ChangeCellRules: a map
  std::string machine;     // ChangeMachine
  std::optional<MachineAdminState> machine_state; // ChangeMachine: nothing: release
  std::optional<QuotaChange> quota;               // ChangeQuota
  ProcessLoad process;                            // Status: measured by the program around the core
};

struct AdminError {
  int status;       // HTTP
  std::string text; // names the field, if one is wrong
};

[[nodiscard]] std::variant<AdminRequest, AdminError> read_admin_request(std::string_view method,
                                                                        std::string_view target, std::string_view body);

// The body of a refusal.
[[nodiscard]] std::string encode_admin_error(std::string_view text);

} // namespace loftrouter::wire
