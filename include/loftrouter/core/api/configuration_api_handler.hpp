// What operators ask and change of the configuration, by the administration API, at any node.
//
// Owns nothing but the requests under way. Promises that a change is answered with 200 only after the state service has
// it, that two changes at once do not undo each other (409), and that the production version finds what it can read of
// it in the documents that it knows (docs/configuration.md, "Side by side").
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
                          OperatorSettings &operators, const Quotas &quotas, QuotaChanges &changes,
                          const QuotaExchange &exchange, StateServiceLimits &state_limits)
      : runtime_(runtime), settings_(settings), configuration_(configuration), operators_(operators), quotas_(quotas),
        changes_(changes), exchange_(exchange), state_limits_(state_limits) {}

  void take(RequestId req, const wire::AdminRequest &ask);

private:
  using Entries = std::map<std::string, std::optional<wire::Json>>; // by name; nothing: removed
  // A change of one document and of records of its own for its entries, in as many transactions as it takes.
  struct Change {
    RequestId req = 0;
    wire::AdminRequest ask;
    std::string document, prefix;
    Entries left; // still to be written
  };

  void quotas(RequestId req) const;
  void change_quota(RequestId req, const wire::QuotaChange &change);
  void status(RequestId req, const std::string &from) const;
  void one_order(RequestId req, const std::string &machine) const;
  void orders_page(RequestId req, wire::MachineAdminStates::const_iterator first) const;
  void history(RequestId req, const std::string &team) const;
  void change(RequestId req, const wire::AdminRequest &ask);
  void write(Change change);
  // `before`: the document as it is stored, at `revision`; `edited`: with the fields that were asked for.
  void commit(Change change, const wire::Json &before, wire::Json edited, std::uint64_t revision);
  // The document with what was asked for; or the answer that refuses it.
  std::optional<wire::Json> edited(const Change &change, const wire::Json &before) const;
  bool takes_entry(const Change &change, const wire::Json &document, const std::string &name) const;
  void answer(RequestId req, const wire::AdminRequest &ask) const;
  void fail(RequestId req, int status, std::string_view text) const;

  Runtime &runtime_;
  const Settings &settings_;
  Configuration &configuration_;
  OperatorSettings &operators_;
  const Quotas &quotas_;
  QuotaChanges &changes_;
  const QuotaExchange &exchange_;
  StateServiceLimits &state_limits_;
};

} // namespace loftrouter::core
