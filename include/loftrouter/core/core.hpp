// The single owner of all state. Pure: `apply` takes a batch of commands and the time, and returns
// what is to be done; it does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

#include "loftrouter/core/placement.hpp"
#include "loftrouter/core/relay.hpp"
#include "loftrouter/core/settings.hpp"
#include "loftrouter/core/types.hpp"
#include "loftrouter/core/util.hpp"
#include "loftrouter/wire/admin.hpp"
#include "loftrouter/wire/messages.hpp"
#include "loftrouter/wire/peer.hpp"

namespace loft::core {

struct Now {
  double mono = 0, wall = 0;
};
using OpId = std::uint64_t;

// ---- commands ----
struct CmdTick {};
struct CmdSubmit {
  RequestId req;
  JobSpec spec;
};
struct CmdLookup {
  RequestId req;
  std::string id;
};
struct CmdAbort {
  RequestId req;
  std::string id;
};
struct CmdUp {
  RequestId req;
};
struct CmdReport {
  RequestId req;
  WorkerReport report;
};
struct CmdStoreReply {
  OpId op;
  wire::StoreReply reply;
};
struct CmdCloudReply {
  OpId op;
  wire::CloudReply reply;
};
struct CmdAdmin {
  RequestId req;
  wire::AdminRequest ask;
};
struct CmdPeer {
  int sibling;        // the one that was asked, or -1
  std::uint64_t link; // where an answer goes
  wire::PeerMessage message;
};
using Command = std::variant<CmdTick, CmdSubmit, CmdLookup, CmdAbort, CmdUp, CmdReport, CmdStoreReply, CmdCloudReply,
                             CmdPeer, CmdAdmin>;

// ---- effects ----
struct Reply {
  RequestId req;
  int status;
  std::string body;
  std::optional<int> retry_after;
  bool json = false; // CBOR otherwise
};
struct StoreGet {
  std::string key;
};
struct StoreList {
  std::string prefix, from;
};
struct StoreCommit {
  std::vector<wire::Guard> guards;
  std::vector<wire::Write> writes;
};
struct StoreLeaseNew {
  double ttl_s;
};
struct StoreLeaseTouch {
  std::uint64_t lease;
};
struct StoreLeaseDrop {
  std::uint64_t lease;
};
struct StoreFollow {
  std::string prefix;
  std::uint64_t from;
  double hold_s;
};
struct StoreOp {
  OpId op;
  double deadline_s;
  std::variant<StoreGet, StoreList, StoreCommit, StoreLeaseNew, StoreLeaseTouch, StoreLeaseDrop, StoreFollow> what;
};
struct CloudTypes {};
struct CloudList {
  std::string from;
};
struct CloudRent {
  std::string request, type, zone;
  bool spot;
  int count;
};
struct CloudReturn {
  std::vector<std::string> names;
};
struct CloudOp {
  OpId op;
  double deadline_s;
  std::variant<CloudTypes, CloudList, CloudRent, CloudReturn> what;
};
struct WorkerCall { // straight to a worker: only ever orders to stop, as it may be carried out minutes late
  std::string address;
  std::uint64_t token = 0, session = 0;
  std::string machine;
  std::vector<TaskOrder> orders;
};
enum class LogLevel : std::uint8_t { Error, Info, Debug };
struct LogLine {
  LogLevel level;
  std::string text;
};
struct PeerSend {
  int sibling; // -1: on `link`
  std::uint64_t link;
  wire::PeerMessage message;
};
// How old a sibling's word may be that it is cut off. A leader elected since has waited as long.
constexpr double kStatementLife = 1.5;
// A place dearer than the cheapest by more than this is rented and used only where time presses.
constexpr double kDear = 1.5;
constexpr double kBarredFor = 120.0;    // that a job keeps off a machine on which it has failed
constexpr std::size_t kEntryChars = 85; // of a job in a progress record, beside its two sets of tasks
// Of what the state service allows: for users' reads and users' writes.
constexpr double kUserReads = 0.75, kUserWrites = 0.6;
struct Effects {
  std::vector<PeerSend> peers;
  std::vector<Reply> replies;
  std::vector<StoreOp> store;
  std::vector<CloudOp> cloud;
  std::vector<WorkerCall> workers;
  std::vector<LogLine> logs;
};

// ---- state ----
enum class TaskState : std::uint8_t { Pending, Unaccounted, Placed, Done };
struct Task {
  TaskState state = TaskState::Pending;
  bool started = false;  // a start may have been sent by some leader; never taken back
  bool covered = false;  // by the transaction under way
  bool recorded = false; // the state service says that it may have been started
  std::int32_t machine = -1;
};
// A task of a job has failed on a machine.
struct Failure {
  int machine;
  double at;
};
struct Job {
  JobSpec spec;
  double submit_wall = 0;
  std::uint64_t serial = 0; // tells it from earlier jobs at the same index
  std::uint64_t open_stamp = 0;
  bool cancelled = false;
  bool ending = false;       // its final record is being written
  bool to_end = false;       // in the queue for that
  bool needs_resync = false; // stamp unknown after an unanswered or refused write
  bool resyncing = false;
  bool dirty = false;                            // its progress differs from what was last written
  int shard = -1;                                // of the progress records
  std::uint32_t told_done = 0, told_running = 0; // to the siblings
  std::uint64_t flush = 0;                       // the transaction that last wrote its progress
  wire::Json progress;                           // as last written
  std::vector<Task> tasks;
  std::uint32_t done = 0, placed = 0, unaccounted = 0;
  std::uint32_t ahead = 4;        // tasks to be recorded before they are placed
  std::uint64_t gang_attempt = 0; // current attempt of a gang
  bool gang_closed = false;       // that attempt takes no replacements any more
  int team = -1, image = -1, class_ix = -1;
  double retry_at = 0;           // held off after errors
  int probes = 0;                // since it became suspect
  std::uint32_t failed_on = 0;   // machines in a row, none of its tasks having succeeded since
  std::vector<Failure> failures; // where it failed lately: barred from there
  std::vector<int> zone_used;
  std::string reason;
  EndRecord end; // while `ending`
  bool ended_in_place = false;
};
// One record that holds the progress of many jobs, since writes are what is scarce.
struct Shard {
  std::string key;
  std::uint64_t stamp = 0; // 0: not there
  std::vector<int> jobs;
  std::size_t reserved = 0;           // characters that its jobs may come to need
  bool dirty = false, urgent = false; // urgent: starts wait for the write
  double dirty_since = 0;
  bool needs_resync = false, resyncing = false; // stamp unknown after an unanswered or refused write
};
struct Slot {
  int job = -1; // -1: a task of an unknown job, to be stopped
  std::string job_id;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::Fetching;
  bool durable = false; // recorded as started: the start may be sent
  bool sent = false;
  bool seen = false;
  bool stop = false;
  bool adopted = false; // started by an earlier leader and unaccounted for until seen
  double grace_s = 0;
  double placed_at = 0, running_since = -1;
  bool finished = false;        // exited with success
  bool recorded = false;        // and the state service says so: the worker may forget it
  std::uint64_t done_flush = 0; // the transaction that says so
  Resources need;
};
struct Machine {
  std::string name, address;
  int via = -1;            // the sibling that its last report came through, or -1
  double sent_away = -1e9; // to a sibling
  bool stops_news = false; // tasks were told to stop that the worker does not know of yet
  int type = -1, zone = -1;
  bool spot = false;
  bool heard = false;
  bool lost = false;      // its lease ran out, or it failed
  bool returning = false; // no new tasks; given back
  bool listed_failed = false;
  std::string held_for; // id of the job that it is being emptied for
  double held_until = -1;
  bool open_to_small = false;              // at the last round over all machines: not reserved for large work
  bool draining = false;                   // surplus: takes no new tasks and goes back once empty
  std::optional<wire::MachineOrder> order; // by an operator: takes no new tasks
  std::uint64_t session = 0, seq = 0;
  double known_since = 0, last_answer = -1, idle_since = -1, first_heard = -1;
  double rented_at = 0;
  std::optional<double> taken_at; // notice
  std::vector<Slot> slots;
  Resources size, used;
  std::list<std::pair<int, double>> images; // and their GB, most recent first
  // Jobs that have failed here since `failing_since`, while nothing started since then has succeeded.
  struct Blame {
    std::string job;
    bool proven; // it has succeeded elsewhere, so the fault is not the job's
  };
  std::vector<Blame> blames;
  int errors = 0;
  double failing_since = -1, last_good_start = -1;
  double busy_cpu_s = 0; // CPU seconds of tasks that ran to their end here
};

class Core {
public:
  explicit Core(Settings settings, std::uint64_t seed);
  Effects apply(std::vector<Command> batch, Now now);

  bool leading() const { return role_ == Role::Leading; }
  std::uint64_t term() const { return role_ == Role::Leading ? term_ : 0; }

private:
  enum class Role { Follower, Acquiring, Loading, Leading };
  using StoreFn = std::function<void(const wire::StoreReply &)>;
  using CloudFn = std::function<void(const wire::CloudReply &)>;

  // core.cpp
  void on(CmdTick &&);
  void on(CmdUp &&);
  void on(CmdStoreReply &&);
  void on(CmdCloudReply &&);
  OpId store(decltype(StoreOp::what) what, double deadline_s, StoreFn fn);
  OpId cloud(decltype(CloudOp::what) what, double deadline_s, CloudFn fn);
  void reply(RequestId req, int status, std::string body, std::optional<int> retry = {});
  void refuse(RequestId req, std::string_view why, int retry = 1);
  void log(LogLevel level, std::string text);
  void later(double delay_s, std::function<void()> fn); // with a tick
  double now() const { return now_.mono; }

  // users.cpp
  void on(CmdSubmit &&);
  void on(CmdLookup &&);
  void on(CmdAbort &&);
  enum class Verdict { Ok, Never, Unknown };
  void confirm_questions();
  void note_open(const std::string &id, std::uint64_t stamp, bool cancelled);
  void tell_open(RequestId req, const std::string &id, bool cancelled, bool as_submit);
  void read_open(RequestId req, const std::string &id, bool as_submit);
  Verdict judge(const JobSpec &spec, std::string &why) const;
  void answer_state(RequestId req, const std::string &id, bool as_submit);
  void answer_end(RequestId req, const std::string &id, const EndRecord &end, bool as_submit);
  void read_end(RequestId req, const std::string &id, bool as_submit, bool as_abort);
  void remember_end(const std::string &id, EndRecord end);

  // term.cpp
  void tick_term();
  void poll_leader();
  void acquire();
  void renew();
  void step_down(std::string_view why);
  void load_open(std::string from);
  void load_progress(std::string from);
  void start_leading();
  void follow_open();
  bool informed() const;
  bool lease_valid() const { return now() < lease_valid_until_; }
  bool active() const { return role_ == Role::Leading && lease_valid(); }

  // peers.cpp
  void on(CmdPeer &&);
  void tick_peers();
  bool cut_off() const;
  void share_budgets();
  bool common_outage() const;
  bool extended() const;
  void abdicate_if_deaf();
  bool answering() const { return (active() && informed()) || extended(); }

  // insight.cpp
  struct Supply { // machines of one kind
    int up = 0, starting = 0;
  };
  using Supplies = std::map<std::tuple<int, int, bool>, Supply>;
  Supplies supplies() const;
  std::string why(int j, const Supplies &supply) const;
  bool any_running(int j) const;
  bool foreseen_late(const Job &job) const;
  std::optional<double> wanted_after(const Job &job) const;
  void happened(Job &job, std::string_view what);
  std::vector<std::uint32_t> running_counts() const;
  void tell_siblings();
  void take_digest(const wire::PeerMessage &m);
  JobView view_of(const std::string &id, bool cancelled);

  // admin.cpp
  void on(CmdAdmin &&);
  void admin_status(RequestId req, const wire::AdminRequest &ask);
  void admin_jobs(RequestId req, const wire::AdminRequest &ask, bool foreseen);
  void admin_report(RequestId req, const wire::AdminRequest &ask);
  void admin_change(RequestId req, const wire::AdminRequest &ask);
  void admin_fail(RequestId req, int status, std::string_view text);
  void load_conf();
  void take_conf(const std::vector<wire::Entry> &entries);

  // jobs.cpp
  int add_job(OpenRecord record, std::uint64_t stamp);
  void remove_job(int j);
  void cancel_job(int j);
  void update_open(const std::string &key, const wire::Json &value, std::uint64_t stamp);
  void mark_dirty(int j, bool urgent);
  bool finishable(const Job &job) const;
  void set_task(int j, std::uint32_t i, TaskState state, int machine = -1);
  void age_unaccounted();
  void tend_gang(int j);
  Job &job(int j) { return *jobs_[static_cast<std::size_t>(j)]; }

  // records.cpp
  void flush();
  void resync(int j);
  void resync_shard(std::size_t s);
  void assign_shard(int j);
  void mark_shard(std::size_t s, bool urgent);
  std::size_t set_chars() const;
  struct Transaction;
  void add_end(int j, Transaction &t, bool in_place);
  EndRecord end_record(const Job &job) const;
  void add_moves(Transaction &t, double budget, std::size_t most);
  void add_shard(std::size_t s, Transaction &t);
  void flushed(const Transaction &t, const wire::StoreReply &r);
  void record_ahead(Job &job);
  void plan_ahead();

  // fleet.cpp, relaying.cpp
  // Where the answer to a report goes: to the worker, or to the sibling that passed it on.
  struct Asker {
    RequestId req = 0;
    std::uint64_t link = 0, nonce = 0;
    int sibling = -1;
    bool direct() const { return sibling < 0; }
  };
  void on(CmdReport &&);
  void hear(const Asker &from, const WorkerReport &report);
  void tell_worker(const Asker &from, int status, const std::vector<TaskOrder> &orders = {}, std::string_view why = "");
  void pass_on(CmdReport &&cmd);
  void send_elsewhere(RequestId req);
  void take_orders(const wire::PeerMessage &m);
  void give_up_relayed();
  int leading_sibling() const;
  int relay_to() const;
  std::size_t kept_by(int sibling) const; // workers; -1: by this node itself
  int keeper_for(const WorkerReport &r);
  std::string_view leader_by_word() const;
  int machine_index(const std::string &name, const std::string &type, const std::string &zone, bool spot);
  Machine &machine(int m) { return *machines_[static_cast<std::size_t>(m)]; }
  void take_report(int m, const WorkerReport &r, std::vector<TaskOrder> &orders);
  void task_exited(int m, Slot &slot, const TaskReport &t);
  void task_failed(int m, int j);
  void blame(int m, const Job &k, double at);
  void absolve(const Job &k);
  // Has failed wherever it was tried: more likely a mistake in the job than several sick machines.
  static bool suspect(const Job &k) { return k.done == 0 && k.failed_on >= 2; }
  void drop_slot(int m, std::size_t s, bool to_pending);
  void lose_machine(int m, std::string_view why);
  void remove_machine(int m);
  void tick_fleet();
  void log_summary();
  void stop_slot(int m, Slot &slot, double grace);
  void send_stops();
  void touch_image(Machine &m, int image, double gb);

  // rounds.cpp
  bool patient(const Job &j) const;
  void round();
  void round_on(int m);
  std::vector<Resources> team_room() const;
  PlaceOptions place_options() const;
  std::vector<std::uint32_t> carry_out(const std::vector<Assignment> &plan, const std::vector<int> &order,
                                       const std::vector<int> &index);
  void place(int j, std::uint32_t i, int m);
  struct Offer;
  std::vector<Offer> seek_places(const PlaceJob &p, const std::vector<PlaceMachine> &machines,
                                 const std::vector<int> &index, int zone) const;
  void preempt(std::vector<int> starved);
  std::vector<PlaceMachine> snapshot(std::vector<int> &index, int only) const;
  PlaceJob place_job(int j) const;

  // autoscaler.cpp
  void tick_cloud();
  void list_machines(std::string from);
  void merge_list(const wire::CloudReply &r);
  void scale();
  double due_after(const Job &job) const;
  static double cpu_price(const MachineType &type, bool spot) {
    return (spot ? type.spot_price : type.price) / std::max(0.01, type.size.cpus);
  }
  double cheapest_cpu() const;
  void drain_surplus(double waiting_cpus);
  static bool is_small(const Job &j) { return j.spec.urgency == Urgency::Low && j.spec.spot; }
  struct Wanted { // machines of one kind
    std::tuple<int, int, bool> key;
    int count = 0, jobs = 0;
    int job = -1; // the first that wants them
  };
  void rent(const Wanted &w);
  void send_rent(CloudRent call, std::tuple<int, int, bool> key, int tries);
  void load_types();
  void set_types(std::vector<MachineType> types);
  void note_whole_machine_job(const Job &job);
  std::vector<std::string> names_to_return();
  void return_machines();

  Settings settings_;
  std::uint64_t rng_;
  double random();

  Now now_;
  Effects effects_;
  OpId next_op_ = 1;
  std::unordered_map<OpId, StoreFn> store_ops_;
  std::unordered_map<OpId, CloudFn> cloud_ops_;
  double started_at_ = -1;

  // store contact
  double store_ok_at_ = -1e9;
  TokenBucket user_writes_, user_reads_, leader_writes_;
  double reads_rate_ = 0, writes_rate_ = 0, reads_taken_ = 0, writes_taken_ = 0; // own use, smoothed; totals before
  int user_ops_ = 0;
  // Questions about jobs known to be open wait here for the next comparison of their records' revisions.
  struct Question {
    RequestId req;
    std::string id;
    bool as_submit;
    double asked;
  };
  std::deque<Question> questions_;
  bool confirming_ = false;
  double next_confirm_ = 0;
  struct KnownOpen {
    std::uint64_t stamp;
    bool cancelled;
  };
  std::unordered_map<std::string, KnownOpen> known_open_;
  std::deque<std::string> known_order_;

  // term
  Role role_ = Role::Follower;
  std::uint64_t epoch_guard_ = 0; // counts role changes, so late continuations are dropped
  std::uint64_t term_ = 0, lease_ = 0, nonce_ = 0;
  double lease_valid_until_ = -1e9, next_renew_ = 0, next_poll_ = 0, acquire_after_ = 0;
  bool renewing_ = false, polling_ = false;
  std::string leader_name_;
  std::uint64_t leader_term_ = 0;
  double leader_seen_ = -1e9;
  std::uint64_t highest_term_ = 0;
  double unaccounted_until_ = 0;
  std::uint64_t follow_from_ = 0;
  bool following_ = false;
  bool relisting_ = false;
  double listed_from_ = -1e9, informed_at_ = -1e9;

  // siblings
  struct SiblingState {
    std::uint64_t nonce = 0;
    double sent_at = -1e9, stated_at = -1e9, uptime_s = 0;
    bool cut_off = false, hears_workers = false, leads = false, spreads = false, passes = false;
    std::uint64_t term = 0;       // that it knows of, or leads
    double reads = 0, writes = 0; // that it makes a second
  };
  double last_report_at_ = -1e9, leading_since_ = 0, deaf_from_ = -1e9, deaf_tick_at_ = -1e9;
  std::vector<SiblingState> siblings_;
  std::uint8_t self_ = 0;    // index of this node in the list below
  std::vector<int> by_name_; // sibling, or -1 for this node, by index in the sorted names of all
  ReportRelay relay_;
  WorkerSpread spread_;
  bool spread_known_ = false; // what the last known leader did
  std::uint64_t ping_nonce_ = 0;
  double next_ping_ = 0;
  std::deque<std::pair<std::string, double>> confirmed_cancels_;
  // What the leader has told of its jobs, and what has been told to the siblings.
  struct News {
    std::uint32_t done, running;
    bool late;
    std::string reason;
    double at;
  };
  std::unordered_map<std::string, News> news_;
  std::deque<std::string> news_order_;
  std::uint64_t news_term_ = 0;
  double news_at_ = -1e9, next_digest_ = 0;
  std::size_t digest_cursor_ = 0;
  double leaderless_since_wall_ = 0, leading_since_wall_ = 0, informed_wall_ = 0, store_ok_wall_ = 0;

  // operators' own settings, kept in the state service
  wire::Tunables tunables_;
  wire::MachineOrders machine_orders_;
  bool conf_loading_ = false;
  double next_conf_ = 0, cloud_ok_at_ = -1e9;

  // types and names
  std::vector<MachineType> types_;
  bool types_known_ = false, types_loading_ = false;
  double next_types_ = 0;
  Names type_names_, zone_names_, image_names_, class_names_, team_names_;

  // jobs
  std::vector<std::unique_ptr<Job>> jobs_;
  std::vector<int> free_jobs_;
  std::unordered_map<std::string, int> job_index_;
  std::unordered_map<std::string, ProgressRecord> loaded_progress_;
  std::unordered_map<std::string, std::size_t> loaded_shard_;
  std::vector<Shard> shards_;
  std::deque<int> ending_; // jobs whose final record is to be written
  struct Move {
    std::string id;
    std::uint64_t stamp; // of the open record that says how the job ended
    wire::Json value;    // what it says
  };
  std::deque<Move> moves_; // from open/ to end/, when there is time
  bool ends_first_ = false;
  double next_ahead_ = 0;
  bool flushing_ = false;
  double flush_after_ = 0;
  std::vector<std::pair<double, std::function<void()>>> later_;
  std::uint64_t flush_counter_ = 0;
  std::uint64_t attempt_counter_ = 0;
  std::unordered_map<std::string, EndRecord> ends_;
  std::deque<std::string> ends_order_;

  // fleet
  std::vector<std::unique_ptr<Machine>> machines_;
  std::unordered_map<std::string, int> machine_index_;
  std::unordered_map<std::string, double> gone_; // names given back, and when
  std::vector<int> stops_news_;                  // machines whose `stops_news` was set in this batch
  double next_round_ = 0, next_scale_ = 0, next_list_ = 0, next_summary_ = 0;
  bool round_wanted_ = false;
  double up_cpus_ = 0;         // at the last round
  std::vector<PlaceJob> line_; // jobs with tasks to place at the last round, oldest first
  std::vector<std::uint64_t> line_serials_;
  std::uint64_t job_counter_ = 0;

  // cloud
  bool listing_ = false;
  double listed_once_at_ = -1;
  TokenBucket cloud_calls_;
  std::uint64_t rent_counter_ = 0;
  std::map<std::tuple<int, int, bool>, int> rents_open_;
  std::map<std::tuple<int, int, bool>, double> no_capacity_until_;
  bool returning_ = false;
  struct Kept {
    double seen = 0; // when a job last wanted it
    Resources need;  // the largest such job's
  };
  std::unordered_map<int, Kept> kept_types_; // machine types that some job class needs whole
};

} // namespace loft::core
