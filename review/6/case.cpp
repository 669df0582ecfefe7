#include <cstdio>
#include <exception>

#include <fmt/format.h>

#include "layouts.hpp"

using namespace review;

// Two machines fail for a while what is started on them. The service whose replicas they failed runs on with one; once
// the machines are well again, and another one with room is up, are the other two replicas started?
int main(int, char **argv) try {
  Bench bench(hobart_grown(), argv[1]);
  bench.start();
  bench.run_s["j-000002"] = 300;
  if (bench.submit(job("j-000001", "clientcare",
                       {{"shape", "service"}, {"pieces", 3}, {"cores", 4.0}, {"ram_gb", 4.0}, {"guess_s", 0.0}})) !=
      201)
    return 2;
  if (!bench.until(20, [&] { return bench.workers.size() == 3; })) return 2;
  if (trouble()) {
    int sick = 0;
    for (auto &[name, worker] : bench.workers)
      if (sick++ < 2) {
        worker->sick = true;
        bench.say("worker " + name + " fails every task that it starts from now on");
      }
  }
  if (!bench.until(20, [&] { return bench.on_machines("j-000001") >= (trouble() ? 1 : 3); })) return 2;
  bench.wait(2);
  for (auto &[name, worker] : bench.workers)
    worker->sick = false;
  bench.say("no machine fails tasks any more");
  if (bench.submit(job("j-000002", "frontcounter", {{"hulls", {"quoll"}}, {"guess_s", 300.0}})) != 201) return 2;
  if (!bench.until(10, [&] { return bench.on_machines("j-000002") == 1; })) return 2;
  bench.longest_wait_beside_room("j-000001", false); // counted from here
  bench.until(watch_s(91), [&] { return bench.on_machines("j-000001") == 3; });
  bench.look("j-000001");
  bench.say(fmt::format("{} of 3 replicas run; the others have waited for {:.1f} s beside a machine with room ({})",
                        bench.on_machines("j-000001"), bench.longest_wait_beside_room("j-000001", false),
                        bench.room_for("j-000001")));
  return bench.longest_wait_beside_room("j-000001", false) > 90 ? 1 : 0;
} catch (const std::exception &e) {
  std::fprintf(stderr, "%s\n", e.what());
  return 2;
}
