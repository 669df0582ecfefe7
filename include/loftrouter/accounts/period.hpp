// Accounting periods by the clock: a day or a week that begins at a time of day, at a fixed distance from UTC. Pure.
// (No daylight saving: an operator who has it changes the distance.)
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace loftrouter::accounts {

struct Clock {
  int starts_min = 0;  // minute of the local day
  int offset_min = 0;  // local time minus UTC
  bool weekly = false; // from Monday
  bool operator==(const Clock &) const = default;

  double begin(double wall) const; // of the period that `wall` (s since 1970, UTC) lies in
  double end(double wall) const { return begin(wall) + (weekly ? 7 : 1) * 86400.0; }
  std::string name(double wall) const; // local date of its beginning, 2026-12-01
};

std::optional<int> parse_minute(std::string_view hh_mm);    // "20:00"
std::optional<int> parse_offset(std::string_view distance); // "+05:30"
std::string format_minute(int minute);
std::string format_offset(int minutes);

} // namespace loftrouter::accounts
