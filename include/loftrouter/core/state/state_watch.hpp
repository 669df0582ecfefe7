// Loads the stored records after this replica is elected, and watches the open records while it leads.
//
// Progress records are read before open records, and the term begins only after all of both are loaded. Invariant:
// everything recorded before a time that it confirms to `Cancellations` has been merged into the job table; otherwise a
// job could be forgotten or a task could run after its cancellation (rules `forgotten`, `ran_cancelled`). Not
// thread-safe: used by the core thread only.
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

  // Sends the next watch and audit requests that are due.
  void tick();

  void on(const LeaderElected &);
  void on(const TermStarted &) { watch(); }
  void on(const TermEnded &);

private:
  // Read the progress and open records page by page. `from`: last key of the previous page; empty: the first page.
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

  // Calls `action` after a delay, unless this replica's role has changed by then.
  void retry_later(std::function<void()> action);

  Runtime &runtime_;
  const Settings &settings_;
  Leadership &leadership_;
  StateWriter &state_writer_;
  Cancellations &cancellations_;

  std::uint64_t watched_revision_ = 0; // all changes up to this revision have been loaded
  bool watching_ = false;
  bool relisting_ = false; // reading all open records again after the watch failed
  double listed_at_ = 0;   // monotonic, s: when the first page of the current list was requested

  bool auditing_ = false;
  std::string audited_until_; // last key of the latest audited page; empty: start over
  double next_audit_at_ = 0;  // monotonic, s
};

} // namespace loftrouter::core
