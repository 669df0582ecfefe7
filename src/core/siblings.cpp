#include "loftrouter/core/siblings.hpp"

#include <algorithm>

namespace loft::core {

namespace {
constexpr double kCutOffAfter = 1.5; // s, without any answer from the state service
constexpr double kLately = 3.0;      // s
} // namespace

Siblings::Siblings(Port &port, const Settings &settings, Leadership &lead, StoreBudget &budget,
                   Cancellations &cancellations)
    : port_(port), settings_(settings), lead_(lead), budget_(budget), cancellations_(cancellations),
      states_(settings.siblings.size()),
      // A restarted node must not take an answer to its former self's question for its own.
      ping_nonce_(port.nonce()) {
  std::vector<std::pair<std::string, int>> names{{settings_.node, -1}};
  for (std::size_t i = 0; i < settings_.siblings.size(); ++i)
    names.emplace_back(settings_.siblings[i].node, static_cast<int>(i));
  std::sort(names.begin(), names.end());
  for (const auto &[name, i] : names) {
    if (i < 0) self_ = static_cast<std::uint8_t>(by_name_.size());
    by_name_.push_back(i);
  }
}

int Siblings::by_sender(std::uint8_t sender) const {
  return sender < by_name_.size() ? by_name_[sender] : -1;
}

bool Siblings::cut_off() const {
  return port_.now() - port_.state_ok_at() > kCutOffAfter;
}

void Siblings::ping() {
  next_ping_ = port_.now() + kPingEvery;
  std::vector<std::optional<StoreBudget::Use>> uses;
  for (const auto &s : states_)
    uses.push_back(port_.now() - s.stated_at < kLately ? std::optional(s.use) : std::nullopt);
  budget_.share(port_.now(), kPingEvery, uses);
  for (std::size_t i = 0; i < states_.size(); ++i) {
    wire::PeerMessage m;
    m.kind = wire::PeerMessage::Kind::Ping;
    m.nonce = ++ping_nonce_ | wire::kKnowsWaiting;
    m.term = lead_.highest_term();
    m.sender = self_;
    m.reach = own_;
    states_[i].nonce = m.nonce;
    states_[i].sent_at = port_.now();
    port_.send({static_cast<int>(i), 0, std::move(m)});
  }
}

void Siblings::answer_ping(const CmdPeer &cmd, const Standing &standing) {
  if (const int i = by_sender(cmd.message.sender); i >= 0) {
    states_[static_cast<std::size_t>(i)].asked_at = port_.now();
    states_[static_cast<std::size_t>(i)].knows_waiting = cmd.message.nonce & wire::kKnowsWaiting;
    states_[static_cast<std::size_t>(i)].asks_with = cmd.message.reach;
  }
  wire::PeerMessage r;
  r.kind = wire::PeerMessage::Kind::Pong;
  r.nonce = cmd.message.nonce;
  r.term = standing.leads ? lead_.term() : lead_.highest_term();
  r.cancelled = cancellations_.repeated();
  // More than can be repeated: a leader of the production version goes by this.
  r.cut_off = cut_off() && cancellations_.all_repeated();
  r.reach = own_;
  r.sender = self_;
  r.leads = standing.leads;
  r.spreads = standing.spreads;
  r.passes = standing.passes;
  auto tenths = [](double rate) { return static_cast<std::uint16_t>(std::min(6e4, rate * 10)); };
  r.reads = tenths(budget_.use().reads);
  r.writes = tenths(budget_.use().writes);
  r.uptime_ms = static_cast<std::uint32_t>(std::min(4e9, port_.up_s() * 1000));
  port_.send({-1, cmd.link, std::move(r)});
}

bool Siblings::take_pong(const CmdPeer &cmd) {
  if (cmd.sibling < 0 || static_cast<std::size_t>(cmd.sibling) >= states_.size()) return false;
  const auto &m = cmd.message;
  auto &s = states_[static_cast<std::size_t>(cmd.sibling)];
  if (m.nonce != s.nonce) return false; // an old answer, perhaps held up on the way
  s.stated_at = s.sent_at;              // it cannot be older than the question
  s.cut_off = m.cut_off;
  s.reach = m.reach;
  s.leads = m.leads;
  s.spreads = m.spreads;
  s.passes = m.passes;
  s.term = m.term;
  s.uptime_s = m.uptime_ms / 1000.0;
  s.use = {m.reads / 10.0, m.writes / 10.0};
  cancellations_.hear(static_cast<std::size_t>(cmd.sibling), s.stated_at, s.uptime_s, m.cancelled);
  return true;
}

void Siblings::tell_all(const wire::PeerMessage &m) {
  for (std::size_t i = 0; i < states_.size(); ++i)
    port_.send({static_cast<int>(i), 0, m});
}

bool Siblings::earlier_version() const {
  return lead_.leader_knows_waiting() == std::optional(false) ||
         std::any_of(states_.begin(), states_.end(),
                     [this](const State &s) { return port_.now() - s.asked_at < kLately && !s.knows_waiting; });
}

bool Siblings::common_outage() const {
  if (!cut_off() || states_.empty()) return false;
  return std::all_of(states_.begin(), states_.end(),
                     [this](const State &s) { return s.cut_off && port_.now() - s.stated_at <= kStatementLife; });
}

bool Siblings::extended() const {
  return lead_.leading() && !lead_.lease_valid() && lead_.highest_term() <= lead_.term() && common_outage();
}

} // namespace loft::core
