#include "hollow_users.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "loftrouter/net/http.hpp"
#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/job.hpp"

namespace loftrouter::scale {

namespace {
constexpr double kTick = 0.01, kProbeEvery = 1.0, kProbeWithin = 1.0;      // s
constexpr double kSubmitWithin = 5.0, kPollWithin = 2.0, kPollEvery = 5.0; // s
constexpr double kRetryAfter = 1.0, kRetryFor = 60.0;                      // s
constexpr double kForgottenAfter = 90.0;                                   // s, without an answer while others get some
constexpr double kCheckEvery = 0.2, kAdminWithin = 2.0;                    // s, whether a change is in force
constexpr double kGiveUpChange = 120.0;                                    // s
constexpr int kUnhealthyAfter = 2;
constexpr double kChangeStep = 1e-3; // CPUs or hours, between two changes
constexpr std::size_t kConnectionsANode = 64, kQueuedANode = 2'000;
constexpr int kBudgetTeams = 100; // that one record of budgets may name

double exponential(std::mt19937_64 &random, double rate) {
  return std::exponential_distribution<double>(rate)(random);
}
} // namespace

HollowUsers::HollowUsers(net::Loop &loop, LineChannel &runner, const Scenario &scenario, const Workload &workload,
                         std::vector<std::vector<ControllerAddress>> controllers, std::uint64_t seed)
    : loop_(loop), runner_(runner), scenario_(scenario), workload_(workload), random_(seed),
      tick_(loop, [this] { tick(); }), probe_(loop, [this] { probe(); }), count_(loop, [this] { tell_counters(); }),
      check_(loop, [this] { check_changes(); }) {
  net::HttpClient::Options options, one;
  options.max_connections = kConnectionsANode;
  options.max_queued = kQueuedANode;
  one.max_connections = 1;
  one.max_queued = 4;
  for (auto &nodes : controllers) {
    Region region;
    for (auto &address : nodes) {
      const auto api = *net::parse_address(address.api);
      region.nodes.push_back({.address = address,
                              .client = std::make_unique<net::HttpClient>(loop, api, options),
                              .prober = std::make_unique<net::HttpClient>(loop, api, one)});
    }
    regions_.push_back(std::move(region));
  }
  probe_.once(0);
  count_.once(1);
}

void HollowUsers::on_line(std::string_view line) {
  if (line != "begin" || begun_) return;
  begun_ = true;
  const double now = net::mono_now();
  for (auto &region : regions_)
    region.answered_at = now;
  // Those that are there at the start come within a few seconds, as after a long pause of the users' network.
  while (next_job_ < workload_.jobs_at_start())
    arrive(now + std::uniform_real_distribution<double>(0, scenario_.warmup_s / 4)(random_));
  next_arrival_ = now + exponential(random_, workload_.jobs_per_s());
  next_change_ = now + scenario_.warmup_s;
  tick_.once(kTick);
  if (scenario_.configuration.mechanism != ConfigurationLoad::Mechanism::None) check_.once(kCheckEvery);
}

// ---- balancer ----

void HollowUsers::probe() {
  probe_.once(kProbeEvery);
  for (auto &region : regions_)
    for (auto &node : region.nodes)
      node.prober->request("GET", "/up", "", kProbeWithin, [&node](int status, std::string &&) {
        node.failures = status == 200 ? 0 : node.failures + 1;
        if (status == 200) node.healthy = true;
        if (node.failures >= kUnhealthyAfter) node.healthy = false;
      });
}

void HollowUsers::ask_node(Node &node, const char *method, const std::string &target, const std::string &body,
                           double within_s, Answer answer) {
  ++requests_;
  request_bytes_ += net::format_request(method, target, node.address.api, body).size();
  ++node.open;
  node.client->request(method, target, body, within_s,
                       [this, &node, answer = std::move(answer)](int status, std::string &&text) {
                         --node.open;
                         if (status == 0) ++unanswered_;
                         if (status == 429 || status == 503) ++refused_;
                         if (status != 0) {
                           ++answers_;
                           answer_bytes_ += net::format_response(status, text, {}, true).size();
                         }
                         answer(status, std::move(text));
                       });
}

void HollowUsers::ask(int region, const char *method, const std::string &target, const std::string &body,
                      double within_s, Answer answer) {
  Node *best = nullptr;
  for (auto &node : regions_[static_cast<std::size_t>(region)].nodes)
    if (node.healthy && (!best || node.open < best->open)) best = &node;
  if (!best) return answer(0, {});
  ask_node(*best, method, target, body, within_s, std::move(answer));
}

// ---- jobs ----

void HollowUsers::arrive(double at) {
  Job job;
  job.plan = workload_.job(next_job_++);
  job.next = at;
  jobs_.emplace(job.plan.number, std::move(job));
}

void HollowUsers::tick() {
  const double now = net::mono_now();
  for (; next_arrival_ <= now; next_arrival_ += exponential(random_, workload_.jobs_per_s()))
    arrive(now);
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    auto &job = (it++)->second; // stepping may end the job
    if (!job.waiting && now >= job.next) step(job, now);
  }
  if (scenario_.configuration.mechanism != ConfigurationLoad::Mechanism::None && now >= next_change_)
    change_configuration(now);
  tick_.once(kTick);
}

void HollowUsers::step(Job &job, double now) {
  if (!job.accepted) return submit(job, now);
  if (job.cancel_at > 0 && now >= job.cancel_at) return cancel(job, now);
  const bool others_answered = regions_[static_cast<std::size_t>(job.plan.region)].answered_at > now - kPollEvery;
  if (others_answered && now - job.answered_at > kForgottenAfter) {
    broken("forgotten", job, "no poll answered for 90 s");
    job.answered_at = now;
  }
  poll(job, now);
}

void HollowUsers::submit(Job &job, double now) {
  if (job.first_try == 0) {
    job.first_try = now;
    job.give_up_at = now + kRetryFor;
    runner_.send(fmt::format("submitted {} {:.4f}", job.plan.number, now));
  }
  job.waiting = true;
  ask(job.plan.region, "POST", "/api/jobs", wire::encode(wire::to_json(job.plan.spec)), kSubmitWithin,
      [this, number = job.plan.number](int status, std::string &&) {
        const auto it = jobs_.find(number);
        if (it == jobs_.end()) return;
        Job &mine = it->second;
        const double at = net::mono_now();
        mine.waiting = false;
        if (status == 200 || status == 201) {
          mine.accepted = true;
          mine.accepted_at = mine.answered_at = at;
          mine.next = at + std::uniform_real_distribution<double>(0.5, kPollEvery)(random_);
          if (mine.plan.cancel_after_s) {
            mine.cancel_at = at + *mine.plan.cancel_after_s;
            mine.next = std::min(mine.next, mine.cancel_at);
          }
          return runner_.send(fmt::format("accepted {} {:.4f} {:.4f}", number, at, at - mine.first_try));
        }
        if (status == 400 || status == 422) {
          runner_.send(fmt::format("refused {} {}", number, status));
          return finish(number);
        }
        mine.next = at + kRetryAfter;
        if (mine.next <= mine.give_up_at) return;
        runner_.send(fmt::format("refused {} {}", number, status));
        finish(number);
      });
}

void HollowUsers::poll(Job &job, double now) {
  job.waiting = true;
  job.next = now + kPollEvery;
  if (job.cancel_at > 0) job.next = std::min(job.next, std::max(now, job.cancel_at));
  ask(job.plan.region, "GET", "/api/jobs/" + job.plan.spec.id, "", kPollWithin,
      [this, number = job.plan.number](int status, std::string &&body) {
        const auto it = jobs_.find(number);
        if (it == jobs_.end()) return;
        const double at = net::mono_now();
        it->second.waiting = false;
        if (status == 404) broken("forgotten", it->second, "404 for an accepted job");
        if (status != 200) return;
        it->second.answered_at = regions_[static_cast<std::size_t>(it->second.plan.region)].answered_at = at;
        told(it->second, wire::decode(body).value_or(wire::Json::object()).value("status", std::string()), at);
      });
}

void HollowUsers::cancel(Job &job, double now) {
  job.waiting = true;
  job.cancel_asked = true;
  job.next = now + kRetryAfter;
  ask(job.plan.region, "POST", "/api/jobs/" + job.plan.spec.id + "/abort", "", kSubmitWithin,
      [this, number = job.plan.number](int status, std::string &&body) {
        const auto it = jobs_.find(number);
        if (it == jobs_.end()) return;
        it->second.waiting = false;
        if (status == 404) broken("forgotten", it->second, "404 for an accepted job that is to be cancelled");
        if (status != 200) return;
        told(it->second, wire::decode(body).value_or(wire::Json::object()).value("status", std::string()),
             net::mono_now());
      });
}

void HollowUsers::told(Job &job, const std::string &state, double now) {
  const auto number = job.plan.number;
  if (state == "done") {
    runner_.send(fmt::format("done {} {:.4f}", number, now));
    finish(number);
  } else if (state == "aborted") {
    if (!job.cancel_asked) broken("went_back", job, "called cancelled, and nobody has cancelled it");
    runner_.send(fmt::format("cancelled {} {:.4f}", number, now));
    finish(number);
  }
}

void HollowUsers::finish(std::uint32_t number) {
  jobs_.erase(number);
}

void HollowUsers::broken(const char *rule, const Job &job, const std::string &text) {
  runner_.send(fmt::format("broken {} {} {}", rule, job.plan.number, text));
}

// ---- configuration ----

void HollowUsers::change_configuration(double now) {
  next_change_ = now + 86'400 / scenario_.configuration.changes_per_day;
  Change change;
  change.number = next_change_number_++;
  change.region = change.number % scenario_.regions;
  const bool budgets = scenario_.configuration.mechanism == ConfigurationLoad::Mechanism::Budgets;
  change.team = change.number % (budgets ? std::min(scenario_.teams, kBudgetTeams) : scenario_.teams);
  // Falls with each change, so that a value seen tells whether this change or a later one is in force: what was there
  // before is larger, also where there was no record yet. A quota stays close below the platform's limit.
  change.value = (budgets ? 100'000 : workload_.team_limit(change.team) - 1) - kChangeStep * change.number;
  change.made_at = now;
  changes_[change.number] = std::move(change);
  put_change(next_change_number_ - 1);
}

void HollowUsers::put_change(int number) {
  const auto &change = changes_.at(number);
  const bool budgets = scenario_.configuration.mechanism == ConfigurationLoad::Mechanism::Budgets;
  const auto team = scenario_.team_name(change.team);
  const auto body = budgets ? fmt::format("{{\"teams\":{{\"{}\":{{\"cpu_hours\":{}}}}}}}", team, change.value)
                            : fmt::format("{{\"cpus_max\":{:.4f}}}", change.value);
  ask(change.region, "PUT", budgets ? "/admin/v1/budgets" : "/admin/v1/quotas/" + team, body, kAdminWithin,
      [this, number](int status, std::string &&) {
        const auto it = changes_.find(number);
        if (it == changes_.end()) return;
        it->second.answered = status == 200;
        if (status == 200)
          runner_.send(fmt::format("changed {} {} {:.4f}", number, it->second.region, it->second.made_at));
      });
}

// Asks every node for what is in force there, and tells the runner of what is new.
void HollowUsers::check_changes() {
  check_.once(kCheckEvery);
  const double now = net::mono_now();
  for (auto it = changes_.begin(); it != changes_.end();) {
    auto &change = it->second;
    if (!change.answered && now - change.made_at > kAdminWithin) { // conflict, refusal or no answer: asked again
      change.made_at = std::max(change.made_at, now - kAdminWithin / 2);
      put_change(it->first);
    }
    it = now - change.made_at > kGiveUpChange ? changes_.erase(it) : std::next(it);
  }
  if (changes_.empty()) return;
  const bool budgets = scenario_.configuration.mechanism == ConfigurationLoad::Mechanism::Budgets;
  for (int r = 0; r < scenario_.regions; ++r)
    for (std::size_t n = 0; n < regions_[static_cast<std::size_t>(r)].nodes.size(); ++n) {
      ++config_reads_;
      auto &node = regions_[static_cast<std::size_t>(r)].nodes[n];
      ask_node(node, "GET", budgets ? "/admin/v1/budgets" : "/admin/v1/quotas", "", kAdminWithin,
               [this, r, n, budgets](int status, std::string &&body) {
                 if (status != 200) return;
                 const auto seen = nlohmann::json::parse(body, nullptr, false);
                 if (!seen.is_object() || !seen.contains("teams")) return;
                 const double at = net::mono_now();
                 for (auto &[number, change] : changes_) {
                   const auto team = scenario_.team_name(change.team);
                   if (!change.answered || !seen["teams"].contains(team)) continue;
                   const auto &field = seen["teams"][team][budgets ? "cpu_hours" : "cpus_max"];
                   if (!field.is_number()) continue;
                   const double value = field.get<double>();
                   bool &done = change.in_force[{r, static_cast<int>(n)}];
                   if (done || value > change.value + kChangeStep / 2) continue;
                   done = true;
                   runner_.send(fmt::format("in_force {} {} {} {:.4f}", number, r, n, at));
                 }
               });
    }
}

void HollowUsers::tell_counters() {
  runner_.send(fmt::format("count requests {} request_bytes {} answers {} answer_bytes {} refused {} unanswered {} "
                           "open_jobs {} config_reads {}",
                           requests_, request_bytes_, answers_, answer_bytes_, refused_, unanswered_, jobs_.size(),
                           config_reads_));
  count_.once(1);
}

} // namespace loftrouter::scale
