#include "loftrouter/core/state/state_watch.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace loftrouter::core {

namespace {
constexpr double kLoadRetry = 0.2;
constexpr double kAuditEvery = 5.0, kAuditReads = 100; // s; and one read in so many
constexpr double kFollowHold = 3.0;                    // short, so that a watch that has died is noticed soon
} // namespace

void StateWatch::tick() {
  if (leadership_.leading() && !following_) follow();
  if (leadership_.active() && !auditing_ && runtime_.now() >= next_audit_) audit();
}

// What is open in the state service against what this leader has, a page at a time and for one in a hundred of the
// reads. Guards against a job that stands still for ever, whatever has been missed; that it finds anything is a defect
// to be traced.
void StateWatch::audit() {
  next_audit_ = runtime_.now() + std::max(kAuditEvery, kAuditReads / settings_.state_rps);
  auditing_ = true;
  runtime_.store(StoreList{"open/", audited_}, 2.0, [this, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
    if (epoch != leadership_.epoch()) return;
    auditing_ = false;
    if (reply.status != 200) return;
    const std::string from =
        std::exchange(audited_, reply.more && !reply.entries.empty() ? reply.entries.back().key : "");
    std::set<std::string> there;
    for (const auto &e : reply.entries) {
      there.insert(e.key);
      if (e.mod_revision > follow_from_) continue; // the watch has yet to tell
      const auto news = state_writer_.compare(e);
      if (!news.empty())
        runtime_.log(LogLevel::Error, "audit_mismatch_found", {{"key", e.key.substr(0, 60)}, {"what", news}});
    }
    for (const auto &key : state_writer_.not_there(from, audited_, there, reply.revision))
      runtime_.log(LogLevel::Error, "audit_mismatch_found", {{"key", key.substr(0, 60)}, {"what", "no longer open"}});
  });
}

void StateWatch::again(std::function<void()> fn) {
  runtime_.later(kLoadRetry, [this, epoch = leadership_.epoch(), fn = std::move(fn)] {
    if (epoch == leadership_.epoch()) fn();
  });
}

void StateWatch::on(const LeaderElected &) {
  follow_from_ = 0;
  auditing_ = false;
  audited_.clear();
  next_audit_ = runtime_.now() + kAuditEvery;
  load_progress("");
}

// Progress is read before the open jobs: a job that ends in between is then simply not found open.
void StateWatch::load_progress(std::string from) {
  runtime_.store(
      StoreList{"progress/", from}, 2.0, [this, from, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
        if (epoch != leadership_.epoch()) return;
        if (reply.status != 200) return again([this, from] { load_progress(from); });
        for (const auto &e : reply.entries)
          if (!state_writer_.load_progress(e)) { // what it may have said was started is not known, so nothing may be
            runtime_.log(LogLevel::Error, "record_rejected", {{"key", e.key.substr(0, 60)}, {"then", "term ended"}});
            return leadership_.step_down("a progress record cannot be read");
          }
        if (reply.more && !reply.entries.empty()) return load_progress(reply.entries.back().key);
        load_open("");
      });
}

// All open records: before leading, and again whenever the watch has failed.
void StateWatch::load_open(std::string from) {
  if (from.empty()) listed_from_ = runtime_.now();
  runtime_.store(StoreList{"open/", from}, 2.0,
                 [this, from, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
                   if (epoch != leadership_.epoch()) return;
                   if (reply.status != 200) return again([this, from] { load_open(from); });
                   if (from.empty()) follow_from_ = reply.revision;
                   for (const auto &e : reply.entries) {
                     if (!relisting_) state_writer_.load_end(e);
                     state_writer_.take_open(e.key, e.value, e.mod_revision);
                   }
                   if (reply.more && !reply.entries.empty()) return load_open(reply.entries.back().key);
                   cancellations_.news(listed_from_);
                   if (relisting_) {
                     relisting_ = false;
                     return;
                   }
                   leadership_.begin_term();
                 });
}

void StateWatch::follow() {
  if (following_ || relisting_) return;
  following_ = true;
  runtime_.store(StoreWatch{"open/", follow_from_, kFollowHold}, kFollowHold + 1.5,
                 [this, sent = runtime_.now(), epoch = leadership_.epoch()](const wire::StoreReply &reply) {
                   if (epoch != leadership_.epoch()) return;
                   following_ = false;
                   if (reply.status == 410 || reply.status == 0) { // too far behind, or no answer: a list may get one
                     relisting_ = true;
                     return load_open("");
                   }
                   if (reply.status != 200) return; // tried again with the next tick
                   for (const auto &e : reply.events)
                     if (e.value) state_writer_.take_open(e.key, *e.value, e.mod_revision);
                   follow_from_ = std::max(follow_from_, reply.revision);
                   cancellations_.news(sent);
                   follow();
                 });
}

} // namespace loftrouter::core
