// Accounting periods: days or weeks that begin at a time of day, at a fixed distance from UTC. Pure functions of the
// wall clock, without state. There is no daylight saving: an operator who has it changes the distance.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace loftrouter::accounts {

// Divides time into periods without gaps. Wall-clock times are in seconds since 1970, UTC.
struct PeriodSchedule {
  int starts_min = 0;  // when a period begins: minute of the local day, 0 to 1439
  int offset_min = 0;  // local time minus UTC, in minutes, -840 to 840
  bool weekly = false; // periods of a week, from Monday; otherwise of a day
  bool operator==(const PeriodSchedule &) const = default;

  // Begin of the period that `wall` lies in.
  [[nodiscard]] double begin(double wall) const;
  // Begin of the one after it.
  [[nodiscard]] double end(double wall) const;
  // Its name: the local date of its begin, as 2026-12-01. Names sort as the periods do.
  [[nodiscard]] std::string name(double wall) const;
};

// Minute of the day of "20:00"; nothing if it is no time of day.
std::optional<int> parse_minute(std::string_view text);
// Minutes of "+05:30", from -14:00 to +14:00; nothing if it is no such distance.
std::optional<int> parse_offset(std::string_view text);
// The reverse.
std::string format_minute(int minute);
std::string format_offset(int minutes);

} // namespace loftrouter::accounts
