#include <gtest/gtest.h>

#include <random>

#include "loftrouter/net/http.hpp"

using loftrouter::net::HttpParser;
using State = HttpParser::State;

namespace {

struct Outcome {
  State state;
  int error = 0;
  std::string method, target, body;
  bool operator==(const Outcome &) const = default;
};

Outcome parse(const std::string &bytes, const std::vector<std::size_t> &cuts = {}) {
  HttpParser p(HttpParser::Kind::Request);
  State s = State::NeedMore;
  std::size_t from = 0;
  for (std::size_t c : cuts) {
    p.feed(std::string_view(bytes).substr(from, c - from));
    from = c;
    s = p.poll();
    if (s == State::Failed) return {s, p.error_status(), "", "", ""};
    if (s == State::Complete) break;
  }
  if (s == State::NeedMore) {
    p.feed(std::string_view(bytes).substr(from));
    s = p.poll();
  }
  if (s == State::Failed) return {s, p.error_status(), "", "", ""};
  if (s == State::NeedMore) return {s, 0, "", "", ""};
  auto m = p.take();
  return {s, 0, m.method, m.target, m.body};
}

} // namespace

TEST(Http, ReadsFixedAndChunkedBodies) {
  auto a = parse("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello");
  EXPECT_EQ(a, (Outcome{State::Complete, 0, "POST", "/x", "hello"}));
  auto b = parse("POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\nT: 1\r\n\r\n");
  EXPECT_EQ(b, (Outcome{State::Complete, 0, "POST", "/x", "hello"}));
}

// Lengths that two readers could take differently are how requests get smuggled.
TEST(Http, RefusesWhatCouldBeReadInTwoWays) {
  for (const char *head :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: +5\r\n", "Content-Length: 5, 5\r\n", "Content-Length : 5\r\n",
        "Transfer-Encoding: gzip, chunked\r\n", "A: b\r\n folded\r\n", "A: b\nContent-Length: 3\r\n"}) {
    auto o = parse(std::string("POST / HTTP/1.1\r\n") + head + "\r\nhello");
    EXPECT_EQ(o.state, State::Failed) << head;
    EXPECT_EQ(o.error, 400) << head;
  }
}

TEST(Http, LimitsHeadersAndBodies) {
  EXPECT_EQ(parse("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n").error, 413);
  EXPECT_EQ(parse("GET / HTTP/1.1\r\nA: " + std::string(9000, 'x')).error, 431);
  EXPECT_EQ(parse("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n").error, 413);
}

// However the bytes are cut, and whatever has been changed in them, the outcome is the same as when
// they come at once.
TEST(Http, SplitsAndMutationsAgreeWithWholeReads) {
  std::mt19937 rng(7);
  const std::vector<std::string> seeds{
      "POST /api/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\nhello world",
      "GET /up HTTP/1.1\r\nConnection: close\r\n\r\n",
      "POST /v1/report HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\na\r\n0123456789\r\n0\r\n\r\n"};
  int complete = 0, failed = 0;
  for (int round = 0; round < 6000; ++round) {
    std::string s = seeds[rng() % seeds.size()];
    for (unsigned n = rng() % 4; n-- > 0;) {
      auto at = rng() % s.size();
      switch (rng() % 3) {
      case 0:
        s[at] = static_cast<char>(rng());
        break;
      case 1:
        s.erase(at, 1 + rng() % 3);
        break;
      default:
        s.insert(at, 1, "\r\n: 0a"[rng() % 6]);
      }
      if (s.empty()) s = "x";
    }
    std::vector<std::size_t> cuts;
    for (std::size_t c = 1; c < s.size(); ++c)
      if (rng() % 4 == 0) cuts.push_back(c);
    auto whole = parse(s), split = parse(s, cuts);
    EXPECT_EQ(whole, split) << s;
    complete += whole.state == State::Complete;
    failed += whole.state == State::Failed;
  }
  EXPECT_GT(complete, 500);
  EXPECT_GT(failed, 500);
}
