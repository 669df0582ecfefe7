// What siblings tell each other, and what follows from it: whether an outage of the state service is
// everybody's. See docs/safety.md, "Outages".
#include "loftrouter/core/core.hpp"

#include <algorithm>

namespace loft::core {

namespace {
constexpr double kPingEvery = 0.5;
constexpr double kCutOffAfter = 1.5; // without any answer from the state service
constexpr double kLately = 3.0;
constexpr double kAllWrites = 0.95; // of the state service's limit
constexpr double kDeafPause = 15.0; // before a node that has stepped down as deaf stands again
} // namespace

bool Core::cut_off() const {
  return now() - store_ok_at_ > kCutOffAfter;
}

void Core::tick_peers() {
  abdicate_if_deaf();
  if (now() < next_ping_) return;
  next_ping_ = now() + kPingEvery;
  share_budgets();
  spread_.tick(now(), kPingEvery, role_ == Role::Leading ? kept_by(-1) : 0);
  std::erase_if(confirmed_cancels_, [this](const auto &c) { return now() - c.second > settings_.cancel_s; });
  for (std::size_t i = 0; i < siblings_.size(); ++i) {
    wire::PeerMessage m;
    m.kind = wire::PeerMessage::Kind::Ping;
    m.nonce = ++ping_nonce_;
    m.term = highest_term_;
    m.sender = self_;
    siblings_[i].nonce = m.nonce;
    siblings_[i].sent_at = now();
    effects_.peers.push_back({static_cast<int>(i), 0, std::move(m)});
  }
}

void Core::on(CmdPeer &&cmd) {
  const auto &m = cmd.message;
  highest_term_ = std::max(highest_term_, m.term);
  if ((role_ == Role::Leading || role_ == Role::Loading) && m.term > term_) step_down("a sibling knows a higher term");
  if (m.kind == wire::PeerMessage::Kind::Digest) return take_digest(m);
  if (m.kind == wire::PeerMessage::Kind::Orders) return take_orders(m);
  if (m.kind == wire::PeerMessage::Kind::Report) {
    const int sibling = m.sender < by_name_.size() ? by_name_[m.sender] : -1;
    if (sibling < 0) return; // not from a node of these settings
    return hear({.link = cmd.link, .nonce = m.nonce, .sibling = sibling}, m.report);
  }
  if (m.kind == wire::PeerMessage::Kind::Ping) {
    wire::PeerMessage r;
    r.kind = wire::PeerMessage::Kind::Pong;
    r.nonce = m.nonce;
    r.term = highest_term_;
    // More than can be repeated: the leader is not to go on on this node's word.
    r.cut_off = cut_off() && confirmed_cancels_.size() <= wire::kPeerMaxCancelled;
    r.hears_workers = now() - last_report_at_ < kLately;
    r.sender = self_;
    r.leads = role_ == Role::Leading && answering();
    r.spreads = r.leads && spread_.wanted();
    r.passes = relay_to() >= 0 && relay_.has_room();
    if (r.leads) r.term = term_;
    auto tenths = [](double rate) { return static_cast<std::uint16_t>(std::min(6e4, rate * 10)); };
    r.reads = tenths(reads_rate_);
    r.writes = tenths(writes_rate_);
    r.uptime_ms = static_cast<std::uint32_t>(std::min(4e9, (now() - started_at_) * 1000));
    for (auto it = confirmed_cancels_.rbegin();
         it != confirmed_cancels_.rend() && r.cancelled.size() < wire::kPeerMaxCancelled; ++it)
      r.cancelled.push_back(it->first);
    effects_.peers.push_back({-1, cmd.link, std::move(r)});
    return;
  }
  if (cmd.sibling < 0 || static_cast<std::size_t>(cmd.sibling) >= siblings_.size()) return;
  auto &s = siblings_[static_cast<std::size_t>(cmd.sibling)];
  if (m.nonce != s.nonce) return; // an old answer, perhaps held up on the way
  s.stated_at = s.sent_at;        // it cannot be older than the question
  s.cut_off = m.cut_off;
  s.hears_workers = m.hears_workers;
  s.leads = m.leads;
  s.spreads = m.spreads;
  s.passes = m.passes;
  s.term = m.term;
  if (m.leads && m.term >= highest_term_) spread_known_ = m.spreads;
  s.uptime_s = m.uptime_ms / 1000.0;
  s.reads = m.reads / 10.0;
  s.writes = m.writes / 10.0;
  if (role_ != Role::Leading) return;
  for (const auto &id : m.cancelled)
    if (auto it = job_index_.find(id); it != job_index_.end() && !job(it->second).cancelled) {
      job(it->second).cancelled = true;
      cancel_job(it->second);
    }
}

// A node may use what its siblings leave of the users' share, and its equal part at any time. A sibling that is
// not heard may be using its part. The leader's own records have what users leave, and a part in any case.
void Core::share_budgets() {
  const double nodes = static_cast<double>(siblings_.size() + 1);
  const double reads = kUserReads * settings_.state_rps, writes = kUserWrites * settings_.state_write_rps;
  auto smooth = [](double &rate, double &before, double taken) {
    rate += 0.5 * ((taken - before) / kPingEvery - rate);
    before = taken;
  };
  smooth(reads_rate_, reads_taken_, user_reads_.taken());
  smooth(writes_rate_, writes_taken_, user_writes_.taken());
  double others_read = 0, others_write = 0;
  for (const auto &s : siblings_) {
    const bool heard = now() - s.stated_at < kLately;
    others_read += heard ? s.reads : reads / nodes;
    others_write += heard ? s.writes : writes / nodes;
  }
  user_reads_.set_rate(now(), std::max(reads / nodes, reads - others_read));
  user_writes_.set_rate(now(), std::max(writes / nodes, writes - others_write));
  leader_writes_.set_rate(now(), std::max((1 - kUserWrites) * settings_.state_write_rps,
                                          kAllWrites * settings_.state_write_rps - writes_rate_ - others_write));
}

// A leader that the workers no longer reach, while they reach a sibling, makes room: siblings can only
// send the workers back to it, and all their leases would run out.
void Core::abdicate_if_deaf() {
  // After standing still it has not read yet what workers have sent meanwhile.
  if (now() - deaf_tick_at_ > 1) deaf_from_ = now();
  deaf_tick_at_ = now();
  if (!active()) return;
  // Every worker reports within 1.25 of the interval. Each second saved here is one more for workers, which
  // wait 4 s for an answer before they try elsewhere, to reach the next leader within their lease.
  // A few machines may hang by chance.
  const auto heard =
      std::count_if(machines_.begin(), machines_.end(), [](const auto &m) { return m && m->heard && !m->lost; });
  double patience = heard >= 4 ? 1.25 * settings_.report_s + 1.5 : std::max(4.5, 2 * settings_.report_s + 2);
  if (now() - std::max({last_report_at_, leading_since_, deaf_from_}) < patience) return;
  // That several fall silent at once is enough. Where few have been heard a sibling has to have heard some: the workers
  // may be what has failed. Waiting for that with several would send workers that try a sibling back to this node.
  for (const auto &s : siblings_)
    if (!s.cut_off && now() - s.stated_at < kPingEvery * 3 && (heard >= 4 || s.hears_workers)) {
      step_down("no worker reaches this node");
      acquire_after_ = now() + kDeafPause;
      return;
    }
}

// Everybody's outage: nobody can be elected, so the leader may go on answering reports for as long as
// every sibling keeps saying so. It starts nothing.
bool Core::common_outage() const {
  if (!cut_off() || siblings_.empty()) return false;
  for (const auto &s : siblings_)
    if (!s.cut_off || now() - s.stated_at > kStatementLife) return false;
  return true;
}

bool Core::extended() const {
  if (role_ != Role::Leading || lease_valid() || highest_term_ > term_ || !common_outage()) return false;
  // A sibling that has restarted since may have confirmed a cancellation that nobody remembers. Its tasks
  // must not be kept alive beyond the time a cancellation has.
  double age = now() - store_ok_at_;
  if (age < settings_.cancel_s - settings_.lease_s * 1.01 - 5) return true;
  for (const auto &s : siblings_)
    if (s.uptime_s < age + 1) return false;
  return confirmed_cancels_.size() <= wire::kPeerMaxCancelled;
}

} // namespace loft::core
