#include "load.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace loftrouter::bench {

namespace {
constexpr double kReportEvery = 5.0, kTaskFor = 25.0;
constexpr double kBacklog = 2.5; // of what the machines run at a time, waiting

Settings settings() {
  Settings s;
  s.node = "node-0";
  s.zone = "a";
  s.zones = {"a"};
  s.replicas = {{"node-1", "a", ""}, {"node-2", "a", ""}};
  s.teams = {{"red", 0, 0, 0, 0}};
  s.heartbeat_interval_s = kReportEvery;
  s.lease_s = 26;
  s.state_rps = 1e6;
  s.state_write_rps = 100;
  s.cloud_rps = 1000;
  return s;
}
} // namespace

Load::Load(int machines) : core_(settings(), 7) {
  for (int m = 0; m < machines; ++m) {
    Box b;
    b.report.machine = fmt::format("n-{:06}", m);
    b.report.address = fmt::format("10.1.{}.{}:9000", m / 250, m % 250);
    b.report.type = m % 4 == 3 ? "big" : "small";
    b.report.zone = "a";
    b.report.spot = m % 3 != 0;
    b.report.incarnation = 1;
    b.next = kReportEvery * m / machines;
    boxes_.push_back(std::move(b));
  }
  while (!core_.leading())
    step();
  for (int i = 0; i < 150; ++i)
    step();
}

core::Effects Load::apply(std::vector<core::Command> batch) {
  return core_.apply(std::move(batch), now());
}

void Load::settle() {
  while (!answers_.empty())
    carry_out(apply(std::exchange(answers_, {})));
}

double Load::lease_s() const {
  return settings().lease_s;
}

void Load::arrive(std::uint32_t tasks) {
  JobSpec s;
  s.id = fmt::format("j-{:06}", next_job_++);
  s.job_class = "bulk";
  s.team = "red";
  s.tasks = tasks;
  s.priority = Priority::Low;
  s.need = {1, 0, 1.5};
  s.image = fmt::format("img-{}", next_job_ % 12);
  s.image_gb = 1;
  s.spot = true;
  s.estimate_s = kTaskFor;
  s.deadline_s = 300;
  stamps_["open/" + s.id] = ++revision_;
  news_.push_back({"open/" + s.id, wire::to_json(OpenRecord{s, now().wall, false, {}}), revision_});
}

void Load::step() {
  t_ += 0.1;
  // As much work as the machines get through, in jobs of 200 tasks, and a backlog.
  double cpus = 0;
  for (const auto &b : boxes_)
    cpus += b.report.type == "big" ? 16 : 4;
  if (core_.leading())
    while (next_job_ * 200 < t_ * cpus * 0.95 / kTaskFor + cpus * (1 + kBacklog))
      arrive(200);
  if (watch_ && (!news_.empty() || t_ - watched_since_ > 2.9)) {
    wire::StoreReply r;
    r.status = 200;
    r.revision = revision_;
    r.events.assign(news_.begin(), news_.end());
    news_.clear();
    answers_.push_back(core::StoreReplyCommand{std::exchange(watch_, 0), std::move(r)});
  }
  answers_.push_back(core::TickCommand{});
  settle();
  for (int m = 0; m < static_cast<int>(boxes_.size()); ++m) {
    Box &b = boxes_[static_cast<std::size_t>(m)];
    bool ended = false;
    for (auto &r : b.runs) {
      ended |= r.phase != TaskPhase::Exited && t_ >= r.ends;
      if (t_ >= r.ends) r.phase = TaskPhase::Exited;
    }
    if (core_.leading() && (t_ >= b.next || ended)) report(m);
  }
}

Heartbeat Load::next_report(Box &b) {
  ++b.report.sequence;
  b.report.tasks.clear();
  for (const auto &r : b.runs)
    b.report.tasks.push_back(
        {r.job, r.index, r.attempt, r.phase, r.phase == TaskPhase::Exited ? ExitCause::Done : ExitCause::None, false});
  return b.report;
}

std::string Load::report_bytes(int m) const {
  Box copy = boxes_[static_cast<std::size_t>(m)];
  return wire::encode_heartbeat(next_report(copy));
}

std::string Load::answer(const std::string &bytes) {
  auto decoded = wire::decode_heartbeat(bytes);
  const core::RequestId req = next_req_++;
  std::vector<core::Command> batch;
  batch.push_back(core::HeartbeatCommand{req, std::move(*decoded)});
  carry_out(apply(std::move(batch)));
  auto body = std::move(replies_[req]);
  replies_.erase(req);
  ++reports;
  return body;
}

void Load::report(int m) {
  Box &b = boxes_[static_cast<std::size_t>(m)];
  b.next = t_ + kReportEvery;
  take(b, answer(wire::encode_heartbeat(next_report(b))));
  settle();
}

void Load::take(Box &b, const std::string &body) {
  auto orders = wire::decode_commands(body);
  if (!orders) return;
  b.report.fencing_token = orders->fencing_token;
  for (const auto &o : orders->commands) {
    auto it = std::find_if(b.runs.begin(), b.runs.end(), [&](const Run &r) {
      return r.index == o.index && r.attempt == o.attempt && r.job == o.job;
    });
    if (o.verb == TaskCommand::Verb::Start && it == b.runs.end()) {
      b.runs.push_back({o.job, o.index, o.attempt, TaskPhase::Running, t_ + kTaskFor});
      ++starts;
    } else if (o.verb == TaskCommand::Verb::Forget && it != b.runs.end()) {
      b.runs.erase(it);
    }
  }
}

void Load::carry_out(core::Effects effects) {
  for (auto &r : effects.replies)
    replies_[r.req] = std::move(r.body);
  for (auto &op : effects.store) {
    wire::StoreReply r;
    r.status = 200;
    r.revision = revision_;
    if (auto *get = std::get_if<core::StoreGet>(&op.request); get && !stamps_.contains(get->key)) {
      r.status = 404;
    } else if (auto *commit = std::get_if<core::StoreCommit>(&op.request)) {
      (void)wire::encode_commit(commit->preconditions, commit->writes);
      r.revision = ++revision_;
      for (const auto &w : commit->writes)
        stamps_[w.key] = revision_;
    } else if (std::holds_alternative<core::StoreLeaseGrant>(op.request)) {
      r.lease = 5;
    } else if (std::holds_alternative<core::StoreWatch>(op.request)) {
      watch_ = op.op;
      watched_since_ = t_;
      continue;
    }
    answers_.push_back(core::StoreReplyCommand{op.op, std::move(r)});
  }
  for (auto &op : effects.cloud) {
    wire::CloudReply r;
    r.status = 200;
    if (std::holds_alternative<core::CloudTypes>(op.request)) {
      r.types = {{"small", {4, 0, 32}, 60, 1, 0.2, 0.08, 40, {"a"}}, {"big", {16, 0, 64}, 60, 1, 0.8, 0.3, 40, {"a"}}};
    } else if (std::holds_alternative<core::CloudScaleOut>(op.request)) {
      r.status = 503;
      r.no_capacity = true;
    } else if (auto *back = std::get_if<core::CloudScaleIn>(&op.request)) {
      returned.insert(back->names.begin(), back->names.end());
    }
    answers_.push_back(core::CloudReplyCommand{op.op, std::move(r)});
  }
  for (auto &p : effects.peers)
    (void)wire::encode_peer(p.message); // its cost is measured
}

std::string Load::submit() {
  JobSpec s;
  s.id = fmt::format("j-9{:06}", next_job_++);
  s.job_class = "bulk";
  s.team = "red";
  s.tasks = 1;
  s.need = {1, 0, 1};
  s.image = "img-1";
  std::vector<core::Command> batch;
  batch.push_back(
      core::SubmitCommand{next_req_++, std::get<JobSpec>(wire::decode_job(wire::encode(wire::to_json(s))))});
  auto effects = apply(std::move(batch));
  for (auto &op : effects.store)
    if (auto *commit = std::get_if<core::StoreCommit>(&op.request))
      return wire::encode_commit(commit->preconditions, commit->writes);
  return {};
}

} // namespace loftrouter::bench
