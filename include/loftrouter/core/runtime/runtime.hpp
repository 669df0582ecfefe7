// The core's access to everything outside of it: the time, I/O requests to the state service and the cloud provider,
// responses to users, workers and replicas, and the log.
//
// Owns the effects of a batch, the I/O requests under way and the calls scheduled for later. Guarantees that the
// handler of every request runs at most once, with the reply to that request. It never reads a clock and does no I/O:
// time comes with each batch, and the effects are carried out by the caller. If it did, runs could not be repeated.
// Single-threaded, as all of the core.
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

  // The seed determines all that `random` returns. Each process uses its own.
  explicit Runtime(std::uint64_t seed) : random_state_(seed | 1) {}

  // ---- batches ----

  // Starts a batch at this time, without effects.
  void begin_batch(Now now);
  // The effects of the batch so far.
  [[nodiscard]] Effects take_effects() { return std::exchange(effects_, {}); }

  // ---- time and chance ----

  [[nodiscard]] double now() const { return now_.mono; }
  [[nodiscard]] double wall() const { return now_.wall; }
  [[nodiscard]] double uptime_s() const { return now_.mono - started_at_; }
  // From 0 up to 1, for spreading retries and for numbers that no earlier process has used. Not for secrets.
  [[nodiscard]] double random();
  [[nodiscard]] std::uint64_t nonce() { return static_cast<std::uint64_t>(random() * kNonceRange); }
  // The duration, changed at random by up to a fifth, so that replicas do not act in step.
  [[nodiscard]] double with_jitter(double duration_s);

  // ---- I/O requests ----

  // Sends a request to the state service or the cloud provider. The handler runs with its reply, at the latest when the
  // timeout is over: status 0, outcome unknown.
  OpId store(StoreRequest request, double timeout_s, StoreHandler handler);
  OpId cloud(CloudRequest request, double timeout_s, CloudHandler handler);
  // Hands a reply to the handler of its request. A reply to no pending request is ignored.
  void complete(const StoreReplyCommand &cmd);
  void complete(const CloudReplyCommand &cmd);

  // When the state service or the provider last gave an answer of its own; far in the past if never.
  [[nodiscard]] double state_service_answered_at() const { return state_service_answered_at_; }
  [[nodiscard]] double state_service_answered_at_wall() const { return state_service_answered_at_wall_; }
  [[nodiscard]] double provider_answered_at() const { return provider_answered_at_; }
  // How many calls in a row the provider has not answered; 0 if the last of them was long ago.
  [[nodiscard]] int consecutive_provider_failures() const;

  // ---- calls for later ----

  // Runs the call in the first batch that runs scheduled calls at least `delay_s` seconds from now.
  void schedule(double delay_s, std::function<void()> call);
  void run_scheduled();

  // ---- responses and messages ----

  // Responds to a request in CBOR or JSON. `retry_after_s`: what the client is told.
  void reply(RequestId request, int status, std::string body, std::optional<int> retry_after_s = {});
  void reply_json(RequestId request, int status, std::string body, std::optional<int> retry_after_s = {});
  // Responds with 503: this replica cannot serve the request now.
  void refuse(RequestId request, std::string_view reason, int retry_after_s = 1);

  // An id for the request of a user that another replica has forwarded: the response goes back on `link`, under the
  // forwarding replica's number. Nothing if too many are pending.
  static constexpr std::size_t kMaxProxiedRequests = 512;
  [[nodiscard]] std::optional<RequestId> proxy_request(std::uint64_t link, std::uint64_t number);
  [[nodiscard]] static bool is_proxied(RequestId request) { return request >= kFirstProxiedRequest; }

  void send(PeerSend message) { effects_.peers.push_back(std::move(message)); }
  void send(CellSend message) { effects_.cells.push_back(std::move(message)); }
  void call(WorkerCall call) { effects_.workers.push_back(std::move(call)); }

  // ---- log ----

  // The least important lines that are still made.
  void set_log_level(LogLevel level) { log_level_ = level; }
  [[nodiscard]] bool log_enabled(LogLevel level) const { return level <= log_level_; }
  void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

private:
  static constexpr RequestId kFirstProxiedRequest = RequestId(1) << 63; // far above those of connections
  static constexpr double kNonceRange = 9e15;                           // a double holds integers up to here

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
  double started_at_ = -1; // negative: not yet
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
