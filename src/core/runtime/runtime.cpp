#include "loftrouter/core/runtime/runtime.hpp"

#include <algorithm>

namespace loftrouter::core {

void Runtime::begin(Now at) {
  now_ = at;
  if (started_at_ < 0) started_at_ = at.mono;
  effects_ = {};
}

double Runtime::random() { // xorshift64*: only spreads retries, so quality does not matter
  rng_ ^= rng_ >> 12;
  rng_ ^= rng_ << 25;
  rng_ ^= rng_ >> 27;
  return static_cast<double>((rng_ * 0x2545F4914F6CDD1DULL) >> 11) / 9007199254740992.0;
}

OpId Runtime::store(decltype(StoreOp::what) what, double deadline_s, StoreFn fn) {
  const OpId op = next_op_++;
  store_ops_.emplace(op, std::move(fn));
  effects_.store.push_back({op, deadline_s, std::move(what)});
  return op;
}

OpId Runtime::cloud(decltype(CloudOp::what) what, double deadline_s, CloudFn fn) {
  const OpId op = next_op_++;
  cloud_ops_.emplace(op, std::move(fn));
  effects_.cloud.push_back({op, deadline_s, std::move(what)});
  return op;
}

void Runtime::answered(const CmdStoreReply &cmd) {
  auto it = store_ops_.find(cmd.op);
  if (it == store_ops_.end()) return;
  auto fn = std::move(it->second);
  store_ops_.erase(it);
  const int s = cmd.reply.status;
  if (s == 200 || s == 404 || s == 409 || s == 410) {
    state_ok_at_ = now();
    state_ok_wall_ = wall();
  }
  fn(cmd.reply);
}

void Runtime::answered(const CmdCloudReply &cmd) {
  auto it = cloud_ops_.find(cmd.op);
  if (it == cloud_ops_.end()) return;
  auto fn = std::move(it->second);
  cloud_ops_.erase(it);
  if (cmd.reply.status == 200 || cmd.reply.no_capacity) {
    cloud_ok_at_ = now();
    cloud_failures_ = 0;
  } else if (cmd.reply.status == 0 || cmd.reply.status >= 500) {
    ++cloud_failures_;
    cloud_failed_at_ = now();
  }
  fn(cmd.reply);
}

void Runtime::later(double delay_s, std::function<void()> fn) {
  later_.emplace_back(now() + delay_s, std::move(fn));
}

void Runtime::run_due() {
  auto waiting = std::exchange(later_, {});
  for (auto &[at, fn] : waiting) {
    if (now() >= at)
      fn();
    else
      later_.emplace_back(at, std::move(fn));
  }
}

void Runtime::reply(RequestId req, int status, std::string body, std::optional<int> retry) {
  respond({req, status, std::move(body), retry});
}

void Runtime::reply_json(RequestId req, int status, std::string body, std::optional<int> retry) {
  respond({req, status, std::move(body), retry, true});
}

std::optional<RequestId> Runtime::proxy_request(std::uint64_t link, std::uint64_t nonce) {
  if (proxied_requests_.size() >= kMaxProxiedRequests) return std::nullopt;
  proxied_requests_[++next_proxied_request_] = {link, nonce};
  return next_proxied_request_;
}

void Runtime::respond(Reply r) {
  if (!is_proxied(r.req)) {
    effects_.replies.push_back(std::move(r));
    return;
  }
  const auto it = proxied_requests_.find(r.req);
  if (it == proxied_requests_.end()) return;
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::UserResponse;
  message.nonce = it->second.second;
  message.status = static_cast<std::uint16_t>(r.status);
  message.retry_s = static_cast<std::uint16_t>(std::max(0, r.retry_after.value_or(0)));
  message.body = std::move(r.body);
  send({-1, it->second.first, std::move(message)});
  proxied_requests_.erase(it);
}

void Runtime::refuse(RequestId req, std::string_view why, int retry) {
  if (shows(LogLevel::Debug)) log(LogLevel::Debug, "request_refused", {{"why", why}});
  reply(req, 503, wire::encode_error(why), retry);
}

void Runtime::log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  if (shows(level)) effects_.logs.push_back({level, std::string(event), fields});
}

} // namespace loftrouter::core
