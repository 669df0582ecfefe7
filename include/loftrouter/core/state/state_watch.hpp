// Reads the records when this node is elected, and follows the open ones while it leads.
//
// Owns the watch. Promises that when it passes news on to `Cancellations`, all that was recorded before it asked is in
// the job table: every submission, every cancellation (ran_cancelled, forgotten).
#pragma once

#include <string>

#include "loftrouter/core/election/leadership.hpp"
#include "loftrouter/core/state/cancellations.hpp"
#include "loftrouter/core/state/state_writer.hpp"

namespace loftrouter::core {

class StateWatch {
public:
  StateWatch(Runtime &runtime, const Settings &settings, Leadership &leadership, StateWriter &state_writer,
             Cancellations &cancellations)
      : runtime_(runtime), settings_(settings), leadership_(leadership), state_writer_(state_writer),
        cancellations_(cancellations) {}

  void tick();

  void on(const LeaderElected &);
  void on(const TermStarted &) { follow(); }
  void on(const TermEnded &) { following_ = relisting_ = auditing_ = false; }

private:
  void load_progress(std::string from);
  void load_open(std::string from);
  void follow();
  void audit();
  // Calls `fn` after a pause, if this node's role is still the same.
  void again(std::function<void()> fn);

  Runtime &runtime_;
  const Settings &settings_;
  Leadership &leadership_;
  StateWriter &state_writer_;
  Cancellations &cancellations_;
  std::uint64_t follow_from_ = 0;
  bool following_ = false, relisting_ = false, auditing_ = false;
  std::string audited_; // up to this key
  double next_audit_ = 0;
  double listed_from_ = -1e9;
};

} // namespace loftrouter::core
