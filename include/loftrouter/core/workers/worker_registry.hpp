// The fleet table of a leader: machines, and the tasks that are or may be on them.
//
// Owns machines and their slots. Promises that a slot goes only on proof that its attempt is over there: a newer
// report, a lease that has run out, or the cloud's word. If that were wrong, the task would be started elsewhere while
// it runs (ran_twice). See docs/safety.md, "ran_twice".
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/catalog/instance_type_catalog.hpp"
#include "loftrouter/core/configuration/operator_settings.hpp"
#include "loftrouter/core/election/leadership.hpp"
#include "loftrouter/core/jobs/job_table.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/state/state_writer.hpp"

namespace loftrouter::core {

struct Allocation {
  JobIndex job; // none: a task of an unknown job, to be stopped
  std::string job_id;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::Fetching;
  bool sent = false; // its start
  bool seen = false;
  bool stop = false;
  bool adopted = false; // started by an earlier leader and unaccounted for until seen
  double grace_s = 0;
  double placed_at = 0, held_since = -1, waiting_since = -1, running_since = -1; // held: its start is sent
  bool finished = false;                                                         // exited with success
  Resources need;
};
struct Machine {
  std::string name, address;
  int forwarding_replica = -1; // the sibling that its last report came through, or -1
  int type = -1, zone = -1;
  bool spot = false;
  bool heard = false;
  bool lost = false;      // its lease ran out, or it failed
  bool returning = false; // no new tasks; given back
  bool listed_failed = false;
  bool listed_running = false;                  // up, by the cloud's list; it may be gone for half a minute
  bool draining = false;                        // surplus: takes no new tasks and goes back once empty
  bool stops_news = false;                      // tasks were told to stop that the worker does not know of yet
  std::optional<wire::MachineAdminState> order; // by an operator: takes no new tasks
  std::uint64_t incarnation = 0, sequence = 0;  // of the last report
  double known_since = 0, last_answer = -1, idle_since = -1, first_heard = -1, rented_at = 0;
  std::optional<double> taken_at; // notice
  // It has shown this leader's token, or was rented by it: what it says was not said before this term, and our answers
  // have reached it. Until then it takes no tasks.
  bool verified = false;
  // Answers in a row that have not reached it, by what it reports; since when that is more than chance; and when its
  // session last changed.
  int unacknowledged_responses = 0;
  double downlink_lost_since = -1, incarnation_since = 0;
  std::vector<Allocation> allocations;
  Resources size, used;
  std::list<std::pair<int, double>> images; // and their GB, most recent first
  double busy_cpu_s = 0;                    // CPU seconds of tasks that ran to their end here

  bool silent(double now, double heartbeat_interval_s) const {
    return now - last_answer > 2.5 * heartbeat_interval_s + 1;
  }
  bool downlink_lost() const { return downlink_lost_since >= 0; }
  bool accepts_commands() const { return verified && !downlink_lost(); } // may be given tasks
};
using MachineKind = std::tuple<int, int, bool>; // type, zone, spot

class WorkerRegistry {
public:
  WorkerRegistry(Runtime &runtime, Events &events, const Settings &settings, InstanceTypeCatalog &catalog,
                 const Operators &operators, const Leadership &leadership, JobTable &jobs, StateWriter &state_writer)
      : runtime_(runtime), events_(events), settings_(settings), catalog_(catalog), operators_(operators),
        leadership_(leadership), jobs_(jobs), state_writer_(state_writer) {}

  std::size_t index_limit() const { return machines_.size(); } // indices are below this
  const Machine *find(MachineIndex machine_index) const {
    return machines_[machine_index.position()].get();
  } // null: none there
  const Machine &operator[](MachineIndex machine_index) const { return *machines_[machine_index.position()]; }
  MachineIndex index(const std::string &name) const; // none: not known
  template <class Fn> void each(Fn &&fn) const {     // fn(index, machine)
    for (std::size_t m = 0; m < machines_.size(); ++m)
      if (machines_[m]) fn(MachineIndex(m), *machines_[m]);
  }
  std::size_t live() const;               // heard and not lost
  std::size_t kept_by(int replica) const; // workers; -1: by this node itself
  // When the cloud took it back; nothing if it did not, or that is forgotten.
  std::optional<double> gone(const std::string &name) const;
  std::vector<std::uint32_t> running_counts() const; // by job; tasks unaccounted for most likely run too
  std::uint32_t running(JobIndex job_index) const;

  // What it says of a machine that is not known makes it known.
  MachineIndex add(const std::string &name, const std::string &type, const std::string &zone, bool spot);
  void set_rented_at(MachineIndex machine_index, double at);
  void set_verified(MachineIndex machine_index); // rented by this leader
  void give_back(MachineIndex machine_index);    // takes no new tasks from here on
  void set_draining(MachineIndex machine_index, bool draining);
  void listed_failed(MachineIndex machine_index); // it stopped on its own
  void listed_running(MachineIndex machine_index);
  void listed_again(const std::string &name) { gone_.erase(name); }
  void remove(MachineIndex machine_index); // the cloud has taken it back
  void forget_gone(double older_s);

  // A report, in two steps: what it says, and, once others have listened to that, its answer.
  enum class Heard : std::uint8_t { Late, Failed, Taken };
  Heard hear(MachineIndex machine_index, const Heartbeat &heartbeat, int forwarding_replica);
  void take_tasks(MachineIndex machine_index, const Heartbeat &heartbeat, std::vector<TaskCommand> &orders);
  void answer(MachineIndex machine_index, bool may_start, std::vector<TaskCommand> &orders);

  void put(MachineIndex machine_index, JobIndex job_index, std::uint32_t i, std::uint64_t attempt); // a task's slot
  // The task goes: at once if its start was never sent, otherwise when the worker shows it gone.
  void stop(MachineIndex machine_index, std::size_t allocation, double grace_s);
  bool stop_all(JobIndex job_index, double grace_s); // of a job; false: all were told already
  void withdraw(JobIndex job_index);                 // its tasks whose start was never sent
  // A gang that can no longer complete its attempt is stopped whole; the next attempt starts when every task of this
  // one is gone.
  void tend_gang(JobIndex job_index);

  void tick();       // leases and notices
  void send_stops(); // at the end of each batch
  void on(const JobCancelled &event) { stop_all(event.job, 0); }
  void on(const JobFinalized &event);
  void on(const MachineQuarantined &event) { give_back(event.machine); }
  void on(const MachineAdminStatesChanged &e);
  void on(const TermStarted &) { gone_.clear(); }
  void on(const TermEnded &);
  bool consistent(MachineIndex machine_index) const; // for asserts and tests

private:
  Machine &at(MachineIndex machine_index) { return *machines_[machine_index.position()]; }
  void exited(MachineIndex machine_index, Allocation &allocation, const TaskStatus &task);
  void update_downlink_state(Machine &machine, bool heeded, bool missed);
  void adopt(MachineIndex machine_index, JobIndex job_index, const TaskStatus &task, std::vector<TaskCommand> &orders);
  void drop(MachineIndex machine_index, std::size_t s);
  void freed(MachineIndex machine_index, const Allocation &allocation, bool done);
  void order_stop(MachineIndex machine_index, Allocation &allocation, double grace_s);
  void lose(MachineIndex machine_index, std::string_view why);
  void touch_image(Machine &machine, int image, double gb);

  Runtime &runtime_;
  Events &events_;
  const Settings &settings_;
  InstanceTypeCatalog &catalog_;
  const Operators &operators_;
  const Leadership &leadership_;
  JobTable &jobs_;
  StateWriter &state_writer_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::unordered_map<std::string, MachineIndex> index_;
  std::unordered_map<std::string, double> gone_; // names given back, and when
  bool heeded_ = false, missed_ = false;         // by the report that is being taken: answers have, have not reached it
  std::vector<MachineIndex> stops_news_;         // machines whose `stops_news` was set in this batch
};

} // namespace loftrouter::core
