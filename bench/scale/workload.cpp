#include "workload.hpp"

#include <algorithm>
#include <charconv>
#include <random>

#include <fmt/format.h>

namespace loftrouter::scale {

namespace {
constexpr int kTeamsOfGangs = 20; // the first so many teams submit the gangs, and have limits that let them run
constexpr int kWorkersAnAddressBlock = 250;
constexpr double kLongestCancelAfter = 30; // s
constexpr double kGangLimitFactor = 4;     // limit of those teams over the largest gang

std::mt19937_64 generator(std::uint64_t seed, std::uint64_t stream, std::uint64_t number) {
  std::seed_seq mixed{seed, stream, number};
  return std::mt19937_64(mixed);
}

double uniform(std::mt19937_64 &random, double least, double most) {
  return std::uniform_real_distribution<double>(least, most)(random);
}

double mean_tasks(const JobClass &c) {
  return 0.5 * (c.min_tasks + c.max_tasks);
}
} // namespace

Workload::Workload(const Scenario &scenario, std::uint64_t seed, int worker_port)
    : scenario_(scenario), seed_(seed), worker_port_(worker_port) {
  for (const auto &c : scenario.classes) {
    class_weights_.push_back(scenario.task_starts_per_s * c.starts_share / mean_tasks(c));
    jobs_per_s_ += class_weights_.back();
  }
  jobs_at_start_ = static_cast<std::uint32_t>(scenario.jobs_at_start(jobs_per_s_));
}

JobPlan Workload::job(std::uint32_t number) const {
  auto random = generator(seed_, 1, number);
  JobPlan plan;
  plan.number = number;
  plan.region = static_cast<int>(number) % scenario_.regions;
  plan.job_class = std::discrete_distribution<int>(class_weights_.begin(), class_weights_.end())(random);
  const auto &c = scenario_.classes[static_cast<std::size_t>(plan.job_class)];
  const bool gang = c.shape == Shape::Gang;
  const int last_team = std::max(0, (gang ? std::min(kTeamsOfGangs, scenario_.teams) : scenario_.teams) - 1);
  plan.team = std::uniform_int_distribution<int>(0, last_team)(random);
  plan.run_s = c.run_s * uniform(random, 0.6, 1.4);
  if (number < jobs_at_start_) plan.run_s *= uniform(random, 0.1, 1); // as if it had run for a while already
  if (uniform(random, 0, 1) < c.cancelled) plan.cancel_after_s = uniform(random, 0.1, kLongestCancelAfter);
  auto &spec = plan.spec;
  spec.id = fmt::format("j-{:06}", number);
  spec.job_class = c.name;
  spec.team = scenario_.team_name(plan.team);
  spec.shape = c.shape;
  spec.priority = c.priority;
  spec.tasks = std::uniform_int_distribution<std::uint32_t>(c.min_tasks, c.max_tasks)(random);
  spec.need = {c.cpus, 0, c.memory_gb};
  spec.image = fmt::format("{}-{}", c.name, std::uniform_int_distribution<int>(0, c.images - 1)(random));
  spec.image_gb = c.image_gb;
  spec.one_zone = c.one_zone;
  spec.estimate_s = plan.run_s * uniform(random, 0.7, 1.4);
  spec.checkpoint_s = c.checkpoint_s;
  spec.save_s = c.save_s;
  return plan;
}

double Workload::task_run_s(const JobPlan &job, std::uint32_t index) const {
  if (job.spec.shape == Shape::Gang) return job.run_s;
  auto random = generator(seed_, 2, (static_cast<std::uint64_t>(job.number) << 20) + index);
  return job.run_s * uniform(random, 0.5, 1.5);
}

WorkerPlace Workload::worker(int index) const {
  WorkerPlace w;
  w.region = index % scenario_.regions;
  w.zone = (index / scenario_.regions) % scenario_.zones_per_region;
  w.name = fmt::format("n-{:06}", index);
  w.address = fmt::format("127.1.{}.{}:{}", index / kWorkersAnAddressBlock + 1, index % kWorkersAnAddressBlock + 1,
                          worker_port_);
  w.zone_name = scenario_.zone_name(w.region, w.zone);
  auto random = generator(seed_, 3, static_cast<std::uint64_t>(index));
  double left = uniform(random, 0, 1);
  w.type = &scenario_.types.back();
  for (const auto &t : scenario_.types) {
    left -= t.share;
    if (left > 0) continue;
    w.type = &t;
    break;
  }
  return w;
}

double Workload::team_limit(int team) const {
  if (scenario_.team_limit_factor <= 0) return 0;
  double mean_cpus = 0, largest_gang = 0, largest_array = 0;
  for (const auto &c : scenario_.classes) {
    mean_cpus += scenario_.task_starts_per_s * c.starts_share * c.run_s * c.cpus / scenario_.teams;
    double &largest = c.shape == Shape::Gang ? largest_gang : largest_array;
    largest = std::max(largest, c.cpus * c.max_tasks);
  }
  double limit = std::max(scenario_.team_limit_factor * mean_cpus, largest_array);
  // A region may have no more than its part of a limit, and the largest gang has to fit that.
  if (team < kTeamsOfGangs) limit = std::max(limit, kGangLimitFactor * scenario_.regions * largest_gang);
  return limit;
}

std::vector<Team> Workload::teams() const {
  std::vector<Team> out;
  for (int t = 0; t < scenario_.teams; ++t)
    out.push_back({scenario_.team_name(t), 0, team_limit(t), 0, 0});
  return out;
}

std::optional<std::uint32_t> Workload::number_of(const std::string &job_id) {
  std::uint32_t number = 0;
  if (job_id.size() < 3) return std::nullopt;
  const char *end = job_id.data() + job_id.size();
  const auto [stop, error] = std::from_chars(job_id.data() + 2, end, number);
  return error == std::errc() && stop == end ? std::optional(number) : std::nullopt;
}

} // namespace loftrouter::scale
