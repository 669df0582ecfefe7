#include <cstdio>
#include <exception>

#include <fmt/format.h>

#include "layouts.hpp"

using namespace review;

// A team is at its limit and has more work waiting. Another team, without a limit, has work of low priority: is it left
// waiting although there are machines with room for it? TROUBLE=0: no team has a limit.
int main(int, char **argv) try {
  auto layout = hobart();
  if (trouble()) layout.cpus_max["backoffice"] = 4;
  Bench bench(layout, argv[1]);
  bench.start();
  bench.run_s["j-000001"] = 30;
  bench.run_s["j-000002"] = 2;
  if (bench.submit(job("j-000001", "frontcounter",
                       {{"pieces", 8},
                        {"urgency", "low"},
                        {"guess_s", 30.0},
                        {"due_s", 60.0},
                        {"bundle", "img-02"},
                        {"image_gb", 1.2}})) != 201)
    return 2;
  if (!bench.until(20, [&] { return bench.on_machines("j-000001") == 8; })) return 2;
  bench.longest_wait_beside_room("j-000001", true); // counted from here
  if (bench.submit(
          job("j-000002", "backoffice", {{"pieces", 200}, {"cores", 4.0}, {"ram_gb", 4.0}, {"guess_s", 2.0}})) != 201)
    return 2;
  bench.until(watch_s(104),
              [&] { return bench.done("j-000001") == 8 || bench.longest_wait_beside_room("j-000001", true) > 90; });
  int up = 0, idle = 0;
  for (const auto &[name, worker] : bench.workers)
    if (worker->alive()) {
      ++up;
      idle += worker->tasks.empty();
    }
  bench.say(
      fmt::format("{} machines are up, {} of them idle; tasks of j-000001: {} done, {} on a machine; it has waited for "
                  "{:.1f} s beside a machine with room ({})",
                  up, idle, bench.done("j-000001"), bench.on_machines("j-000001"),
                  bench.longest_wait_beside_room("j-000001", true), bench.room_for("j-000001")));
  bench.look("j-000001");
  bench.look("j-000002");
  return bench.longest_wait_beside_room("j-000001", true) > 90 ? 1 : 0;
} catch (const std::exception &e) {
  std::fprintf(stderr, "%s\n", e.what());
  return 2;
}
