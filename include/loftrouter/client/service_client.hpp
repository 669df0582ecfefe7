// Questions to any of a service's nodes over HTTP, with a deadline for all tries together.
//
// A node that cannot be reached or answers 503 is followed by the next one, after a pause that grows and is spread by
// chance; `Retry-After` is heeded. Anything but GET and PUT is sent once only.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace loftrouter::client {

struct Answer {
  int status = 0;            // 0: none within the deadline
  std::string body, problem; // the latter: why there is none
  int retry_after_s = 0;
};
using Transport =
    std::function<Answer(const std::string &method, const std::string &url, const std::string &body, double timeout_s)>;
struct Clock {                       // to be replaced in tests
  std::function<double()> now;       // s
  std::function<void(double)> sleep; // s
  std::function<double()> chance;    // from 0 to 1
};

class ServiceClient {
public:
  // `servers`: "http://a:8080,b:8080"; the scheme may be left out.
  ServiceClient(const std::string &servers, double deadline_s, Transport transport, Clock clock);
  Answer ask(const std::string &method, const std::string &path, const std::string &body = "");

private:
  std::vector<std::string> servers_;
  double deadline_s_;
  Transport transport_;
  Clock clock_;
  std::size_t next_ = 0;
};

Transport curl_transport();
Clock real_clock();

} // namespace loftrouter::client
