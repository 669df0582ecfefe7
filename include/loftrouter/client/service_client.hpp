// HTTP client of a service with several replicas: one deadline for all tries of a request together.
//
// A replica that cannot be reached, or answers 503, is followed by the next one after a pause that grows and has random
// jitter; `Retry-After` is respected. Only GET and PUT are repeated: any other request may have been carried out
// although its answer was lost.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace loftrouter::client {

struct Answer {
  int status = 0; // HTTP; 0: none within the deadline
  std::string body;
  std::string problem; // why there is no answer
  int retry_after_s = 0;
};

// Sends one request and waits for its answer, `timeout_s` at the most.
using Transport =
    std::function<Answer(const std::string &method, const std::string &url, const std::string &body, double timeout_s)>;

// Time and chance, replaced in tests.
struct Clock {
  std::function<double()> now_s; // monotonic
  std::function<void(double)> sleep_s;
  std::function<double()> random; // from 0 to 1
};

class ServiceClient {
public:
  // `servers`: "http://a:8080,b:8080"; http is assumed where no scheme is given.
  ServiceClient(const std::string &servers, double deadline_s, Transport transport, Clock clock);

  // The first answer other than 503, or the last try's if the deadline comes first.
  [[nodiscard]] Answer ask(const std::string &method, const std::string &path, const std::string &body = "");

private:
  std::vector<std::string> servers_;
  double deadline_s_;
  Transport transport_;
  Clock clock_;
  std::size_t next_server_ = 0;
};

// Over HTTP or HTTPS by libcurl.
Transport curl_transport();
Clock real_clock();

} // namespace loftrouter::client
