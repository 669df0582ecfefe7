#include "loftrouter/core/autoscaling/autoscaler.hpp"

#include <algorithm>

namespace loftrouter::core {

namespace {
constexpr double kScaleInterval = 1.0;  // s
constexpr double kFirstScale = 1.0;     // s, after this leader could place nothing: once what waits has been placed
constexpr double kListInterval = 3.0;   // s
constexpr double kListDeadline = 3.0;   // s, of a page
constexpr double kAfterFirstList = 1.0; // s, until machines are rented
constexpr double kListLags = 4.0;       // of the cloud's list: a machine removed may be on it for that long
constexpr double kListLagMargin = 5.0;  // s
constexpr double kCallsShare = 0.7;     // of the cloud's limit
} // namespace

Autoscaler::Autoscaler(const AutoscalingContext &context)
    : context_(context),
      calls_(kCallsShare * context.settings.cloud_rps, std::max(1.0, kCallsShare * context.settings.cloud_rps)),
      catalog_loader_(context_, calls_), scale_in_(context_, calls_), scale_out_(context_, calls_),
      planner_(context_, scale_out_) {}

void Autoscaler::on(const TermStarted &) {
  next_list_ = context_.runtime.now();
  next_scale_ = context_.runtime.now() + kFirstScale;
  listed_at_ = -1;
}

void Autoscaler::on(const TermEnded &event) {
  listing_ = false;
  listed_at_ = -1;
  scale_in_.on(event);
  scale_out_.on(event);
}

void Autoscaler::tick() {
  const double now = context_.runtime.now();
  catalog_loader_.tick();
  if (!context_.leadership.active()) {
    scale_in_.note_placing_stopped();
    next_scale_ = now + kFirstScale;
    return;
  }
  if (!listing_ && now >= next_list_ && calls_.take(now)) {
    listing_ = true;
    next_list_ = now + kListInterval;
    list_machines("");
  }
  scale_in_.return_machines();
  if (now >= next_scale_) {
    next_scale_ = now + kScaleInterval;
    scale();
  }
}

// Not before the machines that are there are known.
void Autoscaler::scale() {
  if (listed_at_ < 0 || context_.runtime.now() - listed_at_ < kAfterFirstList) return;
  if (context_.failure_detector.all_unreachable()) return;
  const CapacityPlan plan = planner_.plan();
  for (const auto &request : plan.requests)
    scale_out_.request(request);
  scale_in_.drain_surplus(plan.waiting_cpus);
}

// ---- the cloud's list ----

// `from`: the name after which the page begins; empty: the first page.
void Autoscaler::list_machines(const std::string &from) {
  const auto epoch = context_.leadership.epoch();
  context_.runtime.cloud(CloudList{from}, kListDeadline, [this, epoch](const wire::CloudReply &reply) {
    if (epoch != context_.leadership.epoch()) return;
    if (reply.status != 200) {
      listing_ = false;
      return;
    }
    for (const auto &listed : reply.machines)
      take_listed(listed);
    if (reply.more && !reply.machines.empty()) return list_machines(reply.machines.back().name);
    listing_ = false;
    if (listed_at_ < 0) listed_at_ = context_.runtime.now();
  });
}

void Autoscaler::take_listed(const ListedMachine &listed) {
  const double now = context_.runtime.now();
  WorkerRegistry &workers = context_.workers;
  if (const auto removed_at = workers.removed_at(listed.name)) {
    const double lag_s = kListLags * context_.settings.cloud_list_lag_s + kListLagMargin;
    if (now - *removed_at < lag_s) return;
    workers.forget_removal(listed.name); // still there: it is returned again
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
