#include "loftrouter/core/connectivity/replicas.hpp"

#include <algorithm>

namespace loftrouter::core {

namespace {
constexpr double kCutOffAfter = 1.5; // s, without any answer from the state service
constexpr double kLately = 3.0;      // s
} // namespace

Replicas::Replicas(Runtime &runtime, const Settings &settings, Leadership &leadership, StateServiceLimits &state_limits,
                   Cancellations &cancellations)
    : runtime_(runtime), settings_(settings), leadership_(leadership), state_limits_(state_limits),
      cancellations_(cancellations), states_(settings.replicas.size()),
      // A restarted node must not take an answer to its former self's question for its own.
      ping_nonce_(runtime.nonce()) {
  std::vector<std::pair<std::string, int>> names{{settings_.node, -1}};
  for (std::size_t i = 0; i < settings_.replicas.size(); ++i)
    names.emplace_back(settings_.replicas[i].node, static_cast<int>(i));
  std::sort(names.begin(), names.end());
  for (const auto &[name, i] : names) {
    if (i < 0) self_ = static_cast<std::uint8_t>(by_name_.size());
    by_name_.push_back(i);
  }
}

int Replicas::by_sender(std::uint8_t sender) const {
  return sender < by_name_.size() ? by_name_[sender] : -1;
}

bool Replicas::cut_off() const {
  return runtime_.now() - runtime_.state_ok_at() > kCutOffAfter;
}

void Replicas::ping() {
  next_ping_ = runtime_.now() + kPingEvery;
  std::vector<std::optional<StateServiceLimits::Use>> uses;
  for (const auto &s : states_)
    uses.push_back(runtime_.now() - s.stated_at < kLately ? std::optional(s.use) : std::nullopt);
  state_limits_.share(runtime_.now(), kPingEvery, uses);
  for (std::size_t i = 0; i < states_.size(); ++i) {
    wire::PeerMessage message;
    message.kind = wire::PeerMessage::Kind::Ping;
    message.nonce = ++ping_nonce_ | wire::kKnowsDependencies;
    message.term = leadership_.highest_term();
    message.sender = self_;
    message.connectivity = own_;
    states_[i].nonce = message.nonce;
    states_[i].sent_at = runtime_.now();
    runtime_.send({static_cast<int>(i), 0, std::move(message)});
  }
}

void Replicas::answer_ping(const CmdPeer &cmd, const Standing &standing) {
  if (const int i = by_sender(cmd.message.sender); i >= 0) {
    states_[static_cast<std::size_t>(i)].asked_at = runtime_.now();
    states_[static_cast<std::size_t>(i)].knows_dependencies = cmd.message.nonce & wire::kKnowsDependencies;
    states_[static_cast<std::size_t>(i)].asks_with = cmd.message.connectivity;
  }
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::Pong;
  message.nonce = cmd.message.nonce;
  message.term = standing.leads ? leadership_.term() : leadership_.highest_term();
  message.cancelled = cancellations_.recent();
  // More than can be repeated: a leader of the production version goes by this.
  message.cut_off = cut_off() && cancellations_.recent_is_complete();
  message.connectivity = own_;
  message.sender = self_;
  message.leads = standing.leads;
  message.spreads = standing.spreads;
  message.forwards_heartbeats = standing.passes;
  auto tenths = [](double rate) { return static_cast<std::uint16_t>(std::min(6e4, rate * 10)); };
  message.store_reads = tenths(state_limits_.use().reads);
  message.store_writes = tenths(state_limits_.use().writes);
  message.uptime_ms = static_cast<std::uint32_t>(std::min(4e9, runtime_.up_s() * 1000));
  runtime_.send({-1, cmd.link, std::move(message)});
}

bool Replicas::take_pong(const CmdPeer &cmd) {
  if (cmd.replica < 0 || static_cast<std::size_t>(cmd.replica) >= states_.size()) return false;
  const auto &m = cmd.message;
  auto &s = states_[static_cast<std::size_t>(cmd.replica)];
  if (m.nonce != s.nonce) return false; // an old answer, perhaps held up on the way
  s.stated_at = s.sent_at;              // it cannot be older than the question
  s.cut_off = m.cut_off;
  s.connectivity = m.connectivity;
  s.leads = m.leads;
  s.spreads = m.spreads;
  s.passes = m.forwards_heartbeats;
  s.term = m.term;
  s.uptime_s = m.uptime_ms / 1000.0;
  s.use = {m.store_reads / 10.0, m.store_writes / 10.0};
  cancellations_.confirmed_by_replica(static_cast<std::size_t>(cmd.replica), s.stated_at, s.uptime_s, m.cancelled);
  return true;
}

void Replicas::tell_all(const wire::PeerMessage &message) {
  for (std::size_t i = 0; i < states_.size(); ++i)
    runtime_.send({static_cast<int>(i), 0, message});
}

bool Replicas::earlier_version() const {
  return leadership_.leader_knows_dependencies() == std::optional(false) ||
         std::any_of(states_.begin(), states_.end(), [this](const State &state) {
           return runtime_.now() - state.asked_at < kLately && !state.knows_dependencies;
         });
}

bool Replicas::common_outage() const {
  if (!cut_off() || states_.empty()) return false;
  return std::all_of(states_.begin(), states_.end(), [this](const State &state) {
    return state.cut_off && runtime_.now() - state.stated_at <= kStatementLife;
  });
}

bool Replicas::extended() const {
  return leadership_.leading() && !leadership_.lease_valid() && leadership_.highest_term() <= leadership_.term() &&
         common_outage();
}

} // namespace loftrouter::core
