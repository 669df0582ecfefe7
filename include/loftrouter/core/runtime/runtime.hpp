// The core's interface to the outside: time, requests to the state service and the cloud provider, responses, messages
// and the log.
//
// Owns the effects of a batch, the pending I/O requests and the scheduled calls. The handler of a request runs at most
// once, with the reply to that request. The runtime reads no clock and does no I/O, so that runs are deterministic:
// each batch carries its time, and the caller performs the effects. Single-threaded, like the rest of the core.
#pragma once

#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "loftrouter/core/runtime/effects.hpp"

namespace loftrouter::core {

// Times are in seconds, on the monotonic clock unless a name ends in `wall`.
class Runtime {
public:
  using StoreHandler = std::function<void(const wire::StoreReply &)>;
  using CloudHandler = std::function<void(const wire::CloudReply &)>;

  // The seed determines the random numbers. Each process needs a different one.
  explicit Runtime(std::uint64_t seed) : random_state_(seed | 1) {}

  // ---- batches ----

  // Starts a batch and discards the effects of the previous one.
  void begin_batch(Now now);
  // Returns and clears the effects of the batch so far.
  [[nodiscard]] Effects take_effects() { return std::exchange(effects_, {}); }

  // ---- time and random numbers ----

  [[nodiscard]] double now() const { return now_.mono; }
  [[nodiscard]] double wall() const { return now_.wall; } // since 1970
  [[nodiscard]] double uptime_s() const { return now_.mono - started_at_; }
  // Returns a number in [0, 1). Not for secrets.
  [[nodiscard]] double random();
  [[nodiscard]] std::uint64_t nonce() { return static_cast<std::uint64_t>(random() * kNonceRange); }
  // Returns the duration with a random jitter of 20 % either way, so that replicas do not act in lockstep.
  [[nodiscard]] double with_jitter(double duration_s);

  // ---- I/O requests ----

  // Sends a request to the state service or the cloud provider. The handler receives the reply, or status 0 (outcome
  // unknown) at the timeout.
  OpId store(StoreRequest request, double timeout_s, StoreHandler handler);
  OpId cloud(CloudRequest request, double timeout_s, CloudHandler handler);
  // Passes a reply to the handler of its request. Ignores a reply that matches no pending request.
  void complete(const StoreReplyCommand &cmd);
  void complete(const CloudReplyCommand &cmd);

  // Times of the last response from the service itself, not from a proxy; far in the past if there was none.
  [[nodiscard]] double state_service_answered_at() const { return state_service_answered_at_; }
  [[nodiscard]] double state_service_answered_at_wall() const { return state_service_answered_at_wall_; }
  [[nodiscard]] double provider_answered_at() const { return provider_answered_at_; }
  // Returns the number of consecutive failed calls to the provider; 0 if the last failure was long ago.
  [[nodiscard]] int consecutive_provider_failures() const;

  // ---- scheduled calls ----

  // Schedules a call for the first `run_scheduled` at least `delay_s` from now.
  void schedule(double delay_s, std::function<void()> call);
  void run_scheduled();

  // ---- responses and messages ----

  // Responds to a request with a CBOR or JSON body and an optional Retry-After.
  void reply(RequestId request, int status, std::string body, std::optional<int> retry_after_s = {});
  void reply_json(RequestId request, int status, std::string body, std::optional<int> retry_after_s = {});
  // Responds with 503.
  void refuse(RequestId request, std::string_view reason, int retry_after_s = 1);

  static constexpr std::size_t kMaxProxiedRequests = 512;
  // Returns a request id for a user's request that another replica has forwarded, or nothing if too many are pending.
  // The response is sent on `link` with that replica's `number`.
  [[nodiscard]] std::optional<RequestId> proxy_request(std::uint64_t link, std::uint64_t number);
  [[nodiscard]] static bool is_proxied(RequestId request) { return request >= kFirstProxiedRequest; }

  void send(PeerSend message) { effects_.peers.push_back(std::move(message)); }
  void send(CellSend message) { effects_.cells.push_back(std::move(message)); }
  void call(WorkerCall call) { effects_.workers.push_back(std::move(call)); }

  // ---- log ----

  // Sets the most verbose level that is logged.
  void set_log_level(LogLevel level) { log_level_ = level; }
  [[nodiscard]] bool log_enabled(LogLevel level) const { return level <= log_level_; }
  void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

private:
  static constexpr RequestId kFirstProxiedRequest = RequestId(1) << 63; // above the ids of local connections
  static constexpr double kNonceRange = 9e15; // a double represents integers up to 2^53 exactly

  struct ProxiedRequest {
    std::uint64_t link;
    std::uint64_t number;
  };
  struct ScheduledCall {
    double at;
    std::function<void()> call;
  };

  void respond(Reply reply);

  Now now_;
  double started_at_ = -1; // negative: no batch yet
  std::uint64_t random_state_;
  Effects effects_;
  LogLevel log_level_ = LogLevel::Debug;

  OpId next_op_ = 1;
  std::unordered_map<OpId, StoreHandler> pending_store_;
  std::unordered_map<OpId, CloudHandler> pending_cloud_;
  std::vector<ScheduledCall> scheduled_;

  RequestId last_proxied_request_ = kFirstProxiedRequest;
  std::unordered_map<RequestId, ProxiedRequest> proxied_requests_;

  double state_service_answered_at_ = -1e9;
  double state_service_answered_at_wall_ = 0;
  double provider_answered_at_ = -1e9;
  double provider_failed_at_ = -1e9;
  int provider_failures_ = 0;
};

} // namespace loftrouter::core
