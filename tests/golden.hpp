// One of each record and frame, as text: by today's code, and (kept in tests/golden/production.txt) by the code of the
// version named `production` in deploy/service.toml, compiled with this same file.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "loftrouter/wire/admin.hpp"
#include "loftrouter/wire/cell.hpp"
#include "loftrouter/wire/messages.hpp"
#include "loftrouter/wire/peer.hpp"

namespace loft::test {

inline std::string hex(const std::string &bytes) {
  std::string out;
  for (unsigned char c : bytes) {
    out += "0123456789abcdef"[c >> 4];
    out += "0123456789abcdef"[c & 15];
  }
  return out;
}

inline JobSpec golden_job() {
  JobSpec s;
  s.id = "j-000412";
  s.job_class = "train";
  s.team = "vision";
  s.shape = Shape::Gang;
  s.urgency = Urgency::High;
  s.tasks = 16;
  s.need = {8, 1, 64.5};
  s.image = "img-07";
  s.image_gb = 6.2;
  s.types = {"g8", "g16"};
  s.zone = "a";
  s.one_zone = s.spot = true;
  s.estimate_s = 240;
  s.checkpoint_s = 30;
  s.save_s = 4;
  s.deadline_s = 900;
  return s;
}

inline accounts::Usage golden_usage() {
  accounts::Usage u;
  u[accounts::Useful] = 123456;
  u[accounts::Attempts] = 3;
  u[accounts::Cost] = 77;
  return u;
}

inline ProgressRecord golden_progress() {
  ProgressRecord p;
  p.started = {{0, 9}, {12, 14}};
  p.finished = {{0, 1}, {2, 3}, {4, 5}, {6, 7}};
  p.failed_on = 2;
  p.usage = golden_usage();
  p.running_ms = 4500;
  p.at_ms = 1700000000123;
  p.loans.push_back({77, "north", {{12, 14}}, 10.5, true, golden_usage()});
  return p;
}

inline wire::PeerMessage golden_peer(wire::PeerMessage::Kind kind) {
  wire::PeerMessage m;
  m.kind = kind;
  m.nonce = 123456789012345;
  m.term = 412;
  m.sender = 2;
  m.cut_off = m.spreads = true;
  m.uptime_ms = 61500;
  m.reads = 215;
  m.writes = 17;
  m.reach = {Hearing::Hears, 240, 1.5, 20, CloudWord::Fails};
  m.cancelled = {"j-000001", "j-000002"};
  m.news.push_back({"j-000412", 3, 13, true, "waiting: all 3 machines are in use"});
  m.report.machine = "n-000231";
  m.report.address = "10.1.0.232:9000";
  m.report.type = "g8";
  m.report.zone = "a";
  m.report.spot = true;
  m.report.session = 2;
  m.report.seq = 88;
  m.report.token = 412;
  m.report.notice_s = 12.5;
  m.report.tasks = {{"j-000412", 3, 7, TaskPhase::Running, ExitCause::None, false},
                    {"j-000412", 4, 7, TaskPhase::Exited, ExitCause::Stopped, true}};
  m.status = 200;
  m.orders = {{TaskOrder::Verb::Start, "j-000412", 5, 8, 0}, {TaskOrder::Verb::Stop, "j-000377", 1, 1, 10}};
  m.verb = wire::PeerMessage::Verb::Abort;
  m.id = "j-000412";
  m.body = "body";
  m.retry_s = 2;
  return m;
}

inline wire::CellMessage golden_cell(wire::CellMessage::Kind kind) {
  wire::CellMessage m;
  m.kind = kind;
  m.from = "north";
  m.to = "south";
  m.term = 412;
  m.number = 99;
  m.address = "10.0.0.1:8081";
  m.lease_s = 10;
  m.wait_s = {1, 2, 3, 4};
  m.kinds.push_back({"g8", "a", true, false, 7, 3, {8, 1, 64}, {24, 3, 192}, 30, 1.5});
  m.need = {1, 0, 2};
  m.tasks = 12;
  m.types = {"g8"};
  m.spot = true;
  m.generation = 77;
  m.body = "body";
  m.ranges = {{0, 5}, {7, 12}};
  m.yes = true;
  m.other_term = 400;
  m.running = 4;
  m.usage = golden_usage();
  m.generations = {77, 78};
  m.grant_s = 8.5;
  return m;
}

inline std::vector<std::pair<std::string, std::string>> golden_samples() {
  std::vector<std::pair<std::string, std::string>> out;
  auto record = [&](const char *name, const wire::Json &j) { out.emplace_back(name, j.dump()); };
  const SumsByTeam sums{{{"2026-12-01", "vision"}, accounts::sums_of(golden_usage(), {8, 1, 64})}};
  record("open", wire::to_json(OpenRecord{golden_job(), 1700000000.25, false, {}}));
  record("open cancelled", wire::to_json(OpenRecord{golden_job(), 1700000000.25, true, {}}));
  record("open lent", wire::to_json(OpenRecord{golden_job(), 1700000000.25, false, Lent{"north", 77, {{0, 5}}}}));
  const EndRecord end{false, 16, "train", "vision", 1700000000.25, 1700000100.5, true, "finished 3 s late",
                      golden_usage(), {8, 1, 64.5}};
  record("end", wire::to_json(end));
  record("final", wire::final_json(end));
  record("progress", wire::to_json(golden_progress()));
  record("shard", wire::progress_shard({{"j-000412", wire::to_json(golden_progress())}}, sums));
  record("shard without sums", wire::progress_shard({{"j-000412", wire::to_json(golden_progress())}}));
  record("sums", wire::to_json(sums));
  record("leader", wire::to_json(LeaderRecord{"roost-1", 123456789012345}));
  record("reach", wire::to_json(ReachRecord{{Hearing::Hears, 240, 1.5, 20, CloudWord::Fails}, 1700000000.25}));
  record("types", wire::to_json(std::vector<MachineType>{{"g8", {96, 8, 768}, 200, 1, 12, 4.5, 45, {"a", "b"}}}));
  for (int k = 1; k <= 9; ++k)
    out.emplace_back("frame " + std::to_string(k),
                     hex(wire::encode_peer(golden_peer(static_cast<wire::PeerMessage::Kind>(k)))));
  for (int k = 1; k <= 11; ++k)
    out.emplace_back("cell frame " + std::to_string(k),
                     hex(wire::encode_cell(golden_cell(static_cast<wire::CellMessage::Kind>(k)))));
  return out;
}

} // namespace loft::test
