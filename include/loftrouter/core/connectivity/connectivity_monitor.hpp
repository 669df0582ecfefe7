// What this node reaches: workers, the state service, the cloud, its siblings; and what each sibling says it reaches.
// A leader ends its term on this when another would serve better, and who stands first is decided by it.
//
// Owns what is heard at this node's door, the word that it tells of itself, and siblings' words that came by way of
// the state service where the links between nodes do not carry them. No rule rests on it: ending a term early is
// always safe, and taking one goes through the leader key alone. At worst the wrong node leads. See docs/links.md.
#pragma once

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "loftrouter/core/connectivity/replicas.hpp"
#include "loftrouter/core/liveness/failure_detector.hpp"

namespace loftrouter::core {

// Reports over the last while, by zone.
class RecentHeartbeats {
public:
  explicit RecentHeartbeats(double window_s) : window_s_(window_s) {}
  void add(int zone, double now);
  std::vector<std::uint32_t> by_zone(double now) const; // by zone index
  std::uint32_t all(double now) const;
  double window_s() const { return window_s_; }

private:
  static constexpr double kBucket = 0.5; // s; no more of them than the window holds
  struct Bucket {
    double at;
    std::vector<std::uint32_t> zones;
  };
  double window_s_;
  std::deque<Bucket> buckets_;
};

class ConnectivityMonitor {
public:
  struct Word { // of a sibling
    ConnectivityRecord says;
    double age_s = 0;
    bool by_link = false; // otherwise by way of the state service
  };
  ConnectivityMonitor(Runtime &runtime, const Settings &settings, const InstanceTypeCatalog &catalog,
                      Leadership &leadership, Replicas &replicas, const WorkerRegistry &workers,
                      const FailureDetector &failure_detector);

  void heard(const std::string &zone);                                      // a report straight from a worker
  void forwarded_heartbeat_received() { last_report_at_ = runtime_.now(); } // one passed on to this node
  // `kept`: workers that this node, not leading, passes on reports of.
  void tick(std::size_t kept);
  double last_report_at() const { return last_report_at_; }
  const ConnectivityRecord &own() const { return own_; }
  // Workers report to a sibling that can pass their reports on here.
  bool carried(const ConnectivityRecord &connectivity) const { return connectivity.carried_s < heard_.window_s(); }
  std::optional<Word> word(std::size_t replica) const;                  // nothing: no fresh one
  std::vector<std::pair<std::string, double>> machines_by_zone() const; // about so many report here
  bool probe_wanted() const; // whether the cloud answers this node is of interest: the leader gets no answer

private:
  struct ByState { // a sibling's word in the state service
    StoredConnectivityRecord record;
    bool present = false;
  };
  void judge_self(std::size_t kept);
  void tell_of_changes();
  void keep_word();
  void write_word();
  void read_words();
  void make_room();
  double rank(const ConnectivityRecord &connectivity) const;
  bool some_link_down() const;
  void step_down(std::string_view why, std::size_t replica, const Word &w);

  Runtime &runtime_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  Leadership &leadership_;
  Replicas &replicas_;
  const WorkerRegistry &workers_;
  const FailureDetector &failure_detector_;
  RecentHeartbeats heard_;
  ConnectivityRecord own_;
  double last_report_at_ = -1e9, last_direct_at_ = -1e9, awake_from_ = -1e9, tick_at_ = -1e9, silent_since_ = -1;
  // The own word in the state service, under a lease of its own.
  std::uint64_t lease_ = 0;
  bool asking_ = false; // for the lease, or about it
  double next_lease_ = 0, written_at_ = -1e9;
  std::optional<ConnectivityRecord> written_;
  TokenBucket writes_;
  std::vector<ByState> by_state_; // by sibling
  double listed_at_ = -1e9, next_list_ = 0;
  bool listing_ = false;
  std::vector<std::pair<std::string, bool>> told_; // what is reached, as last logged
};

} // namespace loftrouter::core
