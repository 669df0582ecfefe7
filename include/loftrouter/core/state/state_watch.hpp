// Loads the stored records after this replica is elected, and watches and audits the open records while it leads.
//
// The term begins only after all records have been loaded. Invariant: the job table includes everything recorded before
// a time that is confirmed to `Cancellations`; otherwise a job could be forgotten or a task could run after its
// cancellation (rules `forgotten`, `ran_cancelled`, docs/safety.md). Not thread-safe: used by the core thread only.
#pragma once

#include <functional>
#include <string>

#include "loftrouter/core/election/leadership.hpp"
#include "loftrouter/core/state/cancellations.hpp"
#include "loftrouter/core/state/state_writer.hpp"

namespace loftrouter::core {

class StateWatch {
public:
  StateWatch(Runtime &runtime, const Settings &settings, Leadership &leadership, StateWriter &state_writer,
             Cancellations &cancellations);

  void tick();

  void on(const LeaderElected &);
  void on(const TermStarted &) { watch(); }
  void on(const TermEnded &);

private:
  // Read one page. `from`: last key of the previous page; empty: read the first page.
  void load_progress_records(const std::string &from);
  void on_progress_page(const std::string &from, const wire::StoreReply &reply);
  void load_open_records(const std::string &from);
  void on_open_page(const std::string &from, const wire::StoreReply &reply);
  void on_open_records_loaded();

  void watch();
  void on_watch_reply(double requested_at, const wire::StoreReply &reply);

  void audit();
  void on_audit_page(const wire::StoreReply &reply);
  void audit_records(const std::string &from, const wire::StoreReply &reply);

  // Calls `action` after a delay, unless the leadership epoch has changed by then.
  void retry_later(std::function<void()> action);

  Runtime &runtime_;
  const Settings &settings_;
  Leadership &leadership_;
  StateWriter &state_writer_;
  Cancellations &cancellations_;

  std::uint64_t watched_revision_ = 0; // all changes up to this revision have been loaded
  bool watching_ = false;
  bool relisting_ = false;       // loading all open records again after the watch failed
  double list_requested_at_ = 0; // monotonic, s: when the first page was requested

  bool auditing_ = false;
  std::string audited_until_; // last key of the latest audited page; empty: at the start
  double next_audit_at_ = 0;  // monotonic, s
};

} // namespace loftrouter::core
