#include "loftrouter/core/core.hpp"

#include <cassert>

namespace loft::core {

Core::Core(Settings settings, std::uint64_t seed)
    : settings_(with_cell_teams(std::move(settings))), port_(seed), wishes_(settings_), catalogue_(settings_.zones),
      configuration_(port_, events_, settings_), operators_(port_, events_, configuration_), budget_(settings_),
      lead_(port_, events_, settings_, catalogue_), jobs_(port_, events_, settings_), ended_(events_),
      dependencies_(port_, settings_, budget_, lead_, jobs_, ended_), judge_(port_, events_, jobs_, operators_),
      reasons_(port_, jobs_, dependencies_, judge_, wishes_), ledger_(port_, settings_, catalogue_, jobs_, operators_),
      recorder_(port_, events_, settings_, lead_, budget_, jobs_, ended_, dependencies_, judge_, reasons_, wishes_,
                ledger_),
      cancellations_(port_, settings_, lead_, jobs_), watch_(port_, settings_, lead_, recorder_, cancellations_),
      fleet_(port_, events_, settings_, catalogue_, operators_, lead_, jobs_, recorder_),
      quotas_(port_, events_, settings_, configuration_, lead_, jobs_, fleet_),
      silence_(port_, settings_, catalogue_, lead_, fleet_),
      siblings_(port_, settings_, lead_, budget_, cancellations_),
      reach_(port_, settings_, catalogue_, lead_, siblings_, fleet_, silence_),
      reports_(port_, settings_, lead_, siblings_, reach_, silence_, fleet_),
      placer_(port_, events_, settings_, catalogue_, operators_, lead_, jobs_, dependencies_, judge_, recorder_, fleet_,
              wishes_, ledger_, quotas_),
      scaler_(port_, settings_, catalogue_, operators_, lead_, jobs_, dependencies_, judge_, fleet_, silence_, placer_,
              wishes_),
      cells_(port_, events_, settings_, catalogue_, operators_, lead_, cancellations_, budget_, jobs_, judge_, ledger_,
             recorder_, fleet_, siblings_, quotas_, scaler_, wishes_),
      quota_changes_(port_, settings_, configuration_, quotas_, budget_),
      quota_exchange_(port_, settings_, configuration_, lead_, quotas_, quota_changes_, budget_, cells_),
      applied_(port_, settings_, configuration_, budget_),
      configuration_desk_(port_, settings_, configuration_, operators_, quotas_, quota_changes_, quota_exchange_,
                          budget_),
      served_(port_, jobs_, ended_, dependencies_),
      insight_(port_, settings_, catalogue_, operators_, lead_, cancellations_, jobs_, ended_, dependencies_, judge_,
               reasons_, fleet_, placer_, quotas_, scaler_, wishes_, ledger_, siblings_),
      users_(port_, settings_, catalogue_, budget_, lead_, jobs_, ended_, siblings_, cancellations_, quotas_, insight_),
      administration_(port_, settings_, catalogue_, operators_, budget_, lead_, cancellations_, jobs_, dependencies_,
                      judge_, fleet_, scaler_, siblings_, reach_, cells_, reports_, served_, insight_, ledger_,
                      configuration_desk_),
      chronicle_(port_, jobs_, fleet_) {
  reports_.refuse_while([this](const WorkerReport &r) { return cells_.unsure_of(r); });
}

Effects Core::apply(std::vector<Command> batch, Now at) {
  port_.begin(at);
  cells_.expire();
  deliver();
  for (auto &c : batch) {
    std::visit([this](auto &&cmd) { on(std::move(cmd)); }, std::move(c));
    deliver();
  }
  users_.confirm();
  deliver();
  if (lead_.leading()) {
    placer_.settle();
    deliver();
    recorder_.flush();
    deliver();
    fleet_.send_stops();
  }
  return port_.take();
}

// In this order those listen that have something to say about the event: the log, then what decides, then what tells.
void Core::deliver() {
  events_.deliver([this](const auto &event) {
    auto hand = [&event](auto &...parts) {
      auto one = [&event](auto &part) {
        if constexpr (requires { part.on(event); }) part.on(event);
      };
      (one(parts), ...);
    };
    hand(chronicle_, configuration_, operators_, quotas_, quota_changes_, quota_exchange_, cancellations_,
         dependencies_, judge_, fleet_, silence_, ledger_, recorder_, watch_, reports_, placer_, scaler_, cells_,
         served_, reasons_, insight_, users_, jobs_);
  });
}

void Core::on(CmdTick &&) {
  auto step = [this](auto &&fn) {
    fn();
    deliver(); // what one part has done is known to the next
  };
  step([this] { port_.run_due(); });
  step([this] { lead_.tick(); });
  step([this] { watch_.tick(); });
  silence_.tick();
  step([this] { reach_.tick(reports_.kept()); });
  if (siblings_.ping_due()) {
    reports_.count_rates();
    siblings_.ping();
  }
  step([this] { reports_.tick(); });
  users_.tick();
  step([this] { scaler_.tick(); });
  if (reach_.probe_wanted()) scaler_.probe();
  step([this] { cells_.tick(); });
  step([this] { configuration_.tick(); });
  step([this] { quota_changes_.tick(); });
  step([this] { quota_exchange_.tick(); });
  applied_.tick();
  if (!lead_.leading()) return;
  step([this] {
    for (int j : jobs_.age())
      fleet_.tend_gang(j);
  });
  step([this] { dependencies_.tick(); });
  insight_.log_summary();
  served_.tick();
  step([this] { fleet_.tick(); });
  step([this] { quotas_.tick(); });
  ledger_.tick();
  step([this] { placer_.tick(); });
  insight_.tell_siblings();
  assert(consistent());
}

// For asserts: what two parts know of the same thing agrees. A placed task has one slot, on its own machine.
bool Core::consistent() const {
  bool good = true;
  std::vector<std::uint32_t> slots(jobs_.slots(), 0);
  fleet_.each([&](int m, const Machine &n) {
    good &= fleet_.consistent(m);
    for (const auto &s : n.slots)
      if (s.job >= 0 && !s.finished) ++slots[static_cast<std::size_t>(s.job)];
  });
  jobs_.each(
      [&](int j, const Job &n) { good &= jobs_.consistent(j) && slots[static_cast<std::size_t>(j)] == n.placed; });
  return good;
}

void Core::on(CmdUp &&cmd) {
  if (catalogue_.known() &&
      (port_.now() - port_.state_ok_at() < 3.0 || siblings_.common_outage() || users_.can_answer()))
    port_.reply(cmd.req, 200, "");
  else
    port_.refuse(cmd.req, catalogue_.known() ? "state service out of reach" : "starting up");
}

void Core::on(CmdStoreReply &&cmd) {
  if (cmd.reply.status == 429 && budget_.refused(port_.now()))
    port_.log(LogLevel::Info, "state_limits_have_fallen", {{"then", "the announced rates are kept to"}});
  port_.answered(cmd);
}

void Core::on(CmdReport &&cmd) {
  answer(reports_.take(std::move(cmd)));
}

// What a report says is listened to before anything new is started by its answer: a machine may have been condemned
// by it, and room may have come up.
void Core::answer(std::optional<ReportDesk::Pending> report) {
  if (!report) return;
  deliver();
  placer_.offer(report->machine);
  reports_.answer(std::move(*report));
}

void Core::on(CmdPeer &&cmd) {
  using Kind = wire::PeerMessage::Kind;
  const auto &m = cmd.message;
  lead_.hear_of(m.term, "a sibling knows a higher term");
  switch (m.kind) {
  case Kind::Digest:
    return insight_.take_digest(m);
  case Kind::Orders:
    return reports_.take_orders(m);
  case Kind::Report:
    return answer(reports_.take_passed(cmd));
  case Kind::CellAsk:
    return cells_.take_passed(cmd);
  case Kind::CellTold:
    return cells_.take_back(m);
  case Kind::Ask:
    return users_.take_asked(cmd);
  case Kind::Told:
    return users_.take_told(m);
  case Kind::Ping:
    return siblings_.answer_ping(cmd, reports_.standing());
  case Kind::Pong:
    if (siblings_.take_pong(cmd)) reports_.pong_taken(m);
  }
}

} // namespace loft::core
