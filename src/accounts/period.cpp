#include "loftrouter/accounts/period.hpp"

#include <chrono>
#include <cmath>
#include <cstdlib>

#include <fmt/format.h>

namespace loftrouter::accounts {

double Clock::begin(double wall) const {
  const double local = wall + offset_min * 60.0 - starts_min * 60.0;
  double day = std::floor(local / 86400.0);
  if (weekly) day -= std::fmod(std::fmod(day + 3, 7) + 7, 7); // 1970-01-01 was a Thursday
  return day * 86400.0 + starts_min * 60.0 - offset_min * 60.0;
}

std::string Clock::name(double wall) const {
  const auto day = static_cast<int>(std::floor((begin(wall) + offset_min * 60.0) / 86400.0));
  const std::chrono::year_month_day date{std::chrono::sys_days{std::chrono::days{day}}};
  return fmt::format("{:04}-{:02}-{:02}", static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                     static_cast<unsigned>(date.day()));
}

std::optional<int> parse_minute(std::string_view t) {
  auto digit = [&](std::size_t i) { return t[i] >= '0' && t[i] <= '9' ? t[i] - '0' : 100; };
  if (t.size() != 5 || t[2] != ':') return std::nullopt;
  const int h = digit(0) * 10 + digit(1), m = digit(3) * 10 + digit(4);
  return h < 24 && m < 60 ? std::optional(h * 60 + m) : std::nullopt;
}

std::optional<int> parse_offset(std::string_view t) {
  if (t.size() != 6 || (t[0] != '+' && t[0] != '-')) return std::nullopt;
  const auto m = parse_minute(t.substr(1));
  if (!m || *m > 14 * 60) return std::nullopt;
  return t[0] == '-' ? -*m : *m;
}

std::string format_minute(int m) {
  return fmt::format("{:02}:{:02}", m / 60, m % 60);
}

std::string format_offset(int m) {
  return (m < 0 ? "-" : "+") + format_minute(std::abs(m));
}

} // namespace loftrouter::accounts
