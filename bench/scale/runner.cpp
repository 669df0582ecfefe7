#include "runner.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <numeric>
#include <set>
#include <sstream>

#include <fmt/format.h>
#include <unistd.h>

#include "judge.hpp"
#include "layout.hpp"
#include "measurements.hpp"
#include "process.hpp"

namespace loftrouter::scale {

namespace {

using Json = nlohmann::json;

constexpr double kSampleEvery = 1.0, kStatusWithin = 2.0; // s
constexpr int kTicksASample = 5, kSamplesAStatus = 10;
constexpr double kReadyWithin = 60.0;             // s, for controllers to lead in each region
constexpr double kRestartAfter = 5.0;             // s, that a killed controller is away
constexpr double kChangeSettles = 20.0;           // s: changes made later are not counted
constexpr int kWorkerHosts = 2;                   // processes with hollow workers, a region
constexpr double kLate = 0.25, kLateShare = 0.02; // s, and of a stand-in's seconds, from which a run is invalid
constexpr int kKeepIdleMachines = 100;            // boot times: the fleet keeps its size

template <class Number> Number next(std::istringstream &words) {
  Number value{};
  words >> value;
  return value;
}

double mean(const std::vector<double> &values) {
  return values.empty() ? 0 : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

class Run {
public:
  explicit Run(const RunOptions &options)
      : options_(options), scenario_(scenario_of(options)), layout_{options.base_port},
        workload_(scenario_, options.seed, layout_.worker_port()), judge_(scenario_, workload_),
        tick_(loop_, [this] { tick(); }) {
    directory_ = std::filesystem::temp_directory_path() / fmt::format("loft-scale-{}", ::getpid());
    std::filesystem::create_directories(directory_);
  }
  ~Run() {
    parts_.clear();
    std::filesystem::remove_all(directory_);
  }
  Run(const Run &) = delete;
  Run &operator=(const Run &) = delete;

  Json play() {
    start_parts();
    tick_.once(kSampleEvery);
    loop_.run();
    return result();
  }

private:
  enum class Kind : std::uint8_t { Controller, Outside, Workers, LoneWorker, Users, Links };
  struct Part {
    Kind kind;
    int region, number;
    std::unique_ptr<Process> process;
    ProcessMeter meter;
    CounterMeter counters;
    std::vector<double> lag;               // s, by second
    std::unique_ptr<net::HttpClient> http; // of a controller
    std::string role;                      // of a controller, as it says itself
    double back_at = 0;                    // of a killed controller
  };

  // ---- starting ----

  std::vector<std::string> child_command(const char *role, int region) const {
    return {options_.self, "child",
            role,          options_.scenario_file,
            "--region",    std::to_string(region),
            "--seed",      std::to_string(options_.seed),
            "--workers",   std::to_string(scenario_.workers),
            "--base-port", std::to_string(options_.base_port)};
  }

  void add_child(Kind kind, const char *role, int region, int number) {
    auto part = std::make_unique<Part>();
    part->kind = kind;
    part->region = region;
    part->number = number;
    auto *raw = part.get();
    part->process = std::make_unique<Process>(loop_, child_command(role, region),
                                              log_file(fmt::format("{}-{}-{}", role, region, number)),
                                              [this, raw](std::string_view line) { on_line(*raw, line); });
    parts_.push_back(std::move(part));
  }

  std::string log_file(const std::string &name) const { return (directory_ / (name + ".log")).string(); }

  void start_controller(Part &part) {
    const auto settings = (directory_ / fmt::format("settings-{}-{}.json", part.region, part.number)).string();
    const auto features = (directory_ / fmt::format("features-{}.toml", part.region)).string();
    std::ofstream(settings) << layout_.settings(scenario_, workload_, part.region, part.number);
    std::ofstream(features) << layout_.features(scenario_, part.region);
    part.process = std::make_unique<Process>(
        loop_, std::vector<std::string>{options_.daemon, "--features", features, "--config", settings},
        log_file(fmt::format("controller-{}-{}", part.region, part.number)), [](std::string_view) {});
  }

  void start_parts() {
    for (int r = 0; r < scenario_.regions; ++r)
      add_child(Kind::Outside, "outside", r, 0);
    for (int r = 0; r < scenario_.regions; ++r)
      for (int host = 0; host < kWorkerHosts; ++host)
        add_child(Kind::Workers, "workers", r, host);
    add_child(Kind::LoneWorker, "workers", 0, kWorkerHosts);
    add_child(Kind::Users, "users", 0, 0);
    add_child(Kind::Links, "links", 0, 0);
    for (int r = 0; r < scenario_.regions; ++r)
      for (int k = 0; k < scenario_.controllers_per_region; ++k) {
        auto part = std::make_unique<Part>();
        part->kind = Kind::Controller;
        part->region = r;
        part->number = k;
        net::HttpClient::Options http;
        http.max_connections = 2;
        part->http = std::make_unique<net::HttpClient>(loop_, *net::parse_address(layout_.controller(r, k).api), http);
        start_controller(*part);
        parts_.push_back(std::move(part));
      }
    for (int w = 0; w < scenario_.workers + scenario_.spare_workers; ++w) {
      const bool spare = w >= scenario_.workers;
      part(Kind::Outside, workload_.worker(w).region, 0)
          .process->send(fmt::format("{} {}", spare ? "spare" : "running", w));
      if (!spare) bring_up(w);
    }
  }

  Part &part(Kind kind, int region, int number) {
    for (auto &p : parts_)
      if (p->kind == kind && p->region == region && p->number == number) return *p;
    throw std::logic_error("no such part");
  }

  // The process that a worker is in. The first worker of the first region is alone in its own.
  Part &host_of(int worker) {
    const int region = workload_.worker(worker).region;
    if (worker == 0) return part(Kind::LoneWorker, 0, kWorkerHosts);
    return part(Kind::Workers, region, (worker / scenario_.regions) % kWorkerHosts);
  }

  void bring_up(int worker) {
    up_.insert(worker);
    host_of(worker).process->send(fmt::format("up {}", worker));
  }

  void take_down(int worker) {
    if (up_.erase(worker)) host_of(worker).process->send(fmt::format("down {}", worker));
  }

  // ---- what parts tell ----

  void on_line(Part &from, std::string_view line) {
    std::istringstream words{std::string(line)};
    std::string verb;
    words >> verb;
    if (verb == "count") return from.counters.take(line);
    if (verb == "lag") {
      if (measuring()) from.lag.push_back(next<double>(words));
      return;
    }
    if (verb == "up") return bring_up(next<int>(words));
    if (verb == "down") return take_down(next<int>(words));
    if (verb == "on" || verb == "off") return on_task(verb == "on", words);
    if (verb == "submitted" || verb == "accepted" || verb == "cancelled" || verb == "done") return on_job(verb, words);
    if (verb == "refused") {
      next<std::uint32_t>(words);
      ++refused_[next<int>(words)];
      return;
    }
    if (verb == "broken") {
      const auto rule = next<std::string>(words);
      return judge_.found(rule, std::string(line));
    }
    if (verb == "changed") {
      const int number = next<int>(words), region = next<int>(words);
      return changes_.made(number, region, next<double>(words));
    }
    if (verb == "in_force") {
      const int number = next<int>(words), region = next<int>(words), node = next<int>(words);
      return changes_.in_force(number, region, node, next<double>(words));
    }
    errors_.push_back(std::string(line));
  }

  void on_task(bool on, std::istringstream &words) {
    JudgeEvent e;
    e.kind = on ? JudgeEvent::Kind::TaskOn : JudgeEvent::Kind::TaskOff;
    e.worker = next<int>(words);
    e.job = next<std::uint32_t>(words);
    e.index = next<std::uint32_t>(words);
    e.attempt = next<std::uint64_t>(words);
    e.at = next<double>(words);
    if (!on) e.cause = static_cast<ExitCause>(next<int>(words));
    gather(e);
    judge_.add(e);
  }

  // Brings gangs together: a gang goes once all of its tasks are on machines; when it loses one later, the others
  // notice.
  void gather(const JudgeEvent &e) {
    const auto plan = workload_.job(e.job);
    if (plan.spec.shape != Shape::Gang) return;
    auto &gang = gangs_[{e.job, e.attempt}];
    if (e.kind == JudgeEvent::Kind::TaskOn) {
      gang.on.insert(e.index);
      if (gang.on.size() < plan.spec.tasks || gang.gone) return;
      gang.runs = true;
      return tell_hosts(fmt::format("go {} {}", e.job, e.attempt));
    }
    gang.on.erase(e.index);
    if (gang.runs && !gang.gone && e.cause != ExitCause::Done) {
      gang.gone = true;
      late_.emplace(net::mono_now() + scenario_.gang_peer_s / 2, fmt::format("gone {} {}", e.job, e.attempt));
    }
    if (gang.on.empty()) gangs_.erase({e.job, e.attempt});
  }

  void tell_hosts(const std::string &line) {
    for (auto &p : parts_)
      if (p->kind == Kind::Workers || p->kind == Kind::LoneWorker) p->process->send(line);
  }

  void on_job(const std::string &verb, std::istringstream &words) {
    JudgeEvent e;
    e.job = next<std::uint32_t>(words);
    e.at = next<double>(words);
    e.kind = verb == "submitted"   ? JudgeEvent::Kind::Submitted
             : verb == "accepted"  ? JudgeEvent::Kind::Accepted
             : verb == "cancelled" ? JudgeEvent::Kind::Cancelled
                                   : JudgeEvent::Kind::Done;
    judge_.add(e);
    if (verb == "submitted") ++submitted_;
    if (verb == "accepted" && e.at >= measure_from_ && measure_from_ > 0) accepts_.push_back(next<double>(words));
  }

  // ---- time ----

  bool measuring() const { return measure_from_ > 0 && net::mono_now() >= measure_from_; }

  void tick() {
    const double now = net::mono_now();
    tick_.once(kSampleEvery / kTicksASample);
    ++tick_count_;
    while (!late_.empty() && late_.begin()->first <= now) {
      tell_hosts(late_.begin()->second);
      late_.erase(late_.begin());
    }
    judge_.advance(now);
    bring_back(now);
    if (tick_count_ % kTicksASample != 0) return;
    const bool often =
        begun_at_ == 0 || std::any_of(scenario_.faults.begin(), scenario_.faults.end(),
                                      [](const Fault &f) { return f.kind == Fault::Kind::LeadersKilled; });
    if (often || tick_count_ % (kTicksASample * kSamplesAStatus) == 0) ask_status();
    if (begun_at_ == 0) return prepare(now);
    if (measure_from_ == 0 && now >= begun_at_ + scenario_.warmup_s) begin_measuring(now);
    if (measure_from_ == 0) return;
    for (auto &p : parts_)
      p->meter.add(now, p->process->sample());
    running_.push_back(static_cast<double>(judge_.running()));
    up_counts_.push_back(static_cast<double>(up_.size()));
    for (auto &fault : scenario_.faults)
      play(fault, now - measure_from_);
    if (now >= measure_from_ + scenario_.seconds) loop_.stop();
    if (tick_count_ % (kTicksASample * 10) == 0)
      std::fprintf(stderr, "%.0f s: %zu workers, %zu tasks running, %llu starts, %zu rules broken\n",
                   now - measure_from_, up_.size(), judge_.running(), static_cast<unsigned long long>(judge_.starts()),
                   judge_.broken().size());
  }

  void prepare(double now) {
    if (started_at_ == 0) started_at_ = now;
    std::set<int> led;
    for (const auto &p : parts_)
      if (p->kind == Kind::Controller && p->role == "leading") led.insert(p->region);
    if (static_cast<int>(led.size()) == scenario_.regions) {
      // Idle machines are kept, so that figures belong to a number of workers.
      for (int r = 0; r < scenario_.regions; ++r)
        part(Kind::Controller, r, 0)
            .http->request("PUT", "/admin/v1/settings", fmt::format("{{\"idle_boots\":{}}}", kKeepIdleMachines),
                           kStatusWithin, [](int, std::string &&) {});
      begun_at_ = now;
      part(Kind::Users, 0, 0).process->send("begin");
      std::fprintf(stderr, "%d workers, %u jobs at the start, %.2f jobs a second\n", scenario_.workers,
                   workload_.jobs_at_start(), workload_.jobs_per_s());
    } else if (now > started_at_ + kReadyWithin) {
      errors_.push_back("not every region has a leader within a minute");
      loop_.stop();
    }
  }

  void begin_measuring(double now) {
    measure_from_ = now;
    judge_.measure_from(now);
    for (auto &p : parts_)
      p->counters.begin();
  }

  void ask_status() {
    for (auto &p : parts_) {
      if (p->kind != Kind::Controller || p->back_at > 0) continue;
      p->http->request("GET", "/admin/v1/status", "", kStatusWithin, [raw = p.get()](int status, std::string &&body) {
        const auto j = Json::parse(body, nullptr, false);
        if (status == 200 && j.is_object()) raw->role = j.value("role", std::string());
      });
    }
  }

  void bring_back(double now) {
    for (auto &p : parts_)
      if (p->back_at > 0 && now >= p->back_at) {
        p->back_at = 0;
        start_controller(*p);
      }
  }

  // ---- faults ----

  void play(const Fault &fault, double at) {
    const auto index = static_cast<std::size_t>(&fault - scenario_.faults.data());
    const bool begins = at >= fault.at_s && !begun_faults_.contains(index);
    if (begins) begun_faults_[index] = 0;
    switch (fault.kind) {
    case Fault::Kind::ZoneLost:
      if (begins) lose_zone();
      return;
    case Fault::Kind::RegionCut:
      if (begins) part(Kind::Links, 0, 0).process->send("cut 0");
      if (at >= fault.at_s + fault.for_s && begun_faults_[index] == 0 && at >= fault.at_s) {
        part(Kind::Links, 0, 0).process->send("join 0");
        begun_faults_[index] = 1;
      }
      return;
    case Fault::Kind::WorkersRestart:
      if (at >= fault.at_s) restart_workers(fault, index, at);
      return;
    case Fault::Kind::LeadersKilled:
      if (at >= fault.at_s) kill_leaders(fault, index, at);
      return;
    }
  }

  void lose_zone() {
    std::vector<int> gone;
    for (int w : up_)
      if (const auto place = workload_.worker(w); place.region == 0 && place.zone == 0) gone.push_back(w);
    for (int w : gone) {
      take_down(w);
      part(Kind::Outside, 0, 0).process->send(fmt::format("fail {}", w));
    }
  }

  void restart_workers(const Fault &fault, std::size_t index, double at) {
    int &restarted = begun_faults_[index];
    const int due = std::min(fault.count, static_cast<int>((at - fault.at_s) * fault.per_s));
    for (; restarted < due; ++restarted) {
      const int worker = 1 + restarted % std::max(1, scenario_.workers - 1);
      if (up_.contains(worker)) host_of(worker).process->send(fmt::format("restart {}", worker));
    }
  }

  // One region after the other, as far apart as `for_s` says.
  void kill_leaders(const Fault &fault, std::size_t index, double at) {
    int &killed = begun_faults_[index];
    if (killed >= scenario_.regions || at < fault.at_s + killed * fault.for_s) return;
    for (auto &p : parts_)
      if (p->kind == Kind::Controller && p->region == killed && p->role == "leading") {
        p->process->kill();
        p->role.clear();
        p->back_at = net::mono_now() + kRestartAfter;
        ++killed;
        return;
      }
  }

  // ---- figures ----

  const char *name(const Part &p) const {
    switch (p.kind) {
    case Kind::Controller:
      return p.role.starts_with("leading") ? "leader" : "follower";
    case Kind::Outside:
      return "state service and cloud";
    case Kind::Workers:
      return "hollow workers";
    case Kind::LoneWorker:
      return "one worker";
    case Kind::Users:
      return "users";
    case Kind::Links:
      return "links between regions";
    }
    return "";
  }

  Json processes() const {
    Json out = Json::array();
    for (const auto &p : parts_) {
      Json j = p->meter.figures();
      j["role"] = name(*p);
      j["region"] = p->region;
      j["number"] = p->number;
      j["alive"] = p->process->alive();
      if (!p->lag.empty()) j["lag_s"] = spread(p->lag);
      out.push_back(std::move(j));
    }
    return out;
  }

  // Of the parts of one kind together, a second.
  double rate(Kind kind, const std::string &counter) const {
    double sum = 0;
    for (const auto &p : parts_)
      if (p->kind == kind) sum += p->counters.rate(counter, scenario_.seconds);
    return sum;
  }

  Json state_services() const {
    Json out = Json::array();
    for (const auto &p : parts_) {
      if (p->kind != Kind::Outside) continue;
      const auto &c = p->counters;
      const double s = scenario_.seconds;
      out.push_back({{"region", p->region},
                     {"requests_per_s", c.rate("state_requests", s)},
                     {"changes_per_s", c.rate("state_changes", s)},
                     {"refused_requests", c.growth("refused_requests")},
                     {"refused_changes", c.growth("refused_changes")},
                     {"too_large", c.value("too_large")},
                     {"keys", c.value("keys")},
                     {"value_bytes", c.value("value_bytes")},
                     {"bytes_in_per_s", c.rate("state_bytes_in", s)},
                     {"bytes_out_per_s", c.rate("state_bytes_out", s)},
                     {"cloud_requests_per_s", c.rate("cloud_requests", s)},
                     {"machines_rented", c.value("rented")},
                     {"machines_returned", c.value("returned")}});
    }
    return out;
  }

  Json traffic() const {
    Json one = {{"reports_per_s", rate(Kind::LoneWorker, "reports")},
                {"bytes_out_per_s", rate(Kind::LoneWorker, "report_bytes")},
                {"bytes_in_per_s", rate(Kind::LoneWorker, "answer_bytes")}};
    return {{"workers",
             {{"reports_per_s", rate(Kind::Workers, "reports")},
              {"bytes_out_per_s", rate(Kind::Workers, "report_bytes")},
              {"bytes_in_per_s", rate(Kind::Workers, "answer_bytes")},
              {"redirects_per_s", rate(Kind::Workers, "redirects")},
              {"failures_per_s", rate(Kind::Workers, "failures")},
              {"direct_calls_per_s", rate(Kind::Workers, "direct_calls")},
              {"leases_lost", rate(Kind::Workers, "leases_lost") * scenario_.seconds},
              {"tasks_lost_by_lease", rate(Kind::Workers, "tasks_lost_by_lease") * scenario_.seconds}}},
            {"one_worker", std::move(one)},
            {"users",
             {{"requests_per_s", rate(Kind::Users, "requests")},
              {"bytes_in_per_s", rate(Kind::Users, "request_bytes")},
              {"bytes_out_per_s", rate(Kind::Users, "answer_bytes")},
              {"refused_per_s", rate(Kind::Users, "refused")},
              {"unanswered_per_s", rate(Kind::Users, "unanswered")},
              {"open_jobs", part_counter(Kind::Users, "open_jobs")}}},
            {"between_regions",
             {{"frames_per_s", rate(Kind::Links, "frames")}, {"bytes_per_s", rate(Kind::Links, "bytes")}}}};
  }

  double part_counter(Kind kind, const std::string &counter) const {
    for (const auto &p : parts_)
      if (p->kind == kind) return p->counters.value(counter);
    return 0;
  }

  Json result() {
    Json waits = Json::object();
    std::vector<double> urgent;
    for (std::size_t c = 0; c < scenario_.classes.size(); ++c) {
      const auto &w = judge_.waits()[c];
      waits[w.job_class] = spread(w.all);
      if (scenario_.classes[c].priority >= Priority::High) urgent.insert(urgent.end(), w.all.begin(), w.all.end());
    }
    const double running = mean(running_);
    const double starts = static_cast<double>(judge_.starts()) / scenario_.seconds;
    const double last_change = measure_from_ + scenario_.seconds - kChangeSettles;
    std::size_t missing = 0;
    const auto in_force =
        changes_.everywhere(measure_from_, last_change, scenario_.regions, scenario_.controllers_per_region, missing);
    Json out = {{"scenario", scenario_.name},
                {"seed", options_.seed},
                {"workers", scenario_.workers},
                {"workers_up", mean(up_counts_)},
                {"seconds", scenario_.seconds},
                {"warmup_s", scenario_.warmup_s},
                {"starts_per_s", starts},
                {"running_tasks", running},
                {"jobs_submitted", submitted_},
                {"jobs_done", judge_.jobs_done()},
                {"accept_s", spread(accepts_)},
                {"wait_s", std::move(waits)},
                {"urgent_wait_s", spread(urgent)},
                {"starts_after_cancellation", judge_.starts_after_cancellation()},
                {"most_cpus_over_a_limit", judge_.max_over_limit()},
                {"processes", processes()},
                {"state_services", state_services()},
                {"traffic", traffic()},
                {"configuration",
                 changes_.figures(measure_from_, last_change, scenario_.regions, scenario_.controllers_per_region)},
                {"broken", judge_.broken()},
                {"broken_texts", judge_.texts()},
                {"refused", refused_}};
    decide(out, starts, running, urgent, in_force, missing);
    return out;
  }

  void decide(Json &out, double starts, double running, const std::vector<double> &urgent,
              const std::vector<double> &in_force, std::size_t missing) const {
    std::vector<std::string> failures = errors_, invalid;
    for (const auto &[rule, count] : judge_.broken())
      failures.push_back(fmt::format("rule {} broken {} times", rule, count));
    for (const auto &p : parts_) {
      if (!p->process->alive()) failures.push_back(fmt::format("a process has ended: {} {}", name(*p), p->number));
      const auto late =
          static_cast<double>(std::count_if(p->lag.begin(), p->lag.end(), [](double s) { return s > kLate; }));
      if (late > kLateShare * static_cast<double>(p->lag.size()))
        invalid.push_back(fmt::format("{} {} of region {} fell behind in {} of {} seconds", name(*p), p->number,
                                      p->region, late, p->lag.size()));
    }
    if (judge_.late_events() > 0)
      invalid.push_back(fmt::format("{} events came too late to be judged in order", judge_.late_events()));
    const auto &o = scenario_.objectives;
    auto max_at = [&failures](const char *what, const std::optional<double> &limit, double value) {
      if (limit && value > *limit)
        failures.push_back(fmt::format("{}: {:.2f}, at most {:g} wanted", what, value, *limit));
    };
    auto min_at = [&failures](const char *what, const std::optional<double> &limit, double value) {
      if (limit && value < *limit)
        failures.push_back(fmt::format("{}: {:.1f}, at least {:g} wanted", what, value, *limit));
    };
    max_at("accept_p95_s", o.accept_p95_s, quantile(accepts_, 0.95));
    max_at("urgent_start_p95_s", o.urgent_start_p95_s, quantile(urgent, 0.95));
    min_at("starts_per_s", o.starts_per_s, starts);
    min_at("running_tasks", o.running_tasks, running);
    if (o.config_in_force_p99_s) {
      max_at("config_in_force_p99_s", o.config_in_force_p99_s, quantile(in_force, 0.99));
      if (missing > 0 || in_force.empty())
        failures.push_back(
            fmt::format("changes not in force everywhere: {} of {}", missing, missing + in_force.size()));
    }
    out["valid"] = invalid.empty();
    out["invalid_because"] = invalid;
    out["failures"] = failures;
    out["passed"] = invalid.empty() && failures.empty();
  }

  struct Gang {
    std::set<std::uint32_t> on;
    bool runs = false, gone = false;
  };

  const RunOptions options_;
  Scenario scenario_;
  const Layout layout_;
  const Workload workload_;
  net::Loop loop_;
  Judge judge_;
  std::filesystem::path directory_;
  std::vector<std::unique_ptr<Part>> parts_;
  net::Timer tick_;
  int tick_count_ = 0;
  double started_at_ = 0, begun_at_ = 0, measure_from_ = 0; // 0: not yet
  std::set<int> up_;
  std::map<std::pair<std::uint32_t, std::uint64_t>, Gang> gangs_;
  std::multimap<double, std::string> late_;           // lines to hosts, by when
  std::map<std::size_t, int> begun_faults_;           // how far each has come
  std::vector<double> accepts_, running_, up_counts_; // the latter two by second
  std::map<int, std::uint64_t> refused_;              // jobs, by status
  std::uint64_t submitted_ = 0;
  ChangeMeter changes_;
  std::vector<std::string> errors_;
};

} // namespace

Scenario scenario_of(const RunOptions &options) {
  auto scenario = load_scenario(options.scenario_file);
  if (options.workers > 0) scenario = scaled_to(std::move(scenario), options.workers);
  if (options.seconds > 0) scenario.seconds = options.seconds;
  return scenario;
}

Json run_scenario(const RunOptions &options) {
  return Run(options).play();
}

} // namespace loftrouter::scale
