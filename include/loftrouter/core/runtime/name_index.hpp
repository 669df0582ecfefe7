// Maps external names, such as teams and zones, to small consecutive numbers.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

namespace loftrouter::core {

// Names are never removed, so callers have to bound how many they add.
class NameIndex {
public:
  // Returns the number of a name and adds the name if it is new.
  int find_or_add(const std::string &name) {
    const auto [it, added] = numbers_.try_emplace(name, size());
    if (added) names_.push_back(name);
    return it->second;
  }

  // Returns the number of a name, or -1 if it was never added.
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
