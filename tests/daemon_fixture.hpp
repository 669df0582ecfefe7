// Three controllers as real processes on loopback, with stand-ins for the state service and the cloud.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../bench/scale/stand_in_cloud.hpp"
#include "../bench/scale/stand_in_state.hpp"
#include "free_port.hpp"
#include "loftrouter/net/client.hpp"
#include "loftrouter/net/server.hpp"
#include "loftrouter/wire/cbor.hpp"

extern char **environ;

namespace loftrouter::test {

using nlohmann::json;

inline std::string local(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

inline std::vector<MachineType> one_type() {
  return {{"big", {8, 0, 32}, 50, 1, 1, 0.5, 10, {"a"}}};
}

// The state service and the cloud in a thread of their own. The cloud has no machines to give.
class StandIns {
public:
  const int state_port = free_port(), cloud_port = free_port();

  StandIns()
      : state_(loop_, local(state_port), {}), cloud_(loop_, local(cloud_port), {}, one_type(), [](auto &&...) {}),
        watch_stop_(loop_, [this] { watch_stop(); }) {
    watch_stop();
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~StandIns() {
    stop_ = true;
    thread_.join();
  }

private:
  void watch_stop() {
    if (stop_) return loop_.stop();
    watch_stop_.once(0.02);
  }

  net::Loop loop_;
  scale::StateStandIn state_;
  scale::CloudStandIn cloud_;
  net::Timer watch_stop_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

struct Answer {
  int status = 0;
  std::string body;
  json cbor() const { return wire::decode(body).value_or(json::object()); }
};

inline Answer call(int port, const std::string &method, const std::string &target, const std::string &body = "") {
  net::Loop loop;
  Answer out;
  net::HttpClient client(loop, *net::parse_address(local(port)), {});
  client.request(method, target, body, 10, [&](int status, std::string &&text) {
    out = {status, std::move(text)};
    loop.stop();
  });
  loop.run();
  return out;
}

// Sends bytes on a connection of its own, as far as the other side takes them, and waits for it to close the
// connection, for a second at most.
inline void send_bytes(int port, std::string_view bytes) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  const net::Fd connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const timeval limit{1, 0};
  ::setsockopt(connection.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ::setsockopt(connection.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (::connect(connection.get(), reinterpret_cast<sockaddr *>(&to), sizeof to) != 0) return;
  char answer = 0;
  if (::send(connection.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0)
    while (::recv(connection.get(), &answer, 1, 0) > 0) {
    }
}

// Until it holds; the limit is there only so that a broken build ends.
template <class Fn> bool eventually(Fn fn) {
  for (int i = 0; i < 600; ++i) {
    if (fn()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

class Daemons {
public:
  explicit Daemons(const StandIns &outside, const std::string &cell = "", double lease_s = 60)
      : dir_(std::filesystem::temp_directory_path() / ("loft-" + std::to_string(::getpid()) + cell)),
        features_(FEATURES) {
    std::filesystem::create_directories(dir_);
    for (int i = 0; i < 3; ++i) {
      api[i] = free_port();
      peers[i] = free_port();
    }
    for (int i = 0; i < 3; ++i) {
      json replicas = json::array();
      for (int k = 0; k < 3; ++k)
        if (k != i) replicas.push_back({{"node_name", name(k)}, {"site", "a"}, {"address", local(peers[k])}});
      json team = {{"name", "red"}, {"cpus", 0.0}, {"cpus_max", 0.0}, {"gpus", 0.0}, {"gpus_max", 0.0}};
      json s = {{"node_name", name(i)},
                {"site", "a"},
                {"api_addr", local(api[i])},
                {"peer_listen", local(peers[i])},
                {"siblings", replicas},
                {"outside", {{"cloud", local(outside.cloud_port)}, {"state", local(outside.state_port)}}},
                {"settings",
                 {{"size", 3},
                  {"zones", {"a"}},
                  {"teams", {team}},
                  {"objectives", json::array()},
                  {"workers",
                   {{"report_s", 1.0},
                    {"lease_s", lease_s},
                    {"gang_wait_s", 30.0},
                    {"gang_peer_s", 4.0},
                    {"cancel_s", lease_s + 30}}},
                  {"state", {{"rps", 250.0}, {"write_rps", 50.0}, {"value_kb", 8.0}, {"txn_ops", 8}}},
                  {"cloud", {{"rps", 5.0}, {"list_lag_s", 3.0}}},
                  {"limits", {{"cpu_share", 1.0}, {"memory_mb", 512.0}, {"fd_limit", 700}}},
                  {"time_bound_ms", 5.0}}}};
      std::ofstream(file(i)) << s;
    }
    if (cell.empty()) start_all();
  }
  // As one cell of two.
  void start_as(const std::string &name, const std::string &other, const Daemons &there) {
    features_ = (dir_ / "cells.toml").string();
    std::ofstream out(features_);
    out << "[accounts]\nenabled = true\n[cells]\nname = \"" << name << "\"\n[[cells.other]]\nname = \"" << other
        << "\"\nnodes = [";
    for (int port : there.peers)
      out << '"' << local(port) << "\", ";
    out << "]\n";
    out.close();
    start_all();
  }
  void start_all() {
    for (int i = 0; i < 3; ++i)
      start(i);
  }
  void stand_still(bool still) {
    for (pid_t p : pid_)
      if (p > 0) ::kill(p, still ? SIGSTOP : SIGCONT);
  }
  ~Daemons() {
    for (int i = 0; i < 3; ++i)
      kill(i);
    std::filesystem::remove_all(dir_);
  }
  void start(int i) {
    std::string program = LOFTROUTERD, option = "--config", path = file(i), features = "--features=" + features_;
    char *argv[] = {program.data(), option.data(), path.data(), features.data(), nullptr};
    std::string run_records = "RUNTIME_DIRECTORY=" + dir_.string();
    std::vector<char *> environment{run_records.data()};
    for (char **variable = environ; *variable; ++variable)
      environment.push_back(*variable);
    environment.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file(i).c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                       0600);
    EXPECT_EQ(::posix_spawn(&pid_[i], program.c_str(), &actions, nullptr, argv, environment.data()), 0);
    ::posix_spawn_file_actions_destroy(&actions);
  }
  // All that the processes of this controller have logged.
  std::string log(int i) const {
    std::ifstream in(log_file(i));
    return {std::istreambuf_iterator<char>(in), {}};
  }
  bool running(int i) const { return pid_[i] > 0 && ::waitpid(pid_[i], nullptr, WNOHANG) == 0; }
  // Sends the signal and waits for the end; the signal that ended the process, or 0.
  int end_by(int i, int signal) {
    int status = 0;
    ::kill(pid_[i], signal);
    ::waitpid(pid_[i], &status, 0);
    pid_[i] = 0;
    return WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  }
  void kill(int i) {
    if (pid_[i] <= 0) return;
    ::kill(pid_[i], SIGKILL);
    ::waitpid(pid_[i], nullptr, 0);
    pid_[i] = 0;
  }
  static std::string name(int i) { return "node-" + std::to_string(i); }
  int leader(int asked) const {
    auto s = json::parse(call(api[asked], "GET", "/admin/v1/status").body, nullptr, false);
    if (!s.is_object() || !s["leader"]["node"].is_string()) return -1;
    return s["leader"]["node"].get<std::string>().back() - '0';
  }
  int api[3] = {}, peers[3] = {};

private:
  std::string file(int i) const { return (dir_ / (name(i) + ".json")).string(); }
  std::string log_file(int i) const { return (dir_ / (name(i) + ".log")).string(); }
  std::filesystem::path dir_;
  std::string features_;
  pid_t pid_[3] = {};
};

inline std::string job(const std::string &id, const std::string &team = "red") {
  return wire::encode(
      {{"id", id},        {"jobclass", "c"},  {"crew", team},      {"shape", "array"},  {"urgency", "normal"},
       {"pieces", 1},     {"cores", 1.0},     {"cards", 0.0},      {"ram_gb", 1.0},     {"bundle", "img"},
       {"image_gb", 1.0}, {"hulls", nullptr}, {"yard", nullptr},   {"one_zone", false}, {"apart", false},
       {"standby", true}, {"guess_s", 10.0},  {"bookmark_s", 0.0}, {"stash_s", 0.0},    {"due_s", nullptr}});
}

} // namespace loftrouter::test
