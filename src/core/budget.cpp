#include "loftrouter/core/budget.hpp"

namespace loft::core {

namespace {
// Of what the state service allows: for users' reads, users' writes, and all writes.
constexpr double kUserReads = 0.75, kUserWrites = 0.6, kAllWrites = 0.95;
} // namespace

StoreBudget::StoreBudget(const Settings &s) : settings_(s) {
  const double nodes = static_cast<double>(s.siblings.size() + 1), w = s.state_write_rps, r = s.state_rps;
  writes_ = TokenBucket(kUserWrites * w / nodes, std::max(1.0, 0.25 * w));
  leader_writes_ = TokenBucket((1 - kUserWrites) * w, std::max<double>(0.5 * w, 3));
  reads_ = TokenBucket(kUserReads * r / nodes, std::max(2.0, 0.7 * r / nodes));
}

void StoreBudget::share(double now, double dt_s, const std::vector<std::optional<Use>> &siblings) {
  const double nodes = static_cast<double>(siblings.size() + 1);
  const double reads = kUserReads * settings_.state_rps, writes = kUserWrites * settings_.state_write_rps;
  auto smooth = [dt_s](double &rate, double &before, double taken) {
    rate += 0.5 * ((taken - before) / dt_s - rate);
    before = taken;
  };
  smooth(use_.reads, taken_.reads, reads_.taken());
  smooth(use_.writes, taken_.writes, writes_.taken());
  Use others;
  for (const auto &s : siblings) {
    others.reads += s ? s->reads : reads / nodes;
    others.writes += s ? s->writes : writes / nodes;
  }
  reads_.set_rate(now, std::max(reads / nodes, reads - others.reads));
  writes_.set_rate(now, std::max(writes / nodes, writes - others.writes));
  leader_writes_.set_rate(now, std::max((1 - kUserWrites) * settings_.state_write_rps,
                                        kAllWrites * settings_.state_write_rps - use_.writes - others.writes));
}

} // namespace loft::core
