#include "loftrouter/core/heartbeats/heartbeat_handler.hpp"

#include <algorithm>

namespace loftrouter::core {

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
std::size_t sockets_for(const Settings &settings, double share) {
  return static_cast<std::size_t>(std::max(4.0, share * settings.fd_limit));
}
} // namespace

HeartbeatHandler::HeartbeatHandler(Runtime &runtime, const Settings &settings, Leadership &leadership,
                                   Replicas &replicas, ConnectivityMonitor &connectivity,
                                   const FailureDetector &failure_detector, WorkerRegistry &workers)
    : runtime_(runtime), settings_(settings), leadership_(leadership), replicas_(replicas), connectivity_(connectivity),
      failure_detector_(failure_detector), workers_(workers),
      relay_(sockets_for(settings, kRelaySockets), 3 * settings.heartbeat_interval_s + 2, runtime.nonce()),
      spread_({kDirectReports * settings.cpu_share, sockets_for(settings, kLeaderSockets)}) {}

// The sibling that says it leads, with the highest term known here; -1 if none does.
int HeartbeatHandler::leading_replica() const {
  for (std::size_t i = 0; i < replicas_.count(); ++i) {
    const auto &s = replicas_[i];
    if (s.leads && s.term >= leadership_.highest_term() && runtime_.now() - s.stated_at < kWordLife)
      return static_cast<int>(i);
  }
  return -1;
}

// The same if it wants reports passed on and this node may do so.
int HeartbeatHandler::relay_to() const {
  if (leadership_.role() != Role::Follower || relay_.broken(runtime_.now())) return -1;
  const int i = leading_replica();
  return i >= 0 && replicas_[static_cast<std::size_t>(i)].spreads ? i : -1;
}

std::string_view HeartbeatHandler::leader_by_word() const {
  if (const int i = leading_replica(); i >= 0) return replicas_.name(static_cast<std::size_t>(i));
  return !leadership_.leader_name().empty() && runtime_.now() - leadership_.leader_seen() < kLeaderKnownFor
             ? std::string_view(leadership_.leader_name())
             : std::string_view();
}

Replicas::Standing HeartbeatHandler::standing() const {
  const bool leads = leadership_.leading() && replicas_.answering();
  return {leads, leads && spread_.wanted(), relay_to() >= 0 && relay_.has_room()};
}

HeartbeatHandler::Load HeartbeatHandler::load() const {
  const bool leads = leadership_.leading();
  return {spread_.direct_rate(),
          spread_.limits().reports,
          spread_.passed_rate(),
          leads ? workers_.available_count(-1) : relay_.workers(),
          leads ? spread_.limits().sockets : relay_.most(),
          leads && spread_.wanted()};
}

void HeartbeatHandler::count_rates() {
  const auto &own = connectivity_.own();
  if (leadership_.leading() &&
      (failure_detector_.in_part() || (own.workers != WorkerReachability::Reachable && connectivity_.carried(own))))
    spread_.call_for(runtime_.now() + kCalledFor);
  spread_.tick(runtime_.now(), Replicas::kPingEvery, leadership_.leading() ? workers_.available_count(-1) : 0);
}

void HeartbeatHandler::pong_taken(const wire::PeerMessage &message) {
  if (message.leads && message.term >= leadership_.highest_term()) spread_known_ = message.spreads;
}

void HeartbeatHandler::on(const MachineRemoved &event) {
  if (event.machine.position() < sent_away_.size()) sent_away_[event.machine.position()] = -1e9;
}

std::optional<HeartbeatHandler::Pending> HeartbeatHandler::take(CmdHeartbeat &&cmd) {
  // A copy of an old report says nothing of who reaches this node; a leader can tell.
  const MachineIndex known = leadership_.leading() ? workers_.index(cmd.report.machine) : MachineIndex();
  if (!known.valid() || std::pair(cmd.report.incarnation, cmd.report.sequence) >
                            std::pair(workers_[known].heartbeat.incarnation, workers_[known].heartbeat.sequence))
    connectivity_.heard(cmd.report.zone);
  if (relay_to() < 0) {
    if (leadership_.role() == Role::Follower) relay_.left(cmd.report.machine);
    return hear({.req = cmd.req}, cmd.report);
  }
  pass_on(std::move(cmd));
  return std::nullopt;
}

std::optional<HeartbeatHandler::Pending> HeartbeatHandler::take_passed(const CmdPeer &cmd) {
  const int replica = replicas_.by_sender(cmd.message.sender);
  if (replica < 0) return std::nullopt; // not from a node of these settings
  connectivity_.forwarded_heartbeat_received();
  return hear({.link = cmd.link, .nonce = cmd.message.nonce, .replica = replica}, cmd.message.heartbeat);
}

std::optional<HeartbeatHandler::Pending> HeartbeatHandler::hear(const Asker &from, const Heartbeat &heartbeat) {
  leadership_.observe_term(heartbeat.fencing_token, "a worker has seen a higher term");
  auto no = [&](std::string_view why) {
    tell(from, 503, {}, why);
    return std::nullopt;
  };
  if (!leadership_.leading()) {
    tell(from, 421);
    return std::nullopt;
  }
  if (!replicas_.answering()) return no("leadership is being renewed");
  // A machine that was given back can only speak through packets held up on the way.
  if (workers_.removed_at(heartbeat.machine)) return no("this machine was given back");
  if (unsure_ && unsure_(heartbeat)) return no("what it runs for another cell is being confirmed");
  spread_.heard(from.direct());
  if (from.direct())
    if (const int s = keeper_for(heartbeat); s >= 0) {
      runtime_.reply(from.req, 421, wire::encode_redirect(replicas_.name(static_cast<std::size_t>(s))));
      return std::nullopt;
    }
  const MachineIndex machine_index =
      workers_.find_or_add(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot);
  Pending p{from, machine_index, {}};
  switch (workers_.accept_heartbeat(machine_index, heartbeat, from.replica, p.orders)) {
  case WorkerRegistry::HeartbeatResult::Stale:
    return no("a newer report is known");
  case WorkerRegistry::HeartbeatResult::MachineFailed:
    return no("this machine has failed");
  case WorkerRegistry::HeartbeatResult::Accepted:
    break;
  }
  return p;
}

void HeartbeatHandler::answer(Pending &&p) {
  workers_.build_response(p.machine, leadership_.active() && replicas_.answering(), p.orders);
  tell(p.from, 200, p.orders);
}

void HeartbeatHandler::pass_on(CmdHeartbeat &&cmd) {
  leadership_.observe_term(cmd.report.fencing_token, "a worker has seen a higher term");
  const int to = relay_to(); // may have changed with that
  const auto nonce = to >= 0 ? relay_.take(cmd.req, cmd.report.machine, runtime_.now()) : std::nullopt;
  if (!nonce) return send_elsewhere(cmd.req);
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::Heartbeat;
  message.nonce = *nonce;
  message.term = leadership_.highest_term();
  message.sender = replicas_.self();
  message.heartbeat = std::move(cmd.report);
  spread_.heard(true);
  runtime_.send({to, 0, std::move(message)});
}

void HeartbeatHandler::send_elsewhere(RequestId req) {
  runtime_.reply(req, 421, wire::encode_redirect(leader_by_word()));
}

// The answer to the report that was passed on under this number, and to no other.
void HeartbeatHandler::take_orders(const wire::PeerMessage &message) {
  const auto req = relay_.answered(message.nonce, message.status != 421);
  if (!req) return; // given up
  if (message.status == 200 && message.term >= leadership_.highest_term())
    return runtime_.reply(*req, 200, wire::encode_commands(message.term, message.commands));
  if (message.status == 503) return runtime_.refuse(*req, "the leader has refused this report");
  send_elsewhere(*req);
}

void HeartbeatHandler::tick() {
  for (RequestId req : leadership_.role() == Role::Follower ? relay_.give_up(runtime_.now()) : relay_.give_up_all())
    send_elsewhere(req);
}

void HeartbeatHandler::tell(const Asker &from, int status, const std::vector<TaskCommand> &orders,
                            std::string_view why) {
  if (!from.direct()) {
    wire::PeerMessage message;
    message.kind = wire::PeerMessage::Kind::Commands;
    message.nonce = from.nonce;
    message.term = status == 200 ? leadership_.term() : leadership_.highest_term();
    message.sender = replicas_.self();
    message.status = static_cast<std::uint16_t>(status);
    message.commands = orders;
    return runtime_.send({-1, from.link, std::move(message)});
  }
  if (status == 200) return runtime_.reply(from.req, 200, wire::encode_commands(leadership_.term(), orders));
  if (status == 421) return send_elsewhere(from.req);
  runtime_.refuse(from.req, why);
}

// The sibling that this worker is sent to, or -1. Its lease is not renewed by that, so it has to be fresh, and
// nothing it tells may wait.
int HeartbeatHandler::keeper_for(const Heartbeat &heartbeat) {
  if (!leadership_.active() || !spread_.may_send_away(runtime_.now())) return -1;
  const MachineIndex known = workers_.index(heartbeat.machine);
  if (known.valid()) {
    if (runtime_.now() - grown(sent_away_, known, -1e9) < kSentAwayAgain ||
        runtime_.now() - workers_[known].heartbeat.last_accepted_at > 2 * settings_.heartbeat_interval_s)
      return -1;
  } else if (!heartbeat.tasks.empty()) {
    return -1;
  }
  if (std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                  [](const auto &t) { return t.phase == TaskPhase::Exited; }))
    return -1;
  int best = -1;
  std::size_t least = 0;
  for (std::size_t i = 0; i < replicas_.count(); ++i) {
    const auto &s = replicas_[i];
    if (!s.passes || runtime_.now() - s.stated_at > kWordLife) continue;
    if (const auto keeps = workers_.available_count(static_cast<int>(i)); best < 0 || keeps < least) {
      best = static_cast<int>(i);
      least = keeps;
    }
  }
  if (best < 0) return -1;
  spread_.sent_away(runtime_.now());
  if (known.valid()) sent_away_[known.position()] = runtime_.now();
  return best;
}

} // namespace loftrouter::core
