// ConfigurationApiHandler reads and changes the configuration for the administration API, on any node. Its only state
// is the requests in flight.
//
// A change is answered with 200 only after the state service has committed it. A change that conflicts with a
// concurrent one is answered with 409. Entries are also kept in the documents that the production version reads, as far
// as they fit (docs/configuration.md, "Side by side").
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "loftrouter/core/configuration/operator_settings.hpp"
#include "loftrouter/core/federation/quota_exchange.hpp"

namespace loftrouter::core {

class ConfigurationApiHandler {
public:
  ConfigurationApiHandler(Runtime &runtime, const Settings &settings, Configuration &configuration,
                          OperatorSettings &operators, const Quotas &quotas, QuotaChanges &quota_changes,
                          const QuotaExchange &exchange, StateServiceLimits &state_limits)
      : runtime_(runtime), settings_(settings), configuration_(configuration), operators_(operators), quotas_(quotas),
        quota_changes_(quota_changes), exchange_(exchange), state_limits_(state_limits) {}

  void take(RequestId request_id, const wire::AdminRequest &request);

private:
  using Entries = std::map<std::string, std::optional<wire::Json>>; // by name; nullopt removes the entry
  // Change is an update of one document and of the records of its entries, in one or more transactions.
  struct Change {
    RequestId request_id = 0;
    wire::AdminRequest request;
    std::string document, prefix;
    Entries remaining; // not yet written
  };

  void reply_quotas(RequestId request_id) const;
  void handle_quota_change(RequestId request_id, const wire::QuotaChange &change);
  void reply_configuration(RequestId request_id, const std::string &from) const;
  void reply_machine_state(RequestId request_id, const std::string &machine) const;
  void reply_settings_page(RequestId request_id, wire::MachineAdminStates::const_iterator first) const;
  void reply_history(RequestId request_id, const std::string &team) const;
  void handle_change(RequestId request_id, const wire::AdminRequest &request);
  // Reads the stored document, applies the change and commits it.
  void write_change(Change change);
  // Commits `edited`, a batch of entries, and then the remaining ones. `before` is the document stored at `revision`.
  void commit_change(Change change, const wire::Json &before, wire::Json edited, std::uint64_t revision);
  // Returns the document with the requested fields, or replies with an error and returns nullopt.
  std::optional<wire::Json> edit_document(const Change &change, const wire::Json &before) const;
  bool can_hold_entry(const Change &change, const wire::Json &document, const std::string &name) const;
  void reply_current(RequestId request_id, const wire::AdminRequest &request) const;
  void reply_error(RequestId request_id, int status, std::string_view text) const;

  Runtime &runtime_;
  const Settings &settings_;
  Configuration &configuration_;
  OperatorSettings &operators_;
  const Quotas &quotas_;
  QuotaChanges &quota_changes_;
  const QuotaExchange &exchange_;
  StateServiceLimits &state_limits_;
};

} // namespace loftrouter::core
