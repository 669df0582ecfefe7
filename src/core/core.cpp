#include "loftrouter/core/core.hpp"

#include <fmt/format.h>

namespace loft::core {

namespace {
// Sockets are also needed for users, siblings and the services outside.
constexpr double kRelaySockets = 0.6, kLeaderSockets = 0.4;
// Reports a second that a leader takes straight from workers, for a whole core: beyond that siblings read them for
// it, so that most of its processor stays with placing. See docs/fleet-scale.md for the costs behind it.
constexpr double kDirectReports = 600;
std::size_t sockets_for(const Settings &s, double share) {
  return static_cast<std::size_t>(std::max(4.0, share * s.fd_limit));
}
} // namespace

Core::Core(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), rng_(seed | 1),
      relay_(sockets_for(settings_, kRelaySockets), 3 * settings_.report_s + 2,
             static_cast<std::uint64_t>(random() * 9e15)),
      spread_({kDirectReports * settings_.cpu_share, sockets_for(settings_, kLeaderSockets)}) {
  double nodes = static_cast<double>(settings_.siblings.size() + 1);
  const double w = settings_.state_write_rps, r = settings_.state_rps;
  // The state service counts all nodes together: the leader's lease is outside these budgets, users' writes come
  // next, and progress has the rest. What siblings do not use is shared out anew all the time (`share_budgets`). Bursts
  // may add up to a little more than one second's worth; a refusal by rate is retried.
  user_writes_ = TokenBucket(kUserWrites * w / nodes, std::max(1.0, 0.25 * w));
  leader_writes_ = TokenBucket((1 - kUserWrites) * w, std::max<double>(0.5 * w, 3));
  user_reads_ = TokenBucket(kUserReads * r / nodes, std::max(2.0, 0.7 * r / nodes));
  cloud_calls_ = TokenBucket(0.7 * settings_.cloud_rps, std::max(1.0, 0.7 * settings_.cloud_rps));
  siblings_.resize(settings_.siblings.size());
  // A restarted node must not take an answer to its former self's question for its own.
  ping_nonce_ = static_cast<std::uint64_t>(random() * 9e15);
  std::vector<std::pair<std::string, int>> names{{settings_.node, -1}};
  for (std::size_t i = 0; i < settings_.siblings.size(); ++i)
    names.emplace_back(settings_.siblings[i].node, static_cast<int>(i));
  std::sort(names.begin(), names.end());
  for (const auto &[name, i] : names) {
    if (i < 0) self_ = static_cast<std::uint8_t>(by_name_.size());
    by_name_.push_back(i);
  }
  for (const auto &t : settings_.teams)
    team_names_.get(t.name);
  for (const auto &z : settings_.zones)
    zone_names_.get(z);
}

double Core::random() { // xorshift64*: only spreads retries, so quality does not matter
  rng_ ^= rng_ >> 12;
  rng_ ^= rng_ << 25;
  rng_ ^= rng_ >> 27;
  return static_cast<double>((rng_ * 0x2545F4914F6CDD1DULL) >> 11) / 9007199254740992.0;
}

Effects Core::apply(std::vector<Command> batch, Now at) {
  now_ = at;
  if (started_at_ < 0) started_at_ = at.mono;
  effects_ = {};
  for (auto &c : batch)
    std::visit([this](auto &&cmd) { on(std::move(cmd)); }, std::move(c));
  confirm_questions();
  if (role_ == Role::Leading) {
    if (round_wanted_ && now() >= next_round_) round();
    flush();
    send_stops();
  }
  return std::move(effects_);
}

void Core::later(double delay_s, std::function<void()> fn) {
  later_.emplace_back(now() + delay_s, std::move(fn));
}

void Core::on(CmdTick &&) {
  auto waiting = std::move(later_);
  later_.clear();
  for (auto &[at, fn] : waiting) {
    if (now() >= at)
      fn();
    else
      later_.emplace_back(at, std::move(fn));
  }
  tick_term();
  tick_peers();
  give_up_relayed();
  tick_cloud();
  load_conf();
  if (role_ != Role::Leading) return;
  age_unaccounted();
  tick_fleet();
  if (now() >= next_round_) round();
  if (now() >= next_ahead_) plan_ahead();
  tell_siblings();
}

void Core::on(CmdUp &&cmd) {
  bool ok = types_known_ && (now() - store_ok_at_ < 3.0 || common_outage());
  if (ok)
    reply(cmd.req, 200, "");
  else
    refuse(cmd.req, types_known_ ? "state service out of reach" : "starting up");
}

void Core::on(CmdStoreReply &&cmd) {
  auto it = store_ops_.find(cmd.op);
  if (it == store_ops_.end()) return;
  auto fn = std::move(it->second);
  store_ops_.erase(it);
  int s = cmd.reply.status;
  if (s == 200 || s == 404 || s == 409 || s == 410) {
    store_ok_at_ = now();
    store_ok_wall_ = now_.wall;
  }
  fn(cmd.reply);
}

void Core::on(CmdCloudReply &&cmd) {
  auto it = cloud_ops_.find(cmd.op);
  if (it == cloud_ops_.end()) return;
  auto fn = std::move(it->second);
  cloud_ops_.erase(it);
  if (cmd.reply.status == 200 || cmd.reply.no_capacity) cloud_ok_at_ = now();
  fn(cmd.reply);
}

OpId Core::store(decltype(StoreOp::what) what, double deadline_s, StoreFn fn) {
  OpId op = next_op_++;
  store_ops_.emplace(op, std::move(fn));
  effects_.store.push_back({op, deadline_s, std::move(what)});
  return op;
}

OpId Core::cloud(decltype(CloudOp::what) what, double deadline_s, CloudFn fn) {
  OpId op = next_op_++;
  cloud_ops_.emplace(op, std::move(fn));
  effects_.cloud.push_back({op, deadline_s, std::move(what)});
  return op;
}

void Core::reply(RequestId req, int status, std::string body, std::optional<int> retry) {
  effects_.replies.push_back({req, status, std::move(body), retry});
}

void Core::refuse(RequestId req, std::string_view why, int retry) {
  log(LogLevel::Debug, fmt::format("refused: {}", why));
  reply(req, 503, wire::encode_error(why), retry);
}

void Core::log(LogLevel level, std::string text) {
  effects_.logs.push_back({level, std::move(text)});
}

} // namespace loft::core
