#include "loftrouter/accounts/period.hpp"

#include <chrono>
#include <cmath>
#include <cstdlib>

#include <fmt/format.h>

namespace loftrouter::accounts {

namespace {
constexpr double kDayS = 86400.0;
constexpr double kMinuteS = 60.0;
constexpr int kDaysPerWeek = 7;
constexpr int kDaysSinceMonday = 3; // on 1970-01-01, a Thursday
constexpr int kMinutesPerHour = 60;
constexpr int kMaxOffsetMin = 14 * kMinutesPerHour;

// Parses decimal digits only; std::from_chars would accept a sign.
std::optional<int> parse_digits(std::string_view text) {
  int number = 0;
  for (char digit : text) {
    if (digit < '0' || digit > '9') return std::nullopt;
    number = number * 10 + (digit - '0');
  }
  return number;
}
} // namespace

double PeriodSchedule::begin(double wall) const {
  const double local = wall + offset_min * kMinuteS - starts_min * kMinuteS;
  double day = std::floor(local / kDayS);
  if (weekly) {
    const double days_after_monday = std::fmod(day + kDaysSinceMonday, kDaysPerWeek);
    day -= std::fmod(days_after_monday + kDaysPerWeek, kDaysPerWeek); // `days_after_monday` is negative before 1970
  }
  return day * kDayS + starts_min * kMinuteS - offset_min * kMinuteS;
}

double PeriodSchedule::end(double wall) const {
  return begin(wall) + (weekly ? kDaysPerWeek : 1) * kDayS;
}

std::string PeriodSchedule::name(double wall) const {
  const auto days_since_1970 = static_cast<int>(std::floor((begin(wall) + offset_min * kMinuteS) / kDayS));
  const std::chrono::year_month_day date{std::chrono::sys_days{std::chrono::days{days_since_1970}}};
  return fmt::format("{:04}-{:02}-{:02}", static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                     static_cast<unsigned>(date.day()));
}

std::optional<int> parse_minute(std::string_view text) {
  if (text.size() != 5 || text[2] != ':') return std::nullopt;
  const auto hours = parse_digits(text.substr(0, 2));
  const auto minutes = parse_digits(text.substr(3, 2));
  if (!hours || !minutes || *hours >= 24 || *minutes >= kMinutesPerHour) return std::nullopt;
  return *hours * kMinutesPerHour + *minutes;
}

std::optional<int> parse_offset(std::string_view text) {
  if (text.size() != 6 || (text[0] != '+' && text[0] != '-')) return std::nullopt;
  const auto minutes = parse_minute(text.substr(1));
  if (!minutes || *minutes > kMaxOffsetMin) return std::nullopt;
  return text[0] == '-' ? -*minutes : *minutes;
}

std::string format_minute(int minute) {
  return fmt::format("{:02}:{:02}", minute / kMinutesPerHour, minute % kMinutesPerHour);
}

std::string format_offset(int minutes) {
  return (minutes < 0 ? "-" : "+") + format_minute(std::abs(minutes));
}

} // namespace loftrouter::accounts
