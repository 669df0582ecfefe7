#include "measurements.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace loftrouter::scale {

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
  const auto nth = values.begin() + static_cast<long>(std::max<std::size_t>(rank, 1) - 1);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

nlohmann::json spread(const std::vector<double> &values) {
  return {{"count", values.size()},
          {"p50", quantile(values, 0.5)},
          {"p95", quantile(values, 0.95)},
          {"p99", quantile(values, 0.99)},
          {"most", quantile(values, 1)}};
}

void ProcessMeter::add(double now, const ProcessSample &sample) {
  if (sample.rss_mb <= 0) return; // gone
  // A process that was started anew begins at zero.
  if (!points_.empty() && sample.cpu_s < points_.back().cpu_s) points_.clear();
  points_.push_back({now, sample.cpu_s});
  rss_mb_ = std::max(rss_mb_, sample.rss_mb);
  sockets_ = std::max(sockets_, sample.sockets);
}

nlohmann::json ProcessMeter::figures() const {
  double mean = 0, peak = 0;
  if (points_.size() > 1)
    mean = (points_.back().cpu_s - points_.front().cpu_s) / (points_.back().at - points_.front().at);
  for (std::size_t i = 1; i < points_.size(); ++i)
    peak = std::max(peak, (points_[i].cpu_s - points_[i - 1].cpu_s) / (points_[i].at - points_[i - 1].at));
  return {{"cpu", mean}, {"cpu_peak", peak}, {"rss_mb", rss_mb_}, {"descriptors", sockets_}};
}

void CounterMeter::take(std::string_view line) {
  std::istringstream words{std::string(line)};
  std::string name;
  double value = 0;
  words >> name;
  while (words >> name >> value)
    last_[name] = value;
}

double CounterMeter::value(const std::string &name) const {
  const auto it = last_.find(name);
  return it == last_.end() ? 0 : it->second;
}

double CounterMeter::growth(const std::string &name) const {
  const auto it = first_.find(name);
  return value(name) - (it == first_.end() ? 0 : it->second);
}

double CounterMeter::rate(const std::string &name, double seconds) const {
  return seconds > 0 ? growth(name) / seconds : 0;
}

void ChangeMeter::made(int number, int region, double at) {
  auto &change = changes_[number];
  change.region = region;
  if (change.made_at == 0) change.made_at = at;
}

void ChangeMeter::in_force(int number, int region, int node, double at) {
  changes_[number].seen.try_emplace({region, node}, at);
}

std::vector<double> ChangeMeter::everywhere(double from, double until, int regions, int nodes,
                                            std::size_t &missing) const {
  std::vector<double> out;
  missing = 0;
  for (const auto &[number, change] : changes_) {
    if (change.made_at < from || change.made_at > until) continue;
    if (change.seen.size() < static_cast<std::size_t>(regions * nodes)) {
      ++missing;
      continue;
    }
    double last = 0;
    for (const auto &[where, at] : change.seen)
      last = std::max(last, at);
    out.push_back(last - change.made_at);
  }
  return out;
}

nlohmann::json ChangeMeter::figures(double from, double until, int regions, int nodes) const {
  std::vector<double> at_origin;
  for (const auto &[number, change] : changes_) {
    if (change.made_at < from || change.made_at > until) continue;
    double last = 0;
    int seen = 0;
    for (const auto &[where, at] : change.seen)
      if (where.first == change.region) {
        last = std::max(last, at);
        ++seen;
      }
    if (seen == nodes) at_origin.push_back(last - change.made_at);
  }
  std::size_t missing = 0;
  const auto all = everywhere(from, until, regions, nodes, missing);
  return {{"own_region_s", spread(at_origin)}, {"everywhere_s", spread(all)}, {"not_everywhere", missing}};
}

} // namespace loftrouter::scale
