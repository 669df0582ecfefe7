#include "hollow_workers.hpp"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace loftrouter::scale {

namespace {
constexpr double kTick = 0.01;                             // s
constexpr double kAnswerWithin = 4.0, kTryNextAfter = 1.0; // s
constexpr double kMinBetweenReports = 0.5;                 // s
constexpr double kReportJitter = 0.25;                     // of the interval
constexpr double kRestartPause = 2.0;                      // s, that a restarted machine is silent
constexpr std::size_t kMaxPlans = 20'000, kMaxImages = 30;
constexpr double kRoomSlack = 1e-6;

std::vector<std::string_view> words(std::string_view line) {
  std::vector<std::string_view> out;
  for (std::size_t at = 0; at < line.size();) {
    const auto end = std::min(line.find(' ', at), line.size());
    out.push_back(line.substr(at, end - at));
    at = end + 1;
  }
  return out;
}

template <class Number> Number to_number(std::string_view text) {
  Number value{};
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}
} // namespace

struct HollowWorkers::Worker {
  int index = 0;
  WorkerPlace place;
  Heartbeat report;
  std::vector<Run> runs;
  std::vector<std::string> images; // most recently used last
  std::unique_ptr<net::HttpServer> server;
  std::unique_ptr<net::HttpClient> client;
  std::size_t controller = 0;
  bool controller_changed = false; // the connection is closed with the next step
  bool in_flight = false;
  bool changed = false;
  std::uint64_t generation = 0; // of the connection; answers on earlier ones are dropped
  double sent_at = 0;           // the report under way
  double lease_from = 0;        // when the last answered report was sent
  double next_report = 0, last_report = -1e9;
  double token_told_at = -1e9;
};

HollowWorkers::HollowWorkers(net::Loop &loop, LineChannel &runner, const Scenario &scenario, const Workload &workload,
                             std::vector<ControllerAddress> controllers, std::uint64_t seed)
    : loop_(loop), runner_(runner), scenario_(scenario), workload_(workload), controllers_(std::move(controllers)),
      random_(seed), tick_(loop, [this] { tick(); }), count_(loop, [this] { tell_counters(); }) {
  tick_.once(kTick);
  count_.once(1);
}

HollowWorkers::~HollowWorkers() = default;

const JobPlan &HollowWorkers::plan(std::uint32_t job) {
  if (plans_.size() > kMaxPlans) plans_.clear();
  auto it = plans_.find(job);
  if (it == plans_.end()) it = plans_.emplace(job, workload_.job(job)).first;
  return it->second;
}

void HollowWorkers::on_line(std::string_view line) {
  const auto w = words(line);
  if (w.size() < 2) return;
  if (w[0] == "up") return bring_up(to_number<int>(w[1]));
  if (w[0] == "down") return take_down(to_number<int>(w[1]));
  if (w[0] == "restart") return restart(to_number<int>(w[1]));
  if (w.size() < 3) return;
  gang_event(to_number<std::uint32_t>(w[1]), to_number<std::uint64_t>(w[2]), w[0] == "go");
}

// ---- machines ----

void HollowWorkers::bring_up(int index) {
  auto w = std::make_unique<Worker>();
  w->index = index;
  w->place = workload_.worker(index);
  w->report = {.machine = w->place.name,
               .address = w->place.address,
               .type = w->place.type->name,
               .zone = w->place.zone_name,
               .spot = false,
               .incarnation = 1,
               .sequence = 0,
               .fencing_token = 0,
               .notice_s = {},
               .tasks = {}};
  std::string error;
  auto listener = net::listen_on(*net::parse_address(w->place.address), error);
  if (!listener) {
    runner_.send(fmt::format("error worker {} cannot listen: {}", index, error));
    return;
  }
  net::HttpServer::Options options;
  options.max_connections = 8;
  w->server = std::make_unique<net::HttpServer>(
      loop_, std::move(listener), options,
      [this, index](net::ConnId id, net::HttpMessage &&m) { on_direct(index, id, std::move(m)); });
  const double now = net::mono_now();
  w->lease_from = now;
  w->controller = std::uniform_int_distribution<std::size_t>(0, controllers_.size() - 1)(random_);
  w->controller_changed = true;
  w->next_report = now + std::uniform_real_distribution<double>(0, scenario_.heartbeat_interval_s)(random_);
  wake(index, w->next_report);
  workers_[index] = std::move(w);
}

void HollowWorkers::take_down(int index) {
  const auto it = workers_.find(index);
  if (it == workers_.end()) return;
  lose_all(*it->second);
  workers_.erase(it);
}

void HollowWorkers::restart(int index) {
  const auto it = workers_.find(index);
  if (it == workers_.end()) return;
  Worker &w = *it->second;
  const double now = net::mono_now();
  new_incarnation(w, now);
  w.controller_changed = true;
  w.next_report = now + kRestartPause;
  w.last_report = w.next_report; // silent until then
}

void HollowWorkers::new_incarnation(Worker &w, double now) {
  lose_all(w);
  ++w.report.incarnation;
  w.report.sequence = 0;
  w.lease_from = now;
  w.changed = true;
}

void HollowWorkers::lose_all(Worker &w) {
  for (auto &run : w.runs)
    if (run.phase != TaskPhase::Exited) end_run(w, run, ExitCause::None);
  w.runs.clear();
}

// ---- time ----

void HollowWorkers::wake(int index, double at) {
  due_.push({at, index});
}

void HollowWorkers::tick() {
  const double now = net::mono_now();
  while (!due_.empty() && due_.top().at <= now) {
    const int index = due_.top().worker;
    due_.pop();
    if (const auto it = workers_.find(index); it != workers_.end()) step(*it->second, now);
  }
  tick_.once(kTick);
}

void HollowWorkers::step(Worker &w, double now) {
  advance_tasks(w, now);
  if (now > w.lease_from + scenario_.lease_s) {
    ++counters_.leases_lost;
    counters_.tasks_lost_by_lease += w.runs.size();
    new_incarnation(w, now);
  }
  if (w.controller_changed && !w.in_flight) {
    w.controller_changed = false;
    ++w.generation;
    net::HttpClient::Options options;
    options.max_connections = 1;
    options.max_queued = 2;
    w.client = std::make_unique<net::HttpClient>(loop_, *net::parse_address(controllers_[w.controller].api), options);
  }
  const bool due = now >= w.next_report || (w.changed && now >= w.last_report + kMinBetweenReports);
  if (due && !w.in_flight && w.client) send_report(w, now);
  double next = w.lease_from + scenario_.lease_s + kTick;
  if (!w.in_flight) next = std::min(next, w.next_report);
  if (!w.in_flight && w.changed) next = std::min(next, w.last_report + kMinBetweenReports);
  for (const auto &run : w.runs)
    if (run.phase != TaskPhase::Exited && run.phase != TaskPhase::Waiting) next = std::min(next, run.until);
  for (const auto &run : w.runs)
    if (run.phase == TaskPhase::Waiting) next = std::min(next, run.until);
  wake(w.index, std::max(next, now + kTick));
}

void HollowWorkers::advance_tasks(Worker &w, double now) {
  for (auto &run : w.runs) {
    if (run.phase == TaskPhase::Exited || now < run.until) continue;
    switch (run.phase) {
    case TaskPhase::Fetching:
      fetched(w, run, now);
      break;
    case TaskPhase::Waiting:
      end_run(w, run, ExitCause::GangIncomplete);
      break;
    case TaskPhase::Running:
      end_run(w, run, ExitCause::Done);
      break;
    case TaskPhase::Saving:
      end_run(w, run, ExitCause::Stopped, true);
      break;
    case TaskPhase::Exited:
      break;
    }
    w.changed = true;
  }
}

void HollowWorkers::fetched(Worker &w, Run &run, double now) {
  run.announced = true;
  runner_.send(fmt::format("on {} {} {} {} {:.4f}", w.index, run.job, run.index, run.attempt, now));
  ++counters_.tasks_started;
  if (run.gang) {
    run.phase = TaskPhase::Waiting;
    run.until = now + scenario_.gang_wait_s;
    gang_workers_[{run.job, run.attempt}].insert(w.index);
    return;
  }
  run.phase = TaskPhase::Running;
  run.until = now + workload_.task_run_s(plan(run.job), run.index);
}

void HollowWorkers::end_run(Worker &w, Run &run, ExitCause cause, bool saved) {
  if (run.announced)
    runner_.send(fmt::format("off {} {} {} {} {:.4f} {}", w.index, run.job, run.index, run.attempt, net::mono_now(),
                             static_cast<int>(cause)));
  run.announced = false;
  run.phase = TaskPhase::Exited;
  run.cause = cause;
  run.saved = saved;
  w.changed = true;
}

// ---- reports ----

const Heartbeat &HollowWorkers::next_report(Worker &w) {
  ++w.report.sequence;
  w.report.tasks.clear();
  for (const auto &run : w.runs)
    w.report.tasks.push_back({plan(run.job).spec.id, run.index, run.attempt, run.phase, run.cause, run.saved});
  return w.report;
}

void HollowWorkers::send_report(Worker &w, double now) {
  const auto body = wire::encode_heartbeat(next_report(w));
  w.in_flight = true;
  w.changed = false;
  w.sent_at = w.last_report = now;
  const double spread = std::uniform_real_distribution<double>(1 - kReportJitter, 1 + kReportJitter)(random_);
  w.next_report = now + scenario_.heartbeat_interval_s * spread;
  ++counters_.reports;
  counters_.report_bytes += net::format_request("POST", "/v1/report", controllers_[w.controller].api, body).size();
  w.client->request("POST", "/v1/report", body, kAnswerWithin,
                    [this, index = w.index, generation = w.generation](int status, std::string &&answer) {
                      on_answer(index, generation, status, std::move(answer));
                    });
}

void HollowWorkers::on_answer(int index, std::uint64_t generation, int status, std::string &&body) {
  const auto it = workers_.find(index);
  if (it == workers_.end() || it->second->generation != generation) return;
  Worker &w = *it->second;
  const double now = net::mono_now();
  w.in_flight = false;
  if (status != 0) {
    ++counters_.answers;
    counters_.answer_bytes += net::format_response(status, body, {}, true).size();
  }
  if (status == 200) {
    const auto orders = wire::decode_commands(body);
    if (orders && orders->fencing_token >= w.report.fencing_token && w.sent_at >= w.lease_from) {
      if (orders->fencing_token > w.report.fencing_token && now > w.token_told_at + scenario_.lease_s / 2) {
        w.token_told_at = now;
        w.changed = true;
      }
      w.report.fencing_token = orders->fencing_token;
      w.lease_from = w.sent_at;
      execute(w, orders->commands);
    }
    return wake(index, now);
  }
  std::size_t next = (w.controller + 1) % controllers_.size();
  double pause = kTryNextAfter;
  if (status == 421) {
    ++counters_.redirects;
    const auto named = wire::decode(body).value_or(wire::Json::object()).value("answer_to", std::string());
    for (std::size_t k = 0; k < controllers_.size(); ++k)
      if (controllers_[k].node == named && k != w.controller) {
        next = k;
        pause = std::uniform_real_distribution<double>(0, 0.5)(random_);
      }
  } else {
    ++counters_.failures;
  }
  w.controller = next;
  w.controller_changed = true;
  w.next_report = now + pause;
  w.last_report = now + pause - kMinBetweenReports;
  wake(index, w.next_report);
}

// ---- orders ----

void HollowWorkers::execute(Worker &w, const std::vector<TaskCommand> &orders) {
  const double now = net::mono_now();
  for (const auto &order : orders) {
    const auto job = Workload::number_of(order.job);
    if (!job) continue;
    const auto run = std::find_if(w.runs.begin(), w.runs.end(), [&](const Run &r) {
      return r.job == *job && r.index == order.index && r.attempt == order.attempt;
    });
    switch (order.verb) {
    case TaskCommand::Verb::Start:
      if (run == w.runs.end()) start(w, order, now);
      break;
    case TaskCommand::Verb::Stop:
      if (run != w.runs.end()) kill(w, *run, order, now);
      break;
    case TaskCommand::Verb::Forget:
      if (run != w.runs.end() && run->phase == TaskPhase::Exited) w.runs.erase(run);
      break;
    }
  }
}

void HollowWorkers::start(Worker &w, const TaskCommand &order, double now) {
  const auto number = *Workload::number_of(order.job);
  const JobPlan &job = plan(number);
  Run run{.job = number, .index = order.index, .attempt = order.attempt};
  run.gang = job.spec.shape == Shape::Gang;
  run.cpus = job.spec.need.cpus;
  run.memory_gb = job.spec.need.memory;
  w.changed = true;
  double cpus = run.cpus, memory = run.memory_gb;
  bool same_task = false;
  for (const auto &other : w.runs) {
    if (other.phase == TaskPhase::Exited) continue;
    cpus += other.cpus;
    memory += other.memory_gb;
    same_task |= other.job == number && other.index == order.index;
  }
  if (same_task || cpus > w.place.type->cpus + kRoomSlack || memory > w.place.type->memory_gb + kRoomSlack) {
    run.phase = TaskPhase::Exited;
    run.cause = same_task ? ExitCause::Busy : ExitCause::InsufficientResources;
    w.runs.push_back(run);
    return;
  }
  auto image = std::find(w.images.begin(), w.images.end(), job.spec.image);
  const bool cached = image != w.images.end();
  if (cached) w.images.erase(image);
  w.images.push_back(job.spec.image);
  if (w.images.size() > kMaxImages) w.images.erase(w.images.begin());
  run.until = now + (cached ? 0 : job.spec.image_gb / scenario_.fetch_gb_per_s);
  w.runs.push_back(run);
  if (cached) fetched(w, w.runs.back(), now);
}

void HollowWorkers::kill(Worker &w, Run &run, const TaskCommand &order, double now) {
  if (run.phase == TaskPhase::Exited) return;
  const auto &spec = plan(run.job).spec;
  const bool saves = spec.checkpoint_s > 0 && order.grace_s >= spec.save_s;
  if (run.phase == TaskPhase::Saving && order.grace_s > 0) return;
  if (run.phase == TaskPhase::Running && saves) {
    run.phase = TaskPhase::Saving;
    run.until = now + spec.save_s;
    w.changed = true;
    return;
  }
  end_run(w, run, ExitCause::Stopped);
}

void HollowWorkers::on_direct(int index, net::ConnId id, net::HttpMessage &&m) {
  Worker &w = *workers_.at(index);
  ++counters_.direct_calls;
  counters_.direct_bytes += m.body.size();
  int status = 200;
  if (m.target == "/orders") {
    const auto orders = wire::decode_commands(m.body);
    const auto body = wire::decode(m.body).value_or(wire::Json::object());
    const auto incarnation = body.value("shift", std::uint64_t(0));
    if (!orders || incarnation == 0)
      status = 400;
    else if (orders->fencing_token < w.report.fencing_token || incarnation != w.report.incarnation)
      status = 409;
    else
      execute(w, orders->commands);
  } else if (m.target != "/show") {
    status = 404;
  }
  w.server->respond(id, status, wire::encode_heartbeat(next_report(w)));
  wake(index, net::mono_now());
}

// ---- gangs ----

void HollowWorkers::gang_event(std::uint32_t job, std::uint64_t attempt, bool complete) {
  const auto members = gang_workers_.find({job, attempt});
  if (members == gang_workers_.end()) return;
  const double now = net::mono_now();
  for (int index : members->second) {
    const auto it = workers_.find(index);
    if (it == workers_.end()) continue;
    for (auto &run : it->second->runs) {
      if (run.job != job || run.attempt != attempt || run.phase == TaskPhase::Exited) continue;
      if (!complete) {
        end_run(*it->second, run, ExitCause::GangPeerLost);
      } else if (run.phase == TaskPhase::Waiting) {
        run.phase = TaskPhase::Running;
        run.until = now + workload_.task_run_s(plan(job), run.index);
        it->second->changed = true;
      }
    }
    wake(index, now);
  }
  if (!complete) gang_workers_.erase(members);
}

void HollowWorkers::tell_counters() {
  const auto &c = counters_;
  runner_.send(
      fmt::format("count workers {} reports {} report_bytes {} answers {} answer_bytes {} redirects {} "
                  "failures {} direct_calls {} direct_bytes {} leases_lost {} tasks_lost_by_lease {} started {}",
                  workers_.size(), c.reports, c.report_bytes, c.answers, c.answer_bytes, c.redirects, c.failures,
                  c.direct_calls, c.direct_bytes, c.leases_lost, c.tasks_lost_by_lease, c.tasks_started));
  count_.once(1);
}

} // namespace loftrouter::scale
