// What work has used, in whole numbers, so that sums are exact to the last digit. Pure functions and plain data.
//
// A job's `Usage` is in milliseconds of places held: a place is held from when the start of a task was sent until its
// worker has reported its end, or it is proved that its machine or lease is gone. All of a job's tasks need the same
// resources, so CPU, memory and GPU time follow by multiplication; `Sums` are these products and can be added over
// jobs. The order of columns is part of the stored format: new ones are added at the end of each kind.
#pragma once

#include <array>
#include <cstddef>
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
  Memory = kUsageColumns, // of sums only, as `Gpu`
  Gpu,
  kSumColumns
};

// A row of an account, with one number a column.
template <std::size_t Columns> struct Row {
  std::array<std::int64_t, Columns> values{};

  std::int64_t &operator[](std::size_t column) { return values[column]; }
  std::int64_t operator[](std::size_t column) const { return values[column]; }
  Row &operator+=(const Row &other) {
    for (std::size_t column = 0; column < Columns; ++column)
      values[column] += other[column];
    return *this;
  }
  Row operator-(const Row &other) const {
    Row difference = *this;
    for (std::size_t column = 0; column < Columns; ++column)
      difference[column] -= other[column];
    return difference;
  }
  bool operator==(const Row &) const = default;

  // Whether all columns are 0.
  [[nodiscard]] bool all_zero() const { return *this == Row{}; }
  // Time in all, the uncertain part included.
  [[nodiscard]] std::int64_t held() const {
    return values[Useful] + values[Fetch] + values[Wait] + values[Lost] + values[Unsorted] + values[Uncertain];
  }
};
using Usage = Row<kUsageColumns>; // ms
using Sums = Row<kSumColumns>;    // thousandths of a CPU (GPU, GB) times ms

// What the tasks of a job have used, each of which needs `need`.
Sums sums_of(const Usage &usage, const Resources &need);
constexpr double kSumsPerHour = 1000.0 * 3'600'000.0; // CPU hours are sums divided by this

// The stored form: numbers to base 36, joined by points, zeros at the end left out.
template <std::size_t Columns> std::string pack(const Row<Columns> &row);
// The reverse; nothing if the text is not in this form, has too many numbers, or one that is negative or too large.
template <std::size_t Columns> std::optional<Row<Columns>> unpack(std::string_view text);

} // namespace loftrouter::accounts
