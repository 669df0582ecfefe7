// Accounting periods: days or weeks that start at a local time of day. The UTC offset is fixed; operators change it for
// daylight saving time.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace loftrouter::accounts {

// Divides time into consecutive periods. Wall-clock times are seconds since 1970 UTC.
struct PeriodSchedule {
  int starts_min = 0;  // time of day at which a period starts: minute of the local day, 0 to 1439
  int offset_min = 0;  // local time minus UTC, in minutes, -840 to 840
  bool weekly = false; // weeks starting on Monday; otherwise days
  bool operator==(const PeriodSchedule &) const = default;

  // Start of the period that contains `wall`.
  [[nodiscard]] double begin(double wall) const;
  // Start of the next period.
  [[nodiscard]] double end(double wall) const;
  // Name of the period: the local date on which it starts, such as 2026-12-01. Names sort chronologically.
  [[nodiscard]] std::string name(double wall) const;
};

// Parses a time of day such as "20:00" as a minute of the day.
std::optional<int> parse_minute(std::string_view text);
// Parses a UTC offset such as "+05:30", between -14:00 and +14:00, as minutes.
std::optional<int> parse_offset(std::string_view text);
std::string format_minute(int minute);
std::string format_offset(int minutes);

} // namespace loftrouter::accounts
