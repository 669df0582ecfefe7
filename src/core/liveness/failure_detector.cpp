#include "loftrouter/core/liveness/failure_detector.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace loftrouter::core {

namespace {
constexpr double kEvery = 0.25;         // s
constexpr double kMinimumCharge = 60.0; // s, of a rented machine, by the cloud's protocol
constexpr double kTryNode = 5.0;        // s, that a worker spends on a node that does not answer
constexpr double kUnheardLeast = 10.0;  // s, that a machine which is up by the list may take to report to a new leader
} // namespace

std::size_t FailureDetector::way(const Machine &machine) const {
  return machine.heartbeat.received() ? static_cast<std::size_t>(machine.heartbeat.forwarding_replica + 1)
                                      : settings_.replicas.size() + 1;
}

std::optional<double> FailureDetector::late_from(const Machine &machine) const {
  if (machine.returning() || machine.listing.failed || machine.type < 0) return std::nullopt;
  if (!machine.heartbeat.received() && !machine.listing.running) return std::nullopt; // it boots
  const double since = machine.heartbeat.received() ? machine.heartbeat.last_accepted_at : machine.known_since;
  return runtime_.now() - since > late_after(settings_) ? std::optional(since) : std::nullopt;
}

double FailureDetector::hold_s(const Machine &machine) const {
  return kMinimumCharge + (machine.type >= 0 ? catalog_.type(machine.type).boot_s : 0);
}

void FailureDetector::tick() {
  if (!leadership_.leading() || runtime_.now() < next_) return;
  next_ = runtime_.now() + kEvery;
  table_.assign(settings_.replicas.size() + 2, {});
  workers_.each([this](MachineIndex, const Machine &machine) {
    if (machine.type < 0 || machine.returning() || machine.listing.failed) return;
    const bool late = late_from(machine).has_value();
    if (!machine.heartbeat.received() && !late) return;
    Count &count = grown(table_[way(machine)], machine.zone);
    ++count.known;
    count.late += late;
  });
  ways_.resize(table_.size());
  for (auto *groups : {&ways_, &zones_})
    for (auto &g : *groups)
      g.count = {};
  all_ = {};
  for (std::size_t w = 0; w < table_.size(); ++w)
    for (std::size_t z = 0; z < table_[w].size(); ++z) {
      ways_[w].count.add(table_[w][z]);
      grown(zones_, static_cast<int>(z)).count.add(table_[w][z]);
      all_.add(table_[w][z]);
    }
  for (auto *groups : {&ways_, &zones_})
    for (auto &g : *groups)
      if (g.count.silent()) g.silent_at = runtime_.now();
  std::string what;
  nobody_heard_ = false;
  if (all_.silent()) {
    what = "all";
    all_silent_at_ = runtime_.now();
    workers_.each([this](MachineIndex machine_index, const Machine &) { nobody_heard_ |= expected(machine_index); });
  } else {
    for (std::size_t w = 0; w + 1 < ways_.size(); ++w)
      if (ways_[w].count.silent())
        what += fmt::format("{}those that report {}", what.empty() ? "" : ", ",
                            w == 0 ? "here" : "by way of " + settings_.replicas[w - 1].node);
    for (std::size_t z = 0; z < zones_.size(); ++z)
      if (zones_[z].count.silent())
        what += fmt::format("{}those in {}", what.empty() ? "" : ", ", catalog_.zone_name(static_cast<int>(z)));
  }
  tell(!what.empty(), what);
}

void FailureDetector::tell(bool now_in_part, const std::string &what) {
  in_part_ = now_in_part;
  if (what == told_) return;
  told_ = what;
  if (what.empty())
    runtime_.log(LogLevel::Info, "heartbeats_resumed", {{"machines", all_.known}, {"late", all_.late}});
  else
    runtime_.log(
        LogLevel::Info, "heartbeats_lost",
        {{"which", what}, {"machines", all_.known}, {"late", all_.late}, {"then", "waited for, not given back"}});
}

FailureDetector::Cause FailureDetector::cause(MachineIndex machine_index) const {
  const Machine &machine = workers_[machine_index];
  if (!late_from(machine)) return Cause::None;
  if (runtime_.now() - all_silent_at_ < late_after(settings_)) return Cause::All;
  const auto w = way(machine), z = static_cast<std::size_t>(machine.zone);
  const bool by_way = w + 1 < ways_.size() && silent(ways_[w]), by_zone = z < zones_.size() && silent(zones_[z]);
  if (by_way && by_zone) // the larger explains both
    return ways_[w].count.known > zones_[z].count.known ? Cause::Way : Cause::Zone;
  return by_way ? Cause::Way : by_zone ? Cause::Zone : Cause::Machine;
}

bool FailureDetector::awaited(MachineIndex machine_index) const {
  const Machine &machine = workers_[machine_index];
  const auto from = late_from(machine);
  if (!from) return false;
  const double silent = runtime_.now() - *from;
  if (cause(machine_index) != Cause::Machine) return silent < hold_s(machine);
  return !machine.heartbeat.received() &&
         silent < std::max(kUnheardLeast, settings_.lease_s + 2 * settings_.heartbeat_interval_s);
}

bool FailureDetector::expected(MachineIndex machine_index) const {
  const Machine &machine = workers_[machine_index];
  const auto from = late_from(machine);
  if (!from) return !machine.heartbeat.received() && machine.listing.running; // it was up, and has still time to report
  const double silent = runtime_.now() - *from;
  switch (cause(machine_index)) {
  case Cause::All:
    return silent < hold_s(machine);
  case Cause::Way: // by then they have tried every node
    return silent < std::min(hold_s(machine),
                             kTryNode * static_cast<double>(ways_.size() - 1) + 2 * settings_.heartbeat_interval_s);
  default:
    return !machine.heartbeat.received() && silent < 2 * late_after(settings_);
  }
}

void FailureDetector::on(const TermEnded &) {
  table_.clear();
  ways_.clear();
  zones_.clear();
  all_ = {};
  all_silent_at_ = -1e9;
  in_part_ = nobody_heard_ = false;
  told_.clear();
}

} // namespace loftrouter::core
