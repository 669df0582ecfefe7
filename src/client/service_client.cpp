#include "loftrouter/client/service_client.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <thread>

#include <curl/curl.h>

namespace loftrouter::client {

namespace {

constexpr double kTryTimeoutS = 5.0;
constexpr double kMinTryTimeoutS = 0.05;
constexpr double kFirstPauseS = 0.2;
constexpr double kMaxPauseS = 3.0;
constexpr curl_off_t kMaxRetryAfterS = 3600;
constexpr std::size_t kMaxAnswerBytes = 64 << 20;
constexpr int kServiceUnavailable = 503;

using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using CurlHeaders = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

// Called by libcurl with each part of a body; fewer bytes than it was given end the transfer.
std::size_t append_body(char *data, std::size_t size, std::size_t count, void *target) {
  auto &body = *static_cast<std::string *>(target);
  const std::size_t bytes = size * count;
  if (body.size() + bytes > kMaxAnswerBytes) return 0;
  body.append(data, bytes);
  return bytes;
}

std::string server_url(std::string server) {
  while (!server.empty() && server.back() == '/')
    server.pop_back();
  if (server.empty() || server.find("://") != std::string::npos) return server;
  return "http://" + server;
}

Answer curl_request(const std::string &method, const std::string &url, const std::string &body, double timeout_s) {
  Answer answer;
  const CurlHandle curl(curl_easy_init(), curl_easy_cleanup);
  if (!curl) {
    answer.problem = "out of memory";
    return answer;
  }
  const CurlHeaders headers(curl_slist_append(nullptr, "Content-Type: application/json"), curl_slist_free_all);
  curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_s * 1000));
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &answer.body);
  if (!body.empty()) {
    curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
  }
  const CURLcode code = curl_easy_perform(curl.get());
  if (code != CURLE_OK) {
    answer.problem = curl_easy_strerror(code);
    return answer;
  }
  long status = 0;
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
  curl_off_t retry_after_s = 0;
  curl_easy_getinfo(curl.get(), CURLINFO_RETRY_AFTER, &retry_after_s);
  answer.status = static_cast<int>(status);
  answer.retry_after_s = static_cast<int>(std::min(retry_after_s, kMaxRetryAfterS));
  return answer;
}

} // namespace

ServiceClient::ServiceClient(const std::string &servers, double deadline_s, Transport transport, Clock clock)
    : deadline_s_(deadline_s), transport_(std::move(transport)), clock_(std::move(clock)) {
  std::size_t begin = 0;
  while (begin <= servers.size()) {
    const std::size_t end = std::min(servers.find(',', begin), servers.size());
    const std::string url = server_url(servers.substr(begin, end - begin));
    if (!url.empty()) servers_.push_back(url);
    begin = end + 1;
  }
}

Answer ServiceClient::ask(const std::string &method, const std::string &path, const std::string &body) {
  const double deadline = clock_.now_s() + deadline_s_;
  const bool repeatable = method == "GET" || method == "PUT";
  Answer last;
  last.problem = "no server is named";
  if (servers_.empty()) return last;
  double pause_s = kFirstPauseS;
  while (true) {
    const auto &server = servers_[next_server_ % servers_.size()];
    const double left_s = deadline - clock_.now_s();
    last = transport_(method, server + path, body, std::min(kTryTimeoutS, std::max(kMinTryTimeoutS, left_s)));
    if (last.status != 0 && last.status != kServiceUnavailable) return last;
    ++next_server_; // another replica may be better off
    const double wait_s = std::max<double>(last.retry_after_s, pause_s * (0.5 + clock_.random()));
    if (!repeatable || clock_.now_s() + wait_s >= deadline) return last;
    clock_.sleep_s(wait_s);
    pause_s = std::min(2 * pause_s, kMaxPauseS);
  }
}

Transport curl_transport() {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  return curl_request;
}

Clock real_clock() {
  const auto now_s = [] {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
  };
  const auto sleep_s = [](double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); };
  auto random = [engine = std::mt19937(std::random_device{}())]() mutable {
    return std::uniform_real_distribution<double>(0, 1)(engine);
  };
  return {now_s, sleep_s, std::move(random)};
}

} // namespace loftrouter::client
