// Maps names that arrive from outside to small consecutive numbers, once, on entry.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

namespace loftrouter::core {

// Numbers are never reused: whoever adds names bounds how many there can be.
class NameIndex {
public:
  // The number of a name, which is added if it is new.
  int find_or_add(const std::string &name) {
    const auto [it, added] = numbers_.try_emplace(name, size());
    if (added) names_.push_back(name);
    return it->second;
  }

  // The number of a name; -1 if it was never added.
  [[nodiscard]] int find(const std::string &name) const {
    const auto it = numbers_.find(name);
    return it == numbers_.end() ? -1 : it->second;
  }

  [[nodiscard]] const std::string &name(int number) const { return names_[static_cast<std::size_t>(number)]; }
  [[nodiscard]] int size() const { return static_cast<int>(names_.size()); }

private:
  std::unordered_map<std::string, int> numbers_;
  std::vector<std::string> names_;
};

} // namespace loftrouter::core
