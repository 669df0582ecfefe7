#include "loftrouter/core/api/configuration_api_handler.hpp"

#include <algorithm>

#include "loftrouter/wire/admin_configuration.hpp"

namespace loftrouter::core {

namespace {
using Kind = wire::AdminRequest::Kind;
constexpr double kReadWithin = 1.0, kCommitWithin = 1.0; // s
constexpr std::size_t kMaxInDocument = 100;              // entries that the production version takes
// Up to here each answer to an order lists all, as with the document alone. Beyond, it has the one machine's: a page in
// the answer to each of thousands would cost more than the orders.
constexpr std::size_t kMaxOrdersWhole = 100;

// Whatever stands beside the entries of budgets in their document: the clock of the periods.
constexpr const char *kTeams = "teams";

wire::Json &entries_in(wire::Json &document, const std::string &key) {
  if (key != OperatorSettings::kBudgetsKey) return document;
  if (!document.contains(kTeams)) document[kTeams] = wire::Json::object();
  return document[kTeams];
}
} // namespace

void ConfigurationApiHandler::fail(RequestId req, int status, std::string_view text) const {
  runtime_.reply_json(req, status, wire::encode_admin_error(text), status == 503 ? std::optional(1) : std::nullopt);
}

void ConfigurationApiHandler::take(RequestId req, const wire::AdminRequest &ask) {
  switch (ask.kind) {
  case Kind::Quotas:
    return quotas(req);
  case Kind::ChangeQuota:
    return change_quota(req, *ask.quota);
  case Kind::Configuration:
    return status(req, ask.from);
  case Kind::QuotaHistory:
    return history(req, ask.team);
  case Kind::Settings:
  case Kind::Budgets:
  case Kind::CellRules:
    return answer(req, ask);
  default:
    return change(req, ask);
  }
}

void ConfigurationApiHandler::answer(RequestId req, const wire::AdminRequest &ask) const {
  const auto &machine_admin_states = operators_.machine_admin_states();
  switch (ask.kind) {
  case Kind::Budgets:
  case Kind::ChangeBudgets:
    return runtime_.reply_json(req, 200, wire::encode_budgets(operators_.budgets()));
  case Kind::CellRules:
  case Kind::ChangeCellRules:
    return runtime_.reply_json(req, 200, wire::encode_cell_rules(operators_.cell_rules()));
  case Kind::ChangeMachine:
    if (machine_admin_states.size() > kMaxOrdersWhole) return one_order(req, ask.machine);
    return orders_page(req, machine_admin_states.begin());
  default:
    return orders_page(req,
                       ask.from.empty() ? machine_admin_states.begin() : machine_admin_states.upper_bound(ask.from));
  }
}

void ConfigurationApiHandler::one_order(RequestId req, const std::string &machine) const {
  wire::MachineAdminStates one;
  if (const auto machine_admin_state = operators_.machine_admin_state(machine)) one[machine] = *machine_admin_state;
  runtime_.reply_json(req, 200, wire::encode_settings(operators_.tunables(), one, ""));
}

// Operators' settings, with orders about machines from `first` on, as far as an answer holds them.
void ConfigurationApiHandler::orders_page(RequestId req, wire::MachineAdminStates::const_iterator first) const {
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
  runtime_.reply_json(req, 200, wire::encode_settings(operators_.tunables(), page, next));
}

// ---- quotas ----

void ConfigurationApiHandler::quotas(RequestId req) const {
  std::vector<wire::AdminQuota> out;
  const bool alone = quotas_.cells().size() == 1;
  for (int team = 0; team < static_cast<int>(settings_.teams.size()); ++team) {
    const auto &name = settings_.teams[static_cast<std::size_t>(team)].name;
    if (name.starts_with('@')) continue; // stands for another cell
    wire::AdminQuota q{quotas_.local_quota(team), quotas_.total_quota(team), 0, "", {}, {}};
    if (const auto record = quotas_.record(name)) {
      q.version = record->version;
      q.caps = record->caps;
      q.held = record->held;
    }
    if (!alone) q.owner = changes_.owner(name);
    out.push_back(std::move(q));
  }
  runtime_.reply_json(req, 200, wire::encode_quotas(out));
}

void ConfigurationApiHandler::change_quota(RequestId req, const wire::QuotaChange &change) {
  changes_.request(change, [this, req](const QuotaChanges::Outcome &o) {
    if (o.status != 200) return fail(req, o.status, o.text);
    quotas(req);
  });
}

void ConfigurationApiHandler::history(RequestId req, const std::string &team) const {
  const auto record = quotas_.record(team);
  if (!record) return fail(req, 404, "this team's quota was never changed");
  runtime_.reply_json(req, 200, wire::encode_quota_history(team, record->history));
}

void ConfigurationApiHandler::status(RequestId req, const std::string &from) const {
  wire::AdminConfiguration out;
  out.node = settings_.node;
  out.revision = configuration_.revision();
  out.watch_open = configuration_.watch_open();
  out.current_s = configuration_.current_at() < -1e8 ? -1 : runtime_.now() - configuration_.current_at();
  out.nodes.push_back(settings_.node);
  for (const auto &s : settings_.replicas)
    out.nodes.push_back(s.node);
  std::map<std::string, wire::AppliedRecord> applied;
  configuration_.each(wire::kConfigApplied, [&applied](std::string_view node, const Configuration::Record &record) {
    if (const auto a = wire::applied_from_json(record.value)) applied[std::string(node)] = *a;
  });
  std::size_t bytes = 0;
  configuration_.each(wire::kConfigRecords, [&](std::string_view key, const Configuration::Record &r) {
    if (key <= from || bytes > wire::kMaxListingBytes) return;
    wire::AdminConfigRecord record{std::string(key), r.revision, {}, {}};
    for (const auto &node : out.nodes)
      if (const auto it = applied.find(node); it != applied.end() && it->second.revision >= r.revision)
        record.in_force[node] = it->second.wall;
    const auto team = key.starts_with("quota/") ? std::string(key.substr(6)) : std::string();
    const auto quota = wire::quota_from_json(r.value);
    for (const auto &[cell, said] : exchange_.acknowledged(team))
      if (quota && said.version == quota->version) record.acknowledged_cells[cell] = said.wall;
    bytes += wire::listed_bytes(record, out.nodes.size());
    if (bytes > wire::kMaxListingBytes)
      out.next = out.records.back().key;
    else
      out.records.push_back(std::move(record));
  });
  runtime_.reply_json(req, 200, wire::encode_configuration(out));
}

// ---- documents, and records for their entries ----

void ConfigurationApiHandler::change(RequestId req, const wire::AdminRequest &ask) {
  Change change{req, ask, "", "", {}};
  switch (ask.kind) {
  case Kind::ChangeBudgets:
    if (!settings_.accounts) return fail(req, 409, "accounts are not kept here: switch them on in the features file");
    change.document = OperatorSettings::kBudgetsKey;
    change.prefix = wire::kConfigBudget;
    if (ask.change.contains(kTeams))
      for (const auto &[team, budget] : ask.change[kTeams].items()) {
        if (quotas_.find_team(team) < 0) return fail(req, 422, "teams: there is no such team");
        change.left[team] = budget.is_null() ? std::nullopt : std::optional(budget);
      }
    break;
  case Kind::ChangeCellRules:
    change.document = OperatorSettings::kCellsKey;
    break;
  case Kind::ChangeMachine:
    change.document = OperatorSettings::kMachineAdminStatesKey;
    change.prefix = wire::kConfigMachine;
    change.left[ask.machine] = ask.machine_state ? std::optional(wire::to_json(*ask.machine_state)) : std::nullopt;
    break;
  default:
    change.document = OperatorSettings::kTunablesKey;
    break;
  }
  write(std::move(change));
}

void ConfigurationApiHandler::write(Change change) {
  if (!state_limits_.take_write(runtime_.now())) return fail(change.req, 503, "too many requests at once");
  const auto key = change.document;
  runtime_.store(StoreGet{key}, kReadWithin, [this, change = std::move(change)](const wire::StoreReply &reply) mutable {
    if (reply.status != 200 && reply.status != 404) return fail(change.req, 503, "the state service did not answer");
    const bool found = reply.status == 200 && !reply.entries.empty();
    const auto before = found ? reply.entries[0].value : wire::Json::object();
    if (auto after = edited(change, before))
      commit(std::move(change), before, std::move(*after), found ? reply.entries[0].mod_revision : 0);
  });
}

// Fields of the document itself. Entries that have records of their own come with `commit`.
std::optional<wire::Json> ConfigurationApiHandler::edited(const Change &change, const wire::Json &before) const {
  const auto &ask = change.ask;
  wire::Json after;
  if (ask.kind == Kind::ChangeCellRules) {
    wire::CellRules rules;
    (void)wire::apply_cell_rules(before, rules);
    (void)wire::apply_cell_rules(ask.change, rules); // checked at the door
    after = wire::to_json(rules);
  } else if (ask.kind == Kind::ChangeSettings) {
    wire::Tunables tunables;
    (void)wire::apply_tunables(before, tunables);
    (void)wire::apply_tunables(ask.change, tunables); // checked at the door
    after = wire::to_json(tunables);
  } else if (ask.kind == Kind::ChangeBudgets) {
    wire::Budgets budgets;
    (void)wire::apply_budgets(before, budgets);
    auto fields = ask.change;
    if (settings_.configuration) fields.erase(kTeams);
    (void)wire::apply_budgets(fields, budgets); // checked at the door
    after = wire::to_json(budgets);
  } else {
    auto machine_admin_states = wire::machine_admin_states_from_json(before);
    if (!settings_.configuration) {
      if (!ask.machine_state)
        machine_admin_states.erase(ask.machine);
      else if (machine_admin_states.size() < wire::kMaxMachineOrders || machine_admin_states.contains(ask.machine))
        machine_admin_states[ask.machine] = *ask.machine_state;
      else
        return fail(change.req, 409, "too many machines are under an order; release some first"), std::nullopt;
    }
    after = wire::to_json(machine_admin_states);
  }
  if (state_limits_.fits(after)) return after;
  fail(change.req, 409, "that is more than one record of the state service holds, now or after its limits fall");
  return std::nullopt;
}

// Whether an entry may stand in the document as well, for the production version to read.
bool ConfigurationApiHandler::takes_entry(const Change &change, const wire::Json &document,
                                          const std::string &name) const {
  wire::Json copy = document;
  const auto &entries = entries_in(copy, change.document);
  return (entries.size() < kMaxInDocument || entries.contains(name)) &&
         state_limits_.fits(document, 2 * name.size() + 200);
}

void ConfigurationApiHandler::commit(Change change, const wire::Json &before, wire::Json edited,
                                     std::uint64_t revision) {
  StoreCommit transaction{{{change.document, revision}}, {}};
  wire::Json after = std::move(edited);
  const auto most = static_cast<std::size_t>(std::max(1, settings_.state_txn_ops - 1));
  while (settings_.configuration && !change.left.empty() && transaction.writes.size() < most) {
    auto [name, value] = *change.left.begin();
    change.left.erase(change.left.begin());
    const auto key = change.prefix + name;
    const auto *known = configuration_.find(key);
    if (!known && value && configuration_.count(change.prefix) >= wire::kMaxConfigRecords)
      return fail(change.req, 409, "too many records of this kind; release some first");
    const bool fits = takes_entry(change, after, name);
    auto &entries = entries_in(after, change.document);
    if (value && change.ask.kind == Kind::ChangeBudgets) { // fields that are not named stay as they are
      wire::Budgets one;
      if (const auto it = operators_.budgets().teams.find(name); it != operators_.budgets().teams.end())
        one.teams[name] = it->second;
      (void)wire::apply_budgets({{kTeams, {{name, *value}}}}, one);
      value = wire::to_json(one)[kTeams][name];
    }
    if (value && fits)
      entries[name] = *value;
    else
      entries.erase(name);
    transaction.preconditions.push_back({key, known ? known->revision : 0});
    if (value)
      transaction.writes.push_back({key, wire::Json{{"value", *value}, {"in_document", fits}}, 0});
    else if (known)
      transaction.writes.push_back({key, std::nullopt, 0});
  }
  if (!settings_.configuration) change.left.clear();
  // A document that is full stays as it is: one write an order instead of two, and orders at once don't conflict in it.
  if (!settings_.configuration || after != before) transaction.writes.push_back({change.document, after, 0});
  const auto writes = transaction.writes;
  runtime_.store(std::move(transaction), kCommitWithin,
                 [this, change = std::move(change), writes](const wire::StoreReply &reply) mutable {
                   if (reply.status == 409)
                     return fail(change.req, 409, "somebody else has just changed it; ask again");
                   if (reply.status != 200)
                     return fail(change.req, 503, "the state service did not confirm the change");
                   for (const auto &w : writes) {
                     configuration_.apply_committed(w.key, w.value, reply.revision);
                     operators_.on(ConfigurationChanged{w.key}); // so that the answer has it
                   }
                   if (change.left.empty()) return answer(change.req, change.ask);
                   change.ask.change = wire::Json::object(); // the document's own fields are written
                   write(std::move(change));
                 });
}

} // namespace loftrouter::core
