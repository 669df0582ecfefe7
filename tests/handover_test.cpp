// Model-checks the delegation protocol between an origin cell and a remote cell. Guards against a job that runs in both
// cells when messages are lost, delayed, duplicated or reordered, leaders fail over, or time passes at any point.
//
// The search drives the state machines that the core uses. Each mutant breaks one rule of the protocol, to show that
// the search detects it.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "loftrouter/core/federation/delegation_protocol.hpp"

using namespace loftrouter::cells;

namespace {

enum class Mutant {
  None,
  LeaseStartsAtAnswer,   // instead of when the request was sent
  IgnoresGeneration,     // of requests, grants and ends
  OffersBeforeRecording, // before the origin cell's record is committed
  IgnoresRemoteTerm,     // of ends
  AcceptsOldAnswer,      // to a request sent before the delegation
  IgnoresOriginTerm      // of ends
};

struct Bounds {
  int jobs = 1;
  int generations = 1; // delegations of each job
  int messages = 2;    // in flight at once
  int terms = 2;       // of the leaders of each cell
  int requests = 2;    // for a grant, over all jobs
};
constexpr int kMaxJobs = 2;
constexpr LeaseTerms kLeaseTermsTicks{2, 1, 0, 0};

struct Message {
  enum Kind : char { Offer, Request, Grant, Ended } kind;
  char job, generation;
  char request_age;    // ticks since the request was sent, up to 3
  char remote_term;    // of the remote leader that sent the message or is answered by it
  char request_number; // 0: neither a request nor its answer
  char origin_term;    // of the origin leader that sent the message, or that the sender knows
  bool accepted;       // of a grant: the job may run; of an end: the job finished
  bool operator<(const Message &other) const { return std::memcmp(this, &other, sizeof other) < 0; }
};

struct Job {
  // Origin cell.
  char generation = 0; // latest used
  std::optional<DelegationAtOrigin> delegation;
  char recorded = 0; // delegated generation in the origin's state service; 0: none
  bool runs_at_origin = false, done = false;
  // Remote cell.
  std::optional<DelegationAtRemote> inbound;
  char stored_generation = 0;  // in the remote cell's state service; 0: none
  char lease_ticks_left = -1;  // of its workers; negative: nothing runs
  char running_generation = 0; // last one that was started there
  bool finished = false;       // under `stored_generation`
};

struct State {
  double now = 0;
  char remote_term = 1;
  char request_number = 0; // latest of the remote leader
  char origin_term = 1;
  char known_origin_term = 0; // highest that the remote leader has seen
  Job jobs[kMaxJobs];
  std::vector<Message> messages; // sorted

  // Identifies the state. 'L' and 'D' mark the fields of a delegation at the origin and at the remote cell.
  std::string key() const {
    std::string out{remote_term, request_number, origin_term, known_origin_term};
    auto ticks_until = [this](double time) {
      return static_cast<char>(time == kNever ? 99 : std::clamp(time - now, -1.0, 4.0));
    };
    for (const auto &job : jobs) {
      out += {job.generation,
              job.recorded,
              static_cast<char>(job.runs_at_origin),
              static_cast<char>(job.done),
              job.stored_generation,
              job.lease_ticks_left,
              job.running_generation,
              static_cast<char>(job.finished)};
      if (job.delegation)
        out += {'L',
                static_cast<char>(job.delegation->generation()),
                static_cast<char>(job.delegation->may_offer()),
                static_cast<char>(job.delegation->closing()),
                static_cast<char>(job.delegation->released(now)),
                ticks_until(job.delegation->expires_at()),
                static_cast<char>(job.delegation->remote_term())};
      if (job.inbound)
        out += {'D', static_cast<char>(job.inbound->generation()), static_cast<char>(job.inbound->closed()),
                ticks_until(job.inbound->expires_at()), static_cast<char>(job.inbound->last_earlier_request())};
    }
    for (const auto &message : messages)
      out.append(reinterpret_cast<const char *>(&message), sizeof message);
    return out;
  }
};

class Search {
public:
  Search(Mutant mutant, Bounds bounds) : mutant_(mutant), bounds_(bounds) {}
  std::size_t states = 0;
  std::string violation; // description of a violated invariant

  void run(std::size_t max_states) {
    std::deque<std::pair<State, int>> queue{{State{}, 0}};
    std::unordered_set<std::string> seen{State{}.key()};
    while (!queue.empty() && violation.empty() && states < max_states) {
      auto [state, depth] = std::move(queue.front());
      queue.pop_front();
      ++states;
      deepest = depth;
      for (auto &next : successors(state)) {
        check_invariant(next);
        if (seen.insert(next.key()).second) queue.emplace_back(std::move(next), depth + 1);
      }
    }
    exhaustive = queue.empty();
  }
  int deepest = 0;
  bool exhaustive = false; // all states within the bounds were visited

private:
  void check_invariant(const State &state) {
    for (const auto &job : state.jobs)
      if (job.runs_at_origin && job.lease_ticks_left >= 0) violation = "runs in both cells";
  }

  void send(State &state, Message message) const {
    if (state.messages.size() >= static_cast<std::size_t>(bounds_.messages) ||
        std::count_if(state.messages.begin(), state.messages.end(),
                      [&](const Message &other) { return !(other < message) && !(message < other); }))
      return; // lost, or a duplicate
    state.messages.insert(std::upper_bound(state.messages.begin(), state.messages.end(), message), message);
  }

  std::vector<State> successors(const State &state) const {
    std::vector<State> out;
    auto add_successor = [&](auto change) {
      State next = state;
      change(next);
      out.push_back(std::move(next));
    };
    for (char job_number = 0; job_number < bounds_.jobs; ++job_number) {
      const Job &job = state.jobs[static_cast<std::size_t>(job_number)];
      const auto job_position = static_cast<std::size_t>(job_number);
      // Origin cell.
      const bool idle = !job.delegation && !job.runs_at_origin && !job.done;
      if (idle && job.generation < bounds_.generations)
        add_successor([&](State &next) {
          Job &next_job = next.jobs[job_position];
          next_job.delegation.emplace(static_cast<Generation>(++next_job.generation),
                                      static_cast<std::uint64_t>(next.origin_term));
          if (mutant_ == Mutant::OffersBeforeRecording) next_job.delegation->mark_recorded();
        });
      if (job.delegation && job.recorded != job.generation && !job.delegation->released(state.now))
        add_successor([&](State &next) {
          next.jobs[job_position].recorded = next.jobs[job_position].generation;
          next.jobs[job_position].delegation->mark_recorded();
        });
      if (job.delegation && job.delegation->may_offer())
        add_successor([&](State &next) {
          send(next, {Message::Offer, job_number, job.generation, 0, 0, 0, next.origin_term, false});
        });
      if (job.delegation && !job.delegation->closing() && !job.delegation->released(state.now))
        add_successor([&](State &next) { next.jobs[job_position].delegation->close(); });
      if (job.delegation && job.delegation->released(state.now))
        add_successor([&](State &next) {
          next.jobs[job_position].delegation.reset();
          next.jobs[job_position].recorded = 0;
        });
      if (idle) add_successor([&](State &next) { next.jobs[job_position].runs_at_origin = true; });
      if (job.runs_at_origin)
        add_successor([&](State &next) {
          next.jobs[job_position].runs_at_origin = false;
          next.jobs[job_position].done = true;
        });
      // Remote cell.
      if (job.inbound && !job.inbound->closed() && state.request_number < bounds_.requests)
        add_successor([&](State &next) {
          send(next, {Message::Request, job_number, job.stored_generation, 0, next.remote_term, ++next.request_number,
                      0, false});
        });
      if (job.inbound && job.inbound->may_run(state.now) && job.lease_ticks_left < 0 && !job.finished)
        add_successor([&](State &next) {
          next.jobs[job_position].lease_ticks_left = static_cast<char>(kLeaseTermsTicks.lease_s);
          next.jobs[job_position].running_generation = job.stored_generation;
        });
      if (job.lease_ticks_left >= 0)
        add_successor([&](State &next) { // the job ends
          next.jobs[job_position].lease_ticks_left = -1;
          next.jobs[job_position].finished |= job.running_generation == job.stored_generation;
        });
      if (job.inbound && (job.inbound->closed() || job.finished) && job.lease_ticks_left < 0)
        add_successor([&](State &next) {
          send(next, {Message::Ended, job_number, job.stored_generation, 0, next.remote_term, 0, next.known_origin_term,
                      job.finished});
        });
      if (job.inbound && !job.inbound->closed())
        add_successor([&](State &next) { next.jobs[job_position].inbound->close(); }); // returned to the origin
    }
    // Delivers each message, which may stay in flight as a duplicate.
    for (std::size_t index = 0; index < state.messages.size(); ++index)
      for (const bool duplicate : {false, true}) {
        State next = state;
        const Message message = state.messages[index];
        if (!duplicate) next.messages.erase(next.messages.begin() + static_cast<long>(index));
        deliver(next, message);
        out.push_back(std::move(next));
      }
    // Failover at the origin and at the remote cell: the new leader knows only what is recorded.
    if (state.origin_term < bounds_.terms)
      add_successor([&](State &next) {
        ++next.origin_term;
        for (auto &job : next.jobs) {
          job.delegation.reset();
          if (job.recorded)
            job.delegation =
                DelegationAtOrigin::restored(static_cast<Generation>(job.recorded),
                                             static_cast<std::uint64_t>(next.origin_term), next.now, kLeaseTermsTicks);
        }
      });
    if (state.remote_term < bounds_.terms)
      add_successor([&](State &next) {
        ++next.remote_term;
        next.known_origin_term = 0;
        for (auto &job : next.jobs) {
          job.inbound.reset();
          if (job.stored_generation)
            job.inbound.emplace(static_cast<Generation>(job.stored_generation),
                                static_cast<std::uint64_t>(next.request_number));
        }
      });
    add_successor([&](State &next) { pass_time(next); });
    return out;
  }

  void pass_time(State &next) const {
    next.now += 1;
    for (auto &message : next.messages)
      if (message.kind == Message::Grant || message.kind == Message::Request)
        message.request_age = static_cast<char>(std::min(3, message.request_age + 1));
    std::sort(next.messages.begin(), next.messages.end());
    for (auto &job : next.jobs) {
      if (job.inbound) job.inbound->tick(next.now);
      // Workers' leases are renewed while the leader may run the job, and expire within a lease afterwards.
      if (job.lease_ticks_left >= 0)
        job.lease_ticks_left =
            job.inbound && job.inbound->may_run(next.now) && job.running_generation == job.stored_generation
                ? static_cast<char>(kLeaseTermsTicks.lease_s)
                : static_cast<char>(job.lease_ticks_left - 1);
    }
  }

  void deliver(State &next, const Message &message) const {
    if (message.kind == Message::Offer || message.kind == Message::Grant)
      next.known_origin_term = std::max(next.known_origin_term, message.origin_term);
    Job &job = next.jobs[static_cast<std::size_t>(message.job)];
    const bool current_generation =
        mutant_ == Mutant::IgnoresGeneration ||
        (job.delegation && job.delegation->generation() == static_cast<Generation>(message.generation));
    switch (message.kind) {
    case Message::Offer: // ignored while an earlier generation is stored or running
      if (job.stored_generation || job.lease_ticks_left >= 0) return;
      job.stored_generation = message.generation;
      job.finished = false;
      job.inbound.emplace(static_cast<Generation>(message.generation),
                          mutant_ == Mutant::AcceptsOldAnswer ? 0 : static_cast<std::uint64_t>(next.request_number));
      return;
    case Message::Request:
      return send(next, {Message::Grant, message.job, message.generation, message.request_age, message.remote_term,
                         message.request_number, next.origin_term,
                         job.delegation && current_generation &&
                             job.delegation->confirm(next.now, static_cast<std::uint64_t>(message.remote_term),
                                                     kLeaseTermsTicks)});
    case Message::Grant:
      if (!job.inbound || message.remote_term != next.remote_term) return; // answers an earlier leader
      if (mutant_ != Mutant::IgnoresGeneration && job.stored_generation != message.generation) return;
      if (!message.accepted) return job.inbound->close();
      job.inbound->apply_grant(static_cast<std::uint64_t>(message.request_number),
                               mutant_ == Mutant::LeaseStartsAtAnswer ? next.now : next.now - message.request_age,
                               kLeaseTermsTicks);
      return;
    case Message::Ended:
      if (job.delegation && current_generation &&
          job.delegation->mark_ended(
              mutant_ == Mutant::IgnoresRemoteTerm ? ~std::uint64_t(0)
                                                   : static_cast<std::uint64_t>(message.remote_term),
              static_cast<std::uint64_t>(mutant_ == Mutant::IgnoresOriginTerm ? next.origin_term
                                                                              : message.origin_term)))
        job.done |= message.accepted;
      // The origin's answer, delivered at once, lets the remote cell delete its record.
      if (!job.delegation || !current_generation || job.delegation->released(next.now)) {
        if (job.stored_generation == message.generation && job.lease_ticks_left < 0) {
          job.stored_generation = 0;
          job.inbound.reset();
        }
      }
    }
  }

  Mutant mutant_;
  Bounds bounds_;
};

} // namespace

// Returns how many states to visit with the larger bounds; LOFTROUTER_STATES overrides the default.
std::size_t max_states_of_larger_bounds() {
  const char *env = std::getenv("LOFTROUTER_STATES");
  return env ? static_cast<std::size_t>(std::atol(env)) : 20'000;
}

TEST(DelegationModelCheck, JobNeverRunsInBothCells) {
  Search all(Mutant::None, {});
  all.run(1'000'000);
  EXPECT_EQ(all.violation, "");
  EXPECT_TRUE(all.exhaustive) << all.states;
  for (const Bounds &bounds :
       {Bounds{1, 2, 2, 2, 2}, Bounds{1, 2, 3, 2, 3}, Bounds{1, 1, 3, 3, 3}, Bounds{2, 2, 3, 2, 3}}) {
    Search search(Mutant::None, bounds);
    search.run(max_states_of_larger_bounds());
    EXPECT_EQ(search.violation, "") << search.states;
    EXPECT_GE(search.deepest, 6);
    std::printf("%d jobs, %d generations, %d messages, %d terms, %d requests: %zu states to depth %d%s\n", bounds.jobs,
                bounds.generations, bounds.messages, bounds.terms, bounds.requests, search.states, search.deepest,
                search.exhaustive ? ", exhaustive" : "");
  }
}

TEST(DelegationModelCheck, SearchDetectsEachMutant) {
  for (auto mutant : {Mutant::LeaseStartsAtAnswer, Mutant::IgnoresGeneration, Mutant::OffersBeforeRecording,
                      Mutant::IgnoresRemoteTerm, Mutant::AcceptsOldAnswer, Mutant::IgnoresOriginTerm}) {
    Bounds bounds;
    bounds.requests = 1;
    if (mutant == Mutant::IgnoresGeneration) bounds.generations = 2;
    if (mutant == Mutant::AcceptsOldAnswer) bounds.messages = 3;
    if (mutant == Mutant::IgnoresGeneration || mutant == Mutant::AcceptsOldAnswer ||
        mutant == Mutant::LeaseStartsAtAnswer)
      bounds.terms = 1;
    Search search(mutant, bounds);
    search.run(1'000'000);
    EXPECT_EQ(search.violation, "runs in both cells")
        << static_cast<int>(mutant) << " " << search.states << " " << search.deepest << search.exhaustive;
  }
}
