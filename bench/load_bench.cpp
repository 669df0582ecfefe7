// Cost of what a leader does, by kind and by the number of machines. Seconds depend on the machine they are
// measured on: compare rows of one run (docs/fleet-scale.md).
#include <benchmark/benchmark.h>

#include <memory>

#include "load.hpp"

namespace {

using loftrouter::bench::Load;

Load &load(std::int64_t machines) { // filling takes long: kept from one benchmark to the next
  static std::map<std::int64_t, std::unique_ptr<Load>> all;
  auto &l = all[machines];
  if (!l) l = std::make_unique<Load>(static_cast<int>(machines));
  return *l;
}

void report_decoded(benchmark::State &s) {
  const auto bytes = load(s.range(0)).report_bytes(3);
  for (auto _ : s)
    benchmark::DoNotOptimize(loftrouter::wire::decode_heartbeat(bytes));
}
void report_answered(benchmark::State &s) { // nothing new in it
  auto &l = load(s.range(0));
  int m = 0;
  for (auto _ : s) {
    s.PauseTiming();
    const auto bytes = l.report_bytes(m);
    m = (m + 1) % static_cast<int>(s.range(0));
    s.ResumeTiming();
    benchmark::DoNotOptimize(l.answer(bytes));
  }
}
void accept(benchmark::State &s) {
  auto &l = load(s.range(0));
  for (auto _ : s)
    benchmark::DoNotOptimize(l.submit());
}
void tenth_of_a_second(benchmark::State &s) { // ticks, rounds, records, digests, renting and all reports due
  auto &l = load(s.range(0));
  const auto before = l.reports, started = l.starts;
  for (auto _ : s)
    l.step();
  const auto n = static_cast<double>(s.iterations());
  s.counters["reports"] = static_cast<double>(l.reports - before) / n;
  s.counters["starts"] = static_cast<double>(l.starts - started) / n;
}

#define SIZES ->Arg(500)->Arg(1250)->Arg(2500)->Arg(5000)
BENCHMARK(report_decoded)->Arg(1250)->Iterations(100000);
BENCHMARK(report_answered) SIZES->Iterations(400);
BENCHMARK(tenth_of_a_second) SIZES->Iterations(600)->Unit(benchmark::kMicrosecond);
BENCHMARK(accept)->Arg(1250)->Iterations(200);

} // namespace

BENCHMARK_MAIN();
