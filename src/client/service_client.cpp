#include "loftrouter/client/service_client.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <random>
#include <thread>

#include <curl/curl.h>

namespace loftrouter::client {

namespace {
constexpr double kTryTimeoutS = 5.0;                 // s, for one try
constexpr double kFirstPauseS = 0.2, kMaxPauseS = 3; // s, between tries
constexpr std::size_t kMaxAnswerBytes = 64 << 20;    // of an answer

std::size_t take(char *data, std::size_t size, std::size_t n, void *to) {
  auto &body = *static_cast<std::string *>(to);
  if (body.size() + size * n > kMaxAnswerBytes) return 0; // ends the transfer
  body.append(data, size * n);
  return size * n;
}
} // namespace

ServiceClient::ServiceClient(const std::string &servers, double deadline_s, Transport transport, Clock clock)
    : deadline_s_(deadline_s), transport_(std::move(transport)), clock_(std::move(clock)) {
  for (std::size_t from = 0; from <= servers.size();) {
    const auto to = std::min(servers.find(',', from), servers.size());
    auto one = servers.substr(from, to - from);
    while (!one.empty() && one.back() == '/')
      one.pop_back();
    if (!one.empty()) servers_.push_back(one.find("://") == std::string::npos ? "http://" + one : one);
    from = to + 1;
  }
}

Answer ServiceClient::ask(const std::string &method, const std::string &path, const std::string &body) {
  const double until = clock_.now() + deadline_s_;
  const bool again = method == "GET" || method == "PUT";
  Answer last;
  last.problem = "no server is named";
  for (double pause = kFirstPauseS; !servers_.empty(); pause = std::min(2 * pause, kMaxPauseS)) {
    const auto &server = servers_[next_ % servers_.size()];
    last = transport_(method, server + path, body, std::min(kTryTimeoutS, std::max(0.05, until - clock_.now())));
    if (last.status != 0 && last.status != 503) return last;
    ++next_; // another node may be better off
    const double wait = std::max<double>(last.retry_after_s, pause * (0.5 + clock_.chance()));
    if (!again || clock_.now() + wait >= until) return last;
    clock_.sleep(wait);
  }
  return last;
}

Transport curl_transport() {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  return [](const std::string &method, const std::string &url, const std::string &body, double timeout_s) {
    Answer a;
    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> c(curl_easy_init(), curl_easy_cleanup);
    if (!c) {
      a.problem = "out of memory";
      return a;
    }
    std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
        curl_slist_append(nullptr, "Content-Type: application/json"), curl_slist_free_all);
    curl_easy_setopt(c.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(c.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(c.get(), CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(c.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_s * 1000));
    curl_easy_setopt(c.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(c.get(), CURLOPT_WRITEFUNCTION, take);
    curl_easy_setopt(c.get(), CURLOPT_WRITEDATA, &a.body);
    if (!body.empty()) {
      curl_easy_setopt(c.get(), CURLOPT_HTTPHEADER, headers.get());
      curl_easy_setopt(c.get(), CURLOPT_POSTFIELDS, body.c_str());
      curl_easy_setopt(c.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    }
    const CURLcode code = curl_easy_perform(c.get());
    if (code != CURLE_OK) {
      a.problem = curl_easy_strerror(code);
      return a;
    }
    long status = 0;
    curl_easy_getinfo(c.get(), CURLINFO_RESPONSE_CODE, &status);
    curl_off_t retry = 0;
    curl_easy_getinfo(c.get(), CURLINFO_RETRY_AFTER, &retry);
    a.status = static_cast<int>(status);
    a.retry_after_s = static_cast<int>(std::min<curl_off_t>(retry, 3600));
    return a;
  };
}

Clock real_clock() {
  return {[] { return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count(); },
          [](double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); },
          [rng = std::mt19937(std::random_device{}())]() mutable {
            return std::uniform_real_distribution<double>(0, 1)(rng);
          }};
}

} // namespace loftrouter::client
