#include "loftrouter/core/heartbeats/heartbeat_handler.hpp"

#include <algorithm>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

namespace {
constexpr double kStatusValidityS = 1.2;       // of a replica's word that it leads or forwards heartbeats
constexpr double kLeaderKeyValidityS = 3.0;    // of the leader's name as read in the state service
constexpr double kMinRedirectIntervalS = 60.0; // a worker that came back stays for so long
constexpr double kForwardingAfterOutageS = 30.0;

// Of the process's file descriptors: the rest is for users, other replicas and the services outside.
constexpr double kForwarderConnectionShare = 0.6;
constexpr double kLeaderConnectionShare = 0.4;
constexpr double kMinConnections = 4.0;

// Direct heartbeats a second that a leader takes for a whole core. Beyond that the other replicas read them for it, so
// that most of its processor is left for scheduling. See docs/fleet-scale.md for the costs behind it.
constexpr double kDirectHeartbeatsPerCore = 600;

constexpr int kStatusOk = 200;
constexpr int kStatusRedirect = 421;
constexpr int kStatusRefused = 503;

constexpr std::string_view kHigherTermSeen = "a worker has seen a higher term";

std::size_t connection_limit(const Settings &settings, double share) {
  return static_cast<std::size_t>(std::max(kMinConnections, share * settings.fd_limit));
}

double worker_expiry_s(const Settings &settings) {
  return 3 * settings.heartbeat_interval_s + 2;
}
} // namespace

HeartbeatHandler::HeartbeatHandler(Runtime &runtime, const Settings &settings, Leadership &leadership,
                                   Replicas &replicas, ConnectivityMonitor &connectivity,
                                   const FailureDetector &failure_detector, WorkerRegistry &workers)
    : runtime_(runtime), settings_(settings), leadership_(leadership), replicas_(replicas), connectivity_(connectivity),
      failure_detector_(failure_detector), workers_(workers),
      forwarder_(connection_limit(settings, kForwarderConnectionShare), worker_expiry_s(settings), runtime.nonce()),
      balancer_({kDirectHeartbeatsPerCore * settings.cpu_share, connection_limit(settings, kLeaderConnectionShare)}) {}

// ---- who leads, and who forwards ----

ReplicaIndex HeartbeatHandler::leader() const {
  for (const ReplicaIndex replica : replicas_.indices()) {
    const ReplicaState &state = replicas_[replica];
    const bool fresh = runtime_.now() - state.status_as_of < kStatusValidityS;
    if (state.serving.leads && state.term >= leadership_.highest_term() && fresh) return replica;
  }
  return {};
}

ReplicaIndex HeartbeatHandler::forwarding_target() const {
  if (leadership_.role() != Role::Follower || forwarder_.suspended(runtime_.now())) return {};
  const ReplicaIndex replica = leader();
  return replica.valid() && replicas_[replica].serving.wants_forwarding ? replica : ReplicaIndex();
}

std::string_view HeartbeatHandler::leader_name() const {
  if (const ReplicaIndex replica = leader(); replica.valid()) return replicas_.name(replica);
  const bool fresh = runtime_.now() - leadership_.leader_seen_at() < kLeaderKeyValidityS;
  return fresh ? std::string_view(leadership_.leader_name()) : std::string_view();
}

HeartbeatServing HeartbeatHandler::serving() const {
  HeartbeatServing serving;
  serving.leads = leadership_.leading() && replicas_.may_answer_heartbeats();
  serving.wants_forwarding = serving.leads && balancer_.forwarding_wanted();
  serving.can_forward = forwarding_target().valid() && forwarder_.has_room();
  return serving;
}

void HeartbeatHandler::status_received(const wire::PeerMessage &pong) {
  if (pong.leads && pong.term >= leadership_.highest_term()) last_leader_wanted_forwarding_ = pong.spreads;
}

// ---- load ----

HeartbeatLoad HeartbeatHandler::load() const {
  const bool leads = leadership_.leading();
  return {.direct_per_s = balancer_.direct_rate(),
          .max_direct_per_s = balancer_.limits().direct_per_s,
          .forwarded_per_s = balancer_.forwarded_rate(),
          .workers = leads ? workers_.available_count(ReplicaIndex()) : forwarder_.workers(),
          .max_workers = leads ? balancer_.limits().connections : forwarder_.max_workers(),
          .forwarding_wanted = leads && balancer_.forwarding_wanted()};
}

void HeartbeatHandler::update_load() {
  const bool leads = leadership_.leading();
  const bool reachable_by_forwarding_alone =
      connectivity_.own_record().workers != WorkerReachability::Reachable && connectivity_.reachable_by_forwarding();
  if (leads && (failure_detector_.outage_detected() || reachable_by_forwarding_alone))
    balancer_.want_forwarding_until(runtime_.now() + kForwardingAfterOutageS);
  balancer_.update(runtime_.now(), Replicas::kPingIntervalS, leads ? workers_.available_count(ReplicaIndex()) : 0);
}

void HeartbeatHandler::on(const MachineRemoved &event) {
  const std::size_t position = event.machine.position();
  if (position < redirected_at_.size()) redirected_at_[position] = -1e9;
}

// ---- heartbeats ----

// A copy of an old heartbeat says nothing of which workers reach this replica. A leader can tell.
bool HeartbeatHandler::newer_than_known(const Heartbeat &heartbeat) const {
  const MachineIndex known = leadership_.leading() ? workers_.index(heartbeat.machine) : MachineIndex();
  if (!known.valid()) return true;
  const Machine &machine = workers_[known];
  return std::pair(heartbeat.incarnation, heartbeat.sequence) >
         std::pair(machine.heartbeat.incarnation, machine.heartbeat.sequence);
}

std::optional<AcceptedHeartbeat> HeartbeatHandler::handle(HeartbeatCommand &&cmd) {
  if (newer_than_known(cmd.heartbeat)) connectivity_.direct_heartbeat_received(cmd.heartbeat.zone);
  if (forwarding_target().valid()) {
    forward(std::move(cmd));
    return std::nullopt;
  }
  if (leadership_.role() == Role::Follower) forwarder_.forget(cmd.heartbeat.machine);
  return accept({.request = cmd.req}, cmd.heartbeat);
}

std::optional<AcceptedHeartbeat> HeartbeatHandler::handle_forwarded(const PeerMessageCommand &cmd) {
  const ReplicaIndex forwarder = replicas_.by_sender(cmd.message.sender);
  if (!forwarder.valid()) return std::nullopt; // not from a replica of the settings
  connectivity_.forwarded_heartbeat_received();
  return accept({.link = cmd.link, .number = cmd.message.nonce, .forwarder = forwarder}, cmd.message.heartbeat);
}

std::string_view HeartbeatHandler::reason_to_refuse(const Heartbeat &heartbeat) const {
  if (!replicas_.may_answer_heartbeats()) return "leadership is being renewed";
  // A machine that was scaled in can only speak through packets held up on the way.
  if (workers_.removed_at(heartbeat.machine)) return "this machine was given back";
  if (refusal_condition_ && refusal_condition_(heartbeat)) return "what it runs for another cell is being confirmed";
  return {};
}

std::optional<AcceptedHeartbeat> HeartbeatHandler::accept(const HeartbeatSource &source, const Heartbeat &heartbeat) {
  leadership_.observe_term(heartbeat.fencing_token, kHigherTermSeen);
  if (!leadership_.leading()) {
    redirect_to_leader(source);
    return std::nullopt;
  }
  if (const auto reason = reason_to_refuse(heartbeat); !reason.empty()) {
    refuse(source, reason);
    return std::nullopt;
  }
  if (source.direct()) {
    balancer_.count_direct();
    if (const ReplicaIndex replica = redirect_target(heartbeat); replica.valid()) {
      runtime_.reply(source.request, kStatusRedirect, wire::encode_redirect(replicas_.name(replica)));
      return std::nullopt;
    }
  } else {
    balancer_.count_forwarded();
  }
  const MachineIndex machine = workers_.find_or_add(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot);
  AcceptedHeartbeat accepted{source, machine, {}};
  switch (workers_.accept_heartbeat(machine, heartbeat, source.forwarder, accepted.commands)) {
  case WorkerRegistry::HeartbeatResult::Stale:
    refuse(source, "a newer report is known");
    return std::nullopt;
  case WorkerRegistry::HeartbeatResult::MachineFailed:
    refuse(source, "this machine has failed");
    return std::nullopt;
  case WorkerRegistry::HeartbeatResult::Accepted:
    return accepted;
  }
  return std::nullopt;
}

// ---- responses ----

void HeartbeatHandler::respond(AcceptedHeartbeat &&heartbeat) {
  const bool may_start = leadership_.active() && replicas_.may_answer_heartbeats();
  workers_.build_response(heartbeat.machine, may_start, heartbeat.commands);
  if (heartbeat.source.direct())
    runtime_.reply(heartbeat.source.request, kStatusOk, wire::encode_commands(leadership_.term(), heartbeat.commands));
  else
    send_to_forwarder(heartbeat.source, kStatusOk, std::move(heartbeat.commands));
}

void HeartbeatHandler::refuse(const HeartbeatSource &source, std::string_view reason) {
  if (source.direct())
    runtime_.refuse(source.request, reason);
  else
    send_to_forwarder(source, kStatusRefused, {});
}

void HeartbeatHandler::redirect_to_leader(const HeartbeatSource &source) {
  if (source.direct())
    redirect_to_leader(source.request);
  else
    send_to_forwarder(source, kStatusRedirect, {});
}

void HeartbeatHandler::redirect_to_leader(RequestId request) {
  runtime_.reply(request, kStatusRedirect, wire::encode_redirect(leader_name()));
}

void HeartbeatHandler::send_to_forwarder(const HeartbeatSource &source, int status, std::vector<TaskCommand> commands) {
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::Commands;
  message.nonce = source.number;
  message.term = status == kStatusOk ? leadership_.term() : leadership_.highest_term();
  message.sender = replicas_.own_sender_number();
  message.status = static_cast<std::uint16_t>(status);
  message.commands = std::move(commands);
  runtime_.send({ReplicaIndex(), source.link, std::move(message)});
}

// ---- forwarding ----

void HeartbeatHandler::forward(HeartbeatCommand &&cmd) {
  leadership_.observe_term(cmd.heartbeat.fencing_token, kHigherTermSeen);
  const ReplicaIndex target = forwarding_target(); // may have changed with the term
  const auto number =
      target.valid() ? forwarder_.add(cmd.req, cmd.heartbeat.machine, runtime_.now()) : std::optional<std::uint64_t>();
  if (!number) return redirect_to_leader(cmd.req);
  balancer_.count_direct();
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::Heartbeat;
  message.nonce = *number;
  message.term = leadership_.highest_term();
  message.sender = replicas_.own_sender_number();
  message.heartbeat = std::move(cmd.heartbeat);
  runtime_.send({target, 0, std::move(message)});
}

void HeartbeatHandler::handle_response(const wire::PeerMessage &message) {
  const bool worker_stays = message.status != kStatusRedirect;
  const auto request = forwarder_.complete(message.nonce, worker_stays);
  if (!request) return; // given up meanwhile
  if (message.status == kStatusOk && message.term >= leadership_.highest_term())
    return runtime_.reply(*request, kStatusOk, wire::encode_commands(message.term, message.commands));
  if (message.status == kStatusRefused) return runtime_.refuse(*request, "the leader has refused this report");
  redirect_to_leader(*request);
}

void HeartbeatHandler::tick() {
  const bool follows = leadership_.role() == Role::Follower;
  for (const RequestId request : follows ? forwarder_.expire(runtime_.now()) : forwarder_.give_up_all())
    redirect_to_leader(request);
}

// ---- spreading the load ----

// A redirected worker's lease is not renewed by this heartbeat, so the lease has to be fresh, and nothing that the
// heartbeat says may be urgent.
bool HeartbeatHandler::may_be_redirected(const Heartbeat &heartbeat, MachineIndex machine) {
  const auto exited = [](const TaskStatus &task) { return task.phase == TaskPhase::Exited; };
  if (std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), exited)) return false;
  if (!machine.valid()) return heartbeat.tasks.empty();
  const double redirected_s = runtime_.now() - get_or_create(redirected_at_, machine, -1e9);
  const double last_response_s = runtime_.now() - workers_[machine].heartbeat.last_accepted_at;
  return redirected_s >= kMinRedirectIntervalS && last_response_s <= 2 * settings_.heartbeat_interval_s;
}

ReplicaIndex HeartbeatHandler::least_loaded_forwarder() const {
  ReplicaIndex best;
  std::size_t fewest_workers = 0;
  for (const ReplicaIndex replica : replicas_.indices()) {
    const ReplicaState &state = replicas_[replica];
    if (!state.serving.can_forward || runtime_.now() - state.status_as_of > kStatusValidityS) continue;
    const std::size_t workers = workers_.available_count(replica);
    if (best.valid() && workers >= fewest_workers) continue;
    best = replica;
    fewest_workers = workers;
  }
  return best;
}

ReplicaIndex HeartbeatHandler::redirect_target(const Heartbeat &heartbeat) {
  if (!leadership_.active() || !balancer_.may_redirect(runtime_.now())) return {};
  const MachineIndex machine = workers_.index(heartbeat.machine);
  if (!may_be_redirected(heartbeat, machine)) return {};
  const ReplicaIndex target = least_loaded_forwarder();
  if (!target.valid()) return {};
  balancer_.count_redirect(runtime_.now());
  if (machine.valid()) redirected_at_[machine.position()] = runtime_.now();
  return target;
}

} // namespace loftrouter::core
