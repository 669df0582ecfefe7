// This node's copy of the operators' configuration: all records under one prefix of the state service.
//
// Owns the copy and keeps it current with a watch, and with a full list periodically, after a failed watch and after an
// election. A record is never replaced by an older one, and `listed_since(time)` is true only if the copy contains
// everything committed before `time`. Otherwise a new leader could apply a quota that an earlier leader has already
// acknowledged as lowered (docs/safety.md, "Quotas that change"). With the feature disabled, only the documents of
// earlier versions are polled.
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

// Times are seconds on the monotonic clock.
class Configuration {
public:
  struct Record {
    wire::Json value;
    std::uint64_t revision = 0;
  };

  Configuration(Runtime &runtime, Events &events, const Settings &settings)
      : runtime_(runtime), events_(events), settings_(settings) {}

  void tick();
  // Applies a change that this node has committed to the state service. No value: the record was removed.
  void apply_committed(const std::string &key, std::optional<wire::Json> value, std::uint64_t revision);
  const Record *find(const std::string &key) const;
  // Calls `visit(key without prefix, record)` for each record under the prefix, in the order of keys.
  template <class Visit> void each(std::string_view prefix, Visit &&visit) const {
    for (auto it = records_.lower_bound(std::string(prefix)); it != records_.end() && it->first.starts_with(prefix);
         ++it)
      visit(std::string_view(it->first).substr(prefix.size()), it->second);
  }
  std::size_t count(std::string_view prefix) const;
  // The revision under config/ up to which the copy has all changes; 0 if there are no records.
  std::uint64_t revision() const { return revision_; }
  double current_at() const { return current_at_; } // when the copy was last known to be complete
  bool watch_open() const { return watch_pending_; }
  // Returns whether a list that started at `time` or later has been completed.
  bool listed_since(double time) const { return complete_list_at_ >= time; }
  void on(const LeaderElected &) { // list again before the new leader acts
    if (settings_.configuration) next_list_at_ = 0;
  }

private:
  struct Listed {
    std::optional<wire::Json> value; // empty: the copy already had this revision
    std::uint64_t revision = 0;
  };
  void request_page(const std::string &from);
  void apply_list();
  void start_watch();
  void apply(const std::string &key, std::optional<wire::Json> value, std::uint64_t revision);

  Runtime &runtime_;
  Events &events_;
  const Settings &settings_;
  std::map<std::string, Record> records_;        // by key
  std::map<std::string, Listed> listed_;         // pages of the pending list so far, by key
  std::map<std::string, std::uint64_t> removed_; // keys that this node has removed during the pending list
  std::uint64_t watch_from_ = 0;                 // revision after which the next watch starts
  std::uint64_t revision_ = 0;
  double next_list_at_ = 0;
  double list_started_at_ = -1e9;  // the pending or last list
  double complete_list_at_ = -1e9; // start of the last list that was completed
  double current_at_ = -1e9;
  double next_watch_at_ = 0;
  bool list_pending_ = false, watch_pending_ = false;
};

} // namespace loftrouter::core
