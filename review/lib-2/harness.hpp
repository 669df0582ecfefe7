// What the cases of review/4 to review/8 share: real controllers as separate processes on loopback, under stand-ins for
// the state service (the project's own), the cloud, workers and users. Each stand-in follows the users' pages.
//
// Single-threaded: a case calls `wait` or `until`, which run the loop.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

#include "loftrouter/net/client.hpp"
#include "loftrouter/net/loop.hpp"
#include "loftrouter/net/server.hpp"
#include "stand_in_state.hpp"

namespace review {

using Json = nlohmann::json;
namespace net = loftrouter::net;

struct Type {
  std::string name;
  double cores, cards, ram_gb, local_gb, pull_gb_per_s, rate, spot_price, startup_s;
  std::vector<std::string> yards;
};

struct Layout {
  int nodes = 3;
  std::vector<std::string> zones;
  std::vector<std::string> teams;
  std::map<std::string, double> cpus_max; // by team; none: 0
  double report_s = 1, lease_s = 10, gang_wait_s = 35, gang_peer_s = 4, cancel_s = 40;
  double state_rps = 250, state_write_rps = 15, cloud_rps = 5, list_lag_s = 3;
  std::vector<Type> types;
  double boots_in_s = 2;               // true boot time of each machine
  std::map<std::string, int> capacity; // "type/zone" -> ordinary machines that the cloud has to give
  bool proxies = false;                // each controller reaches the state service and its siblings by proxies
};

struct Answer {
  int status = 0;
  Json body = Json::object();
};

class Bench;

// Forwards TCP connections; while cut, it holds them without a word.
class Proxy {
public:
  Proxy(net::Loop &loop, int port, int target);
  ~Proxy();
  void cut(bool yes); // ending a cut resets the connections

private:
  struct Pair;
  void accept();
  void io(Pair &pair, int side, int events);
  void sweep();

  net::Loop &loop_;
  const net::Address target_;
  net::Fd listener_;
  bool cut_ = false;
  std::vector<std::unique_ptr<Pair>> pairs_;
  std::unique_ptr<net::IoWatch> watch_;
  net::Timer sweep_;
};

struct Task {
  std::string piece, job;
  std::uint64_t attempt = 0;
  std::string status, cause;
  double until = 0, since = 0;
  bool on_machine() const { return status == "gathering" || status == "running" || status == "saving"; }
};

class Worker {
public:
  Worker(Bench &bench, std::string name, const Type &type, std::string zone);
  ~Worker();
  void step();
  void die(); // the machine stops with all that is on it
  bool alive() const { return alive_; }

  const std::string name, zone;
  const Type type;
  int port = 0;
  bool sick = false; // fails every task that it starts
  std::vector<Task> tasks;
  std::map<std::string, double> images; // cached or being fetched: from when on it is there
  bool changed = true;
  std::size_t longest_report = 0; // as JSON, bytes
  double died_at = 0;
  std::map<int, int> report_statuses;
  int leases_lost = 0;
  double report_sent = -1; // when the report was sent whose answer is being carried out; -1: a direct command
  void exit(Task &task, const std::string &cause);

private:
  Json report();
  void send();
  void answered(double sent, std::uint64_t shift, int status, const std::string &body);
  void execute(const Json &orders);
  void order(net::ConnId id, const net::HttpMessage &message);

  Bench &bench_;
  std::unique_ptr<net::HttpServer> server_;
  std::map<int, std::unique_ptr<net::HttpClient>> clients_;
  std::uint64_t shift_ = 1, tick_ = 0, baton_ = 0;
  double lease_from_, next_report_ = 0, last_report_ = -1e9;
  int at_ = 0;
  bool in_flight_ = false, alive_ = true;
};

// The cloud, after its page: rentals by request name, returns, a list that lags.
class Cloud {
public:
  Cloud(Bench &bench, int port);
  void add_running(const std::string &type, const std::string &zone);
  void step();
  int hires = 0;                   // requests to rent
  std::map<std::string, int> left; // "type/zone" -> machines to give

private:
  struct Rented {
    std::string name, type, zone, address;
    double since, up_at;
    bool up = false;
  };
  void request(net::ConnId id, const net::HttpMessage &message);
  std::string rent(const std::string &type, const std::string &zone, double boots_in_s);

  Bench &bench_;
  std::unique_ptr<net::HttpServer> server_;
  loftrouter::core::TokenBucket calls_;
  std::map<std::string, Rented> rented_;
  std::map<std::string, Json> answered_;
  int last_ = 0;
};

class Bench {
public:
  // `folder`: of the case, for record.txt.
  Bench(Layout layout, const std::string &folder);
  ~Bench();

  void start(); // all controllers; returns when each answers GET /up with 200
  void start(int node);
  void kill(int node);
  void signal(int node, int number);
  void cut(int node, bool yes); // from the state service and from the other controllers (Layout::proxies)
  int leader();                 // by the controllers' own status page

  void wait(double seconds);
  bool until(double seconds, const std::function<bool()> &condition);
  double now() const;
  void say(const std::string &line); // to record.txt and to standard output

  Answer call(int node, const std::string &method, const std::string &target, const Json *body = nullptr,
              double deadline_s = 5);
  // As users do: repeats until the answer is final. Returns its status.
  int submit(const Json &job, int first_node = 0);
  int abort(const std::string &id, int first_node = 0);
  Answer look(const std::string &id, int node = 0);

  Worker *add_worker(const std::string &name, const std::string &type, const std::string &zone);
  const Type &type(const std::string &name) const;
  Worker *worker(const std::string &name);
  // Tasks of the job that are on a machine now.
  int on_machines(const std::string &job) const;
  int done(const std::string &job) const;
  // A machine that is up and has room for one more task of the job; empty: none.
  std::string room_for(const std::string &job) const;
  // For how long at a time the job has been waiting while a machine that fits had room: with `whole` for how long none
  // of its tasks ran (it was queued), otherwise for how long one of them was neither on a machine nor under way to it.
  // Counted while `wait` and `until` run, from the first call on; the longest such time so far.
  double longest_wait_beside_room(const std::string &job, bool whole);
  void started(const Worker &worker, const Task &task);
  bool exited(const Worker &worker, const Task &task);

  const Layout layout;
  net::Loop loop;
  std::vector<int> api, peers;
  std::unique_ptr<Cloud> cloud;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::map<std::string, Json> jobs;                   // by id, as users uploaded them
  std::map<std::string, double> run_s;                // by id: true run time of a task
  std::set<std::string> results;                      // pieces that are done
  std::vector<std::pair<double, std::string>> starts; // when a task was on its machine, and which
  // Called with each start command that a worker takes.
  std::function<void(const Worker &, const std::string &piece)> on_start_order;

private:
  struct Waiting {
    double since = -1, longest = 0;
    bool whole = false;
  };
  void step();
  void gangs();
  void watch_waiting();

  std::map<std::string, Waiting> waiting_;
  std::string folder_, temporary_;
  FILE *record_ = nullptr;
  double began_;
  std::unique_ptr<loftrouter::scale::StateStandIn> state_;
  std::map<std::string, std::unique_ptr<Proxy>> proxies_;
  std::vector<std::unique_ptr<net::HttpClient>> calls_;
  std::vector<pid_t> pids_;
  std::vector<std::string> command_;
  int cloud_port_ = 0, state_port_ = 0;
  net::Timer step_timer_;
};

// A job with the fields of the users' page; `changes` replaces or adds fields.
Json job(const std::string &id, const std::string &team, const Json &changes);
bool trouble();                   // false: TROUBLE=0
double watch_s(double otherwise); // REVIEW_WATCH_S, for a look beyond the script's time
std::string local(int port);

} // namespace review
