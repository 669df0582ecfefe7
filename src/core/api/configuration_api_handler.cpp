#include "loftrouter/core/api/configuration_api_handler.hpp"

#include <algorithm>

#include "loftrouter/wire/admin_configuration.hpp"

namespace loftrouter::core {

namespace {
using Kind = wire::AdminRequest::Kind;
constexpr double kReadTimeoutS = 1.0, kCommitTimeoutS = 1.0;
constexpr std::size_t kMaxDocumentEntries = 100; // limit of the production version
// The reply to a change lists all machine states up to this number; above it, only the changed one, because full pages
// would cost more than the changes.
constexpr std::size_t kMaxMachineStatesInReply = 100;

// The budgets document keeps its entries under this key, beside the clock of the accounting periods.
constexpr const char *kTeamsField = "teams";

wire::Json &document_entries(wire::Json &document, const std::string &key) {
  if (key != OperatorSettings::kBudgetsKey) return document;
  if (!document.contains(kTeamsField)) document[kTeamsField] = wire::Json::object();
  return document[kTeamsField];
}
} // namespace

void ConfigurationApiHandler::reply_error(RequestId request_id, int status, std::string_view text) const {
  runtime_.reply_json(request_id, status, wire::encode_admin_error(text),
                      status == 503 ? std::optional(1) : std::nullopt);
}

void ConfigurationApiHandler::take(RequestId request_id, const wire::AdminRequest &request) {
  switch (request.kind) {
  case Kind::Quotas:
    return reply_quotas(request_id);
  case Kind::ChangeQuota:
    return handle_quota_change(request_id, *request.quota);
  case Kind::Configuration:
    return reply_configuration(request_id, request.from);
  case Kind::QuotaHistory:
    return reply_history(request_id, request.team);
  case Kind::Settings:
  case Kind::Budgets:
  case Kind::CellRules:
    return reply_current(request_id, request);
  default:
    return handle_change(request_id, request);
  }
}

void ConfigurationApiHandler::reply_current(RequestId request_id, const wire::AdminRequest &request) const {
  const auto &machine_admin_states = operators_.machine_admin_states();
  switch (request.kind) {
  case Kind::Budgets:
  case Kind::ChangeBudgets:
    return runtime_.reply_json(request_id, 200, wire::encode_budgets(operators_.budgets()));
  case Kind::CellRules:
  case Kind::ChangeCellRules:
    return runtime_.reply_json(request_id, 200, wire::encode_cell_rules(operators_.cell_rules()));
  case Kind::ChangeMachine:
    if (machine_admin_states.size() > kMaxMachineStatesInReply) return reply_machine_state(request_id, request.machine);
    return reply_settings_page(request_id, machine_admin_states.begin());
  default:
    return reply_settings_page(request_id, request.from.empty() ? machine_admin_states.begin()
                                                                : machine_admin_states.upper_bound(request.from));
  }
}

void ConfigurationApiHandler::reply_machine_state(RequestId request_id, const std::string &machine) const {
  wire::MachineAdminStates states;
  if (const auto state = operators_.machine_admin_state(machine)) states[machine] = *state;
  runtime_.reply_json(request_id, 200, wire::encode_settings(operators_.tunables(), states, ""));
}

// Replies with the operator settings and one page of machine states, from `first` on.
void ConfigurationApiHandler::reply_settings_page(RequestId request_id,
                                                  wire::MachineAdminStates::const_iterator first) const {
  const auto &machine_admin_states = operators_.machine_admin_states();
  wire::MachineAdminStates page;
  std::size_t bytes = 0;
  auto it = first;
  for (; it != machine_admin_states.end(); ++it) {
    bytes += wire::listed_bytes(it->first);
    if (bytes > wire::kMaxListingBytes) break;
    page.insert(page.end(), *it);
  }
  const auto next = it == machine_admin_states.end() || page.empty() ? std::string() : page.rbegin()->first;
  runtime_.reply_json(request_id, 200, wire::encode_settings(operators_.tunables(), page, next));
}

void ConfigurationApiHandler::reply_quotas(RequestId request_id) const {
  std::vector<wire::AdminQuota> out;
  const bool single_cell = quotas_.cells().size() == 1;
  for (int team = 0; team < static_cast<int>(settings_.teams.size()); ++team) {
    const auto &name = settings_.teams[static_cast<std::size_t>(team)].name;
    if (name.starts_with('@')) continue; // a pseudo-team for another cell
    wire::AdminQuota quota{quotas_.local_quota(team), quotas_.total_quota(team), 0, "", {}, {}};
    if (const auto record = quotas_.record(name)) {
      quota.version = record->version;
      quota.caps = record->caps;
      quota.held = record->held;
    }
    if (!single_cell) quota.owner = quota_changes_.owner(name);
    out.push_back(std::move(quota));
  }
  runtime_.reply_json(request_id, 200, wire::encode_quotas(out));
}

void ConfigurationApiHandler::handle_quota_change(RequestId request_id, const wire::QuotaChange &change) {
  quota_changes_.request(change, [this, request_id](const QuotaChanges::Outcome &outcome) {
    if (outcome.status != 200) return reply_error(request_id, outcome.status, outcome.text);
    reply_quotas(request_id);
  });
}

void ConfigurationApiHandler::reply_history(RequestId request_id, const std::string &team) const {
  const auto record = quotas_.record(team);
  if (!record) return reply_error(request_id, 404, "this team's quota was never changed");
  runtime_.reply_json(request_id, 200, wire::encode_quota_history(team, record->history));
}

void ConfigurationApiHandler::reply_configuration(RequestId request_id, const std::string &from) const {
  wire::AdminConfiguration out;
  out.node = settings_.node;
  out.revision = configuration_.revision();
  out.watch_open = configuration_.watch_open();
  out.current_s = configuration_.current_at() < -1e8 ? -1 : runtime_.now() - configuration_.current_at();
  out.nodes.push_back(settings_.node);
  for (const auto &replica : settings_.replicas)
    out.nodes.push_back(replica.node);
  std::map<std::string, wire::AppliedRecord> applied;
  configuration_.each(wire::kConfigApplied, [&applied](std::string_view node, const Configuration::Record &record) {
    if (const auto parsed = wire::applied_from_json(record.value)) applied[std::string(node)] = *parsed;
  });
  std::size_t bytes = 0;
  configuration_.each(wire::kConfigRecords, [&](std::string_view key, const Configuration::Record &stored) {
    if (key <= from || bytes > wire::kMaxListingBytes) return;
    wire::AdminConfigRecord record{std::string(key), stored.revision, {}, {}};
    for (const auto &node : out.nodes)
      if (const auto it = applied.find(node); it != applied.end() && it->second.revision >= stored.revision)
        record.in_force[node] = it->second.wall;
    const auto team = key.starts_with("quota/") ? std::string(key.substr(6)) : std::string();
    const auto quota = wire::quota_from_json(stored.value);
    for (const auto &[cell, acknowledgement] : exchange_.acknowledged(team))
      if (quota && acknowledgement.version == quota->version) record.acknowledged_cells[cell] = acknowledgement.wall;
    bytes += wire::listed_bytes(record, out.nodes.size());
    if (bytes > wire::kMaxListingBytes)
      out.next = out.records.back().key;
    else
      out.records.push_back(std::move(record));
  });
  runtime_.reply_json(request_id, 200, wire::encode_configuration(out));
}

void ConfigurationApiHandler::handle_change(RequestId request_id, const wire::AdminRequest &request) {
  Change change{request_id, request, "", "", {}};
  switch (request.kind) {
  case Kind::ChangeBudgets:
    if (!settings_.accounts)
      return reply_error(request_id, 409, "usage accounting is disabled; enable it in the features file");
    change.document = OperatorSettings::kBudgetsKey;
    change.prefix = wire::kConfigBudget;
    if (request.change.contains(kTeamsField))
      for (const auto &[team, budget] : request.change[kTeamsField].items()) {
        if (quotas_.find_team(team) < 0) return reply_error(request_id, 422, "teams: there is no such team");
        change.remaining[team] = budget.is_null() ? std::nullopt : std::optional(budget);
      }
    break;
  case Kind::ChangeCellRules:
    change.document = OperatorSettings::kCellsKey;
    break;
  case Kind::ChangeMachine:
    change.document = OperatorSettings::kMachineAdminStatesKey;
    change.prefix = wire::kConfigMachine;
    change.remaining[request.machine] =
        request.machine_state ? std::optional(wire::to_json(*request.machine_state)) : std::nullopt;
    break;
  default:
    change.document = OperatorSettings::kTunablesKey;
    break;
  }
  write_change(std::move(change));
}

void ConfigurationApiHandler::write_change(Change change) {
  if (!state_limits_.take_write(runtime_.now()))
    return reply_error(change.request_id, 503, "too many concurrent requests");
  const auto key = change.document;
  runtime_.store(
      StoreGet{key}, kReadTimeoutS, [this, change = std::move(change)](const wire::StoreReply &reply) mutable {
        if (reply.status != 200 && reply.status != 404)
          return reply_error(change.request_id, 503, "the state service did not answer");
        const bool found = reply.status == 200 && !reply.entries.empty();
        const auto before = found ? reply.entries[0].value : wire::Json::object();
        if (auto after = edit_document(change, before))
          commit_change(std::move(change), before, std::move(*after), found ? reply.entries[0].mod_revision : 0);
      });
}

// Applies the requested fields of the document itself. `commit_change` adds the entries that have records of their own.
std::optional<wire::Json> ConfigurationApiHandler::edit_document(const Change &change, const wire::Json &before) const {
  const auto &request = change.request;
  wire::Json after;
  if (request.kind == Kind::ChangeCellRules) {
    wire::CellRules rules;
    (void)wire::apply_cell_rules(before, rules);
    (void)wire::apply_cell_rules(request.change, rules); // validated by the API decoder
    after = wire::to_json(rules);
  } else if (request.kind == Kind::ChangeSettings) {
    wire::Tunables tunables;
    (void)wire::apply_tunables(before, tunables);
    (void)wire::apply_tunables(request.change, tunables); // validated by the API decoder
    after = wire::to_json(tunables);
  } else if (request.kind == Kind::ChangeBudgets) {
    wire::Budgets budgets;
    (void)wire::apply_budgets(before, budgets);
    auto fields = request.change;
    if (settings_.configuration) fields.erase(kTeamsField);
    (void)wire::apply_budgets(fields, budgets); // validated by the API decoder
    after = wire::to_json(budgets);
  } else {
    auto machine_admin_states = wire::machine_admin_states_from_json(before);
    if (!settings_.configuration) {
      if (!request.machine_state)
        machine_admin_states.erase(request.machine);
      else if (machine_admin_states.size() < wire::kMaxMachineOrders || machine_admin_states.contains(request.machine))
        machine_admin_states[request.machine] = *request.machine_state;
      else
        return reply_error(change.request_id, 409, "too many machine states; release some machines first"),
               std::nullopt;
    }
    after = wire::to_json(machine_admin_states);
  }
  if (state_limits_.fits(after)) return after;
  reply_error(change.request_id, 409,
              "the document is larger than a state service record may be, now or under a lower announced limit");
  return std::nullopt;
}

// Returns whether the document, which the production version reads, has room for the entry.
bool ConfigurationApiHandler::can_hold_entry(const Change &change, const wire::Json &document,
                                             const std::string &name) const {
  wire::Json copy = document;
  const auto &entries = document_entries(copy, change.document);
  return (entries.size() < kMaxDocumentEntries || entries.contains(name)) &&
         state_limits_.fits(document, 2 * name.size() + 200);
}

void ConfigurationApiHandler::commit_change(Change change, const wire::Json &before, wire::Json edited,
                                            std::uint64_t revision) {
  StoreCommit transaction{{{change.document, revision}}, {}};
  wire::Json after = std::move(edited);
  const auto max_writes = static_cast<std::size_t>(std::max(1, settings_.state_txn_ops - 1));
  while (settings_.configuration && !change.remaining.empty() && transaction.writes.size() < max_writes) {
    auto [name, value] = *change.remaining.begin();
    change.remaining.erase(change.remaining.begin());
    const auto key = change.prefix + name;
    const auto *known = configuration_.find(key);
    if (!known && value && configuration_.count(change.prefix) >= wire::kMaxConfigRecords)
      return reply_error(change.request_id, 409, "too many records of this kind; remove some first");
    const bool in_document = can_hold_entry(change, after, name);
    auto &entries = document_entries(after, change.document);
    if (value && change.request.kind == Kind::ChangeBudgets) { // unnamed fields keep their values
      wire::Budgets merged;
      if (const auto it = operators_.budgets().teams.find(name); it != operators_.budgets().teams.end())
        merged.teams[name] = it->second;
      (void)wire::apply_budgets({{kTeamsField, {{name, *value}}}}, merged);
      value = wire::to_json(merged)[kTeamsField][name];
    }
    if (value && in_document)
      entries[name] = *value;
    else
      entries.erase(name);
    transaction.preconditions.push_back({key, known ? known->revision : 0});
    if (value)
      transaction.writes.push_back({key, wire::to_json(wire::EntryRecord{*value, in_document}), 0});
    else if (known)
      transaction.writes.push_back({key, std::nullopt, 0});
  }
  if (!settings_.configuration) change.remaining.clear();
  // An unchanged document is not written, so that concurrent changes don't conflict on it.
  if (!settings_.configuration || after != before) transaction.writes.push_back({change.document, after, 0});
  const auto writes = transaction.writes;
  runtime_.store(std::move(transaction), kCommitTimeoutS,
                 [this, change = std::move(change), writes](const wire::StoreReply &reply) mutable {
                   if (reply.status == 409)
                     return reply_error(change.request_id, 409, "changed concurrently by another request; retry");
                   if (reply.status != 200)
                     return reply_error(change.request_id, 503, "the state service did not confirm the change");
                   for (const auto &written : writes) {
                     configuration_.apply_committed(written.key, written.value, reply.revision);
                     operators_.on(ConfigurationChanged{written.key}); // the reply includes the change
                   }
                   if (change.remaining.empty()) return reply_current(change.request_id, change.request);
                   change.request.change = wire::Json::object(); // the document's own fields are already written
                   write_change(std::move(change));
                 });
}

} // namespace loftrouter::core
