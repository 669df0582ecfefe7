#include "harness.hpp"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fmt/format.h>

#include "loftrouter/wire/cbor.hpp"

extern char **environ;

namespace review {

namespace {

// The controllers end with this program, also when it is stopped.
pid_t started_pids[16];
void end_all(int) {
  for (const pid_t pid : started_pids)
    if (pid > 0) ::kill(pid, SIGKILL);
  ::_exit(2);
}

// A loopback port that nobody uses, below those that the system hands out to clients by itself. Each process begins at
// another place, so that two of them don't take the same one between this look and its use.
int free_port() {
  static int port = 12'000 + static_cast<int>(::getpid()) * 97 % 18'000;
  for (;;) {
    port = port < 30'000 ? port + 1 : 12'000;
    std::string error;
    if (net::listen_on(*net::parse_address(local(port)), error)) return port;
  }
}

std::string run_command() {
  std::ifstream file("deploy/service.toml");
  for (std::string line; std::getline(file, line);)
    if (line.starts_with("run = \"")) return line.substr(7, line.rfind('"') - 7);
  throw std::runtime_error("deploy/service.toml names no run command");
}

std::string job_of(const std::string &piece) {
  return piece.substr(0, piece.rfind('/'));
}

std::string query(const std::string &target, const std::string &name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos) return {};
  return target.substr(at + name.size() + 1, target.find('&', at) - at - name.size() - 1);
}

} // namespace

std::string local(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

bool trouble() {
  const char *value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

double watch_s(double otherwise) {
  const char *value = std::getenv("REVIEW_WATCH_S");
  return value ? std::atof(value) : otherwise;
}

Json job(const std::string &id, const std::string &team, const Json &changes) {
  Json out = {
      {"id", id},         {"jobclass", "batch"}, {"crew", team},      {"shape", "array"},  {"urgency", "normal"},
      {"pieces", 1},      {"cores", 1.0},        {"cards", 0.0},      {"ram_gb", 1.0},     {"bundle", "img-01"},
      {"image_gb", 0.5},  {"hulls", nullptr},    {"yard", nullptr},   {"one_zone", false}, {"apart", false},
      {"standby", false}, {"guess_s", 10.0},     {"bookmark_s", 0.0}, {"stash_s", 0.0},    {"due_s", nullptr}};
  out.update(changes);
  return out;
}

// ---- Proxy ----

struct Proxy::Pair {
  net::Fd fd[2];
  std::string to[2]; // bytes to be written to fd[i]
  std::unique_ptr<net::IoWatch> watch[2];
  bool dead = false;
};

Proxy::Proxy(net::Loop &loop, int port, int target)
    : loop_(loop), target_(*net::parse_address(local(target))), sweep_(loop, [this] { sweep(); }) {
  std::string error;
  listener_ = net::listen_on(*net::parse_address(local(port)), error);
  if (!listener_) throw std::runtime_error("proxy: " + error);
  watch_ = std::make_unique<net::IoWatch>(loop_, listener_.get(), [this](int) { accept(); });
  watch_->want(EV_READ);
  sweep_.once(0.05);
}

Proxy::~Proxy() = default;

void Proxy::accept() {
  net::Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!fd) return;
  auto pair = std::make_unique<Pair>();
  auto *raw = pair.get();
  pair->fd[0] = std::move(fd);
  pair->fd[1] = net::connect_to(target_);
  if (!pair->fd[1]) return;
  for (int side : {0, 1}) {
    pair->watch[side] = std::make_unique<net::IoWatch>(loop_, pair->fd[side].get(),
                                                       [this, raw, side](int events) { io(*raw, side, events); });
    pair->watch[side]->want(cut_ ? 0 : EV_READ);
  }
  pairs_.push_back(std::move(pair));
}

void Proxy::io(Pair &pair, int side, int events) {
  if (pair.dead) return;
  if (events & EV_READ) {
    char bytes[65536];
    const ssize_t n = ::recv(pair.fd[side].get(), bytes, sizeof bytes, 0);
    if (n > 0) pair.to[1 - side].append(bytes, static_cast<std::size_t>(n));
    pair.dead = n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
  }
  for (int i : {0, 1}) {
    while (!pair.to[i].empty()) {
      const ssize_t n = ::send(pair.fd[i].get(), pair.to[i].data(), pair.to[i].size(), MSG_NOSIGNAL);
      if (n <= 0) {
        pair.dead |= errno != EAGAIN && errno != EINTR && errno != ENOTCONN;
        break;
      }
      pair.to[i].erase(0, static_cast<std::size_t>(n));
    }
    if (!pair.dead) pair.watch[i]->want(EV_READ | (pair.to[i].empty() ? 0 : EV_WRITE));
  }
  if (!pair.dead) return;
  for (int i : {0, 1}) {
    pair.watch[i]->want(0);
    pair.fd[i].reset();
  }
}

void Proxy::sweep() {
  std::erase_if(pairs_, [](const auto &pair) { return pair->dead; });
  sweep_.once(0.05);
}

void Proxy::cut(bool yes) {
  cut_ = yes;
  for (auto &pair : pairs_) {
    if (pair->dead) continue;
    for (int i : {0, 1})
      pair->watch[i]->want(0);
    if (yes) continue;
    pair->dead = true;
    for (int i : {0, 1})
      pair->fd[i].reset();
  }
}

// ---- Worker ----

Worker::Worker(Bench &bench, std::string n, const Type &t, std::string z)
    : name(std::move(n)), zone(std::move(z)), type(t), port(free_port()), bench_(bench), lease_from_(bench.now()) {
  std::string error;
  auto listener = net::listen_on(*net::parse_address(local(port)), error);
  if (!listener) throw std::runtime_error("worker: " + error);
  server_ =
      std::make_unique<net::HttpServer>(bench_.loop, std::move(listener), net::HttpServer::Options{},
                                        [this](net::ConnId id, net::HttpMessage &&message) { order(id, message); });
}

Worker::~Worker() = default;

void Worker::die() {
  alive_ = false;
  died_at = bench_.now();
  for (auto &task : tasks)
    bench_.say(fmt::format("worker {}: {} try {} is gone with its machine", name, task.piece, task.attempt));
  tasks.clear();
}

void Worker::exit(Task &task, const std::string &cause) {
  task.status = "exited";
  task.cause = cause;
  changed = true;
  if (cause == "done") bench_.results.insert(task.piece);
  bench_.exited(*this, task);
}

void Worker::step() {
  if (!alive_) return;
  const double now = bench_.now();
  if (now - lease_from_ > bench_.layout.lease_s) {
    bench_.say(fmt::format("worker {}: its lease is over; {} tasks killed", name, tasks.size()));
    ++leases_lost;
    tasks.clear();
    ++shift_;
    lease_from_ = now;
    changed = true;
  }
  for (auto &task : tasks) {
    const Json &spec = bench_.jobs[task.job];
    if (task.status == "pulling" && now >= task.until) {
      changed = true;
      task.since = now;
      if (bench_.results.contains(task.piece)) {
        exit(task, "done");
      } else if (sick) {
        exit(task, "error");
      } else if (spec["shape"] == "gang") {
        task.status = "gathering";
        bench_.started(*this, task);
      } else {
        task.status = "running";
        task.until = now + bench_.run_s[task.job];
        bench_.started(*this, task);
      }
    } else if (task.status == "running" && spec["shape"] == "array" && now >= task.until) {
      exit(task, "done");
    }
  }
  if (!in_flight_ && (now >= next_report_ || (changed && now - last_report_ >= 0.5))) send();
}

Json Worker::report() {
  Json pieces = Json::array();
  for (const auto &task : tasks) {
    Json piece = {{"piece", task.piece}, {"try", task.attempt}, {"status", task.status}};
    if (task.status == "exited") piece["cause"] = task.cause;
    pieces.push_back(std::move(piece));
  }
  return {{"box", name},          {"address", local(port)},
          {"hull", type.name},    {"yard", zone},
          {"standby", false},     {"shift", shift_},
          {"tick", ++tick_},      {"baton", baton_},
          {"warning_s", nullptr}, {"pieces", std::move(pieces)}};
}

void Worker::send() {
  const double sent = bench_.now();
  auto &client = clients_[at_];
  if (!client)
    client = std::make_unique<net::HttpClient>(bench_.loop, *net::parse_address(local(bench_.api[at_])),
                                               net::HttpClient::Options{1, 1, 1 << 20});
  in_flight_ = true;
  changed = false;
  last_report_ = sent;
  const Json json = report();
  longest_report = std::max(longest_report, json.dump().size());
  client->request(
      "POST", "/v1/report", loftrouter::wire::encode(json), 4.0,
      [this, sent, shift = shift_](int status, std::string &&body) { answered(sent, shift, status, body); });
}

void Worker::answered(double sent, std::uint64_t shift, int status, const std::string &body) {
  in_flight_ = false;
  const double now = bench_.now();
  ++report_statuses[status];
  const int nodes = bench_.layout.nodes;
  if (!alive_) return;
  if (status == 200) {
    next_report_ = sent + bench_.layout.report_s;
    const auto json = loftrouter::wire::decode(body);
    if (shift != shift_ || !json || !json->contains("baton") || (*json)["baton"].get<std::uint64_t>() < baton_) return;
    changed |= (*json)["baton"].get<std::uint64_t>() > baton_;
    baton_ = (*json)["baton"].get<std::uint64_t>();
    lease_from_ = sent;
    report_sent = sent;
    execute((*json)["orders"]);
    report_sent = -1;
    return;
  }
  changed = true;
  if (status == 421) {
    const auto json = loftrouter::wire::decode(body);
    const auto named = json ? json->value("answer_to", std::string()) : std::string();
    for (int node = 0; node < nodes; ++node)
      if (named == "roost-" + std::to_string(node) && node != at_) {
        at_ = node;
        next_report_ = now + 0.2;
        last_report_ = now - 0.3;
        return;
      }
  }
  at_ = (at_ + 1) % nodes;
  next_report_ = now + 1;
  last_report_ = now + 0.5;
}

void Worker::execute(const Json &orders) {
  for (const auto &order : orders) {
    const auto piece = order["piece"].get<std::string>();
    const auto attempt = order["try"].get<std::uint64_t>();
    const auto verb = order["verb"].get<std::string>();
    const auto found = std::find_if(tasks.begin(), tasks.end(),
                                    [&](const Task &task) { return task.piece == piece && task.attempt == attempt; });
    if (verb == "reap") {
      if (found != tasks.end() && found->status == "exited") tasks.erase(found);
    } else if (verb == "kill") {
      if (found != tasks.end() && found->status != "exited") exit(*found, "stopped");
    } else if (verb == "start" && found == tasks.end()) {
      if (bench_.on_start_order) bench_.on_start_order(*this, piece);
      Task task{piece, job_of(piece), attempt, "pulling", "", 0, 0};
      const auto spec = bench_.jobs.find(task.job);
      changed = true;
      double cores = 0, ram = 0, cards = 0;
      bool busy = false;
      for (const auto &other : tasks) {
        if (other.status == "exited") continue;
        busy |= other.piece == piece;
        const Json &need = bench_.jobs[other.job];
        cores += need["cores"].get<double>();
        ram += need["ram_gb"].get<double>();
        cards += need["cards"].get<double>();
      }
      if (spec == bench_.jobs.end()) {
        task.status = "exited";
        task.cause = "no_such";
      } else if (busy) {
        task.status = "exited";
        task.cause = "busy";
      } else if (cores + spec->second["cores"].get<double>() > type.cores + 1e-6 ||
                 ram + spec->second["ram_gb"].get<double>() > type.ram_gb + 1e-6 ||
                 cards + spec->second["cards"].get<double>() > type.cards + 1e-6) {
        task.status = "exited";
        task.cause = "full";
      } else {
        const auto image = spec->second["bundle"].get<std::string>();
        const double fetch_s = spec->second["image_gb"].get<double>() / type.pull_gb_per_s;
        task.until = images.try_emplace(image, bench_.now() + fetch_s).first->second;
      }
      tasks.push_back(std::move(task));
    }
  }
}

void Worker::order(net::ConnId id, const net::HttpMessage &message) {
  if (!alive_) return; // a machine that is gone says nothing
  auto reply = [&](int status) { server_->respond(id, status, loftrouter::wire::encode(report())); };
  if (message.target == "/show") return reply(200);
  const auto json = loftrouter::wire::decode(message.body);
  if (!json || !json->contains("baton") || !json->contains("shift")) return reply(400);
  if ((*json)["baton"].get<std::uint64_t>() < baton_ || (*json)["shift"].get<std::uint64_t>() != shift_)
    return reply(409);
  baton_ = (*json)["baton"].get<std::uint64_t>();
  execute((*json)["orders"]);
  reply(200);
}

// ---- Cloud ----

Cloud::Cloud(Bench &bench, int port)
    : left(bench.layout.capacity), bench_(bench), calls_(bench.layout.cloud_rps, 2 * bench.layout.cloud_rps) {
  std::string error;
  auto listener = net::listen_on(*net::parse_address(local(port)), error);
  if (!listener) throw std::runtime_error("cloud: " + error);
  server_ =
      std::make_unique<net::HttpServer>(bench_.loop, std::move(listener), net::HttpServer::Options{},
                                        [this](net::ConnId id, net::HttpMessage &&message) { request(id, message); });
}

std::string Cloud::rent(const std::string &type, const std::string &zone, double boots_in_s) {
  Rented rented{fmt::format("n-{:06}", ++last_), type, zone, "", bench_.now(), bench_.now() + boots_in_s};
  rented_[rented.name] = rented;
  return rented.name;
}

void Cloud::add_running(const std::string &type, const std::string &zone) {
  auto &machine = rented_[rent(type, zone, 0)];
  machine.since = machine.up_at = -600;
}

void Cloud::step() {
  for (auto &[name, machine] : rented_) {
    if (machine.up || bench_.now() < machine.up_at) continue;
    machine.up = true;
    bench_.say(fmt::format("cloud: {} ({} in {}) is up", name, machine.type, machine.zone));
    machine.address = local(bench_.add_worker(name, machine.type, machine.zone)->port);
  }
}

void Cloud::request(net::ConnId id, const net::HttpMessage &message) {
  auto reply = [&](int status, const Json &body) { server_->respond(id, status, loftrouter::wire::encode(body)); };
  const double now = bench_.now();
  if (!calls_.take(now)) return reply(429, {{"error", "too many requests"}});
  const auto path = message.target.substr(0, message.target.find('?'));
  if (path == "/machine_types") {
    Json out = Json::array();
    for (const auto &type : bench_.layout.types)
      out.push_back({{"sku", type.name},
                     {"cores", type.cores},
                     {"cards", type.cards},
                     {"ram_gb", type.ram_gb},
                     {"local_gb", type.local_gb},
                     {"pull_gb_per_s", type.pull_gb_per_s},
                     {"rate", type.rate},
                     {"spot_price", type.spot_price},
                     {"startup_s", type.startup_s},
                     {"yards", type.yards}});
    return reply(200, {{"hulls", std::move(out)}});
  }
  if (path == "/machines" && message.method == "GET") {
    const auto from = query(message.target, "from");
    Json out = Json::array();
    for (const auto &[name, machine] : rented_) {
      if (name <= from || now - machine.since < bench_.layout.list_lag_s) continue;
      const Worker *worker = bench_.worker(name);
      const bool failed = worker && !worker->alive() && now > worker->died_at + 30; // listed as running for about 30 s
      out.push_back({{"id", name},
                     {"address", machine.address.empty() ? Json() : Json(machine.address)},
                     {"hull", machine.type},
                     {"yard", machine.zone},
                     {"standby", false},
                     {"status", failed       ? "failed"
                                : machine.up ? "running"
                                             : "starting"},
                     {"age_s", now - machine.since}});
    }
    return reply(200, {{"boxes", std::move(out)}, {"truncated", false}});
  }
  const auto body = loftrouter::wire::decode(message.body);
  if (!body || !body->is_object()) return reply(400, {{"error", "malformed"}});
  if (path == "/machines/return") {
    for (const auto &name : (*body)["boxes"]) {
      const auto found = rented_.find(name.get<std::string>());
      if (found == rented_.end()) continue;
      bench_.say(fmt::format("cloud: {} is returned", found->first));
      const auto key = found->second.type + "/" + found->second.zone;
      if (Worker *worker = bench_.worker(found->first)) {
        if (worker->alive()) ++left[key];
        worker->die();
      } else {
        ++left[key];
      }
      rented_.erase(found);
    }
    return reply(200, Json::object());
  }
  const auto hire = body->value("hire", std::string());
  if (const auto found = answered_.find(hire); found != answered_.end()) return reply(200, found->second);
  ++hires;
  const auto type = body->value("hull", std::string()), zone = body->value("yard", std::string());
  const int wanted = std::min(50, body->value("number", 0));
  int &available = left[type + "/" + zone];
  const bool spot = body->value("standby", false);
  Json names = Json::array();
  for (int i = 0; i < wanted && !spot && available > 0; ++i, --available)
    names.push_back(rent(type, zone, bench_.layout.boots_in_s));
  bench_.say(fmt::format("cloud: {} asks for {} {} {} in {}; gets {}", hire, wanted, spot ? "spot" : "ordinary", type,
                         zone, names.size()));
  if (names.empty()) return reply(503, {{"error", "no capacity"}});
  answered_[hire] = {{"boxes", names}};
  reply(200, answered_[hire]);
}

// ---- Bench ----

Bench::Bench(Layout l, const std::string &folder)
    : layout(std::move(l)), folder_(folder), began_(net::mono_now()), step_timer_(loop, [this] { step(); }) {
  ::signal(SIGPIPE, SIG_IGN);
  ::signal(SIGTERM, end_all);
  ::signal(SIGINT, end_all);
  ::signal(SIGABRT, end_all);
  record_ = std::fopen((folder_ + "/record.txt").c_str(), "w");
  if (!record_) throw std::runtime_error("record.txt cannot be written");
  std::string name = (std::filesystem::temp_directory_path() / "loft-review-XXXXXX").string();
  if (!::mkdtemp(name.data())) throw std::runtime_error("no temporary folder");
  temporary_ = name;
  std::istringstream words(run_command());
  for (std::string word; words >> word;)
    command_.push_back(word);
  state_port_ = free_port();
  cloud_port_ = free_port();
  for (int i = 0; i < layout.nodes; ++i) {
    api.push_back(free_port());
    peers.push_back(free_port());
    pids_.push_back(0);
  }
  state_ = std::make_unique<loftrouter::scale::StateStandIn>(
      loop, local(state_port_), loftrouter::scale::StateLimits{layout.state_rps, layout.state_write_rps, 8, 8, 0.006});
  cloud = std::make_unique<Cloud>(*this, cloud_port_);
  step_timer_.once(0.02);
}

Bench::~Bench() {
  for (int i = 0; i < layout.nodes; ++i)
    kill(i);
  workers.clear();
  std::error_code ignored;
  std::filesystem::remove_all(temporary_, ignored);
  std::fclose(record_);
}

double Bench::now() const {
  return net::mono_now() - began_;
}

void Bench::say(const std::string &line) {
  const auto text = fmt::format("{:8.3f} {}\n", now(), line);
  std::fputs(text.c_str(), record_);
  std::fflush(record_);
  std::fputs(text.c_str(), stdout);
  std::fflush(stdout);
}

void Bench::step() {
  step_timer_.once(0.02);
  cloud->step();
  for (auto &[name, worker] : workers)
    worker->step();
  gangs();
  watch_waiting();
}

std::string Bench::room_for(const std::string &id) const {
  const Json &spec = jobs.at(id);
  for (const auto &[name, worker] : workers) {
    const bool named = spec["hulls"].is_null() ||
                       std::find(spec["hulls"].begin(), spec["hulls"].end(), worker->type.name) != spec["hulls"].end();
    const bool in_yard = spec["yard"].is_null() || spec["yard"] == worker->zone;
    if (!worker->alive() || worker->sick || !named || !in_yard) continue;
    double cores = worker->type.cores, ram = worker->type.ram_gb, cards = worker->type.cards;
    for (const auto &task : worker->tasks) {
      if (task.status == "exited") continue;
      const Json &need = jobs.at(task.job);
      cores -= need["cores"].get<double>();
      ram -= need["ram_gb"].get<double>();
      cards -= need["cards"].get<double>();
    }
    if (spec["cores"].get<double>() <= cores + 1e-6 && spec["ram_gb"].get<double>() <= ram + 1e-6 &&
        spec["cards"].get<double>() <= cards + 1e-6)
      return name;
  }
  return {};
}

void Bench::watch_waiting() {
  for (auto &[id, waiting] : waiting_) {
    const auto pieces = jobs[id]["pieces"].get<int>();
    int running = 0, here = 0;
    for (const auto &[name, worker] : workers)
      for (const auto &task : worker->tasks) {
        running += task.job == id && task.status == "running";
        here += task.job == id && task.status != "exited";
      }
    const int ended = done(id);
    const bool waits = ended < pieces && (waiting.whole ? running == 0 : here + ended < pieces);
    if (!waits || room_for(id).empty()) {
      waiting.since = -1;
    } else {
      if (waiting.since < 0) waiting.since = now();
      waiting.longest = std::max(waiting.longest, now() - waiting.since);
    }
  }
}

double Bench::longest_wait_beside_room(const std::string &id, bool whole) {
  waiting_[id].whole = whole;
  return waiting_[id].longest;
}

// Tasks of a gang find one another by attempt number.
void Bench::gangs() {
  std::map<std::pair<std::string, std::uint64_t>, std::vector<std::pair<Worker *, Task *>>> gangs;
  for (auto &[name, worker] : workers)
    for (auto &task : worker->tasks)
      if (jobs[task.job]["shape"] == "gang" && task.status != "pulling" && task.status != "exited")
        gangs[{task.job, task.attempt}].emplace_back(worker.get(), &task);
  for (auto &[key, members] : gangs) {
    const auto pieces = jobs[key.first]["pieces"].get<std::size_t>();
    const bool complete = members.size() == pieces;
    const bool running =
        std::any_of(members.begin(), members.end(), [](auto &m) { return m.second->status == "running"; });
    for (auto &[worker, task] : members) {
      if (!running && complete) {
        task->status = "running";
        task->until = now() + run_s[key.first];
        worker->changed = true;
      } else if (!running && now() - task->since > layout.gang_wait_s) {
        worker->exit(*task, "alone");
      } else if (running && !complete) {
        task->until = std::min(task->until, now() + layout.gang_peer_s / 2);
        if (now() >= task->until) worker->exit(*task, "mates_gone");
      } else if (running && now() >= task->until) {
        for (auto &[other, mate] : members)
          other->exit(*mate, "done");
        break;
      }
    }
  }
}

void Bench::start(int node) {
  Json siblings = Json::array();
  auto proxied = [&](const std::string &name, int target) {
    if (!layout.proxies) return target;
    auto &proxy = proxies_[name];
    static std::map<std::string, int> ports;
    if (!proxy) proxy = std::make_unique<Proxy>(loop, ports[name] = free_port(), target);
    return ports[name];
  };
  const auto own = std::to_string(node);
  for (int i = 0; i < layout.nodes; ++i)
    if (i != node)
      siblings.push_back({{"node_name", "roost-" + std::to_string(i)},
                          {"site", layout.zones[0]},
                          {"address", local(proxied(own + ">" + std::to_string(i), peers[i]))}});
  Json teams = Json::array();
  for (const auto &name : layout.teams)
    teams.push_back({{"name", name},
                     {"cpus", 0.0},
                     {"cpus_max", layout.cpus_max.contains(name) ? layout.cpus_max.at(name) : 0.0},
                     {"gpus", 0.0},
                     {"gpus_max", 0.0}});
  const Json settings = {
      {"node_name", "roost-" + own},
      {"site", layout.zones[0]},
      {"api_addr", local(api[node])},
      {"peer_listen", local(peers[node])},
      {"siblings", siblings},
      {"outside", {{"cloud", local(cloud_port_)}, {"state", local(proxied(own + ">state", state_port_))}}},
      {"settings",
       {{"size", layout.nodes},
        {"zones", layout.zones},
        {"teams", teams},
        {"objectives", Json::array()},
        {"workers",
         {{"report_s", layout.report_s},
          {"lease_s", layout.lease_s},
          {"gang_wait_s", layout.gang_wait_s},
          {"gang_peer_s", layout.gang_peer_s},
          {"cancel_s", layout.cancel_s}}},
        {"state",
         {{"rps", layout.state_rps}, {"write_rps", layout.state_write_rps}, {"value_kb", 8.0}, {"txn_ops", 8}}},
        {"cloud", {{"rps", layout.cloud_rps}, {"list_lag_s", layout.list_lag_s}}},
        {"limits", {{"cpu_share", 0.08}, {"memory_mb", 56.0}, {"fd_limit", 700}}},
        {"time_bound_ms", 5.0}}}};
  const auto path = temporary_ + "/roost-" + own + ".json";
  std::ofstream(path) << settings;
  auto words = command_;
  words.push_back(path);
  std::vector<char *> argv;
  for (auto &word : words)
    argv.push_back(word.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const char *keep = std::getenv("REVIEW_LOGS");
  const auto log = (keep ? std::string(keep) : temporary_) + "/roost-" + own + ".log";
  posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (::posix_spawn(&pids_[node], argv[0], &actions, nullptr, argv.data(), environ) != 0) {
    pids_[node] = 0;
    throw std::runtime_error("the controller cannot be started; is it built?");
  }
  posix_spawn_file_actions_destroy(&actions);
  started_pids[node] = pids_[node];
  say(fmt::format("roost-{}: started", node));
}

void Bench::start() {
  for (int i = 0; i < layout.nodes; ++i)
    start(i);
  const bool up = until(20, [&] {
    for (int i = 0; i < layout.nodes; ++i)
      if (call(i, "GET", "/up", nullptr, 1).status != 200) return false;
    return leader() >= 0;
  });
  if (!up) throw std::runtime_error("the controllers do not answer");
  say("all controllers are up");
}

void Bench::kill(int node) {
  if (pids_[node] <= 0) return;
  ::kill(pids_[node], SIGKILL);
  ::waitpid(pids_[node], nullptr, 0);
  pids_[node] = started_pids[node] = 0;
  say(fmt::format("roost-{}: killed", node));
}

void Bench::signal(int node, int number) {
  ::kill(pids_[node], number);
  say(fmt::format("roost-{}: signal {}", node, number));
}

void Bench::cut(int node, bool yes) {
  const auto own = std::to_string(node);
  for (auto &[name, proxy] : proxies_)
    if (name.starts_with(own + ">") || name.ends_with(">" + own)) proxy->cut(yes);
  say(fmt::format("roost-{}: {} the state service and the other controllers", node,
                  yes ? "cut off from" : "no longer cut off from"));
}

int Bench::leader() {
  for (int i = 0; i < layout.nodes; ++i) {
    if (pids_[i] <= 0) continue;
    loftrouter::wire::Json status;
    bool over = false;
    net::HttpClient client(loop, *net::parse_address(local(api[i])), {});
    client.request("GET", "/admin/v1/status", "", 1.0, [&](int code, std::string &&body) {
      if (code == 200) status = Json::parse(body, nullptr, false);
      over = true;
    });
    until(2, [&] { return over; });
    if (status.is_object() && status.contains("leader") && status["leader"]["node"].is_string()) {
      const auto name = status["leader"]["node"].get<std::string>();
      return std::stoi(name.substr(name.rfind('-') + 1));
    }
  }
  return -1;
}

void Bench::wait(double seconds) {
  until(seconds, [] { return false; });
}

bool Bench::until(double seconds, const std::function<bool()> &condition) {
  const double end = now() + seconds;
  for (;;) {
    if (condition()) return true;
    if (now() >= end) return false;
    net::Timer timer(loop, [this] { loop.stop(); });
    timer.once(0.02);
    loop.run();
  }
}

Answer Bench::call(int node, const std::string &method, const std::string &target, const Json *body,
                   double deadline_s) {
  Answer answer;
  bool over = false;
  {
    net::HttpClient client(loop, *net::parse_address(local(api[node])), {});
    client.request(method, target, body ? loftrouter::wire::encode(*body) : std::string(), deadline_s,
                   [&](int status, std::string &&bytes) {
                     answer.status = status;
                     answer.body = loftrouter::wire::decode(bytes).value_or(Json::object());
                     over = true;
                   });
    until(deadline_s + 1, [&] { return over; });
  }
  return answer;
}

int Bench::submit(const Json &job, int first_node) {
  const auto id = job["id"].get<std::string>();
  jobs[id] = job; // users upload the description
  const double end = now() + 60;
  for (int node = first_node; now() < end; node = (node + 1) % layout.nodes) {
    const auto answer = call(node, "POST", "/api/jobs", &job);
    say(fmt::format("user: POST /api/jobs {} at roost-{}: {} {}", id, node, answer.status, answer.body.dump()));
    if (answer.status == 200 || answer.status == 201 || answer.status == 400 || answer.status == 422)
      return answer.status;
    wait(1);
  }
  return 0;
}

int Bench::abort(const std::string &id, int first_node) {
  const double end = now() + 60;
  for (int node = first_node; now() < end; node = (node + 1) % layout.nodes) {
    const auto answer = call(node, "POST", "/api/jobs/" + id + "/abort");
    say(fmt::format("user: POST /api/jobs/{}/abort at roost-{}: {} {}", id, node, answer.status, answer.body.dump()));
    if (answer.status == 200) return 200;
    wait(1);
  }
  return 0;
}

Answer Bench::look(const std::string &id, int node) {
  const auto answer = call(node, "GET", "/api/jobs/" + id, nullptr, 2);
  say(fmt::format("user: GET /api/jobs/{} at roost-{}: {} {}", id, node, answer.status, answer.body.dump()));
  return answer;
}

Worker *Bench::add_worker(const std::string &name, const std::string &t, const std::string &zone) {
  auto &worker = workers[name];
  worker = std::make_unique<Worker>(*this, name, type(t), zone);
  return worker.get();
}

const Type &Bench::type(const std::string &name) const {
  return *std::find_if(layout.types.begin(), layout.types.end(), [&](const Type &t) { return t.name == name; });
}

Worker *Bench::worker(const std::string &name) {
  const auto found = workers.find(name);
  return found == workers.end() ? nullptr : found->second.get();
}

int Bench::on_machines(const std::string &id) const {
  int count = 0;
  for (const auto &[name, worker] : workers)
    for (const auto &task : worker->tasks)
      count += task.job == id && task.on_machine();
  return count;
}

int Bench::done(const std::string &id) const {
  return static_cast<int>(
      std::count_if(results.begin(), results.end(), [&](const std::string &piece) { return job_of(piece) == id; }));
}

void Bench::started(const Worker &worker, const Task &task) {
  starts.emplace_back(now(), task.piece);
  if (jobs[task.job]["pieces"].get<int>() <= 64)
    say(fmt::format("worker {} ({} in {}): {} try {} is on the machine", worker.name, worker.type.name, worker.zone,
                    task.piece, task.attempt));
}

bool Bench::exited(const Worker &worker, const Task &task) {
  if (jobs[task.job]["pieces"].get<int>() <= 64)
    say(fmt::format("worker {}: {} try {} has exited: {}", worker.name, task.piece, task.attempt, task.cause));
  return true;
}

} // namespace review
