#include "loftrouter/accounts/usage.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "loftrouter/model/types.hpp"

namespace loftrouter::accounts {

namespace {
// Bound on a decoded number, so that several can be added without overflow.
constexpr std::int64_t kMaxNumber = 1'000'000'000'000'000'000;
constexpr int kBase = 36;
constexpr char kSeparator = '.';
constexpr std::size_t kMaxDigits = 16; // of a signed 64-bit number in this base

std::int64_t thousandths(double amount) {
  return std::llround(amount * 1000);
}

// Parses a number between 0 and kMaxNumber.
std::optional<std::int64_t> parse_number(std::string_view text) {
  std::int64_t number = 0;
  const char *end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, kBase);
  if (parsed.ec != std::errc{} || parsed.ptr != end || number < 0 || number > kMaxNumber) return std::nullopt;
  return number;
}
} // namespace

Sums sums_of(const Usage &usage, const Resources &need) {
  const std::int64_t cpus = thousandths(need.cpus);
  Sums sums;
  for (std::size_t column = Useful; column <= Uncertain; ++column)
    sums[column] = usage[column] * cpus;
  for (std::size_t column : {Attempts, Retries, Cost})
    sums[column] = usage[column];
  sums[Memory] = usage.held() * thousandths(need.memory);
  sums[Gpu] = usage.held() * thousandths(need.gpus);
  return sums;
}

template <std::size_t Columns> std::string pack(const Row<Columns> &row) {
  std::size_t used = Columns;
  while (used > 1 && row[used - 1] == 0)
    --used;
  std::string text;
  for (std::size_t column = 0; column < used; ++column) {
    std::array<char, kMaxDigits> digits;
    const char *end = std::to_chars(digits.data(), digits.data() + digits.size(), row[column], kBase).ptr;
    if (column > 0) text += kSeparator;
    text.append(digits.data(), static_cast<std::size_t>(end - digits.data()));
  }
  return text;
}

template <std::size_t Columns> std::optional<Row<Columns>> unpack(std::string_view text) {
  Row<Columns> row;
  for (std::size_t column = 0; !text.empty(); ++column) {
    if (column >= Columns) return std::nullopt;
    const std::size_t length = std::min(text.find(kSeparator), text.size());
    const auto number = parse_number(text.substr(0, length));
    if (!number) return std::nullopt;
    row[column] = *number;
    if (length + 1 == text.size()) return std::nullopt; // trailing separator
    text.remove_prefix(std::min(text.size(), length + 1));
  }
  return row;
}

template std::string pack(const Usage &);
template std::string pack(const Sums &);
template std::optional<Usage> unpack(std::string_view);
template std::optional<Sums> unpack(std::string_view);

} // namespace loftrouter::accounts
