#include "loftrouter/core/autoscaling/autoscaler.hpp"

#include <algorithm>

namespace loftrouter::core {

namespace {
constexpr double kScaleIntervalS = 1.0;
constexpr double kFirstScaleDelayS = 1.0; // lets placement rounds run before the first scaling
constexpr double kListIntervalS = 3.0;
constexpr double kListDeadlineS = 3.0; // per page
constexpr double kScaleDelayAfterListS = 1.0;
// A removed machine may stay listed for this multiple of the configured list lag, plus the margin.
constexpr double kListLagFactor = 4.0;
constexpr double kListLagMarginS = 5.0;
constexpr double kCallRateShare = 0.7; // of the cloud's rate limit
} // namespace

Autoscaler::Autoscaler(const AutoscalingContext &context)
    : context_(context), call_limiter_(kCallRateShare * context.settings.cloud_rps,
                                       std::max(1.0, kCallRateShare * context.settings.cloud_rps)),
      catalog_loader_(context_, call_limiter_), scale_in_(context_, call_limiter_), scale_out_(context_, call_limiter_),
      planner_(context_, scale_out_) {}

void Autoscaler::on(const TermStarted &) {
  next_list_ = context_.runtime.now();
  next_scale_ = context_.runtime.now() + kFirstScaleDelayS;
  first_listed_at_ = -1;
}

void Autoscaler::on(const TermEnded &event) {
  list_in_flight_ = false;
  first_listed_at_ = -1;
  scale_in_.on(event);
  scale_out_.on(event);
}

void Autoscaler::tick() {
  const double now = context_.runtime.now();
  catalog_loader_.tick();
  if (!context_.leadership.active()) {
    scale_in_.note_scheduling_paused();
    next_scale_ = now + kFirstScaleDelayS;
    return;
  }
  if (!list_in_flight_ && now >= next_list_ && call_limiter_.take(now)) {
    list_in_flight_ = true;
    next_list_ = now + kListIntervalS;
    list_machines("");
  }
  scale_in_.return_machines();
  if (now >= next_scale_) {
    next_scale_ = now + kScaleIntervalS;
    scale();
  }
}

// Waits for a complete machine list, so that machines that exist already are not requested again.
void Autoscaler::scale() {
  if (first_listed_at_ < 0 || context_.runtime.now() - first_listed_at_ < kScaleDelayAfterListS) return;
  if (context_.failure_detector.all_unreachable()) return;
  const CapacityPlan plan = planner_.plan();
  for (const auto &request : plan.requests)
    scale_out_.request(request);
  scale_in_.drain_surplus(plan.waiting_cpus);
}

// Fetches the list page by page. `after_name`: last name of the previous page; empty for the first page.
void Autoscaler::list_machines(const std::string &after_name) {
  const auto epoch = context_.leadership.epoch();
  context_.runtime.cloud(CloudList{after_name}, kListDeadlineS, [this, epoch](const wire::CloudReply &reply) {
    if (epoch != context_.leadership.epoch()) return;
    if (reply.status != 200) {
      list_in_flight_ = false;
      return;
    }
    for (const auto &listed : reply.machines)
      update_listed_machine(listed);
    if (reply.more && !reply.machines.empty()) return list_machines(reply.machines.back().name);
    list_in_flight_ = false;
    if (first_listed_at_ < 0) first_listed_at_ = context_.runtime.now();
  });
}

void Autoscaler::update_listed_machine(const ListedMachine &listed) {
  const double now = context_.runtime.now();
  WorkerRegistry &workers = context_.workers;
  if (const auto removed_at = workers.removed_at(listed.name)) {
    const double max_lag_s = kListLagFactor * context_.settings.cloud_list_lag_s + kListLagMarginS;
    if (now - *removed_at < max_lag_s) return;
    workers.forget_removal(listed.name); // the removal failed: return it again
    workers.mark_returning(workers.find_or_add(listed.name, listed.type, listed.zone, listed.spot));
    return;
  }
  const bool is_new = !workers.index(listed.name).valid();
  const MachineIndex machine_index = workers.find_or_add(listed.name, listed.type, listed.zone, listed.spot);
  if (is_new) workers.set_launched_at(machine_index, now - listed.age_s);
  if (listed.status == MachineStatus::Running) workers.mark_listed_running(machine_index);
  if (listed.status == MachineStatus::Failed) workers.mark_listed_failed(machine_index);
}

} // namespace loftrouter::core
