#include "loftrouter/accounts/usage.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "loftrouter/model/types.hpp"

namespace loftrouter::accounts {

namespace {
// Of one number that is read: several add up without overflow.
constexpr std::int64_t kMaxNumber = 1'000'000'000'000'000'000;
constexpr int kBase = 36;
constexpr char kSeparator = '.';
constexpr std::size_t kMaxDigits = 16; // of a 64-bit number to that base, with its sign

std::int64_t thousandths(double amount) {
  return std::llround(amount * 1000);
}

// Nothing if the text is anything but one number within bounds.
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
  Sums out;
  for (std::size_t column = Useful; column <= Uncertain; ++column)
    out[column] = usage[column] * cpus;
  for (std::size_t column : {Attempts, Retries, Cost})
    out[column] = usage[column];
  out[Memory] = usage.held() * thousandths(need.memory);
  out[Gpu] = usage.held() * thousandths(need.gpus);
  return out;
}

template <std::size_t Columns> std::string pack(const Row<Columns> &row) {
  std::size_t used = Columns;
  while (used > 1 && row[used - 1] == 0)
    --used;
  std::string out;
  for (std::size_t column = 0; column < used; ++column) {
    std::array<char, kMaxDigits> digits;
    const char *end = std::to_chars(digits.data(), digits.data() + digits.size(), row[column], kBase).ptr;
    if (column > 0) out += kSeparator;
    out.append(digits.data(), static_cast<std::size_t>(end - digits.data()));
  }
  return out;
}

template <std::size_t Columns> std::optional<Row<Columns>> unpack(std::string_view text) {
  Row<Columns> out;
  for (std::size_t column = 0; !text.empty(); ++column) {
    if (column >= Columns) return std::nullopt;
    const std::size_t length = std::min(text.find(kSeparator), text.size());
    const auto number = parse_number(text.substr(0, length));
    if (!number) return std::nullopt;
    out[column] = *number;
    if (length + 1 == text.size()) return std::nullopt; // a point with nothing behind it
    text.remove_prefix(std::min(text.size(), length + 1));
  }
  return out;
}

template std::string pack(const Usage &);
template std::string pack(const Sums &);
template std::optional<Usage> unpack(std::string_view);
template std::optional<Sums> unpack(std::string_view);

} // namespace loftrouter::accounts
