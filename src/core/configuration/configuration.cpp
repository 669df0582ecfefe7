#include "loftrouter/core/configuration/configuration.hpp"

#include <algorithm>

#include "loftrouter/wire/configuration.hpp"

namespace loftrouter::core {

namespace {
constexpr double kPollIntervalS = 5.0;  // of the documents, with the feature disabled
constexpr double kListIntervalS = 30.0; // bounds how long a change that a watch has missed goes unnoticed
constexpr double kListRetryS = 0.3;
constexpr double kListPageTimeoutS = 2.0;
constexpr double kWatchHoldS = 4.0; // short, so that a broken watch is noticed
constexpr double kWatchTimeoutMarginS = 1.5;
constexpr double kWatchRetryS = 0.5;
constexpr std::string_view kDocumentPrefix = "conf/";
} // namespace

void Configuration::tick() {
  if (!list_pending_ && runtime_.now() >= next_list_at_) {
    list_pending_ = true;
    list_started_at_ = runtime_.now();
    next_list_at_ = runtime_.now() + (settings_.configuration ? kListIntervalS : kPollIntervalS);
    listed_.clear();
    removed_.clear();
    request_page("");
  }
  const bool listed_once = complete_list_at_ > -1e8;
  if (settings_.configuration && listed_once && !watch_pending_ && !list_pending_ && runtime_.now() >= next_watch_at_)
    start_watch();
}

void Configuration::request_page(const std::string &from) {
  const std::string prefix(settings_.configuration ? wire::kConfigPrefix : kDocumentPrefix);
  // Large pages keep the number of requests small: a list of thousands of records starts over when a page fails.
  runtime_.store(
      StoreList{prefix, from, StoreList::kMaxPage}, kListPageTimeoutS, [this, from](const wire::StoreReply &reply) {
        if (reply.status != 200) {
          list_pending_ = false;
          if (settings_.configuration) next_list_at_ = runtime_.now() + kListRetryS;
          return;
        }
        // Changes between pages are delivered by the watch, which starts at the first page's revision.
        if (from.empty()) watch_from_ = reply.revision;
        for (const auto &entry : reply.entries) {
          const auto *known = find(entry.key);
          const bool unchanged = known && known->revision == entry.mod_revision; // no second copy of the value is kept
          listed_[entry.key] = {unchanged ? std::nullopt : std::optional(entry.value), entry.mod_revision};
        }
        if (reply.more && !reply.entries.empty()) return request_page(reply.entries.back().key);
        apply_list();
      });
}

void Configuration::apply_list() {
  list_pending_ = false;
  complete_list_at_ = current_at_ = list_started_at_;
  std::vector<std::string> absent;
  for (const auto &[key, record] : records_)
    if (!listed_.contains(key) && record.revision <= watch_from_) absent.push_back(key);
  for (const auto &key : absent)
    apply(key, std::nullopt, watch_from_);
  for (auto &[key, record] : listed_) {
    if (!record.value) continue; // unchanged, or the copy has a later change
    const auto removed = removed_.find(key);
    if (removed == removed_.end() || removed->second < record.revision)
      apply(key, std::move(record.value), record.revision);
  }
  listed_.clear();
}

void Configuration::start_watch() {
  watch_pending_ = true;
  runtime_.store(StoreWatch{std::string(wire::kConfigPrefix), watch_from_, kWatchHoldS},
                 kWatchHoldS + kWatchTimeoutMarginS, [this, sent_at = runtime_.now()](const wire::StoreReply &reply) {
                   watch_pending_ = false;
                   if (reply.status == 410 || reply.status == 0) { // history compacted, or no response
                     next_list_at_ = 0;
                     return;
                   }
                   if (reply.status != 200) {
                     next_watch_at_ = runtime_.now() + kWatchRetryS;
                     return;
                   }
                   for (const auto &entry : reply.events)
                     apply(entry.key, entry.value, entry.mod_revision);
                   // A pending list has set `watch_from_` to the revision of its first page. Moving it forward would
                   // make a record that is newer than the list's pages look removed.
                   if (!list_pending_) watch_from_ = std::max(watch_from_, reply.revision);
                   current_at_ = std::max(current_at_, sent_at);
                   if (!list_pending_) start_watch();
                 });
}

void Configuration::apply_committed(const std::string &key, std::optional<wire::Json> value, std::uint64_t revision) {
  if (!value) removed_[key] = revision;
  apply(key, std::move(value), revision);
}

void Configuration::apply(const std::string &key, std::optional<wire::Json> value, std::uint64_t revision) {
  const auto it = records_.find(key);
  if (it != records_.end() && it->second.revision >= revision) return;
  if (it == records_.end() && !value) return;
  if (value)
    records_[key] = {std::move(*value), revision};
  else
    records_.erase(it);
  if (key.starts_with(wire::kConfigRecords)) revision_ = std::max(revision_, revision);
  events_.publish(ConfigurationChanged{key});
}

const Configuration::Record *Configuration::find(const std::string &key) const {
  const auto it = records_.find(key);
  return it == records_.end() ? nullptr : &it->second;
}

std::size_t Configuration::count(std::string_view prefix) const {
  std::size_t matches = 0;
  each(prefix, [&matches](std::string_view, const Record &) { ++matches; });
  return matches;
}

} // namespace loftrouter::core
