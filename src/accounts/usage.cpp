#include "loftrouter/accounts/usage.hpp"

#include <charconv>
#include <cmath>

#include "loftrouter/model/types.hpp"

namespace loftrouter::accounts {

namespace {
constexpr std::int64_t kMax = 1'000'000'000'000'000'000; // of one number that is read: several add up without overflow
} // namespace

Sums sums_of(const Usage &usage, const Resources &need) {
  const std::int64_t cpu = std::llround(need.cpus * 1000), memory = std::llround(need.memory * 1000),
                     gpu = std::llround(need.gpus * 1000);
  Sums out;
  for (std::size_t c = Useful; c <= Uncertain; ++c)
    out[c] = usage[c] * cpu;
  for (std::size_t c : {Attempts, Retries, Cost})
    out[c] = usage[c];
  out[Memory] = usage.held() * memory;
  out[Gpu] = usage.held() * gpu;
  return out;
}

template <std::size_t N> std::string pack(const Row<N> &row) {
  std::size_t last = N;
  while (last > 1 && row[last - 1] == 0)
    --last;
  std::string out;
  for (std::size_t c = 0; c < last; ++c) {
    char digits[16];
    const auto end = std::to_chars(digits, digits + sizeof digits, row[c], 36).ptr;
    if (c) out += '.';
    out.append(digits, end);
  }
  return out;
}

template <std::size_t N> std::optional<Row<N>> unpack(std::string_view text) {
  Row<N> out;
  for (std::size_t c = 0; !text.empty(); ++c) {
    const auto point = std::min(text.find('.'), text.size());
    const char *end = text.data() + point;
    if (c >= N) return std::nullopt;
    const auto got = std::from_chars(text.data(), end, out[c], 36);
    if (got.ec != std::errc{} || got.ptr != end || out[c] < 0 || out[c] > kMax) return std::nullopt;
    if (point + 1 == text.size()) return std::nullopt; // a point with nothing behind it
    text.remove_prefix(std::min(text.size(), point + 1));
  }
  return out;
}

template std::string pack(const Usage &);
template std::string pack(const Sums &);
template std::optional<Usage> unpack(std::string_view);
template std::optional<Sums> unpack(std::string_view);

} // namespace loftrouter::accounts
