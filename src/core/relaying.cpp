// Reports that come to a node which does not lead, and workers that a leader sends to such nodes.
#include <algorithm>

#include "loftrouter/core/core.hpp"

namespace loft::core {

namespace {
constexpr double kWordLife = 1.2;       // of a sibling's word that it leads or passes reports on
constexpr double kSentAwayAgain = 60.0; // a worker that came back is kept for that long
constexpr double kLeaderKnownFor = 3.0; // from the state service
} // namespace

// The sibling that says it leads, with the highest term known here; -1 if none does.
int Core::leading_sibling() const {
  for (std::size_t i = 0; i < siblings_.size(); ++i) {
    const auto &s = siblings_[i];
    if (s.leads && s.term >= highest_term_ && now() - s.stated_at < kWordLife) return static_cast<int>(i);
  }
  return -1;
}

// The same if it wants reports passed on and this node may do so.
int Core::relay_to() const {
  if (role_ != Role::Follower || relay_.broken(now())) return -1;
  const int i = leading_sibling();
  return i >= 0 && siblings_[static_cast<std::size_t>(i)].spreads ? i : -1;
}

std::string_view Core::leader_by_word() const {
  if (const int i = leading_sibling(); i >= 0) return settings_.siblings[static_cast<std::size_t>(i)].node;
  return !leader_name_.empty() && now() - leader_seen_ < kLeaderKnownFor ? std::string_view(leader_name_)
                                                                         : std::string_view();
}

void Core::on(CmdReport &&cmd) {
  if (relay_to() >= 0) return pass_on(std::move(cmd));
  hear({.req = cmd.req}, cmd.report);
}

void Core::pass_on(CmdReport &&cmd) {
  last_report_at_ = now();
  highest_term_ = std::max(highest_term_, cmd.report.token);
  const int to = relay_to(); // may have changed with that
  const auto nonce = to >= 0 ? relay_.take(cmd.req, cmd.report.machine, now()) : std::nullopt;
  if (!nonce) return send_elsewhere(cmd.req);
  wire::PeerMessage m;
  m.kind = wire::PeerMessage::Kind::Report;
  m.nonce = *nonce;
  m.term = highest_term_;
  m.sender = self_;
  m.report = std::move(cmd.report);
  spread_.heard(true);
  effects_.peers.push_back({to, 0, std::move(m)});
}

void Core::send_elsewhere(RequestId req) {
  reply(req, 421, wire::encode_redirect(leader_by_word()));
}

// The answer to the report that was passed on under this number, and to no other.
void Core::take_orders(const wire::PeerMessage &m) {
  const auto req = relay_.answered(m.nonce);
  if (!req) return; // given up
  if (m.status == 200 && m.term >= highest_term_) return reply(*req, 200, wire::encode_orders(m.term, m.orders));
  if (m.status == 503) return refuse(*req, "the leader has refused this report");
  send_elsewhere(*req);
}

void Core::give_up_relayed() {
  for (RequestId req : role_ == Role::Follower ? relay_.give_up(now()) : relay_.give_up_all())
    send_elsewhere(req);
}

void Core::tell_worker(const Asker &from, int status, const std::vector<TaskOrder> &orders, std::string_view why) {
  if (!from.direct()) {
    wire::PeerMessage m;
    m.kind = wire::PeerMessage::Kind::Orders;
    m.nonce = from.nonce;
    m.term = status == 200 ? term_ : highest_term_;
    m.sender = self_;
    m.status = static_cast<std::uint16_t>(status);
    m.orders = orders;
    effects_.peers.push_back({-1, from.link, std::move(m)});
    return;
  }
  if (status == 200) return reply(from.req, 200, wire::encode_orders(term_, orders));
  if (status == 421) return send_elsewhere(from.req);
  refuse(from.req, why);
}

std::size_t Core::kept_by(int sibling) const {
  return static_cast<std::size_t>(std::count_if(machines_.begin(), machines_.end(), [sibling](const auto &m) {
    return m && m->heard && !m->lost && m->via == sibling;
  }));
}

// The sibling that this worker is sent to, or -1. Its lease is not renewed by that, so it has to be fresh, and
// nothing it tells may wait.
int Core::keeper_for(const WorkerReport &r) {
  if (!active() || !spread_.may_send_away(now())) return -1;
  const auto it = machine_index_.find(r.machine);
  Machine *known = it == machine_index_.end() ? nullptr : &machine(it->second);
  if (known && (now() - known->sent_away < kSentAwayAgain || now() - known->last_answer > 2 * settings_.report_s))
    return -1;
  if (!known && !r.tasks.empty()) return -1;
  if (std::any_of(r.tasks.begin(), r.tasks.end(), [](const auto &t) { return t.phase == TaskPhase::Exited; }))
    return -1;
  int best = -1;
  std::size_t least = 0;
  for (int i = 0; i < static_cast<int>(siblings_.size()); ++i) {
    const auto &s = siblings_[static_cast<std::size_t>(i)];
    if (!s.passes || now() - s.stated_at > kWordLife) continue;
    if (const auto keeps = kept_by(i); best < 0 || keeps < least) {
      best = i;
      least = keeps;
    }
  }
  if (best < 0) return -1;
  spread_.sent_away(now());
  if (known) known->sent_away = now();
  return best;
}

} // namespace loft::core
