// Resource usage accounting in integers, so that sums are exact.
//
// A job's `Usage` is in milliseconds of allocation time: from when the start of a task is sent until its worker reports
// its end, or its machine or lease is known to be gone. All tasks of a job need the same resources, so CPU, memory and
// GPU time follow by multiplication; `Sums` are these products and can be added over jobs. The order of columns is part
// of the stored format: new columns are appended to each group.
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
  Useful,     // run time of attempts that completed
  Fetch,      // from sending the start until running or waiting for the gang
  Wait,       // waiting for the other tasks of the gang
  Lost,       // run time of attempts that did not complete: failed, stopped, or lost with their machine
  Unresolved, // in progress at the last record of a former leader; the outcome is unknown
  Uncertain,  // upper bound of the time held after a former leader's last record
  Attempts,
  Retries, // attempts that did not complete
  Cost,    // millionths of the cloud's currency: the largest fraction of a machine's resources, times its price
  kUsageColumns,
  Memory = kUsageColumns, // Memory and Gpu exist in `Sums` only
  Gpu,
  kSumColumns
};

// One number per column.
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

  [[nodiscard]] bool all_zero() const { return *this == Row{}; }
  // Total time of all allocations, including the uncertain part.
  [[nodiscard]] std::int64_t held() const {
    return values[Useful] + values[Fetch] + values[Wait] + values[Lost] + values[Unresolved] + values[Uncertain];
  }
};
using Usage = Row<kUsageColumns>; // ms
using Sums = Row<kSumColumns>;    // thousandths of a CPU (GPU, GB) times ms

// Converts the usage of a job's tasks, each of which needs `need`.
Sums sums_of(const Usage &usage, const Resources &need);
constexpr double kSumsPerHour = 1000.0 * 3'600'000.0; // divisor from sums to CPU, GPU or GB hours

// Encodes a row for storage: base-36 numbers joined by dots, without trailing zeros.
template <std::size_t Columns> std::string pack(const Row<Columns> &row);
// Decodes a stored row. Fails if the text is malformed, has too many numbers, or one is negative or too large.
template <std::size_t Columns> std::optional<Row<Columns>> unpack(std::string_view text);

} // namespace loftrouter::accounts
