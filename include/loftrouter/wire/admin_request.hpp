// Parses and validates requests of the administration API, /admin/v1.
//
// All functions are pure. read_admin_request validates requests completely; the core does not validate them again.
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
  std::string team; // Jobs, Forecast, Report, Statement: filter; empty: all teams
  // Jobs, Forecast, Report, Statement, Settings, Configuration: only entries after this one; empty: all.
  std::string from;
  double period_s = 86400; // Report: length of the reported period, which ends now
  std::string period;      // Statement: name; empty: the current one
  Json change;             // ChangeSettings, ChangeBudgets, ChangeCellRules: a map
  std::string machine;     // ChangeMachine
  // ChangeMachine; nullopt: release.
  std::optional<MachineAdminState> machine_state;
  std::optional<QuotaChange> quota; // ChangeQuota
  ProcessLoad process;              // Status: measured outside the core
};

struct AdminError {
  int status;               // HTTP
  std::string text;         // names the invalid field, if any
  bool undecodable = false; // the body is not a JSON object of the supported size and depth
};

[[nodiscard]] std::variant<AdminRequest, AdminError> read_admin_request(std::string_view method,
                                                                        std::string_view target, std::string_view body);

// Encodes the body of an error response.
[[nodiscard]] std::string encode_admin_error(std::string_view text);

} // namespace loftrouter::wire
