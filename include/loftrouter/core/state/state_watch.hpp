// Reads the records of the state service when this replica is elected, and follows the open ones while it leads.
//
// Owns the list, the watch and the audit under way. Invariant: when it confirms a moment to `Cancellations`, everything
// that was recorded before then has been taken into the job table; if it were broken, a job could be forgotten, or a
// task could run after its cancellation (rules `forgotten`, `ran_cancelled`). Progress records are read before open
// records, and the term begins only when all of both have been read. Not thread-safe: used by the core's thread alone.
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

  // Sends the next watch and the next audit, if they are due.
  void tick();

  void on(const LeaderElected &);
  void on(const TermStarted &) { watch(); }
  void on(const TermEnded &);

private:
  // Lists of progress and open records, page by page. `from`: the last key of the page before; empty: the first page.
  void load_progress_records(const std::string &from);
  void on_progress_page(const std::string &from, const wire::StoreReply &reply);
  void load_open_records(const std::string &from);
  void on_open_page(const std::string &from, const wire::StoreReply &reply);
  void on_open_records_loaded();

  void watch();
  void on_watch_reply(double asked_at, const wire::StoreReply &reply);

  void audit();
  void on_audit_page(const wire::StoreReply &reply);
  void audit_records(const std::string &from, const wire::StoreReply &reply);

  // Calls `action` after a pause, unless this replica's role has changed by then.
  void retry_later(std::function<void()> action);

  Runtime &runtime_;
  const Settings &settings_;
  Leadership &leadership_;
  StateWriter &state_writer_;
  Cancellations &cancellations_;

  std::uint64_t watched_revision_ = 0; // changes up to it have been taken in
  bool watching_ = false;
  bool relisting_ = false; // all open records are read again, as the watch has failed
  double listed_at_ = 0;   // monotonic, s: when the first page of the list under way was asked for

  bool auditing_ = false;
  std::string audited_until_; // the last key of the audit's last page; empty: it begins anew
  double next_audit_at_ = 0;  // monotonic, s
};

} // namespace loftrouter::core
