#include "loftrouter/core/runtime/runtime.hpp"

#include <algorithm>

namespace loftrouter::core {

namespace {
constexpr double kProviderFailureValidityS = 15.0;
constexpr double kJitter = 0.2; // fraction of the duration, either way

// Returns whether the status was produced by the state service itself, as opposed to rate limiting or a proxy.
bool is_service_status(int status) {
  return status == 200 || status == 404 || status == 409 || status == 410;
}
} // namespace

void Runtime::begin_batch(Now now) {
  now_ = now;
  if (started_at_ < 0) started_at_ = now.mono;
  effects_ = {};
}

double Runtime::random() { // xorshift64*
  random_state_ ^= random_state_ >> 12;
  random_state_ ^= random_state_ << 25;
  random_state_ ^= random_state_ >> 27;
  const std::uint64_t bits = (random_state_ * 0x2545F4914F6CDD1DULL) >> 11; // 53 bits
  return static_cast<double>(bits) / 9007199254740992.0;
}

double Runtime::with_jitter(double duration_s) {
  return duration_s * (1 - kJitter + 2 * kJitter * random());
}

// ---- I/O requests ----

OpId Runtime::store(StoreRequest request, double timeout_s, StoreHandler handler) {
  const OpId op = next_op_++;
  pending_store_.emplace(op, std::move(handler));
  effects_.store.push_back({op, timeout_s, std::move(request)});
  return op;
}

OpId Runtime::cloud(CloudRequest request, double timeout_s, CloudHandler handler) {
  const OpId op = next_op_++;
  pending_cloud_.emplace(op, std::move(handler));
  effects_.cloud.push_back({op, timeout_s, std::move(request)});
  return op;
}

void Runtime::complete(const StoreReplyCommand &cmd) {
  const auto pending = pending_store_.find(cmd.op);
  if (pending == pending_store_.end()) return;
  const StoreHandler handler = std::move(pending->second);
  pending_store_.erase(pending);
  if (is_service_status(cmd.reply.status)) {
    state_service_answered_at_ = now();
    state_service_answered_at_wall_ = wall();
  }
  handler(cmd.reply);
}

void Runtime::complete(const CloudReplyCommand &cmd) {
  const auto pending = pending_cloud_.find(cmd.op);
  if (pending == pending_cloud_.end()) return;
  const CloudHandler handler = std::move(pending->second);
  pending_cloud_.erase(pending);
  const int status = cmd.reply.status;
  if (status == 200 || cmd.reply.no_capacity) {
    provider_answered_at_ = now();
    provider_failures_ = 0;
  } else if (status == 0 || status >= 500) {
    ++provider_failures_;
    provider_failed_at_ = now();
  }
  handler(cmd.reply);
}

int Runtime::consecutive_provider_failures() const {
  return now() - provider_failed_at_ < kProviderFailureValidityS ? provider_failures_ : 0;
}

// ---- scheduled calls ----

void Runtime::schedule(double delay_s, std::function<void()> call) {
  scheduled_.push_back({now() + delay_s, std::move(call)});
}

// A call may schedule others; those come before the calls that are not due yet.
void Runtime::run_scheduled() {
  auto pending = std::exchange(scheduled_, {});
  for (ScheduledCall &scheduled : pending) {
    if (now() >= scheduled.at)
      scheduled.call();
    else
      scheduled_.push_back(std::move(scheduled));
  }
}

// ---- responses ----

void Runtime::reply(RequestId request, int status, std::string body, std::optional<int> retry_after_s) {
  respond({request, status, std::move(body), retry_after_s});
}

void Runtime::reply_json(RequestId request, int status, std::string body, std::optional<int> retry_after_s) {
  respond({request, status, std::move(body), retry_after_s, true});
}

void Runtime::refuse(RequestId request, std::string_view reason, int retry_after_s) {
  if (log_enabled(LogLevel::Debug)) log(LogLevel::Debug, "request_refused", {{"reason", reason}});
  reply(request, 503, wire::encode_error(reason), retry_after_s);
}

std::optional<RequestId> Runtime::proxy_request(std::uint64_t link, std::uint64_t number) {
  if (proxied_requests_.size() >= kMaxProxiedRequests) return std::nullopt;
  proxied_requests_[++last_proxied_request_] = {link, number};
  return last_proxied_request_;
}

void Runtime::respond(Reply reply) {
  if (!is_proxied(reply.req)) {
    effects_.replies.push_back(std::move(reply));
    return;
  }
  const auto proxied = proxied_requests_.find(reply.req);
  if (proxied == proxied_requests_.end()) return;
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::UserResponse;
  message.nonce = proxied->second.number;
  message.status = static_cast<std::uint16_t>(reply.status);
  message.retry_s = static_cast<std::uint16_t>(std::max(0, reply.retry_after.value_or(0)));
  message.body = std::move(reply.body);
  send({ReplicaIndex(), proxied->second.link, std::move(message)});
  proxied_requests_.erase(proxied);
}

// ---- log ----

void Runtime::log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  if (log_enabled(level)) effects_.logs.push_back({level, std::string(event), fields});
}

} // namespace loftrouter::core
