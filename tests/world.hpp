// A simulated world around the pure core: state service, cloud, workers and users with seeded loss,
// delay, crashes, cuts and outages. After every step the protocol's rules are checked.
#pragma once

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/core.hpp"

namespace loftrouter::test {

// LOFTROUTER_SEEDS=N plays N seeds, for a longer search by hand.
inline int seeds(int by_default) {
  const char *env = std::getenv("LOFTROUTER_SEEDS");
  return env ? std::atoi(env) : by_default;
}

inline std::string job_name(int number) {
  char id[16];
  std::snprintf(id, sizeof id, "j-%06d", number);
  return id;
}

struct WorldOptions {
  int nodes = 3;
  double lease_s = 10, heartbeat_interval_s = 1, cancel_s = 40;
  double cpu_share = 1; // decides how many reports a leader takes itself
  // What the cores believe, if it is set: bugs to be caught.
  double core_lease_s = 0, core_cancel_s = 0;
  std::vector<Team> core_teams;
  double loss = 0;        // of requests, answers, or late by minutes
  double copies = 0;      // of reports that arrive once more, 1 s to three leases later, at any node
  double late_writes = 0; // of commits that get no answer and are carried out 2 to 12 s later
  double held_up = 0;     // of answers to workers and orders to them that take 0.5 to 8 s
  double sick = 0;        // share of machines that fail every task
  double boot_fail = 0;
  double die_per_hour = 0; // machines
  double hang_per_hour = 0;
  bool accounts = false;
  bool configuration = false; // records of what operators configure are watched
  double value_kb = 8;        // most that the state service takes as a value
  int txn_ops = 8;            // and changes in a transaction
  double next_value_kb = 0;   // the same from `limits_fall` on; 0: as before
  int next_txn_ops = 0;
  double untold_value_kb = 0;           // what it really takes, if that is less than it says
  bool begins_old = false;              // nodes write records as large as may be, until `upgrade`
  long max_machines = 400;              // up at a time
  std::map<std::string, long> capacity; // the same by type, where it is said
  std::vector<MachineType> types{{"small", {4, 0, 16}, 50, 1, 0.2, 0.08, 8, {"a", "b"}},
                                 {"big", {16, 2, 64}, 50, 1, 0.8, 0.3, 8, {"a", "b"}}};
  double min_boot = 1, max_boot = 12;            // s
  double min_boot_share = 0, max_boot_share = 0; // of the type's boot time, instead
  double state_rps = 100, state_write_rps = 15;
  bool users_at_once = false; // a poll each second, so that ends are seen
  bool told_once = false;     // who has been told that a job is cancelled asks no more, so that no node reads it again
  int page = 20;              // records and machines that a list shows at a time
  CellSettings cells;
  int first_job = 1;                     // number of the first
  std::vector<std::string> node_zones;   // all in the first zone where nothing is said
  double min_fetch = 0.2, max_fetch = 3; // s, of an image
  double gang_peer_s = 4;                // for the orderly stop of a gang
  std::vector<Team> teams{{"red", 0, 0, 0, 0}, {"blue", 0, 12, 0, 0}};
};

class World {
public:
  World(std::uint64_t seed, WorldOptions o);

  // Troubles, to be called at the moment they begin.
  void crash(int node, double back_after);
  void upgrade(int node, double back_after) { // it knows of the limits to come from then on
    old_.erase(node);
    crash(node, back_after);
  }
  void limits_fall();
  void outage(double for_s);
  // Refuse: an error at once; NoAnswers: carried out, but no answer arrives; Slow: each way takes a second or so;
  // Lists: lists and watches alone get no answer (of the state service).
  enum class Cut { Drop, Hold, Refuse, NoAnswers, Slow, Lists };
  void cut_state(int node, double for_s, Cut how);
  void cut_cloud(int node, double for_s, Cut how);
  // Stands still while its clocks run on; `within`: after it has decided and before what it decided leaves.
  void stall(int node, double for_s, bool within);
  void cut_workers(int node, double for_s, bool hold) { cut_workers(node, for_s, hold ? Cut::Hold : Cut::Drop); }
  void cut_workers(int node, double for_s, Cut how);
  void cut_peer(int from, int to, double for_s, Cut how);          // the connection that `from` dials
  void cut_apart(int a, int b, double for_s, Cut how = Cut::Drop); // whoever dials
  void cut_peers(double for_s);                                    // connections between nodes
  // Of machines, in one zone or in all: what they send reaches no node, orders reach them.
  void cut_outbound(double share, double for_s, const std::string &zone = "");
  void cut_inbound(double share, double for_s);  // of machines: nothing reaches them, their reports arrive
  void restart_machines(double share);           // back at once, with nothing on them
  int hang(const std::string &id, double for_s); // machines with tasks of this job; how many
  // Machines and nodes of a zone from all that is not in it. Drop, or Hold: delivered once it is over.
  void cut_zone(const std::string &zone, double for_s, Cut how = Cut::Drop);
  void cut_users(int node, double for_s) { nodes_[static_cast<std::size_t>(node)].users = {t_ + for_s, Cut::Drop}; }
  // That share of the machines' reports is held back on the way, until all are delivered at one node; how many.
  void hold_back_reports(double share) { hold_back_ = share; }
  int deliver_held_back(int node);
  // From now on all troubles are over: no job may wait for long where there is room for it.
  void calm() { calm_ = true; }
  // From the state service and its siblings, not from workers and users.
  void isolate(int node, double for_s, Cut how = Cut::Drop);
  void late_writes(double share) { o_.late_writes = share; }
  void copy_reports(double share) { o_.copies = share; }
  void hold_up(double share) { o_.held_up = share; }
  void run_times(const std::string &id, std::vector<double> s) { run_s_[id] = std::move(s); } // of a job's tasks
  bool finished(const std::string &id, std::uint32_t index) const { return told_.at(id).finished[index]; }
  bool cancelled(const std::string &id) const { return told_.at(id).cancelled; }
  void at(double t, std::function<void()> fn) { schedule(t, std::move(fn)); }

  std::string submit(JobSpec spec);                  // returns the id; retried until accepted
  void cancel(const std::string &id, int node = -1); // asked first; any if negative
  std::string submit_broken(JobSpec spec) {          // fails on every machine until it is cancelled
    broken_jobs_.insert(spec.id);
    return submit(std::move(spec));
  }
  JobSpec job(Shape shape, std::uint32_t tasks, double cpus, double run_s, const std::string &team = "red");
  void run(double until);

  // Several cells, joined by tests/federation.hpp: frames to others; jobs of others; a task that starts here.
  std::function<void(int node, const core::CellSend &)> send_cell;
  void deliver_cell(int node, core::CellMessageCommand cmd, double after_s);
  struct Told {
    bool accepted = false, done = false, cancelled = false, cancel_asked = false;
    double cancelled_at = -1;
    JobSpec spec;
    std::vector<char> finished;
    double held_s = 0;
    std::vector<double> saved_s;                              // progress, by task; of a gang the first counts
    std::map<std::uint64_t, std::set<std::uint32_t>> stopped; // of a gang, by attempt: its tasks that were told
  };
  std::function<Told *(const std::string &job)> foreign;
  Told *own(const std::string &job) {
    const auto it = told_.find(job);
    return it == told_.end() || !it->second.spec.tasks || it->second.spec.id.empty() ? nullptr : &it->second;
  }
  struct On { // a task that is on a machine
    std::string job;
    std::uint32_t index;
    std::uint64_t serial;
  };
  std::vector<On> on_machines() const;
  std::function<void(const On &)> started, stopped;
  std::uint64_t revision() const { return epoch_; } // changes of the state service

  std::function<void(const std::string &job)> last_task_done; // at that moment, before any node can know
  // All that a node sends, when it leaves the node.
  std::function<void(int node, double now, const core::Effects &)> on_effects;

  std::vector<std::string> broken;        // rules broken, in words
  std::vector<double> late_starts;        // of tasks whose cancellation was confirmed: so many seconds later
  int saves = 0;                          // tasks that ended with their progress saved
  bool lose_watches = false;              // watches of the state service get no answer
  double lost_events = 0;                 // share of changes that a watch leaves out without a word
  int relayed = 0;                        // reports passed on from node to node
  int lease_kills = 0;                    // tasks ended because their worker's lease ran out
  int late_commits = 0, late_applied = 0; // commits carried out late; those of them that found their guards true
  int copies_taken = 0;                   // copies of reports that a node was given
  int direct_commands = 0;                // carried out
  int held_answers = 0;                   // to workers, that took more than half a second
  int rented = 0;                         // machines
  std::vector<double> started_at;         // of each start
  std::vector<double> elected_at;         // of each term that was begun
  int starts = 0, finished_jobs = 0, accepted_jobs = 0, cancelled_jobs = 0;
  double now() const { return t_; }
  // By the published rules: whether it is to be refused for ever.
  bool never_runs(const JobSpec &spec) const;
  // What a node answers now, status and body; the status stays 0 until it does.
  struct Answer {
    int status = 0;
    nlohmann::json body;
  };
  std::shared_ptr<Answer> submit_at(int node, const JobSpec &spec); // once
  std::shared_ptr<Answer> look_up(int node, const std::string &id);
  std::shared_ptr<Answer> abort_at(int node, const std::string &id); // once
  std::shared_ptr<Answer> up(int node);
  int kill_machines(double share, const std::string &zone = ""); // at once, with all on them; how many
  void limit_zone(const std::string &zone, long machines) { zone_most_[zone] = machines; } // that may be up at a time
  const std::string &zone(int node) const { return nodes_[static_cast<std::size_t>(node)].zone; }
  void believe(std::vector<Team> teams) { o_.core_teams = std::move(teams); } // of processes that start from now on
  int failed_commits = 0;                                                     // transactions with writes
  std::shared_ptr<Answer> admin(int node, const std::string &method, const std::string &target,
                                const std::string &body = "");
  int starts_of(const std::string &id) const { return starts_by_job_.count(id) ? starts_by_job_.at(id) : 0; }
  int returned = 0;                                                          // machines
  double held_s(const std::string &id) const { return told_.at(id).held_s; } // by its tasks, on machines, so far
  std::vector<wire::KeyValue> records(const std::string &prefix) const;
  void put_record(const std::string &key, nlohmann::json value) {
    ++epoch_;
    change(key, std::move(value), 0);
  }
  // A job that it needs, directly or through others, whose user has been told that it is cancelled by `t`; negative:
  // has asked for that.
  bool needs_cancelled(const std::string &id, double t);
  int sick_machines() const;
  int open_records() const;
  int leaders() const;
  int leader() const;
  std::string where(const std::string &id) const;
  bool all_over() const;
  int machines_up() const;

private:
  struct Event {
    double t;
    std::uint64_t n;
    std::function<void()> fn;
    bool operator<(const Event &o) const { return t != o.t ? t > o.t : n > o.n; }
  };
  struct Link {
    double cut_until = -1;
    Cut how = Cut::Drop;
    bool cut(double now) const { return now < cut_until; }
  };
  struct Node {
    std::unique_ptr<core::Core> core;
    int life = 0;
    std::uint64_t term = 0; // that it leads, as last seen
    std::vector<core::Command> queue;
    bool scheduled = false;
    Link state, cloud, workers, users;
    std::string zone;
    std::map<int, Link> peers;                   // dialled, by whom they go to
    double stalled_until = -1, stall_within = 0; // the latter: how long, from its next decision on
    std::map<core::OpId, bool> waiting;
    std::map<core::RequestId, std::function<void(const core::Reply &)>> answers;
  };
  struct Key {
    nlohmann::json value;
    std::uint64_t mod_revision, lease;
  };
  struct Follower {
    int node, life;
    core::OpId op;
    std::string prefix;
    std::uint64_t from;
  };
  struct Run {
    std::string job;
    std::uint32_t index;
    std::uint64_t attempt;
    TaskPhase phase;
    ExitCause cause = ExitCause::None;
    bool on = false; // counts as being on its machine
    double from = 0; // when its start came
    std::uint64_t serial;
    Told *told = nullptr; // the job, as it was when this started: another may bear its id by now
    double ran_from = -1;
    bool saved = false;
  };
  struct Machine {
    std::string name, type, zone;
    bool spot = false, up = false, gone = false, sick = false, failed = false;
    double rented = 0, hang_until = -1, outbound_cut_until = -1, inbound_cut_until = -1;
    std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
    double lease_from = 0;
    int node = 0;
    bool in_flight = false;
    std::uint64_t report_no = 0;
    double next_report = 0;
    std::set<std::string> images;
    std::vector<Run> runs;
  };
  // A job that this world's or another's users have submitted.
  Told *known(const std::string &job) {
    if (Told *t = own(job)) return t;
    return foreign ? foreign(job) : nullptr;
  }

  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(rng_); }
  bool chance(double p) { return uniform(0, 1) < p; }
  void schedule(double t, std::function<void()> fn) { events_.push({t, ++event_n_, std::move(fn)}); }
  void start_node(int i);
  void tick(int i, int life);
  void push(int i, core::Command c);
  void drain(int i, int life);
  void carry_out(int i, core::Effects effects);
  template <class Cmd> std::shared_ptr<Answer> ask_once(int node, const Cmd &cmd);
  void ask(int i, std::function<core::Command(core::RequestId)> make, std::function<void(const core::Reply &)> fn);
  void ask_as_user(int i, std::function<core::Command(core::RequestId)> make,
                   std::function<void(const core::Reply &)> fn);
  const Link *between(const std::string &zone, const std::string &other) const; // a cut zone's, or null
  void judge_answer(const JobSpec &spec, int status);
  void confirm_cancelled(Told &told); // its user has been told
  void stop_run(std::size_t b, std::uint64_t serial, double grace_s);
  void saved(std::size_t b, std::uint64_t serial);
  void waiting_check();
  bool could_start(const std::string &id, const Told &told) const;
  void store_op(int i, const core::StoreOp &op);
  wire::StoreReply execute(const core::StoreOp &op);
  void change(const std::string &key, std::optional<nlohmann::json> value, std::uint64_t lease);
  void notify();
  void expire_leases();
  void cloud_op(int i, const core::CloudOp &op);
  void boot(Machine &b);
  void kill_machine(Machine &b);
  void free_all(Machine &b); // what ran on it is gone
  void freed(const Run &r);
  void put_on(std::size_t b, Run &r);
  void take_off(const Run &r);
  const Resources &size_of(const Machine &b) const;
  void worker_tick(std::size_t b);
  void report(std::size_t b);
  Heartbeat make_report(Machine &b);
  void take_response(std::size_t b, std::uint64_t incarnation, double sent, const nlohmann::json &body);
  void start_task(std::size_t b, const std::string &job, std::uint32_t index, std::uint64_t attempt);
  void progress(std::size_t b, std::uint64_t serial);
  void try_gang(const std::string &job, std::uint64_t attempt);
  void end_run(Machine &b, std::uint64_t serial, ExitCause cause);
  void placed_check(const Machine &b, const Run &r);
  void periodic_check();
  void poll(const std::string &id);
  void break_rule(std::string what) { broken.push_back("t=" + std::to_string(t_) + " " + std::move(what)); }

  WorldOptions o_;
  std::mt19937_64 rng_;
  double t_ = 0;
  std::uint64_t event_n_ = 0, serial_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Node> nodes_;
  core::RequestId next_req_ = 1;
  std::map<std::string, Key> keys_;
  std::map<std::uint64_t, std::pair<double, double>> leases_; // ttl, end
  std::uint64_t epoch_ = 1, next_lease_ = 1;
  std::deque<wire::WatchEvent> history_;
  std::vector<Follower> followers_;
  double outage_until_ = -1;
  std::map<std::string, Link> zone_cuts_;
  std::map<std::string, long> zone_most_;
  double hold_back_ = 0;
  std::vector<Heartbeat> held_back_;
  bool calm_ = false;
  std::map<std::string, double> could_since_; // jobs that wait where there is room, since when
  std::deque<Machine> machines_;
  std::map<std::string, std::vector<std::string>> rents_;
  std::map<std::string, Told> told_;
  int next_job_ = 1;
  std::set<int> old_; // nodes that know nothing of the limits to come
  std::set<std::string> broken_jobs_;
  std::map<std::string, std::vector<double>> run_s_;
  std::map<std::string, int> starts_by_job_;
  std::unordered_map<std::string, std::map<std::uint64_t, std::size_t>>
      on_; // tasks on machines, by job: serial, machine
};

} // namespace loftrouter::test
