// What is measured in a scale run: samples of processes, counters of stand-ins, and seconds until changes of
// configuration are in force.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "process.hpp"

namespace loftrouter::scale {

// Of all that is given, by nearest rank; 0 of nothing.
double quantile(std::vector<double> values, double share);
nlohmann::json spread(const std::vector<double> &values); // count, p50, p95, p99, most

// Processor, memory and sockets of one process over the time that is measured.
class ProcessMeter {
public:
  void add(double now, const ProcessSample &sample);
  nlohmann::json figures() const;

private:
  struct Point {
    double at, cpu_s;
  };
  std::vector<Point> points_;
  double rss_mb_ = 0;
  int sockets_ = 0;
};

// Counters of one stand-in: what they have grown by since measuring began, a second; and as they stand.
class CounterMeter {
public:
  void take(std::string_view line); // "count NAME VALUE NAME VALUE ..."
  void begin() { first_ = last_; }
  double rate(const std::string &name, double seconds) const;
  double value(const std::string &name) const;
  double growth(const std::string &name) const;

private:
  std::map<std::string, double> first_, last_;
};

// When changes of configuration were made, and seen in force, by node.
class ChangeMeter {
public:
  void made(int number, int region, double at);
  void in_force(int number, int region, int node, double at);
  // Those made between `from` and `until`; `regions` x `nodes` is everywhere.
  nlohmann::json figures(double from, double until, int regions, int nodes) const;
  // Seconds to everywhere; changes that are not in force everywhere are left out, and counted.
  std::vector<double> everywhere(double from, double until, int regions, int nodes, std::size_t &missing) const;

private:
  struct Change {
    int region = 0;
    double made_at = 0;
    std::map<std::pair<int, int>, double> seen; // by region and node
  };
  std::map<int, Change> changes_;
};

} // namespace loftrouter::scale
