#include "loftrouter/core/connectivity/replicas.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace loftrouter::core {

namespace {
constexpr double kStateServiceLostAfterS = 1.5;
constexpr double kRecentS = 3.0; // how long a ping or a status says something of the present

// Rates travel as tenths in 16 bits, the uptime as milliseconds in 32.
constexpr double kMaxRateTenths = 6e4;
constexpr double kMaxUptimeMs = 4e9;

std::uint16_t rate_in_tenths(double rate) {
  return static_cast<std::uint16_t>(std::min(kMaxRateTenths, rate * 10));
}

double rate_from_tenths(std::uint16_t tenths) {
  return tenths / 10.0;
}
} // namespace

Replicas::Replicas(Runtime &runtime, const Settings &settings, Leadership &leadership, StateServiceLimits &state_limits,
                   Cancellations &cancellations)
    : runtime_(runtime), settings_(settings), leadership_(leadership), state_limits_(state_limits),
      cancellations_(cancellations), states_(settings.replicas.size()),
      // Random, so that an answer to a ping of an earlier process of this replica matches none of this one's.
      last_nonce_(runtime.nonce()) {
  std::vector<std::pair<std::string, ReplicaIndex>> names{{settings_.node, ReplicaIndex()}};
  for (std::size_t i = 0; i < settings_.replicas.size(); ++i) {
    indices_.emplace_back(i);
    names.emplace_back(settings_.replicas[i].node, ReplicaIndex(i));
  }
  std::sort(names.begin(), names.end());
  for (const auto &[name, replica] : names) {
    if (!replica.valid()) own_sender_number_ = static_cast<std::uint8_t>(by_sender_number_.size());
    by_sender_number_.push_back(replica);
  }
}

ReplicaIndex Replicas::by_sender(std::uint8_t sender_number) const {
  return sender_number < by_sender_number_.size() ? by_sender_number_[sender_number] : ReplicaIndex();
}

// ---- pings ----

void Replicas::share_state_service_limits() {
  std::vector<std::optional<StateServiceLimits::Usage>> usages;
  for (const ReplicaState &state : states_) {
    const bool recent = runtime_.now() - state.status_as_of < kRecentS;
    usages.push_back(recent ? std::optional(state.state_service_usage) : std::nullopt);
  }
  state_limits_.rebalance(runtime_.now(), kPingIntervalS, usages);
}

void Replicas::send_pings() {
  next_ping_at_ = runtime_.now() + kPingIntervalS;
  share_state_service_limits();
  for (const ReplicaIndex replica : indices_) {
    wire::PeerMessage message;
    message.kind = wire::PeerMessage::Kind::Ping;
    message.nonce = ++last_nonce_ | wire::kKnowsDependencies;
    message.term = leadership_.highest_term();
    message.sender = own_sender_number_;
    message.connectivity = own_connectivity_;
    ReplicaState &state = states_[replica.position()];
    state.ping_nonce = message.nonce;
    state.ping_sent_at = runtime_.now();
    runtime_.send({replica, 0, std::move(message)});
  }
}

void Replicas::answer_ping(const PeerMessageCommand &cmd, const HeartbeatServing &serving) {
  if (const ReplicaIndex replica = by_sender(cmd.message.sender); replica.valid()) {
    ReplicaState &state = states_[replica.position()];
    state.ping_received_at = runtime_.now();
    state.supports_dependencies = cmd.message.nonce & wire::kKnowsDependencies;
    state.connectivity_in_ping = cmd.message.connectivity;
  }
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::Pong;
  message.nonce = cmd.message.nonce;
  message.term = serving.leads ? leadership_.term() : leadership_.highest_term();
  message.cancelled = cancellations_.recent();
  // With more cancellations than a frame holds, this replica does not count as cut off: a leader of the earlier
  // version goes by this flag alone when it renews leases.
  message.cut_off = state_service_lost() && cancellations_.recent_is_complete();
  message.connectivity = own_connectivity_;
  message.sender = own_sender_number_;
  message.leads = serving.leads;
  message.spreads = serving.wants_forwarding;
  message.forwards_heartbeats = serving.can_forward;
  message.store_reads = rate_in_tenths(state_limits_.usage().reads_per_s);
  message.store_writes = rate_in_tenths(state_limits_.usage().writes_per_s);
  message.uptime_ms = static_cast<std::uint32_t>(std::min(kMaxUptimeMs, runtime_.uptime_s() * 1000));
  runtime_.send({ReplicaIndex(), cmd.link, std::move(message)});
}

bool Replicas::accept_pong(const PeerMessageCommand &cmd) {
  if (!cmd.replica.valid() || cmd.replica.position() >= states_.size()) return false;
  const wire::PeerMessage &message = cmd.message;
  ReplicaState &state = states_[cmd.replica.position()];
  if (message.nonce != state.ping_nonce) return false; // answers an earlier ping, perhaps held up on the way
  state.status_as_of = state.ping_sent_at;             // the status cannot be older than the ping
  state.uptime_s = message.uptime_ms / 1000.0;
  state.state_service_lost = message.cut_off;
  state.serving = {message.leads, message.spreads, message.forwards_heartbeats};
  state.term = message.term;
  state.connectivity = message.connectivity;
  state.state_service_usage = {rate_from_tenths(message.store_reads), rate_from_tenths(message.store_writes)};
  cancellations_.confirmed_by_replica(cmd.replica.position(), state.status_as_of, state.uptime_s, message.cancelled);
  return true;
}

void Replicas::broadcast(const wire::PeerMessage &message) {
  for (const ReplicaIndex replica : indices_)
    runtime_.send({replica, 0, message});
}

bool Replicas::some_lack_dependencies() const {
  if (leadership_.leader_supports_dependencies() == std::optional(false)) return true;
  return std::any_of(states_.begin(), states_.end(), [this](const ReplicaState &state) {
    return runtime_.now() - state.ping_received_at < kRecentS && !state.supports_dependencies;
  });
}

// ---- outages of the state service ----

bool Replicas::state_service_lost() const {
  return runtime_.now() - runtime_.state_service_answered_at() > kStateServiceLostAfterS;
}

bool Replicas::common_outage() const {
  if (!state_service_lost() || states_.empty()) return false;
  return std::all_of(states_.begin(), states_.end(), [this](const ReplicaState &state) {
    return state.state_service_lost && runtime_.now() - state.status_as_of <= kOutageStatementValidityS;
  });
}

bool Replicas::leads_through_outage() const {
  return leadership_.leading() && !leadership_.lease_valid() && leadership_.highest_term() <= leadership_.term() &&
         common_outage();
}

bool Replicas::may_answer_heartbeats() const {
  return (leadership_.active() || leads_through_outage()) && cancellations_.may_renew();
}

} // namespace loftrouter::core
