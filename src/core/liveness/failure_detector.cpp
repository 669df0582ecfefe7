#include "loftrouter/core/liveness/failure_detector.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

namespace {
constexpr double kCountIntervalS = 0.25;
constexpr double kMinimumChargeS = 60.0; // of a rented machine, by the cloud's protocol
constexpr double kWorkerRetryS = 5.0;    // that a worker spends on a replica that does not answer
// That a machine which is listed as running may take to send its first heartbeat to a new leader.
constexpr double kMinFirstHeartbeatS = 10.0;
constexpr std::size_t kDirectPath = 0; // the others: 1 + replica, and last: not known yet
} // namespace

std::size_t FailureDetector::path(const Machine &machine) const {
  if (!machine.heartbeat.received()) return settings_.replicas.size() + 1;
  const ReplicaIndex forwarder = machine.heartbeat.forwarding_replica;
  return forwarder.valid() ? forwarder.position() + 1 : kDirectPath;
}

std::optional<double> FailureDetector::overdue_since(const Machine &machine) const {
  if (machine.returning() || machine.listing.failed || machine.type < 0) return std::nullopt;
  const bool boots = !machine.heartbeat.received() && !machine.listing.running;
  if (boots) return std::nullopt;
  const double since = machine.heartbeat.received() ? machine.heartbeat.last_accepted_at : machine.known_since;
  return runtime_.now() - since > heartbeat_timeout_s(settings_) ? std::optional(since) : std::nullopt;
}

double FailureDetector::retention_s(const Machine &machine) const {
  return kMinimumChargeS + (machine.type >= 0 ? catalog_.type(machine.type).boot_s : 0);
}

// ---- counting ----

void FailureDetector::tick() {
  if (!leadership_.leading() || runtime_.now() < next_count_at_) return;
  next_count_at_ = runtime_.now() + kCountIntervalS;
  count_machines();
  mark_unreachable_groups();
  const std::string unreachable = unreachable_groups();
  outage_detected_ = !unreachable.empty();
  log_change(unreachable);
}

void FailureDetector::count_machines() {
  paths_.resize(settings_.replicas.size() + 2);
  for (auto *groups : {&paths_, &zones_})
    for (Group &group : *groups)
      group.count = {};
  totals_ = {};
  workers_.each([this](MachineIndex, const Machine &machine) {
    if (machine.type < 0 || machine.returning() || machine.listing.failed) return;
    const bool overdue = overdue_since(machine).has_value();
    if (!machine.heartbeat.received() && !overdue) return;
    const GroupCount one{.known = 1, .overdue = overdue ? std::size_t(1) : 0};
    paths_[path(machine)].count.add(one);
    get_or_create(zones_, machine.zone).count.add(one);
    totals_.add(one);
  });
}

void FailureDetector::mark_unreachable_groups() {
  for (auto *groups : {&paths_, &zones_})
    for (Group &group : *groups)
      if (group.count.unreachable()) group.unreachable_at = runtime_.now();
  all_unreachable_ = false;
  if (!totals_.unreachable()) return;
  all_unreachable_at_ = runtime_.now();
  workers_.each([this](MachineIndex machine_index, const Machine &) {
    all_unreachable_ = all_unreachable_ || must_not_replace(machine_index);
  });
}

// The groups that are unreachable now, for the log; empty if none is.
std::string FailureDetector::unreachable_groups() const {
  if (totals_.unreachable()) return "all";
  std::vector<std::string> groups;
  const std::size_t known_paths = paths_.size() - 1;
  for (std::size_t i = 0; i < known_paths; ++i) {
    if (!paths_[i].count.unreachable()) continue;
    groups.push_back(i == kDirectPath ? "direct" : "forwarded by " + settings_.replicas[i - 1].node);
  }
  for (std::size_t i = 0; i < zones_.size(); ++i)
    if (zones_[i].count.unreachable()) groups.push_back("zone " + catalog_.zone_name(static_cast<int>(i)));
  return fmt::format("{}", fmt::join(groups, ", "));
}

void FailureDetector::log_change(const std::string &unreachable) {
  if (unreachable == logged_) return;
  logged_ = unreachable;
  if (unreachable.empty())
    runtime_.log(LogLevel::Info, "heartbeats_resumed", {{"machines", totals_.known}, {"overdue", totals_.overdue}});
  else
    runtime_.log(LogLevel::Info, "heartbeats_lost",
                 {{"groups", unreachable}, {"machines", totals_.known}, {"overdue", totals_.overdue}});
}

// ---- judging one machine ----

bool FailureDetector::unreachable_of_late(double unreachable_at) const {
  return runtime_.now() - unreachable_at < heartbeat_timeout_s(settings_);
}

bool FailureDetector::unreachable_of_late(const std::vector<Group> &groups, std::size_t group) const {
  return group < groups.size() && unreachable_of_late(groups[group].unreachable_at);
}

FailureDetector::Cause FailureDetector::cause(MachineIndex machine_index) const {
  const Machine &machine = workers_[machine_index];
  if (!overdue_since(machine)) return Cause::None;
  if (unreachable_of_late(all_unreachable_at_)) return Cause::All;
  const std::size_t path_index = path(machine);
  const auto zone = static_cast<std::size_t>(machine.zone);
  const bool path_known = path_index + 1 < paths_.size();
  const bool by_path = path_known && unreachable_of_late(paths_, path_index);
  const bool by_zone = unreachable_of_late(zones_, zone);
  if (by_path && by_zone) // the larger explains both
    return paths_[path_index].count.known > zones_[zone].count.known ? Cause::Path : Cause::Zone;
  if (by_path) return Cause::Path;
  if (by_zone) return Cause::Zone;
  return Cause::Machine;
}

bool FailureDetector::must_not_scale_in(MachineIndex machine_index) const {
  const Machine &machine = workers_[machine_index];
  const auto since = overdue_since(machine);
  if (!since) return false;
  const double silence_s = runtime_.now() - *since;
  if (cause(machine_index) != Cause::Machine) return silence_s < retention_s(machine);
  const double first_heartbeat_s =
      std::max(kMinFirstHeartbeatS, settings_.lease_s + 2 * settings_.heartbeat_interval_s);
  return !machine.heartbeat.received() && silence_s < first_heartbeat_s;
}

bool FailureDetector::must_not_replace(MachineIndex machine_index) const {
  const Machine &machine = workers_[machine_index];
  const auto since = overdue_since(machine);
  if (!since)
    return !machine.heartbeat.received() && machine.listing.running; // it was up, and still has time to report
  const double silence_s = runtime_.now() - *since;
  switch (cause(machine_index)) {
  case Cause::All:
    return silence_s < retention_s(machine);
  case Cause::Path: { // by then its workers have tried every replica
    const double every_replica_s =
        kWorkerRetryS * static_cast<double>(paths_.size() - 1) + 2 * settings_.heartbeat_interval_s;
    return silence_s < std::min(retention_s(machine), every_replica_s);
  }
  case Cause::None:
  case Cause::Machine:
  case Cause::Zone:
    break;
  }
  return !machine.heartbeat.received() && silence_s < 2 * heartbeat_timeout_s(settings_);
}

void FailureDetector::on(const TermEnded &) {
  paths_.clear();
  zones_.clear();
  totals_ = {};
  all_unreachable_at_ = -1e9;
  outage_detected_ = false;
  all_unreachable_ = false;
  logged_.clear();
}

} // namespace loftrouter::core
