#include "loftrouter/core/reports.hpp"

#include <algorithm>

namespace loft::core {

namespace {
constexpr double kWordLife = 1.2;       // s, of a sibling's word that it leads or passes reports on
constexpr double kSentAwayAgain = 60.0; // s, that a worker that came back is kept
constexpr double kLeaderKnownFor = 3.0; // s, from the state service
constexpr double kCalledFor = 30.0;     // s, that siblings pass reports on after some workers were not heard here
// Sockets are also needed for users, siblings and the services outside.
constexpr double kRelaySockets = 0.6, kLeaderSockets = 0.4;
// Reports a second that a leader takes straight from workers, for a whole core: beyond that siblings read them for
// it, so that most of its processor stays with placing. See docs/fleet-scale.md for the costs behind it.
constexpr double kDirectReports = 600;
std::size_t sockets_for(const Settings &s, double share) {
  return static_cast<std::size_t>(std::max(4.0, share * s.fd_limit));
}
} // namespace

ReportDesk::ReportDesk(Port &port, const Settings &s, Leadership &lead, Siblings &siblings, Reach &reach,
                       const Silence &silence, Fleet &fleet)
    : port_(port), settings_(s), lead_(lead), siblings_(siblings), reach_(reach), silence_(silence), fleet_(fleet),
      relay_(sockets_for(s, kRelaySockets), 3 * s.report_s + 2, port.nonce()),
      spread_({kDirectReports * s.cpu_share, sockets_for(s, kLeaderSockets)}) {}

// The sibling that says it leads, with the highest term known here; -1 if none does.
int ReportDesk::leading_sibling() const {
  for (std::size_t i = 0; i < siblings_.count(); ++i) {
    const auto &s = siblings_[i];
    if (s.leads && s.term >= lead_.highest_term() && port_.now() - s.stated_at < kWordLife) return static_cast<int>(i);
  }
  return -1;
}

// The same if it wants reports passed on and this node may do so.
int ReportDesk::relay_to() const {
  if (lead_.role() != Role::Follower || relay_.broken(port_.now())) return -1;
  const int i = leading_sibling();
  return i >= 0 && siblings_[static_cast<std::size_t>(i)].spreads ? i : -1;
}

std::string_view ReportDesk::leader_by_word() const {
  if (const int i = leading_sibling(); i >= 0) return siblings_.name(static_cast<std::size_t>(i));
  return !lead_.leader_name().empty() && port_.now() - lead_.leader_seen() < kLeaderKnownFor
             ? std::string_view(lead_.leader_name())
             : std::string_view();
}

Siblings::Standing ReportDesk::standing() const {
  const bool leads = lead_.leading() && siblings_.answering();
  return {leads, leads && spread_.wanted(), relay_to() >= 0 && relay_.has_room()};
}

ReportDesk::Load ReportDesk::load() const {
  const bool leads = lead_.leading();
  return {spread_.direct_rate(),
          spread_.limits().reports,
          spread_.passed_rate(),
          leads ? fleet_.kept_by(-1) : relay_.workers(),
          leads ? spread_.limits().sockets : relay_.most(),
          leads && spread_.wanted()};
}

void ReportDesk::count_rates() {
  const auto &own = reach_.own();
  if (lead_.leading() && (silence_.in_part() || (own.workers != Hearing::Hears && reach_.carried(own))))
    spread_.call_for(port_.now() + kCalledFor);
  spread_.tick(port_.now(), Siblings::kPingEvery, lead_.leading() ? fleet_.kept_by(-1) : 0);
}

void ReportDesk::pong_taken(const wire::PeerMessage &m) {
  if (m.leads && m.term >= lead_.highest_term()) spread_known_ = m.spreads;
}

void ReportDesk::on(const MachineReturned &e) {
  if (static_cast<std::size_t>(e.machine) < sent_away_.size()) sent_away_[static_cast<std::size_t>(e.machine)] = -1e9;
}

std::optional<ReportDesk::Pending> ReportDesk::take(CmdReport &&cmd) {
  // A copy of an old report says nothing of who reaches this node; a leader can tell.
  const int known = lead_.leading() ? fleet_.index(cmd.report.machine) : -1;
  if (known < 0 || std::pair(cmd.report.session, cmd.report.seq) > std::pair(fleet_[known].session, fleet_[known].seq))
    reach_.heard(cmd.report.zone);
  if (relay_to() < 0) {
    if (lead_.role() == Role::Follower) relay_.left(cmd.report.machine);
    return hear({.req = cmd.req}, cmd.report);
  }
  pass_on(std::move(cmd));
  return std::nullopt;
}

std::optional<ReportDesk::Pending> ReportDesk::take_passed(const CmdPeer &cmd) {
  const int sibling = siblings_.by_sender(cmd.message.sender);
  if (sibling < 0) return std::nullopt; // not from a node of these settings
  reach_.heard_by_sibling();
  return hear({.link = cmd.link, .nonce = cmd.message.nonce, .sibling = sibling}, cmd.message.report);
}

std::optional<ReportDesk::Pending> ReportDesk::hear(const Asker &from, const WorkerReport &r) {
  lead_.hear_of(r.token, "a worker has seen a higher term");
  auto no = [&](std::string_view why) {
    tell(from, 503, {}, why);
    return std::nullopt;
  };
  if (!lead_.leading()) {
    tell(from, 421);
    return std::nullopt;
  }
  if (!siblings_.answering()) return no("leadership is being renewed");
  // A machine that was given back can only speak through packets held up on the way.
  if (fleet_.gone(r.machine)) return no("this machine was given back");
  if (unsure_ && unsure_(r)) return no("what it runs for another cell is being confirmed");
  spread_.heard(from.direct());
  if (from.direct())
    if (const int s = keeper_for(r); s >= 0) {
      port_.reply(from.req, 421, wire::encode_redirect(siblings_.name(static_cast<std::size_t>(s))));
      return std::nullopt;
    }
  const int m = fleet_.add(r.machine, r.type, r.zone, r.spot);
  switch (fleet_.hear(m, r, from.sibling)) {
  case Fleet::Heard::Late:
    return no("a newer report is known");
  case Fleet::Heard::Failed:
    return no("this machine has failed");
  case Fleet::Heard::Taken:
    break;
  }
  Pending p{from, m, {}};
  fleet_.take_tasks(m, r, p.orders);
  return p;
}

void ReportDesk::answer(Pending &&p) {
  fleet_.answer(p.machine, lead_.active() && siblings_.answering(), p.orders);
  tell(p.from, 200, p.orders);
}

void ReportDesk::pass_on(CmdReport &&cmd) {
  lead_.hear_of(cmd.report.token, "a worker has seen a higher term");
  const int to = relay_to(); // may have changed with that
  const auto nonce = to >= 0 ? relay_.take(cmd.req, cmd.report.machine, port_.now()) : std::nullopt;
  if (!nonce) return send_elsewhere(cmd.req);
  wire::PeerMessage m;
  m.kind = wire::PeerMessage::Kind::Report;
  m.nonce = *nonce;
  m.term = lead_.highest_term();
  m.sender = siblings_.self();
  m.report = std::move(cmd.report);
  spread_.heard(true);
  port_.send({to, 0, std::move(m)});
}

void ReportDesk::send_elsewhere(RequestId req) {
  port_.reply(req, 421, wire::encode_redirect(leader_by_word()));
}

// The answer to the report that was passed on under this number, and to no other.
void ReportDesk::take_orders(const wire::PeerMessage &m) {
  const auto req = relay_.answered(m.nonce, m.status != 421);
  if (!req) return; // given up
  if (m.status == 200 && m.term >= lead_.highest_term())
    return port_.reply(*req, 200, wire::encode_orders(m.term, m.orders));
  if (m.status == 503) return port_.refuse(*req, "the leader has refused this report");
  send_elsewhere(*req);
}

void ReportDesk::tick() {
  for (RequestId req : lead_.role() == Role::Follower ? relay_.give_up(port_.now()) : relay_.give_up_all())
    send_elsewhere(req);
}

void ReportDesk::tell(const Asker &from, int status, const std::vector<TaskOrder> &orders, std::string_view why) {
  if (!from.direct()) {
    wire::PeerMessage m;
    m.kind = wire::PeerMessage::Kind::Orders;
    m.nonce = from.nonce;
    m.term = status == 200 ? lead_.term() : lead_.highest_term();
    m.sender = siblings_.self();
    m.status = static_cast<std::uint16_t>(status);
    m.orders = orders;
    return port_.send({-1, from.link, std::move(m)});
  }
  if (status == 200) return port_.reply(from.req, 200, wire::encode_orders(lead_.term(), orders));
  if (status == 421) return send_elsewhere(from.req);
  port_.refuse(from.req, why);
}

// The sibling that this worker is sent to, or -1. Its lease is not renewed by that, so it has to be fresh, and
// nothing it tells may wait.
int ReportDesk::keeper_for(const WorkerReport &r) {
  if (!lead_.active() || !spread_.may_send_away(port_.now())) return -1;
  const int known = fleet_.index(r.machine);
  if (known >= 0) {
    if (port_.now() - grown(sent_away_, known, -1e9) < kSentAwayAgain ||
        port_.now() - fleet_[known].last_answer > 2 * settings_.report_s)
      return -1;
  } else if (!r.tasks.empty()) {
    return -1;
  }
  if (std::any_of(r.tasks.begin(), r.tasks.end(), [](const auto &t) { return t.phase == TaskPhase::Exited; }))
    return -1;
  int best = -1;
  std::size_t least = 0;
  for (std::size_t i = 0; i < siblings_.count(); ++i) {
    const auto &s = siblings_[i];
    if (!s.passes || port_.now() - s.stated_at > kWordLife) continue;
    if (const auto keeps = fleet_.kept_by(static_cast<int>(i)); best < 0 || keeps < least) {
      best = static_cast<int>(i);
      least = keeps;
    }
  }
  if (best < 0) return -1;
  spread_.sent_away(port_.now());
  if (known >= 0) sent_away_[static_cast<std::size_t>(known)] = port_.now();
  return best;
}

} // namespace loft::core
