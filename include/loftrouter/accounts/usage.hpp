// What work has used, in whole numbers, so that sums are exact to the last digit.
//
// A job's `Usage` is in milliseconds of places held: a place is held from when the start of a task was sent until its
// worker, or the proof that the machine is gone, has given it back. All of a job's tasks need the same, so CPU, memory
// and GPU follow by multiplication; `Sums` are these products and can be added over jobs. Pure.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace loftrouter {
struct Resources;
}

namespace loftrouter::accounts {

enum Column : std::uint8_t {
  Useful,    // running, by attempts that completed
  Fetch,     // from the start sent to running, or to the wait for a gang
  Wait,      // for the other tasks of a gang
  Lost,      // running, by attempts that did not complete: failed, stopped, or their machine gone
  Unsorted,  // held when a leader last wrote that has since ended: how it went on is not known
  Uncertain, // at most: what may have been held after such a leader's last record
  Attempts,
  Retries, // attempts that did not complete
  Cost,    // millionths of the cloud's unit: the task's largest share of its machine, by the machine's price
  kUsageColumns,
  Memory = kUsageColumns, // sums only, as `Gpu`
  Gpu,
  kSumColumns
};

template <std::size_t N> struct Row {
  std::array<std::int64_t, N> v{};
  std::int64_t &operator[](std::size_t c) { return v[c]; }
  std::int64_t operator[](std::size_t c) const { return v[c]; }
  Row &operator+=(const Row &o) {
    for (std::size_t c = 0; c < N; ++c)
      v[c] += o.v[c];
    return *this;
  }
  Row operator-(const Row &o) const {
    Row out = *this;
    for (std::size_t c = 0; c < N; ++c)
      out.v[c] -= o.v[c];
    return out;
  }
  bool operator==(const Row &) const = default;
  bool none() const { return *this == Row{}; }
  // Time in all, the uncertain part included.
  std::int64_t held() const { return v[Useful] + v[Fetch] + v[Wait] + v[Lost] + v[Unsorted] + v[Uncertain]; }
};
using Usage = Row<kUsageColumns>; // ms
using Sums = Row<kSumColumns>;    // thousandths of a CPU (GPU, GB) times ms

Sums sums_of(const Usage &usage, const Resources &need);
constexpr double kSumsAnHour = 1000.0 * 3'600'000.0; // CPU hours are sums divided by this

// Numbers to base 36, joined by points, zeros at the end left out.
template <std::size_t N> std::string pack(const Row<N> &row);
template <std::size_t N> std::optional<Row<N>> unpack(std::string_view text);

} // namespace loftrouter::accounts
