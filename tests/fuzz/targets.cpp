#include "targets.hpp"

#include "structures.hpp"

#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>

#include "../../bench/load.hpp"
#include "loftrouter/net/http.hpp"
#include "loftrouter/wire/admin_request.hpp"
#include "loftrouter/wire/cell.hpp"
#include "loftrouter/wire/cloud_api.hpp"
#include "loftrouter/wire/configuration.hpp"
#include "loftrouter/wire/job.hpp"
#include "loftrouter/wire/job_records.hpp"
#include "loftrouter/wire/progress_record.hpp"
#include "loftrouter/wire/state_service.hpp"
#include "loftrouter/wire/worker.hpp"

namespace loftrouter::fuzz {

namespace {

void must(bool holds, const char *what) {
  if (holds) return;
  std::fprintf(stderr, "does not hold: %s\n", what);
  std::abort();
}

// A message is the same however its bytes are split.
void http(std::string_view in) {
  auto read = [&](std::size_t piece) {
    std::string all;
    net::HttpParser p(net::HttpParser::Kind::Request);
    for (std::size_t at = 0; at < in.size(); at += piece) {
      p.feed(in.substr(at, piece));
      for (;;) {
        const auto state = p.poll();
        if (state == net::HttpParser::State::Failed) return all + "failed " + std::to_string(p.error_status());
        if (state == net::HttpParser::State::NeedMore) break;
        const auto m = p.take();
        must(m.body.size() <= net::HttpLimits{}.body_bytes, "a body is within its limit");
        all += m.method + " " + m.target + (m.keep_alive ? " + " : " - ") + m.body + "\n";
      }
    }
    return all;
  };
  must(read(in.size() + 1) == read(1), "a request does not depend on how its bytes are split");
}

void wire(std::string_view in) {
  using namespace loftrouter::wire;
  if (auto r = decode_heartbeat(in)) {
    const auto again = decode_heartbeat(encode_heartbeat(*r));
    must(again && encode_heartbeat(*again) == encode_heartbeat(*r), "a report goes there and back");
  }
  if (auto j = decode_job(in); auto *spec = std::get_if<JobSpec>(&j)) {
    must(std::holds_alternative<JobSpec>(job_from_json(to_json(*spec))), "a job goes into its record and back");
  }
  if (auto j = decode(in)) {
    (void)progress_from_json("progress/s0", *j);
    (void)open_from_json(*j);
    (void)final_from_json(*j);
    (void)types_from_json(*j);
  }
  (void)decode_commands(in);
  (void)decode_quota_update(in);
  (void)decode_store_reply(200, in);
  for (auto call : {CloudCall::MachineTypes, CloudCall::ListMachines, CloudCall::ScaleOut, CloudCall::ScaleIn})
    (void)decode_cloud_reply(call, 200, in);
  (void)read_admin_request("PUT", "/admin/v1/settings", in);
  (void)read_admin_request("GET", std::string("/admin/v1/jobs?") + std::string(in), "");
}

void peer(std::string_view in) {
  using namespace loftrouter::wire;
  std::string_view rest = in;
  for (PeerMessage m; read_peer(rest, m) == FrameRead::Frame;) {
    const auto bytes = encode_peer(m);
    std::string_view one = bytes;
    PeerMessage again;
    must(read_peer(one, again) == FrameRead::Frame && one.empty() && encode_peer(again) == bytes,
         "a frame goes there and back");
  }
}

void cell(std::string_view in) {
  using namespace loftrouter::wire;
  std::string_view rest = in;
  for (CellMessage m; read_cell(rest, m) == FrameRead::Frame;) {
    const auto bytes = encode_cell(m);
    std::string_view one = bytes;
    CellMessage again;
    must(read_cell(one, again) == FrameRead::Frame && one.empty() && encode_cell(again) == bytes,
         "a frame between cells goes there and back");
  }
}

// Bodies of any structure, up to the largest size, through every decoder.
void structure(std::string_view in) {
  decode_everywhere(build_structure(in));
}

// Sequences of reports into a leading core: a task is started only when every earlier start of it is known to be over.
// The input picks machines, what they show of what they were told, and how time passes.
void reports(std::string_view in) {
  constexpr int kMachines = 4;
  struct Run {
    std::string job;
    std::uint32_t index;
    std::uint64_t attempt;
    TaskPhase phase;
    ExitCause cause;
  };
  struct Box {
    Heartbeat report;
    std::vector<Run> runs;
    std::vector<Heartbeat> old; // that may arrive once more
    double answered = -1e9;     // sent when, by its own lease
  };
  bench::Load load(0);
  for (int i = 0; i < 3; ++i)
    load.arrive(4);
  std::vector<Box> boxes(kMachines);
  int machines = 0;
  for (int m = 0; m < kMachines; ++m)
    boxes[static_cast<std::size_t>(m)].report = {
        "n-" + std::to_string(m), "10.0.0.1:1", "small", "a", true, 1, 0, 0, {}, {}};
  for (std::size_t at = 0; at + 1 < in.size() && at < 600; at += 2) {
    const auto a = static_cast<unsigned char>(in[at]), b = static_cast<unsigned char>(in[at + 1]);
    Box &box = boxes[a % kMachines];
    const double now = load.now().mono;
    for (auto &x : boxes)
      if (load.returned.contains(x.report.machine)) { // gone with all on it; another takes its place
        x = {};
        x.report = {"m-" + std::to_string(++machines), "10.0.0.1:1", "small", "a", true, 1, 0, 0, {}, {}};
      }
    if (now > box.answered + load.lease_s() && box.report.sequence) { // its lease is over: all is forgotten
      box.runs.clear();
      ++box.report.incarnation;
      box.answered = now;
    }
    for (auto &r : box.runs) { // some go on, some end
      if (r.phase == TaskPhase::Exited || (b >> 4 & 1)) continue;
      if (r.phase != TaskPhase::Running) {
        r.phase = TaskPhase::Running;
      } else if (b >> 5 & 1) {
        r.phase = TaskPhase::Exited;
        r.cause = b >> 6 & 1 ? ExitCause::Error : ExitCause::Done;
      }
    }
    if (a >> 2 & 1) { // the report, or its answer, may be lost, or the report be an old one
      ++box.report.sequence;
      box.report.tasks.clear();
      for (const auto &r : box.runs)
        box.report.tasks.push_back({r.job, r.index, r.attempt, r.phase, r.cause, false});
      auto sent = box.report;
      box.old.push_back(sent);
      if ((a >> 3 & 7) == 0) sent = box.old[box.old.size() - 1 - b % std::min<std::size_t>(4, box.old.size())];
      const auto orders = wire::decode_commands(load.answer(wire::encode_heartbeat(sent)));
      if (orders && orders->fencing_token > 0 && (a >> 3 & 7) > 1) {
        box.answered = now;
        box.report.fencing_token = orders->fencing_token;
        for (const auto &o : orders->commands) {
          auto mine = std::find_if(box.runs.begin(), box.runs.end(), [&](const Run &r) {
            return r.index == o.index && r.attempt == o.attempt && r.job == o.job;
          });
          if (o.verb == TaskCommand::Verb::Start && mine == box.runs.end()) {
            for (const auto &other : boxes)
              for (const auto &r : other.runs)
                must(r.job != o.job || r.index != o.index || r.phase == TaskPhase::Exited ||
                         load.now().mono > other.answered + load.lease_s(),
                     "a task starts on one machine only");
            box.runs.push_back({o.job, o.index, o.attempt, TaskPhase::Fetching, ExitCause::None});
          } else if (o.verb == TaskCommand::Verb::Stop && mine != box.runs.end() && mine->phase != TaskPhase::Exited) {
            mine->phase = TaskPhase::Exited;
            mine->cause = ExitCause::Stopped;
          } else if (o.verb == TaskCommand::Verb::Forget && mine != box.runs.end()) {
            must(mine->phase == TaskPhase::Exited, "only what has ended is forgotten");
            box.runs.erase(mine);
          }
        }
      }
    }
    const int tenths = b >= 0xf0 ? 20 * (b & 15) : b & 7; // mostly shorter than the time between two reports
    for (int k = 0; k <= tenths; ++k)
      load.step();
  }
}

const std::map<std::string_view, Target> kTargets{{"http", http}, {"wire", wire},           {"peer", peer},
                                                  {"cell", cell}, {"structure", structure}, {"reports", reports}};

} // namespace

Target target(std::string_view name) {
  auto it = kTargets.find(name);
  return it == kTargets.end() ? nullptr : it->second;
}

void decode_everywhere(std::string_view body) {
  wire(body);
  peer(body);
  cell(body);
}

std::vector<std::string> seeds(std::string_view name) {
  using namespace loftrouter::wire;
  Heartbeat r{"n-1", "10.0.0.1:9000", "small", "a", true, 1, 2, 3, 4.5, {}};
  r.tasks = {{"j-000001", 1, 7, TaskPhase::Running, ExitCause::None, false},
             {"j-000001", 2, 8, TaskPhase::Exited, ExitCause::Done, true}};
  if (name == "http")
    return {net::format_request("POST", "/v1/report", "10.0.0.1:8080", "body"),
            "POST /api/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"};
  if (name == "wire") return {encode_heartbeat(r), encode_commands(3, {{TaskCommand::Verb::Stop, "j-1", 0, 1, 2}})};
  if (name == "peer") {
    PeerMessage m;
    m.kind = PeerMessage::Kind::Heartbeat;
    m.heartbeat = r;
    auto bytes = encode_peer(m);
    m.kind = PeerMessage::Kind::Commands;
    m.commands = {{TaskCommand::Verb::Start, "j-1", 0, 1, 0}};
    bytes += encode_peer(m);
    m.kind = PeerMessage::Kind::Digest;
    m.jobs = {{"j-1", 1, 2, true, "why"}};
    const auto digest = encode_peer(m);
    m.kind = PeerMessage::Kind::UserRequest;
    m.id = "j-1";
    m.body = "body";
    auto asked = encode_peer(m);
    m.kind = PeerMessage::Kind::UserResponse;
    m.status = 200;
    return {bytes, digest, asked + encode_peer(m)};
  }
  if (name == "cell") {
    std::vector<std::string> all;
    for (int kind = 1; kind <= static_cast<int>(CellMessage::Kind::QuotaOutcome); ++kind) {
      CellMessage m;
      m.kind = static_cast<CellMessage::Kind>(kind);
      m.from = "north";
      m.to = "south";
      m.wait_s = {1, 2, 3, 4};
      m.kinds = {{"big", "a", true, false, 3, 1, {4, 0, 16}, {9, 0, 30}, 40, 1}};
      m.types = {"big"};
      m.ranges = {{1, 5}, {7, 9}};
      m.body = "body";
      m.generations = {1, 2};
      all.push_back(encode_cell(m));
    }
    return all;
  }
  if (name == "structure") {
    std::vector<std::string> programs;
    for (unsigned seed = 1; seed <= 32; ++seed)
      programs.push_back(draw_program(seed));
    return programs;
  }
  std::mt19937 rng(1); // long ones: what can go wrong takes many turns
  std::vector<std::string> all(24, std::string(600, 0));
  for (auto &turns : all)
    for (auto &c : turns)
      c = static_cast<char>(rng());
  return all;
}

} // namespace loftrouter::fuzz
