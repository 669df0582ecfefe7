#include "loftrouter/core/connectivity/replicas.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace loftrouter::core {

namespace {
constexpr double kStateServiceLostAfterS = 1.5;
constexpr double kReportValidityS = 3.0; // age up to which the contents of a ping or pong are used

// Limits of the wire format: rates are tenths in 16 bits, the uptime is milliseconds in 32 bits.
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
      // Random, so that a pong to a ping of an earlier process of this replica is not accepted.
      last_ping_nonce_(runtime.nonce()) {
  std::vector<std::pair<std::string, ReplicaIndex>> names{{settings_.node, ReplicaIndex()}};
  for (std::size_t i = 0; i < settings_.replicas.size(); ++i) {
    indices_.emplace_back(i);
    names.emplace_back(settings_.replicas[i].node, ReplicaIndex(i));
  }
  std::sort(names.begin(), names.end());
  for (const auto &[name, replica] : names) {
    if (!replica.valid()) own_sender_number_ = static_cast<std::uint8_t>(replicas_by_sender_number_.size());
    replicas_by_sender_number_.push_back(replica);
  }
}

ReplicaIndex Replicas::by_sender(std::uint8_t sender_number) const {
  return sender_number < replicas_by_sender_number_.size() ? replicas_by_sender_number_[sender_number] : ReplicaIndex();
}

void Replicas::rebalance_state_service_limits() {
  std::vector<std::optional<StateServiceLimits::Usage>> usages;
  for (const ReplicaState &state : states_) {
    const bool recent = runtime_.now() - state.status_as_of < kReportValidityS;
    usages.push_back(recent ? std::optional(state.state_service_usage) : std::nullopt);
  }
  state_limits_.rebalance(runtime_.now(), kPingIntervalS, usages);
}

void Replicas::send_pings() {
  next_ping_at_ = runtime_.now() + kPingIntervalS;
  rebalance_state_service_limits();
  for (const ReplicaIndex replica : indices_) {
    wire::PeerMessage ping;
    ping.kind = wire::PeerMessage::Kind::Ping;
    ping.nonce = ++last_ping_nonce_ | wire::kKnowsDependencies;
    ping.term = leadership_.highest_term();
    ping.sender = own_sender_number_;
    ping.connectivity = own_connectivity_;
    ReplicaState &state = states_[replica.position()];
    state.ping_nonce = ping.nonce;
    state.ping_sent_at = runtime_.now();
    runtime_.send({.replica = replica, .link = 0, .message = std::move(ping)});
  }
}

void Replicas::answer_ping(const PeerMessageCommand &cmd, const HeartbeatServiceStatus &service_status) {
  if (const ReplicaIndex replica = by_sender(cmd.message.sender); replica.valid()) {
    ReplicaState &state = states_[replica.position()];
    state.ping_received_at = runtime_.now();
    state.supports_dependencies = cmd.message.nonce & wire::kKnowsDependencies;
    state.connectivity_in_ping = cmd.message.connectivity;
  }
  wire::PeerMessage pong;
  pong.kind = wire::PeerMessage::Kind::Pong;
  pong.nonce = cmd.message.nonce;
  pong.term = service_status.leads ? leadership_.term() : leadership_.highest_term();
  pong.cancelled = cancellations_.recent();
  // Leaders of the previous version renew leases if this flag is set, without checking cancellations. It is therefore
  // not set while the frame cannot hold all recent cancellations.
  pong.cut_off = state_service_lost() && cancellations_.recent_is_complete();
  pong.connectivity = own_connectivity_;
  pong.sender = own_sender_number_;
  pong.leads = service_status.leads;
  pong.spreads = service_status.wants_forwarding;
  pong.forwards_heartbeats = service_status.can_forward;
  pong.store_reads = rate_in_tenths(state_limits_.usage().reads_per_s);
  pong.store_writes = rate_in_tenths(state_limits_.usage().writes_per_s);
  pong.uptime_ms = static_cast<std::uint32_t>(std::min(kMaxUptimeMs, runtime_.uptime_s() * 1000));
  runtime_.send({.replica = {}, .link = cmd.link, .message = std::move(pong)});
}

bool Replicas::accept_pong(const PeerMessageCommand &cmd) {
  if (!cmd.replica.valid() || cmd.replica.position() >= states_.size()) return false;
  const wire::PeerMessage &pong = cmd.message;
  ReplicaState &state = states_[cmd.replica.position()];
  if (pong.nonce != state.ping_nonce) return false; // answers an earlier ping
  state.status_as_of = state.ping_sent_at;          // the status cannot be older than the ping
  state.uptime_s = pong.uptime_ms / 1000.0;
  state.state_service_lost = pong.cut_off;
  state.service_status = {pong.leads, pong.spreads, pong.forwards_heartbeats};
  state.term = pong.term;
  state.connectivity = pong.connectivity;
  state.state_service_usage = {rate_from_tenths(pong.store_reads), rate_from_tenths(pong.store_writes)};
  cancellations_.confirm_from_replica(cmd.replica.position(), state.status_as_of, state.uptime_s, pong.cancelled);
  return true;
}

void Replicas::broadcast(const wire::PeerMessage &message) {
  for (const ReplicaIndex replica : indices_)
    runtime_.send({.replica = replica, .link = 0, .message = message});
}

bool Replicas::some_replica_lacks_dependencies() const {
  if (leadership_.leader_supports_dependencies() == std::optional(false)) return true;
  return std::any_of(states_.begin(), states_.end(), [this](const ReplicaState &state) {
    return runtime_.now() - state.ping_received_at < kReportValidityS && !state.supports_dependencies;
  });
}

bool Replicas::state_service_lost() const {
  return runtime_.now() - runtime_.state_service_answered_at() > kStateServiceLostAfterS;
}

bool Replicas::state_service_lost_by_all() const {
  if (!state_service_lost() || states_.empty()) return false;
  return std::all_of(states_.begin(), states_.end(), [this](const ReplicaState &state) {
    return state.state_service_lost && runtime_.now() - state.status_as_of <= kOutageReportValidityS;
  });
}

bool Replicas::leads_during_outage() const {
  return leadership_.leading() && !leadership_.lease_valid() && leadership_.highest_term() <= leadership_.term() &&
         state_service_lost_by_all();
}

bool Replicas::may_answer_heartbeats() const {
  return (leadership_.active() || leads_during_outage()) && cancellations_.may_renew_leases();
}

} // namespace loftrouter::core
