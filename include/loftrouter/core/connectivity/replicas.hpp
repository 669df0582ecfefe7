// What siblings tell each other, and what follows from it: whether an outage of the state service is everybody's, and
// how its limits are shared out.
//
// Owns the siblings' last statements. Promises that a statement counts from when it was asked for, and that a leader
// goes on without the state service only while every sibling says that it is cut off too; if that were wrong, two
// leaders could keep workers alive (ran_twice). See docs/safety.md, "Outages". What was cancelled meanwhile is
// `Cancellations`'.
#pragma once

#include <string>
#include <vector>

#include "loftrouter/core/election/leadership.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/state_service_limits.hpp"
#include "loftrouter/core/state/cancellations.hpp"

namespace loftrouter::core {

class Replicas {
public:
  struct State {
    std::uint64_t nonce = 0;
    double sent_at = -1e9, stated_at = -1e9, uptime_s = 0; // of its last answer: when it was asked for
    bool cut_off = false, leads = false, spreads = false, passes = false;
    ConnectivityRecord connectivity;
    // Of its last question here, by its own dialling: it could pass reports on to this node.
    double asked_at = -1e9;
    ConnectivityRecord asks_with;
    bool knows_dependencies = false; // by the same: its version knows of jobs that wait for others
    std::uint64_t term = 0;          // that it knows of, or leads
    StateServiceLimits::Use use;
  };
  struct Standing { // of this node, towards workers
    bool leads = false, spreads = false, passes = false;
  };
  static constexpr double kPingEvery = 0.5; // s

  Replicas(Runtime &runtime, const Settings &settings, Leadership &leadership, StateServiceLimits &state_limits,
           Cancellations &cancellations);

  std::size_t count() const { return states_.size(); }
  const State &operator[](std::size_t i) const { return states_[i]; }
  const std::string &name(std::size_t i) const { return settings_.replicas[i].node; }
  std::uint8_t self() const { return self_; } // index of this node among the sorted names of all
  int by_sender(std::uint8_t sender) const;   // sibling, or -1

  bool ping_due() const { return runtime_.now() >= next_ping_; }
  void ping();
  void answer_ping(const CmdPeer &cmd, const Standing &standing);
  bool take_pong(const CmdPeer &cmd); // false: not the answer to the last question
  void tell_all(const wire::PeerMessage &message);

  void say(const ConnectivityRecord &own) { own_ = own; } // with every answer from now on

  // A sibling of a version that knows nothing of jobs that wait for others, by its own questions of late or as the
  // leader: such jobs are not accepted until it is gone or silent.
  bool earlier_version() const;

  bool cut_off() const; // this node, from the state service
  // Everybody's outage: nobody can be elected, so the leader may go on answering reports for as long as every sibling
  // keeps saying so. It starts nothing.
  bool common_outage() const;
  bool extended() const;
  // Workers' leases may be renewed: nobody else leads, and what is not known to be cancelled would be over in time.
  bool answering() const { return (leadership_.active() || extended()) && cancellations_.may_renew(); }

private:
  Runtime &runtime_;
  const Settings &settings_;
  Leadership &leadership_;
  StateServiceLimits &state_limits_;
  Cancellations &cancellations_;
  std::vector<State> states_;
  std::uint8_t self_ = 0;
  std::vector<int> by_name_; // sibling, or -1 for this node, by index in the sorted names of all
  std::uint64_t ping_nonce_;
  double next_ping_ = 0;
  ConnectivityRecord own_;
};

} // namespace loftrouter::core
