// Small pure helpers of the core: token buckets, index ranges, names mapped to dense indices.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

class TokenBucket {
public:
  TokenBucket() = default;
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}
  double level(double now) {
    if (last_ >= 0) level_ = std::min(burst_, level_ + std::max(0.0, now - last_) * rate_);
    last_ = now;
    return level_;
  }
  bool take(double now, double amount = 1) {
    if (level(now) < amount) return false;
    level_ -= amount;
    taken_ += amount;
    return true;
  }
  void set_rate(double now, double rate) {
    level(now);
    rate_ = rate;
  }
  void reset(double now, double rate, double burst) {
    level_ = last_ < 0 ? burst : std::min(level(now), burst);
    rate_ = rate;
    burst_ = burst;
  }
  double taken() const { return taken_; } // in all

private:
  double rate_ = 1, burst_ = 1, level_ = 1, last_ = -1, taken_ = 0;
};

// Names that arrive from outside become small integers once, at the door.
class NameIndex {
public:
  int get(const std::string &name) {
    auto [it, fresh] = index_.try_emplace(name, static_cast<int>(names_.size()));
    if (fresh) names_.push_back(name);
    return it->second;
  }
  int find(const std::string &name) const {
    auto it = index_.find(name);
    return it == index_.end() ? -1 : it->second;
  }
  const std::string &name(int i) const { return names_[static_cast<std::size_t>(i)]; }
  int size() const { return static_cast<int>(names_.size()); }

private:
  std::unordered_map<std::string, int> index_;
  std::vector<std::string> names_;
};

// Element i of what is kept by index, made long enough for it.
template <class T> T &grown(std::vector<T> &all, int i, const T &fill = {}) {
  const auto at = static_cast<std::size_t>(i);
  if (at >= all.size()) all.resize(at + 1, fill);
  return all[at];
}

// The same for a table kept by a typed index.
template <class T, class Tag> T &grown(std::vector<T> &all, DenseIndex<Tag> index, const T &fill = {}) {
  const std::size_t position = index.position();
  if (position >= all.size()) all.resize(position + 1, fill);
  return all[position];
}

// `pick(i)` says whether index i belongs.
template <class Pick> Ranges make_ranges(std::uint32_t count, Pick pick) {
  Ranges out;
  for (std::uint32_t i = 0; i < count; ++i) {
    if (!pick(i)) continue;
    if (!out.empty() && out.back().second == i)
      out.back().second = i + 1;
    else
      out.emplace_back(i, i + 1);
  }
  return out;
}
// At most `max` ranges covering at least what `r` covers (closes the smallest gaps).
Ranges widen(Ranges ranges, std::size_t max);
// At most `max` ranges covering at most what `r` covers (keeps the longest).
Ranges narrow(Ranges ranges, std::size_t max);

} // namespace loftrouter::core
