#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "loftrouter/wire/job.hpp"
#include "loftrouter/wire/worker.hpp"
#include "wire_fixtures.hpp"

using namespace loftrouter;
using namespace loftrouter::wire;

TEST(WireHeartbeat, MutatedBodiesNeverCrash) {
  std::mt19937 rng(3);
  const std::string heartbeat = encode(valid_heartbeat());
  const std::string job = encode(valid_job());
  ASSERT_TRUE(decode_heartbeat(heartbeat));
  int accepted = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string body = i % 2 ? heartbeat : job;
    for (unsigned count = 1 + rng() % 3; count-- > 0;)
      body[rng() % body.size()] = static_cast<char>(rng());
    if (i % 5 == 0) body.resize(rng() % body.size());
    accepted += decode_heartbeat(body).has_value() || std::holds_alternative<JobSpec>(decode_job(body));
  }
  EXPECT_GT(accepted, 0);
}

namespace {

// Decodes heartbeats from a parsed tree, as the reference for the streaming reader.
class ReferenceDecoder {
public:
  static std::optional<Heartbeat> read(std::string_view bytes) {
    const auto tree = decode(bytes);
    if (!tree || !tree->is_object()) return std::nullopt;
    ReferenceDecoder decoder;
    decoder.read_fields(*tree);
    if (!decoder.failed_) decoder.read_tasks(tree->value("pieces", Json()));
    if (decoder.failed_) return std::nullopt;
    return decoder.heartbeat_;
  }

private:
  std::string required_text(const Json &json, const char *name) {
    std::string value = json.contains(name) && json[name].is_string() ? json[name].get<std::string>() : "";
    failed_ |= value.empty() || value.size() > 200;
    return value;
  }

  std::uint64_t required_integer(const Json &json, const char *name) {
    const bool valid = json.is_object() && json.contains(name) && json[name].is_number_integer() &&
                       (json[name].is_number_unsigned() || json[name].get<std::int64_t>() >= 0);
    failed_ |= !valid;
    return valid ? json[name].get<std::uint64_t>() : 0;
  }

  void read_fields(const Json &json) {
    heartbeat_.machine = required_text(json, "box");
    heartbeat_.address = required_text(json, "address");
    heartbeat_.type = required_text(json, "hull");
    heartbeat_.zone = required_text(json, "yard");
    heartbeat_.incarnation = required_integer(json, "shift");
    heartbeat_.sequence = required_integer(json, "tick");
    heartbeat_.fencing_token = required_integer(json, "baton");
    const Json spot = json.value("standby", Json());
    failed_ |= !spot.is_boolean();
    heartbeat_.spot = spot == Json(true);
    const Json notice = json.value("warning_s", Json());
    if (notice.is_number())
      heartbeat_.notice_s = std::max(0.0, notice.get<double>());
    else
      failed_ |= !notice.is_null();
  }

  void read_tasks(const Json &list) {
    failed_ |= !list.is_null() && !list.is_array();
    if (failed_) return;
    for (const Json &element : list) {
      read_task(element);
      if (failed_) return;
    }
  }

  void read_task(const Json &json) {
    static const std::vector<std::string> phases{"pulling", "gathering", "running", "saving", "exited"};
    static const std::vector<std::string> causes{"",      "done", "stopped", "mates_gone", "alone",
                                                 "error", "full", "busy",    "no_such"};
    TaskStatus task;
    task.attempt = required_integer(json, "try");
    if (failed_) return;
    read_name(json.value("piece", Json()), task);
    if (failed_) return;
    const auto phase = index_of(phases, json.value("status", Json()));
    const auto cause = index_of(causes, json.value("cause", Json()));
    failed_ |= phase == phases.size();
    if (failed_) return;
    task.phase = static_cast<TaskPhase>(phase);
    if (cause < causes.size())
      task.cause = static_cast<ExitCause>(cause);
    else if (task.phase == TaskPhase::Exited)
      task.cause = ExitCause::Error;
    task.saved = json.value("stored", Json()) == Json(true);
    heartbeat_.tasks.push_back(task);
  }

  void read_name(const Json &json, TaskStatus &task) {
    failed_ |= !json.is_string() || json.get_ref<const std::string &>().size() > 200;
    if (failed_) return;
    const auto name = json.get<std::string>();
    const auto slash = name.rfind('/');
    failed_ |= slash == std::string::npos;
    if (failed_) return;
    task.job = name.substr(0, slash);
    const auto digits = name.substr(slash + 1);
    failed_ |= !valid_job_id(task.job) || digits.empty() || digits.size() > 12 ||
               digits.find_first_not_of("0123456789") != std::string::npos;
    if (failed_) return;
    const auto index = std::stoull(digits);
    failed_ |= index > 0xffffffffULL;
    task.index = static_cast<std::uint32_t>(index);
  }

  // Returns names.size() if the value is not among the names.
  static std::size_t index_of(const std::vector<std::string> &names, const Json &json) {
    if (!json.is_string()) return names.size();
    const auto found = std::find(names.begin(), names.end(), json.get<std::string>());
    return static_cast<std::size_t>(found - names.begin());
  }

  Heartbeat heartbeat_;
  bool failed_ = false;
};

// Generates heartbeats with random fields and bytes replaced.
class HeartbeatMutations {
public:
  std::string next() {
    auto json = Json::from_cbor(encode_heartbeat(heartbeat()));
    for (std::size_t count = pick(3); count-- > 0;)
      replace_field(json);
    auto bytes = encode(json);
    if (pick(3) == 0) bytes[pick(bytes.size())] = static_cast<char>(rng_());
    if (pick(20) == 0) bytes.resize(pick(bytes.size()));
    return bytes;
  }

private:
  std::size_t pick(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(rng_); }

  Heartbeat heartbeat() {
    Heartbeat heartbeat;
    heartbeat.machine = "n-000231";
    heartbeat.address = "10.1.0.232:9000";
    heartbeat.type = "g8";
    heartbeat.zone = "a";
    heartbeat.spot = pick(2);
    heartbeat.incarnation = 1 + pick(3);
    heartbeat.sequence = rng_();
    heartbeat.fencing_token = pick(100);
    if (pick(3) == 0) heartbeat.notice_s = static_cast<double>(pick(100)) / 4;
    for (std::size_t count = pick(5); count-- > 0;)
      heartbeat.tasks.push_back({"j-" + std::to_string(pick(1000)), static_cast<std::uint32_t>(pick(100)), rng_(),
                                 static_cast<TaskPhase>(pick(5)), static_cast<ExitCause>(pick(9)), pick(2) == 1});
    return heartbeat;
  }

  void replace_field(Json &json) {
    static const std::vector<Json> values{nullptr,
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
    static const std::vector<std::string> names{"box",    "address", "hull",      "yard",   "standby", "shift",
                                                "tick",   "baton",   "warning_s", "pieces", "piece",   "try",
                                                "status", "cause",   "stored",    "more"};
    Json &tasks = json["pieces"];
    Json &map = !tasks.is_array() || tasks.empty() || pick(2) ? json : tasks[pick(tasks.size())];
    if (map.is_object()) map[names[pick(names.size())]] = values[pick(values.size())];
  }

  std::mt19937_64 rng_{11};
};

} // namespace

TEST(WireHeartbeat, StreamingReaderMatchesReferenceDecoder) {
  HeartbeatMutations mutations;
  int valid = 0;
  int invalid = 0;
  for (int i = 0; i < 6000; ++i) {
    const auto bytes = mutations.next();
    const auto expected = ReferenceDecoder::read(bytes);
    const auto actual = decode_heartbeat(bytes);
    ASSERT_EQ(expected.has_value(), actual.has_value()) << testing::PrintToString(bytes);
    ++(expected ? valid : invalid);
    if (!expected) continue;
    ASSERT_EQ(encode_heartbeat(*expected), encode_heartbeat(*actual)) << testing::PrintToString(bytes);
  }
  EXPECT_GT(valid, 1000);
  EXPECT_GT(invalid, 1000);
}
