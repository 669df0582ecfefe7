#include "loftrouter/core/quotas/quota_shares.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include <fmt/format.h>

namespace loftrouter::cells {

namespace {

using wire::Amounts;
using wire::AmountsByCell;

constexpr double kSlack = 1e-6;
constexpr std::array kFields{&Amounts::cpus, &Amounts::gpus};

// FNV-1a with a finalizer, as names differ in their last characters alone: the same on every machine.
std::uint64_t hash(const std::string &text) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (unsigned char c : text)
    h = (h ^ c) * 0x100000001b3ULL;
  h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9ULL;
  h = (h ^ (h >> 27)) * 0x94d049bb133111ebULL;
  return h ^ (h >> 31);
}

} // namespace

const std::string &owner_cell(const std::string &team, const std::vector<std::string> &names) {
  return *std::max_element(names.begin(), names.end(), [&team](const auto &a, const auto &b) {
    return std::pair(hash(a + "/" + team), a) < std::pair(hash(b + "/" + team), b);
  });
}

Amounts even_share(const Amounts &limit, std::size_t cells) {
  const auto parts = static_cast<double>(std::max<std::size_t>(1, cells));
  return {limit.cpus / parts, limit.gpus / parts};
}

AmountsByCell target_shares(const Amounts &limit, const AmountsByCell &shares, const std::vector<std::string> &names) {
  AmountsByCell out;
  for (const auto &name : names)
    out[name] = {};
  for (const auto field : kFields) {
    double left = limit.*field;
    std::size_t without = 0;
    for (const auto &name : names) {
      const auto it = shares.find(name);
      const bool set = it != shares.end() && std::isfinite(it->second.*field);
      if (set) left -= it->second.*field;
      without += !set;
    }
    for (const auto &name : names) {
      const auto it = shares.find(name);
      const bool set = it != shares.end() && std::isfinite(it->second.*field);
      out[name].*field = set ? it->second.*field : std::max(0.0, left) / static_cast<double>(without);
    }
  }
  return out;
}

std::optional<std::string> validate_shares(const Amounts &limit, const AmountsByCell &shares,
                                           const std::vector<std::string> &names) {
  Amounts sum;
  for (const auto &[cell, share] : shares) {
    if (std::find(names.begin(), names.end(), cell) == names.end())
      return fmt::format("shares: there is no cell {}", cell);
    for (const auto field : kFields)
      if (std::isfinite(share.*field)) sum.*field += share.*field;
  }
  for (const auto field : kFields)
    if (sum.*field > limit.*field + kSlack) return "shares: they add up to more than the limit";
  return std::nullopt;
}

void lower_caps(wire::QuotaRecord &record, const std::vector<std::string> &names, const Amounts &before) {
  const auto wanted = target_shares(record.limits.most, record.shares, names);
  for (const auto &name : names) {
    if (!record.held.contains(name)) record.held[name] = before;
    Amounts &cap = record.caps[name];
    for (const auto field : kFields)
      cap.*field = std::min(wanted.at(name).*field, record.held[name].*field);
  }
}

bool acknowledge(wire::QuotaRecord &record, const std::string &cell) {
  const auto cap = record.caps.find(cell);
  const auto held = record.held.find(cell);
  if (cap == record.caps.end() || held == record.held.end() || held->second == cap->second) return false;
  held->second = cap->second;
  return true;
}

bool raise_caps(wire::QuotaRecord &record, const std::vector<std::string> &names) {
  const auto wanted = target_shares(record.limits.most, record.shares, names);
  bool changed = false;
  for (const auto field : kFields) {
    double free = record.limits.most.*field;
    for (const auto &[name, held] : record.held)
      free -= held.*field;
    if (std::isnan(free)) free = Amounts::kUnlimited; // neither the limit nor what is held has a bound
    for (const auto &name : names) {
      // What is held beyond the cap is still to be acknowledged: the cap rises from the held amount only.
      double &cap = record.caps[name].*field, &held = record.held[name].*field;
      const double room = std::isinf(held) ? 0 : std::min(wanted.at(name).*field - held, free);
      const bool settled = cap == held;
      if (!settled || !(room > kSlack)) continue;
      cap = held = held + room;
      free -= room;
      changed = true;
    }
  }
  return changed;
}

} // namespace loftrouter::cells
