#include "loftrouter/core/autoscaling/scale_out.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace loftrouter::core {

namespace {
constexpr int kMaxMachinesPerCall = 50; // limit of the cloud's API
constexpr double kReservedCalls = 1.0;  // left for listing and returning machines
constexpr double kNoCapacityPauseS = 12.0;
constexpr double kCallDeadlineS = 3.0;
constexpr int kCallAttempts = 3;
} // namespace

bool ScaleOut::lacks_capacity(const MachineKind &kind) const {
  const auto it = no_capacity_until_.find(kind);
  return it != no_capacity_until_.end() && context_.runtime.now() < it->second;
}

std::vector<MachineKind> ScaleOut::kinds_without_capacity() const {
  std::vector<MachineKind> kinds;
  for (const auto &[kind, until] : no_capacity_until_)
    if (context_.runtime.now() < until) kinds.push_back(kind);
  return kinds;
}

bool ScaleOut::in_flight(const MachineKind &kind) const {
  const auto it = in_flight_.find(kind);
  return it != in_flight_.end() && it->second > 0;
}

void ScaleOut::request(const CapacityRequest &wanted) {
  const Job &first_job = context_.jobs[wanted.first_job];
  int left = wanted.machines;
  while (left > 0 && call_limiter_.level(context_.runtime.now()) >= 1 + kReservedCalls) {
    const int count = std::min(left, kMaxMachinesPerCall);
    left -= count;
    in_flight_[wanted.kind] += count;
    ++last_request_number_;
    const CloudScaleOut call{fmt::format("r-{}-{}", context_.leadership.term(), last_request_number_),
                             context_.catalog.type_name(wanted.kind.type), context_.catalog.zone_name(wanted.kind.zone),
                             wanted.kind.spot, count};
    context_.runtime.log(LogLevel::Info, "scale_out_requested",
                         {{"request", call.request},
                          {"machines", count},
                          {"type", call.type},
                          {"zone", call.zone},
                          {"spot", call.spot},
                          {"jobs", wanted.jobs},
                          {"first_job", first_job.spec.id},
                          {"class", first_job.spec.job_class},
                          {"its_waiting_tasks", first_job.pending()}});
    send(call, wanted.kind, kCallAttempts);
  }
}

void ScaleOut::send(const CloudScaleOut &call, const MachineKind &kind, int attempts_left) {
  if (!call_limiter_.take(context_.runtime.now())) {
    in_flight_[kind] -= call.count;
    return;
  }
  const auto epoch = context_.leadership.epoch();
  context_.runtime.cloud(call, kCallDeadlineS, [this, call, kind, attempts_left, epoch](const wire::CloudReply &reply) {
    if (epoch != context_.leadership.epoch()) return;
    const bool unanswered = reply.status == 0;
    if (unanswered && attempts_left > 1) return send(call, kind, attempts_left - 1);
    finish(call, kind, reply);
  });
}

void ScaleOut::finish(const CloudScaleOut &call, const MachineKind &kind, const wire::CloudReply &reply) {
  in_flight_[kind] -= call.count;
  bool no_capacity = reply.status == 503 && reply.no_capacity;
  if (reply.status == 200) {
    for (const auto &name : reply.names)
      if (!context_.workers.removed_at(name))
        context_.workers.mark_verified(context_.workers.find_or_add(name, call.type, call.zone, call.spot));
    no_capacity = static_cast<int>(reply.names.size()) < call.count;
  }
  if (no_capacity) no_capacity_until_[kind] = context_.runtime.now() + kNoCapacityPauseS;
}

} // namespace loftrouter::core
