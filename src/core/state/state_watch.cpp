#include "loftrouter/core/state/state_watch.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
constexpr double kListDeadline = 2.0;     // s
constexpr double kLoadRetryDelay = 0.2;   // s
constexpr double kMinAuditInterval = 5.0; // s, between two pages
constexpr double kReadsPerAudit = 100;    // at most one in so many reads allowed by Settings::state_rps is an audit
constexpr double kWatchHold = 3.0;        // s; short, to detect a lost watch early
constexpr double kWatchReplyMargin = 1.5; // s, in addition to the hold time
constexpr int kRevisionTooOld = 410;      // reply status: changes since that revision are no longer available
constexpr std::size_t kMaxLoggedKey = 60; // characters

// Returns the last key of a page; empty: it is the last page.
std::string next_page_key(const wire::StoreReply &reply) {
  return reply.more && !reply.entries.empty() ? reply.entries.back().key : std::string();
}
} // namespace

StateWatch::StateWatch(Runtime &runtime, const Settings &settings, Leadership &leadership, StateWriter &state_writer,
                       Cancellations &cancellations)
    : runtime_(runtime), settings_(settings), leadership_(leadership), state_writer_(state_writer),
      cancellations_(cancellations) {}

void StateWatch::tick() {
  if (leadership_.leading() && !watching_) watch();
  if (leadership_.active() && !auditing_ && runtime_.now() >= next_audit_at_) audit();
}

void StateWatch::on(const LeaderElected &) {
  watched_revision_ = 0;
  auditing_ = false;
  audited_until_.clear();
  next_audit_at_ = runtime_.now() + kMinAuditInterval;
  load_progress_records("");
}

void StateWatch::on(const TermEnded &) {
  watching_ = false;
  relisting_ = false;
  auditing_ = false;
}

void StateWatch::retry_later(std::function<void()> action) {
  runtime_.schedule(kLoadRetryDelay, [this, epoch = leadership_.epoch(), action = std::move(action)] {
    if (epoch == leadership_.epoch()) action();
  });
}

// Progress records are read before open records, so that a job that ends in between is not loaded.
void StateWatch::load_progress_records(const std::string &from) {
  runtime_.store(StoreList{std::string(wire::kProgressPrefix), from}, kListDeadline,
                 [this, from, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
                   if (epoch == leadership_.epoch()) on_progress_page(from, reply);
                 });
}

void StateWatch::on_progress_page(const std::string &from, const wire::StoreReply &reply) {
  if (reply.status != 200) return retry_later([this, from] { load_progress_records(from); });
  for (const auto &record : reply.entries) {
    if (state_writer_.load_progress_record(record)) continue;
    // Tasks named in the record may have been started, and must not be started again.
    runtime_.log(LogLevel::Error, "record_rejected",
                 {{"key", record.key.substr(0, kMaxLoggedKey)}, {"then", "term ended"}});
    return leadership_.step_down("a progress record cannot be read");
  }
  if (const std::string next = next_page_key(reply); !next.empty()) return load_progress_records(next);
  load_open_records("");
}

void StateWatch::load_open_records(const std::string &from) {
  if (from.empty()) list_requested_at_ = runtime_.now();
  runtime_.store(StoreList{std::string(wire::kOpenPrefix), from}, kListDeadline,
                 [this, from, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
                   if (epoch == leadership_.epoch()) on_open_page(from, reply);
                 });
}

void StateWatch::on_open_page(const std::string &from, const wire::StoreReply &reply) {
  if (reply.status != 200) return retry_later([this, from] { load_open_records(from); });
  if (from.empty()) watched_revision_ = reply.revision;
  for (const auto &record : reply.entries) {
    if (!relisting_) state_writer_.load_end_record(record);
    state_writer_.load_open_record(record.key, record.value, record.mod_revision);
  }
  if (const std::string next = next_page_key(reply); !next.empty()) return load_open_records(next);
  on_open_records_loaded();
}

void StateWatch::on_open_records_loaded() {
  cancellations_.confirm_from_state_service(list_requested_at_);
  if (!relisting_) return leadership_.begin_term();
  relisting_ = false;
}

void StateWatch::watch() {
  if (watching_ || relisting_) return;
  watching_ = true;
  runtime_.store(StoreWatch{std::string(wire::kOpenPrefix), watched_revision_, kWatchHold},
                 kWatchHold + kWatchReplyMargin,
                 [this, requested_at = runtime_.now(), epoch = leadership_.epoch()](const wire::StoreReply &reply) {
                   if (epoch == leadership_.epoch()) on_watch_reply(requested_at, reply);
                 });
}

void StateWatch::on_watch_reply(double requested_at, const wire::StoreReply &reply) {
  watching_ = false;
  if (reply.status == kRevisionTooOld || reply.status == 0) { // 0: no reply
    relisting_ = true;
    return load_open_records("");
  }
  if (reply.status != 200) return; // retried at the next tick
  for (const auto &event : reply.events)
    if (event.value) state_writer_.load_open_record(event.key, *event.value, event.mod_revision);
  watched_revision_ = std::max(watched_revision_, reply.revision);
  cancellations_.confirm_from_state_service(requested_at);
  watch();
}

// Compares a page of open records with the job table, so that a change missed by the watch can't stall a job forever.
// Any mismatch is a defect.
void StateWatch::audit() {
  next_audit_at_ = runtime_.now() + std::max(kMinAuditInterval, kReadsPerAudit / settings_.state_rps);
  auditing_ = true;
  runtime_.store(StoreList{std::string(wire::kOpenPrefix), audited_until_}, kListDeadline,
                 [this, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
                   if (epoch == leadership_.epoch()) on_audit_page(reply);
                 });
}

void StateWatch::on_audit_page(const wire::StoreReply &reply) {
  auditing_ = false;
  if (reply.status != 200) return;
  const std::string from = std::exchange(audited_until_, next_page_key(reply));
  audit_records(from, reply);
}

void StateWatch::audit_records(const std::string &from, const wire::StoreReply &reply) {
  std::set<std::string> listed;
  for (const auto &record : reply.entries) {
    listed.insert(record.key);
    if (record.mod_revision > watched_revision_) continue; // the watch has not delivered it yet
    const std::string_view mismatch = state_writer_.audit_open_record(record);
    if (mismatch.empty()) continue;
    runtime_.log(LogLevel::Error, "audit_mismatch_found",
                 {{"key", record.key.substr(0, kMaxLoggedKey)}, {"what", mismatch}});
  }
  for (const auto &key : state_writer_.resync_absent_jobs(from, audited_until_, listed, reply.revision))
    runtime_.log(LogLevel::Error, "audit_mismatch_found",
                 {{"key", key.substr(0, kMaxLoggedKey)}, {"what", "no longer open"}});
}

} // namespace loftrouter::core
