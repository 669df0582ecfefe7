// Compares Cancellations with a model that remembers the cancellations of all replicas: each one recorded before
// `known_until` must be marked in the job table, or as soon as its job is added to it.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "world.hpp"

using namespace loftrouter;
using namespace loftrouter::core;
using loftrouter::test::job_name;

namespace {

constexpr double kCancelS = 40;
constexpr double kLeaseS = 10;
constexpr int kOwnReplica = 2; // the one under test; the others are 0 and 1
constexpr std::array<double, 2> kClockDrift = {0.0005, -0.0005};

Settings three_replicas(double cancel_s) {
  Settings settings;
  settings.cancel_s = cancel_s;
  settings.lease_s = kLeaseS;
  settings.replicas = {{"b", "a", ""}, {"c", "a", ""}};
  return settings;
}

class SimulatedReplica {
public:
  SimulatedReplica(double started_at, double clock_drift) : started_at_(started_at), rate_(1 + clock_drift) {}

  void restart(double now) {
    started_at_ = now;
    recorded_.clear();
  }
  void record(const std::string &id, double now) { recorded_.emplace_back(id, now); }
  double uptime_s(double now) const { return (now - started_at_) * rate_; }
  std::vector<std::string> recent(double now) {
    std::erase_if(recorded_, [&](const auto &entry) { return (now - entry.second) * rate_ > kCancelS; });
    std::vector<std::string> ids;
    for (auto it = recorded_.rbegin(); it != recorded_.rend() && ids.size() < wire::kPeerMaxCancelled; ++it)
      ids.push_back(it->first);
    return ids;
  }

private:
  double started_at_;
  double rate_;
  std::deque<std::pair<std::string, double>> recorded_; // id and true time
};

// An elected leader that is loading its records, the other replicas, and the state service.
class Model {
public:
  explicit Model(unsigned seed, double cancel_s = kCancelS) : settings(three_replicas(cancel_s)), rng(seed) {
    advance_time(0);
    elect();
  }
  int pick(int count) { return static_cast<int>(rng() % static_cast<unsigned>(count)); }

  void elect() {
    MachineType type;
    type.name = "t";
    catalog.update({type});
    leadership.step_down("a new term");
    deliver();
    for (int i = 0; i < 200 && leadership.role() != Role::Loading; ++i) {
      advance_time(0.1);
      leadership.tick();
      answer_store_operations();
    }
    ASSERT_EQ(leadership.role(), Role::Loading);
    accepted_ids.clear();
    reads_in_flight.clear();
  }
  void advance_time(double duration_s) { runtime.begin_batch({now += duration_s, 1.7e9 + now}); }
  void deliver() {
    events.deliver([this](const auto &event) {
      if constexpr (requires { cancellations.on(event); }) cancellations.on(event);
      if constexpr (requires { jobs.on(event); }) jobs.on(event);
    });
  }

  void record_cancellation(int replica) {
    const auto id = job_name(next_job++);
    recorded_at[id] = now;
    if (replica != kOwnReplica) return replicas[static_cast<std::size_t>(replica)].record(id, now);
    cancellations.record(id);
    deliver();
  }
  void restart(int replica) { replicas[static_cast<std::size_t>(replica)].restart(now); }
  void deliver_report(std::size_t replica, double requested_at) {
    const auto ids = replicas[replica].recent(now);
    cancellations.confirm_from_replica(replica, requested_at, replicas[replica].uptime_s(now), ids);
    deliver();
  }
  // Starts a read that returns a random part of the open jobs, with the cancellations recorded by now.
  void start_read() {
    std::map<std::string, bool> open;
    for (int i = std::max(0, next_job - 40); i < next_job + 5; ++i)
      if (pick(4)) open[job_name(i)] = recorded_at.contains(job_name(i));
    reads_in_flight.emplace_back(now, std::move(open));
  }
  void answer_read() {
    if (reads_in_flight.empty()) return;
    const auto [requested_at, open] = std::move(reads_in_flight.front());
    reads_in_flight.pop_front();
    for (const auto &[id, at] : recorded_at)
      if (at <= requested_at) cancel(id);
    for (const auto &[id, cancelled] : open) {
      add_job(id);
      if (cancelled) cancel(id);
    }
    cancellations.confirm_from_state_service(requested_at);
    deliver();
  }
  void end_job() {
    if (accepted_ids.empty()) return;
    if (const JobIndex job_index = jobs.index(*accepted_ids.begin()); job_index.valid()) jobs.remove(job_index);
    deliver();
  }
  // Returns a cancellation that should be marked and is not; empty: none.
  std::string unmarked_cancellation() const {
    for (const auto &[id, at] : recorded_at) {
      const JobIndex job_index = jobs.index(id);
      if (at < cancellations.known_until() - 1e-6 && job_index.valid() && !jobs[job_index].cancelled)
        return id + " recorded at " + std::to_string(at) + ", known until " +
               std::to_string(cancellations.known_until());
    }
    return {};
  }

  double now = 100;
  const Settings settings;
  Runtime runtime{1};
  Events events;
  InstanceTypeCatalog catalog{{"a"}};
  Leadership leadership{runtime, events, settings, catalog};
  JobTable jobs{runtime, events, settings};
  Cancellations cancellations{runtime, settings, leadership, jobs};
  std::array<SimulatedReplica, 2> replicas = {SimulatedReplica(now, kClockDrift[0]),
                                              SimulatedReplica(now, kClockDrift[1])};

private:
  void answer_store_operations() {
    for (auto ops = runtime.take_effects().store; !ops.empty(); ops = runtime.take_effects().store)
      for (const auto &op : ops) {
        wire::StoreReply reply;
        reply.status = std::holds_alternative<StoreGet>(op.request) ? 404 : 200;
        reply.lease = 7;
        reply.revision = ++revision;
        runtime.complete({op.op, reply});
      }
    deliver();
  }
  void add_job(const std::string &id) {
    if (jobs.index(id).valid() || !accepted_ids.insert(id).second) return;
    OpenRecord record;
    record.spec.id = id;
    record.spec.tasks = 1;
    events.publish(JobAccepted{jobs.add(std::move(record), ++revision)});
  }
  void cancel(const std::string &id) {
    if (const JobIndex job_index = jobs.index(id); job_index.valid()) jobs.cancel(job_index);
  }

  std::mt19937 rng;
  std::map<std::string, double> recorded_at; // by job id
  std::set<std::string> accepted_ids;
  // Time of the request, and the jobs in the reply: whether each is cancelled.
  std::deque<std::pair<double, std::map<std::string, bool>>> reads_in_flight;
  int next_job = 1;
  std::uint64_t revision = 100;
};

// `link_up`: by replica.
void random_step(Model &model, std::array<bool, 2> &link_up, bool &state_service_up) {
  switch (model.pick(12)) {
  case 0:
  case 1:
    model.record_cancellation(model.pick(3));
    break;
  case 2:
    if (model.pick(60) == 0)
      for (int i = 0; i < 80; ++i) // more than a report holds
        model.record_cancellation(0);
    break;
  case 3:
    if (model.pick(12) == 0) model.restart(model.pick(2));
    break;
  case 4:
    if (model.pick(25) == 0) state_service_up = !state_service_up;
    break;
  case 5:
    if (model.pick(12) == 0) {
      bool &link = link_up[static_cast<std::size_t>(model.pick(2))];
      link = !link;
    }
    break;
  case 6:
    if (model.pick(150) == 0) model.advance_time(kCancelS);
    if (model.pick(150) == 0) model.elect();
    break;
  case 7:
    if (state_service_up) model.start_read();
    break;
  case 8:
    if (state_service_up || model.pick(3) == 0) model.answer_read(); // replies may arrive during an outage
    break;
  case 9:
    model.end_job();
    break;
  default:
    break;
  }
}

} // namespace

TEST(CancellationsTest, EveryCancellationBeforeKnownUntilIsMarked) {
  double gained_from_reports_s = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    Model model(seed);
    std::array<bool, 2> link_up = {true, true};
    bool state_service_up = true;
    for (int step = 0; step < 3000; ++step) {
      model.advance_time(0.02 * model.pick(8));
      const double requested_at = model.now;
      random_step(model, link_up, state_service_up);
      if (model.pick(3) == 0) model.advance_time(0.01 * model.pick(100)); // between a request and its reply
      for (std::size_t replica = 0; replica < link_up.size(); ++replica) {
        if (!link_up[replica] || !model.pick(2)) continue;
        const double before = model.cancellations.known_until();
        model.deliver_report(replica, requested_at);
        gained_from_reports_s += std::clamp(model.cancellations.known_until() - before, 0.0, 5.0);
      }
      ASSERT_EQ(model.unmarked_cancellation(), "") << "seed " << seed << " step " << step;
    }
  }
  EXPECT_GT(gained_from_reports_s, 1000) << "most cancellations should become known from replica reports";
}

// The limit is 40 s less a lease of 10 s, both corrected for clock drift, less 2.5 s to stop the tasks.
TEST(CancellationsTest, LeasesAreRenewedWhileUnknownCancellationsWouldStopInTime) {
  Model model(1);
  model.cancellations.confirm_from_state_service(model.now);
  const double confirmed_at = model.now;
  model.advance_time(27.39);
  EXPECT_TRUE(model.cancellations.may_renew_leases());
  EXPECT_EQ(model.cancellations.known_until(), confirmed_at);
  model.advance_time(0.02);
  EXPECT_FALSE(model.cancellations.may_renew_leases());
  model.cancellations.confirm_from_state_service(model.now);
  EXPECT_TRUE(model.cancellations.may_renew_leases());
}

TEST(CancellationsTest, LeasesAreRenewedForFiveSecondsIfCancelTimeIsShorterThanALease) {
  Model model(1, 8);
  model.cancellations.confirm_from_state_service(model.now);
  model.advance_time(4.99);
  EXPECT_TRUE(model.cancellations.may_renew_leases());
  model.advance_time(0.02);
  EXPECT_FALSE(model.cancellations.may_renew_leases());
}

// A report is incomplete if the replica has restarted since or if it is full.
TEST(CancellationsTest, IncompleteReportConfirmsNothing) {
  Model model(1);
  model.cancellations.confirm_from_state_service(model.now);
  const double confirmed_at = model.now;
  model.advance_time(10);
  model.cancellations.confirm_from_replica(0, model.now, 5, {});
  model.cancellations.confirm_from_replica(1, model.now, 100, {});
  EXPECT_EQ(model.cancellations.known_until(), confirmed_at);
  const std::vector<std::string> full(wire::kPeerMaxCancelled, job_name(1));
  model.cancellations.confirm_from_replica(0, model.now, 100, full);
  EXPECT_EQ(model.cancellations.known_until(), confirmed_at);
  model.cancellations.confirm_from_replica(0, model.now, 100, {});
  EXPECT_EQ(model.cancellations.known_until(), model.now);
}
