#include "loftrouter/core/configuration/configuration.hpp"

#include <algorithm>

#include "loftrouter/wire/configuration.hpp"

namespace loftrouter::core {

namespace {
constexpr double kPollEvery = 5.0;               // s, of the documents, with the feature switched off
constexpr double kListEvery = 30.0;              // s, in any case: guards against a watch that has left something out
constexpr double kListRetry = 0.3;               // s
constexpr double kListWithin = 2.0;              // s, a page
constexpr double kHold = 4.0, kHoldMargin = 1.5; // s, of the watch; short, so that a dead one is noticed
constexpr double kFollowRetry = 0.5;             // s
constexpr std::string_view kDocuments = "conf/";
} // namespace

void Configuration::tick() {
  if (!listing_now_ && runtime_.now() >= next_) {
    listing_now_ = true;
    begun_at_ = runtime_.now();
    next_ = runtime_.now() + (settings_.configuration ? kListEvery : kPollEvery);
    listing_.clear();
    removed_.clear();
    list("");
  }
  const bool listed_once = list_begun_at_ > -1e8;
  if (settings_.configuration && listed_once && !following_ && !listing_now_ && runtime_.now() >= next_follow_)
    follow();
}

void Configuration::list(const std::string &from) {
  const std::string prefix(settings_.configuration ? wire::kConfigPrefix : kDocuments);
  // Large pages: thousands of records take a few requests in kListEvery, and a list that fails begins again.
  runtime_.store(StoreList{prefix, from, StoreList::kMaxPage}, kListWithin,
                 [this, from](const wire::StoreReply &reply) {
                   if (reply.status != 200) {
                     listing_now_ = false;
                     if (settings_.configuration) next_ = runtime_.now() + kListRetry;
                     return;
                   }
                   // What changes between two pages comes with the watch, which begins at the first.
                   if (from.empty()) follow_from_ = reply.revision;
                   for (const auto &e : reply.entries) {
                     const auto *known = find(e.key);
                     const bool had = known && known->revision == e.mod_revision; // its value isn't kept twice
                     listing_[e.key] = {had ? std::nullopt : std::optional(e.value), e.mod_revision};
                   }
                   if (reply.more && !reply.entries.empty()) return list(reply.entries.back().key);
                   listed();
                 });
}

void Configuration::listed() {
  listing_now_ = false;
  list_begun_at_ = current_at_ = begun_at_;
  std::vector<std::string> gone;
  for (const auto &[key, record] : records_)
    if (!listing_.contains(key) && record.revision <= follow_from_) gone.push_back(key);
  for (const auto &key : gone)
    set(key, std::nullopt, follow_from_);
  for (auto &[key, record] : listing_) {
    if (!record.value) continue; // if it has gone or changed since, the copy knows better
    const auto removed = removed_.find(key);
    if (removed == removed_.end() || removed->second < record.revision)
      set(key, std::move(record.value), record.revision);
  }
  listing_.clear();
}

void Configuration::follow() {
  following_ = true;
  runtime_.store(StoreWatch{std::string(wire::kConfigPrefix), follow_from_, kHold}, kHold + kHoldMargin,
                 [this, sent = runtime_.now()](const wire::StoreReply &reply) {
                   following_ = false;
                   if (reply.status == 410 || reply.status == 0) { // too far behind, or it has died without a word
                     next_ = 0;
                     return;
                   }
                   if (reply.status != 200) {
                     next_follow_ = runtime_.now() + kFollowRetry;
                     return;
                   }
                   for (const auto &e : reply.events)
                     set(e.key, e.value, e.mod_revision);
                   // A list under way counts from its first page: what came since is told again after it. Guards
                   // against a record that is newer than the list's pages being taken for gone.
                   if (!listing_now_) follow_from_ = std::max(follow_from_, reply.revision);
                   current_at_ = std::max(current_at_, sent);
                   if (!listing_now_) follow();
                 });
}

void Configuration::apply_committed(const std::string &key, std::optional<wire::Json> value, std::uint64_t revision) {
  if (!value) removed_[key] = revision;
  set(key, std::move(value), revision);
}

void Configuration::set(const std::string &key, std::optional<wire::Json> value, std::uint64_t revision) {
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
  std::size_t n = 0;
  each(prefix, [&n](std::string_view, const Record &) { ++n; });
  return n;
}

} // namespace loftrouter::core
