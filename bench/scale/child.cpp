#include "child.hpp"

#include <csignal>
#include <cstdio>

#include <fmt/format.h>
#include <unistd.h>

#include "hollow_users.hpp"
#include "stand_in_cloud.hpp"
#include "stand_in_state.hpp"

namespace loftrouter::scale {

namespace {

// The state service and the cloud of a region.
//
// Lines to the runner:   up MACHINE | down MACHINE   rented and booted; returned
//                        count NAME VALUE ...
// Lines from the runner: running WORKER | spare WORKER | fail WORKER
class Outside {
public:
  Outside(net::Loop &loop, LineChannel &runner, const Scenario &s, const Workload &workload, const Layout &layout,
          int region)
      : runner_(runner), workload_(workload), state_(loop, layout.state(region),
                                                     {s.state_requests_per_s, s.state_changes_per_s, s.state_value_kb,
                                                      s.state_transaction_changes, s.state_latency_s}),
        cloud_(loop, layout.cloud(region), {s.cloud_requests_per_s, s.cloud_list_lag_s}, machine_types(s, region),
               [this](const std::string &machine, bool up) {
                 runner_.send(fmt::format("{} {}", up ? "up" : "down", std::stoi(machine.substr(2))));
               }),
        count_(loop, [this] { tell_counters(); }) {
    count_.once(1);
  }

  void on_line(std::string_view line) {
    const auto space = line.find(' ');
    if (space == std::string_view::npos) return;
    const auto place = workload_.worker(std::stoi(std::string(line.substr(space + 1))));
    const CloudStandIn::Machine machine{place.name, place.address, place.type->name, place.zone_name};
    const auto verb = line.substr(0, space);
    if (verb == "running") cloud_.add_running(machine);
    if (verb == "spare") cloud_.add_spare(machine);
    if (verb == "fail") cloud_.fail(machine.name);
  }

private:
  void tell_counters() {
    const auto &s = state_.counters();
    const auto &c = cloud_.counters();
    runner_.send(fmt::format("count state_requests {} state_changes {} refused_requests {} refused_changes {} "
                             "too_large {} state_bytes_in {} state_bytes_out {} keys {} value_bytes {} "
                             "cloud_requests {} cloud_refused {} rented {} returned {}",
                             s.requests, s.changes, s.refused_requests, s.refused_changes, s.too_large, s.bytes_in,
                             s.bytes_out, s.keys, s.value_bytes, c.requests, c.refused, c.rented, c.returned));
    count_.once(1);
  }

  LineChannel &runner_;
  const Workload &workload_;
  StateStandIn state_;
  CloudStandIn cloud_;
  net::Timer count_;
};

// Runs the loop with a channel to the runner, whose lines go to `part`, which `make` builds.
template <class Make> void serve(net::Loop &loop, Make make) {
  std::function<void(std::string_view)> take = [](std::string_view) {};
  LineChannel runner(
      loop, STDIN_FILENO, STDOUT_FILENO, [&take](std::string_view line) { take(line); }, [&loop] { loop.stop(); });
  LagMeter lag(loop, runner);
  auto part = make(runner);
  take = [&part](std::string_view line) { part->on_line(line); };
  loop.run();
}

} // namespace

int run_child(ChildRole role, int region, const RunOptions &options) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const Scenario scenario = scenario_of(options);
    const Layout layout{options.base_port};
    const Workload workload(scenario, options.seed, layout.worker_port());
    net::Loop loop;
    switch (role) {
    case ChildRole::Outside:
      serve(loop, [&](LineChannel &runner) {
        return std::make_unique<Outside>(loop, runner, scenario, workload, layout, region);
      });
      break;
    case ChildRole::Workers:
      serve(loop, [&](LineChannel &runner) {
        const auto controllers = layout.controllers(scenario)[static_cast<std::size_t>(region)];
        return std::make_unique<HollowWorkers>(loop, runner, scenario, workload, controllers, options.seed);
      });
      break;
    case ChildRole::Users:
      serve(loop, [&](LineChannel &runner) {
        return std::make_unique<HollowUsers>(loop, runner, scenario, workload, layout.controllers(scenario),
                                             options.seed);
      });
      break;
    case ChildRole::Links:
      serve(loop, [&](LineChannel &runner) { return std::make_unique<Links>(loop, runner, layout.links(scenario)); });
      break;
    }
  } catch (const std::exception &e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 1;
  }
  return 0;
}

} // namespace loftrouter::scale
