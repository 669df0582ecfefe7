// What operators have configured, as the state service has it: all records under one prefix, on every node.
//
// Owns this node's copy and how it is kept up: one watch, and a list when the watch has failed, now and then in any
// case, and after each election. Promises that a record is never replaced by an older one, and that `listed_since(t)`
// is true only if everything that was committed before `t` is in the copy. If that were wrong, a new leader could go by
// a limit that an earlier one had already acknowledged as lowered (docs/safety.md, "Quotas that change"). With the
// feature switched off it polls the older documents alone, as the production version does.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/runtime.hpp"
#include "loftrouter/model/settings.hpp"

namespace loftrouter::core {

class Configuration {
public:
  struct Record {
    wire::Json value;
    std::uint64_t revision = 0;
  };

  Configuration(Runtime &runtime, Events &events, const Settings &settings)
      : runtime_(runtime), events_(events), settings_(settings) {}

  void tick();
  // What this node has committed itself; nothing: it was removed.
  void apply_committed(const std::string &key, std::optional<wire::Json> value, std::uint64_t revision);
  const Record *find(const std::string &key) const;
  template <class Fn> void each(std::string_view prefix, Fn &&fn) const { // fn(rest of the key, record)
    for (auto it = records_.lower_bound(std::string(prefix)); it != records_.end() && it->first.starts_with(prefix);
         ++it)
      fn(std::string_view(it->first).substr(prefix.size()), it->second);
  }
  std::size_t count(std::string_view prefix) const;
  // The newest revision under config/ that is in the copy, with all before it; 0: there is none.
  std::uint64_t revision() const { return revision_; }
  double current_at() const { return current_at_; } // mono, when the copy was last known to be complete
  bool watch_open() const { return following_; }
  bool listed_since(double at) const { return list_begun_at_ >= at; }
  void on(const LeaderElected &) { // a list, at once
    if (settings_.configuration) next_ = 0;
  }

private:
  struct Listed {
    std::optional<wire::Json> value; // nothing: the copy had this revision when the page came
    std::uint64_t revision = 0;
  };
  void list(const std::string &from);
  void listed();
  void follow();
  void set(const std::string &key, std::optional<wire::Json> value, std::uint64_t revision);

  Runtime &runtime_;
  Events &events_;
  const Settings &settings_;
  std::map<std::string, Record> records_;        // by key
  std::map<std::string, Listed> listing_;        // pages so far
  std::map<std::string, std::uint64_t> removed_; // by this node, since the list under way has begun
  std::uint64_t follow_from_ = 0, revision_ = 0;
  double next_ = 0; // a list is due
  double begun_at_ = -1e9, list_begun_at_ = -1e9, current_at_ = -1e9, next_follow_ = 0;
  bool listing_now_ = false, following_ = false;
};

} // namespace loftrouter::core
