#include <gtest/gtest.h>

#include <random>

#include "loftrouter/wire/job.hpp"
#include "loftrouter/wire/peer.hpp"
#include "loftrouter/wire/progress_record.hpp"
#include "loftrouter/wire/worker.hpp"

using namespace loftrouter;
using namespace loftrouter::wire;

namespace {

Json good_job() {
  return {{"id", "j-000412"}, {"jobclass", "train"}, {"crew", "vision"},   {"shape", "gang"},  {"urgency", "urgent"},
          {"pieces", 16},     {"cores", 8.0},        {"cards", 1.0},       {"ram_gb", 64.0},   {"bundle", "img-07"},
          {"image_gb", 6.2},  {"hulls", {"g8"}},     {"yard", nullptr},    {"one_zone", true}, {"apart", false},
          {"standby", true},  {"guess_s", 240.0},    {"bookmark_s", 30.0}, {"stash_s", 4.0},   {"due_s", 900.0}};
}

bool accepted(const Json &j) {
  return std::holds_alternative<JobSpec>(decode_job(encode(j)));
}

} // namespace

TEST(Wire, JobGoesThereAndBack) {
  auto r = decode_job(encode(good_job()));
  ASSERT_TRUE(std::holds_alternative<JobSpec>(r));
  auto &s = std::get<JobSpec>(r);
  EXPECT_EQ(s.tasks, 16u);
  EXPECT_EQ(s.urgency, Urgency::High);
  EXPECT_FALSE(s.zone);
  auto again = job_from_json(to_json(s));
  ASSERT_TRUE(std::holds_alternative<JobSpec>(again)) << std::get<FieldError>(again).message;
  EXPECT_EQ(to_json(std::get<JobSpec>(again)), to_json(s));
}

TEST(Wire, JobsThatWaitForOthers) {
  auto j = good_job();
  const auto plain = to_json(std::get<JobSpec>(decode_job(encode(j)))).dump();
  for (Json none : {Json(), Json(Json::array())}) {
    j["waits_on"] = none;
    EXPECT_EQ(to_json(std::get<JobSpec>(decode_job(encode(j)))).dump(), plain);
  }
  j["waits_on"] = {"j-000398", "j-000405", "j-000398"};
  EXPECT_EQ(std::get<JobSpec>(decode_job(encode(j))).waits_for, (std::vector<std::string>{"j-000398", "j-000405"}));
  Json many = Json::array();
  for (std::size_t i = 0; i <= kMaxWaitsFor; ++i)
    many.push_back("j-1" + std::to_string(1000 + i));
  for (Json bad : {Json("j-000398"), Json({{"j-000398", 1}}), Json({"j-000412"}), Json({"x-1"}), Json({7}), many}) {
    j["waits_on"] = bad;
    EXPECT_FALSE(accepted(j)) << bad;
  }
}

TEST(Wire, MalformedJobsAreNamedByTheirField) {
  for (const char *field : {"id", "jobclass", "crew", "shape", "urgency", "pieces", "cores", "cards", "ram_gb",
                            "bundle", "image_gb", "one_zone", "apart", "standby", "guess_s", "bookmark_s", "stash_s"}) {
    for (Json bad : {Json(), Json(Json::array()), Json(-1), Json("?"), Json(1e300)}) {
      if (bad.is_string() &&
          (std::string(field) == "jobclass" || std::string(field) == "crew" || std::string(field) == "bundle"))
        continue;
      auto j = good_job();
      j[field] = bad;
      auto r = decode_job(encode(j));
      ASSERT_TRUE(std::holds_alternative<FieldError>(r)) << field << " " << bad;
      EXPECT_NE(std::get<FieldError>(r).message.find(field), std::string::npos);
    }
    auto j = good_job();
    j.erase(field);
    EXPECT_FALSE(accepted(j)) << field;
  }
  for (const char *nullable : {"hulls", "yard", "due_s"}) {
    auto j = good_job();
    j.erase(nullable);
    EXPECT_TRUE(accepted(j)) << nullable;
  }
  auto many = good_job();
  many["pieces"] = 100001;
  EXPECT_FALSE(accepted(many));
}

// Each of these has ended a process somewhere: deep nesting (the decoder recurses), lengths that are
// not there, trailing bytes, byte strings, non-finite numbers, doubled keys, text that is no text.
TEST(Wire, HostileBodiesAreRefused) {
  const std::string inf("\xa1\x61\x61\xf9\x7c\x00", 6), nan("\xa1\x61\x61\xf9\x7e\x00", 6);
  for (const std::string &body :
       {std::string(60000, '\x81'), std::string(60000, '\xa1'), std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"),
        std::string("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff"), std::string("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff"),
        encode(good_job()) + "x", std::string("\xa1\x61\x61\x41\x00", 5), inf, nan,
        std::string("\xa2\x61\x61\x01\x61\x61\x02"), std::string("\xa1\x61\x61\x62\xc3\x28"), std::string()})
    EXPECT_FALSE(decode(body)) << body.substr(0, 12);
}

TEST(Wire, MutatedBodiesNeverCrash) {
  std::mt19937 rng(3);
  const std::string report = encode({{"box", "n-1"},
                                     {"address", "1.2.3.4:5"},
                                     {"hull", "g8"},
                                     {"yard", "a"},
                                     {"standby", true},
                                     {"shift", 1},
                                     {"tick", 88},
                                     {"baton", 41},
                                     {"pieces", {{{"piece", "j-000412/3"}, {"try", 2}, {"status", "running"}}}}});
  ASSERT_TRUE(decode_heartbeat(report));
  int read = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string s = i % 2 ? report : encode(good_job());
    for (unsigned n = 1 + rng() % 3; n-- > 0;)
      s[rng() % s.size()] = static_cast<char>(rng());
    if (i % 5 == 0) s.resize(rng() % s.size());
    read += decode_heartbeat(s).has_value() || std::holds_alternative<JobSpec>(decode_job(s));
  }
  EXPECT_GT(read, 0);
}

// 1,800 scattered tasks as a list of ranges would not fit into a value of 8 KiB; as a bitmap they do.
TEST(Wire, ProgressGoesThereAndBackInTheShorterForm) {
  ProgressRecord p;
  p.started = {{0, 1800}};
  for (std::uint32_t i = 0; i < 1800; i += 3)
    p.finished.emplace_back(i, i + 1);
  auto shard = progress_shard({{"j-1", to_json(p)}, {"j-2", to_json(ProgressRecord{})}});
  EXPECT_LT(shard.dump().size(), 600u);
  auto read = progress_from_json("progress/s0", *decode(encode(shard)));
  ASSERT_TRUE(read && read->jobs.size() == 2);
  EXPECT_EQ(read->jobs[0].first, "j-1");
  EXPECT_EQ(read->jobs[0].second.started, p.started);
  EXPECT_EQ(read->jobs[0].second.finished, p.finished);
  EXPECT_TRUE(read->jobs[1].second.started.empty());
  // A record of one job, as earlier versions wrote it.
  auto old = progress_from_json("progress/j-7", Json{{"s", {0, 4}}, {"f", {1, 2}}});
  ASSERT_TRUE(old && old->jobs.size() == 1);
  EXPECT_EQ(old->jobs[0].first, "j-7");
  EXPECT_EQ(old->jobs[0].second.started, (Ranges{{0, 4}}));
  EXPECT_FALSE(progress_from_json("progress/s0", Json{{"jobs", {{"j-1", {{"s", "xyz"}, {"f", "0"}}}}}}));
}

namespace {
PeerRead read_one(std::string_view bytes, PeerMessage &m) {
  return read_peer(bytes, m);
}
} // namespace

TEST(Peer, FramesGoThereAndBackInAnySplit) {
  PeerMessage m;
  m.kind = PeerMessage::Kind::Pong;
  m.nonce = 0x1122334455667788;
  m.term = 77;
  m.cut_off = m.passes = true;
  m.connectivity = {WorkerReachability::Unreachable, 700, 12.5, 3.5, ProviderHealth::Unhealthy};
  m.uptime_ms = 123456;
  m.reads = 345;
  m.writes = 21;
  m.cancelled = {"j-000001", "j-99"};
  auto bytes = encode_peer(m) + encode_peer(m);
  std::string buffer;
  int frames = 0;
  for (char c : bytes) {
    buffer.push_back(c);
    PeerMessage r;
    std::string_view rest = buffer;
    auto got = read_peer(rest, r);
    buffer.erase(0, buffer.size() - rest.size());
    ASSERT_NE(got, PeerRead::Garbage);
    if (got != PeerRead::Frame) continue;
    ++frames;
    EXPECT_EQ(r.nonce, m.nonce);
    EXPECT_EQ(r.term, m.term);
    EXPECT_EQ(r.uptime_ms, m.uptime_ms);
    EXPECT_EQ(r.reads, m.reads);
    EXPECT_EQ(r.writes, m.writes);
    EXPECT_TRUE(r.cut_off && r.passes);
    EXPECT_EQ(r.connectivity.workers, WorkerReachability::Unreachable);
    EXPECT_EQ(r.connectivity.machines, 700);
    EXPECT_EQ(r.connectivity.quiet_s, 12.5);
    EXPECT_EQ(r.connectivity.carried_s, 3.5);
    EXPECT_EQ(r.connectivity.cloud, ProviderHealth::Unhealthy);
    EXPECT_EQ(r.cancelled, m.cancelled);
  }
  EXPECT_EQ(frames, 2);
  EXPECT_TRUE(buffer.empty());
}

// A link must not hang or misread on anything a stray client may send.
TEST(Peer, DigestsGoThereAndBack) {
  PeerMessage m;
  m.kind = PeerMessage::Kind::Digest;
  m.term = 9;
  m.news = {{"j-000001", 3, 4, true, "waiting: \u00e4"}, {"j-2", 0, 0, false, ""}};
  auto bytes = encode_peer(m);
  PeerMessage r;
  EXPECT_EQ(read_one(bytes.substr(0, bytes.size() - 1), r), PeerRead::NeedMore);
  ASSERT_EQ(read_one(bytes, r), PeerRead::Frame);
  ASSERT_EQ(r.news.size(), 2u);
  EXPECT_EQ(r.news[0].reason, m.news[0].reason);
  EXPECT_EQ(r.news[0].done, 3u);
  EXPECT_EQ(r.news[0].running, 4u);
  EXPECT_TRUE(r.news[0].late);
  EXPECT_EQ(r.news[1].id, "j-2");
}

TEST(Peer, ReportsAndOrdersGoThereAndBack) {
  PeerMessage m, r;
  m.kind = PeerMessage::Kind::Report;
  m.nonce = 7;
  m.term = 9;
  m.sender = 2;
  m.report = {"n-000231", "10.1.0.232:9000", "g8", "a", true, 3, 88, 41, 2.5, {}};
  m.report.tasks = {{"j-000412", 3, 1ULL << 40, TaskPhase::Running, ExitCause::None, false},
                    {"j-000412", 4, 2, TaskPhase::Exited, ExitCause::Stopped, true},
                    {"j-77", 0, 3, TaskPhase::Exited, ExitCause::Unknown, false}};
  ASSERT_EQ(read_one(encode_peer(m), r), PeerRead::Frame);
  EXPECT_EQ(std::tuple(r.nonce, r.term, r.sender), std::tuple(7u, 9u, 2u));
  EXPECT_EQ(encode_heartbeat(r.report), encode_heartbeat(m.report));
  m.kind = PeerMessage::Kind::Orders;
  m.status = 200;
  m.orders = {{TaskCommand::Verb::Start, "j-77", 5, 6, 0}, {TaskCommand::Verb::Stop, "j-77", 6, 7, 3.5}};
  ASSERT_EQ(read_one(encode_peer(m), r), PeerRead::Frame);
  EXPECT_EQ(r.status, 200);
  EXPECT_EQ(encode_commands(1, r.orders), encode_commands(1, m.orders));
}

TEST(Peer, QuestionsPassedOnGoThereAndBack) {
  PeerMessage m, r;
  m.kind = PeerMessage::Kind::Ask;
  m.verb = PeerMessage::Verb::Abort;
  m.id = "j-000412";
  m.body = std::string(5000, 'x');
  ASSERT_EQ(read_one(encode_peer(m), r), PeerRead::Frame);
  EXPECT_EQ(r.verb, m.verb);
  EXPECT_EQ(r.id, m.id);
  EXPECT_EQ(r.body, m.body);
  m.kind = PeerMessage::Kind::Told;
  m.status = 503;
  m.retry_s = 2;
  ASSERT_EQ(read_one(encode_peer(m), r), PeerRead::Frame);
  EXPECT_EQ(r.status, 503);
  EXPECT_EQ(r.retry_s, 2);
  EXPECT_EQ(r.body, m.body);
  m.status = 99; // no answer of HTTP's
  EXPECT_EQ(read_one(encode_peer(m), r), PeerRead::Garbage);
  m.kind = PeerMessage::Kind::Ask;
  m.id = "nonsense";
  EXPECT_EQ(read_one(encode_peer(m), r), PeerRead::Garbage);
}

TEST(Peer, GarbageClosesTheLink) {
  PeerMessage r, m;
  m.cancelled = {"j-000001"};
  const auto good = encode_peer(m);
  PeerMessage report;
  report.kind = PeerMessage::Kind::Report;
  report.report = {"n-1", "10.1.0.2:9000", "g8", "a", false, 1, 2, 3, {}, {{"j-1", 0, 1}}};
  PeerMessage orders;
  orders.kind = PeerMessage::Kind::Orders;
  orders.orders = {{TaskCommand::Verb::Stop, "j-1", 0, 1, 2}};
  for (std::size_t i : {0, 1, 2, 3, 4, 5, 6, 7, 9, 10, 11}) { // all of the header but a length that may be true
    auto s = good;
    s[i] = static_cast<char>(0xee);
    EXPECT_EQ(read_one(s, r), PeerRead::Garbage) << i;
  }
  auto s = good;
  s[s.size() - 3] = '/';
  EXPECT_EQ(read_one(s, r), PeerRead::Garbage);
  s = "GET /up HTTP/1.1\r\n\r\n";
  EXPECT_EQ(read_one(s, r), PeerRead::Garbage);
  std::mt19937 rng(1);
  for (int i = 0; i < 5000; ++i) {
    s = i % 3 == 0 ? good : encode_peer(i % 3 == 1 ? report : orders);
    s[rng() % s.size()] = static_cast<char>(rng());
    s.resize(1 + rng() % s.size());
    read_one(s, r);
  }
}

namespace {

// What a report says, read slowly from a whole tree: the model that the streaming reader has to agree with.
std::optional<Heartbeat> slow_report(std::string_view bytes) {
  const auto tree = decode(bytes);
  if (!tree || !tree->is_object()) return std::nullopt;
  const Json &j = *tree;
  Heartbeat r;
  auto fail = false;
  auto text = [&](const char *name) {
    std::string v = j.contains(name) && j[name].is_string() ? j[name].get<std::string>() : "";
    fail |= v.empty() || v.size() > 200;
    return v;
  };
  auto number = [&](const Json &at, const char *name) -> std::uint64_t {
    const bool good = at.is_object() && at.contains(name) && at[name].is_number_integer() &&
                      (at[name].is_number_unsigned() || at[name].get<std::int64_t>() >= 0);
    fail |= !good;
    return good ? at[name].get<std::uint64_t>() : 0;
  };
  r.machine = text("box");
  r.address = text("address");
  r.type = text("hull");
  r.zone = text("yard");
  r.incarnation = number(j, "shift");
  r.sequence = number(j, "tick");
  r.fencing_token = number(j, "baton");
  if (!j.contains("standby") || !j["standby"].is_boolean()) return std::nullopt;
  r.spot = j["standby"].get<bool>();
  if (const Json n = j.value("warning_s", Json()); n.is_number())
    r.notice_s = std::max(0.0, n.get<double>());
  else
    fail |= !n.is_null();
  const Json list = j.value("pieces", Json());
  fail |= !list.is_null() && !list.is_array();
  if (fail) return std::nullopt;
  const std::vector<std::string> phases{"pulling", "gathering", "running", "saving", "exited"};
  const std::vector<std::string> causes{"",      "done", "stopped", "mates_gone", "alone",
                                        "error", "full", "busy",    "no_such"};
  auto place = [](const std::vector<std::string> &names, const Json &v) {
    return v.is_string() ? std::find(names.begin(), names.end(), v.get<std::string>()) - names.begin()
                         : static_cast<long>(names.size());
  };
  for (const Json &e : list) {
    TaskStatus t;
    t.attempt = number(e, "try");
    if (fail || !e.contains("piece") || !e["piece"].is_string() || e["piece"].get<std::string>().size() > 200)
      return std::nullopt;
    const auto name = e["piece"].get<std::string>();
    const auto slash = name.rfind('/');
    if (slash == std::string::npos || !valid_job_id(t.job = name.substr(0, slash))) return std::nullopt;
    const auto digits = name.substr(slash + 1);
    if (digits.empty() || digits.size() > 12 || digits.find_first_not_of("0123456789") != std::string::npos ||
        std::stoull(digits) > 0xffffffffULL)
      return std::nullopt;
    t.index = static_cast<std::uint32_t>(std::stoull(digits));
    const auto phase = place(phases, e.value("status", Json())), cause = place(causes, e.value("cause", Json()));
    if (phase == static_cast<long>(phases.size())) return std::nullopt;
    t.phase = static_cast<TaskPhase>(phase);
    if (cause < static_cast<long>(causes.size()))
      t.cause = static_cast<ExitCause>(cause);
    else if (t.phase == TaskPhase::Exited)
      t.cause = ExitCause::Error;
    t.saved = e.value("stored", Json()) == Json(true);
    r.tasks.push_back(t);
  }
  return r;
}

} // namespace

TEST(Wire, ReportsAreReadAsTheSlowModelReadsThem) {
  std::mt19937_64 rng(11);
  auto pick = [&](std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(rng); };
  const std::vector<Json> odd{nullptr,
                              true,
                              -3,
                              7,
                              0.5,
                              "",
                              "exited",
                              "j-1/2",
                              Json::array(),
                              Json::object(),
                              {{"piece", "j-1/2"}},
                              Json::array({Json::array()}),
                              std::string(300, 'x')};
  const std::vector<std::string> names{"box",       "address", "hull",  "yard", "standby", "shift", "tick",   "baton",
                                       "warning_s", "pieces",  "piece", "try",  "status",  "cause", "stored", "more"};
  int good = 0, bad = 0;
  for (int n = 0; n < 6000; ++n) {
    Heartbeat r;
    r.machine = "n-000231";
    r.address = "10.1.0.232:9000";
    r.type = "g8";
    r.zone = "a";
    r.spot = pick(2);
    r.incarnation = 1 + pick(3);
    r.sequence = rng();
    r.fencing_token = pick(100);
    if (pick(3) == 0) r.notice_s = static_cast<double>(pick(100)) / 4;
    for (std::size_t k = pick(5); k-- > 0;)
      r.tasks.push_back({"j-" + std::to_string(pick(1000)), static_cast<std::uint32_t>(pick(100)), rng(),
                         static_cast<TaskPhase>(pick(5)), static_cast<ExitCause>(pick(9)), pick(2) == 1});
    auto j = Json::from_cbor(encode_heartbeat(r));
    for (std::size_t k = pick(3); k-- > 0;) {
      Json &at = !j["pieces"].is_array() || j["pieces"].empty() || pick(2) ? j : j["pieces"][pick(j["pieces"].size())];
      if (at.is_object()) at[names[pick(names.size())]] = odd[pick(odd.size())];
    }
    auto bytes = encode(j);
    if (pick(3) == 0) bytes[pick(bytes.size())] = static_cast<char>(rng());
    if (pick(20) == 0) bytes.resize(pick(bytes.size()));
    const auto slow = slow_report(bytes), fast = decode_heartbeat(bytes);
    ASSERT_EQ(slow.has_value(), fast.has_value()) << testing::PrintToString(bytes);
    ++(slow ? good : bad);
    if (!slow) continue;
    ASSERT_EQ(encode_heartbeat(*slow), encode_heartbeat(*fast)) << j;
  }
  EXPECT_GT(good, 1000);
  EXPECT_GT(bad, 1000);
}
