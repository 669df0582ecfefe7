// What the parts of the core see of the outside: the time, questions to the state service and the cloud, answers to
// whoever asked, the log.
//
// Owns the effects of a batch, the questions under way and the calls put off. Promises that every question's
// continuation runs once, with its answer. It may never read a clock or do I/O: time comes with the batch.
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

class Runtime {
public:
  using StoreFn = std::function<void(const wire::StoreReply &)>;
  using CloudFn = std::function<void(const wire::CloudReply &)>;

  explicit Runtime(std::uint64_t seed) : rng_(seed | 1) {}

  void begin(Now at);
  Effects take() { return std::exchange(effects_, {}); }

  double now() const { return now_.mono; }
  double wall() const { return now_.wall; }
  double up_s() const { return now_.mono - started_at_; }
  double random(); // from 0 to 1; spreads retries, and makes numbers that no earlier process has used
  std::uint64_t nonce() { return static_cast<std::uint64_t>(random() * 9e15); }

  OpId store(decltype(StoreOp::what) what, double deadline_s, StoreFn fn);
  OpId cloud(decltype(CloudOp::what) what, double deadline_s, CloudFn fn);
  void answered(const CmdStoreReply &cmd);
  void answered(const CmdCloudReply &cmd);
  void later(double delay_s, std::function<void()> fn); // with a tick
  void run_due();

  void reply(RequestId req, int status, std::string body, std::optional<int> retry = {});
  void reply_json(RequestId req, int status, std::string body, std::optional<int> retry = {});
  void refuse(RequestId req, std::string_view why, int retry = 1); // 503: cannot be told now
  // Stands for a user who has asked a sibling: what is replied to it goes there, on `link`, under the sibling's
  // number. Nothing: too many wait.
  static constexpr std::size_t kMaxProxiedRequests = 512;
  std::optional<RequestId> proxy_request(std::uint64_t link, std::uint64_t nonce);
  static bool is_proxied(RequestId req) { return req >= kFirstProxiedRequest; }
  void send(PeerSend message) { effects_.peers.push_back(std::move(message)); }
  void send(CellSend message) { effects_.cells.push_back(std::move(message)); }
  void call(WorkerCall call) { effects_.workers.push_back(std::move(call)); }

  void show(LogLevel most) { shown_ = most; }
  bool shows(LogLevel level) const { return level <= shown_; }
  void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

  // When the state service or the cloud last answered anything that came from itself; mono, far back: never.
  double state_ok_at() const { return state_ok_at_; }
  double state_ok_wall() const { return state_ok_wall_; }
  double cloud_ok_at() const { return cloud_ok_at_; }
  // Calls in a row, up to the last, that it has not answered; 0 if the last was long ago.
  int cloud_failures() const { return now_.mono - cloud_failed_at_ < 15 ? cloud_failures_ : 0; }

private:
  static constexpr RequestId kFirstProxiedRequest = RequestId(1) << 63; // far above those of connections
  void respond(Reply reply);

  Now now_;
  double started_at_ = -1;
  std::uint64_t rng_;
  Effects effects_;
  LogLevel shown_ = LogLevel::Debug;
  OpId next_op_ = 1;
  std::unordered_map<OpId, StoreFn> store_ops_;
  std::unordered_map<OpId, CloudFn> cloud_ops_;
  std::vector<std::pair<double, std::function<void()>>> later_;
  RequestId next_proxied_request_ = kFirstProxiedRequest;
  std::unordered_map<RequestId, std::pair<std::uint64_t, std::uint64_t>> proxied_requests_; // link and number
  double state_ok_at_ = -1e9, state_ok_wall_ = 0, cloud_ok_at_ = -1e9, cloud_failed_at_ = -1e9;
  int cloud_failures_ = 0;
};

} // namespace loftrouter::core
