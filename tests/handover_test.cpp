// The hand-over between two cells, searched in full: two jobs, each in up to two generations, frames that are lost,
// late, doubled and out of order, crashes of both leaders, time that passes at any point. The machine is the one that
// the core uses; the mutants show that the search can find what is wrong.
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
  GrantFromAnswer,
  GenerationIgnored,
  RecordAfterOffer,
  TermIgnored,
  OldAnswerTaken,
  HomeTermIgnored
};

// What there may be at most of each.
struct Size {
  int jobs = 1, generations = 1, frames = 2, terms = 2, questions = 2;
};
constexpr int kMaxJobs = 2;
constexpr LeaseTerms kTerms{2, 1, 0, 0}; // in ticks

struct Frame {
  enum Kind : char { Offer, Ask, Grant, Ended } kind;
  char job, generation, asked_left; // the last: ticks since the question that a grant answers, as far as they count
  char term;                        // of the borrower's leader that sent it, or that it answers
  char question;                    // its number; 0: neither question nor answer
  char origin_term;                 // of home's leader that sent it, or that its sender knows
  bool yes;
  bool operator<(const Frame &o) const { return std::memcmp(this, &o, sizeof o) < 0; }
};

struct Job {
  // Home.
  char generation = 0; // latest used
  std::optional<DelegationAtOrigin> delegation;
  char recorded = 0; // the generation that the state service has as lent; 0: none
  bool runs_here = false, done = false;
  // Borrower.
  std::optional<DelegationAtRemote> inbound;
  char kept = 0;         // the generation that its state service has
  char runs_left = -1;   // ticks that its workers may go on at most; negative: nothing runs
  char ran = 0;          // generation that runs there
  bool finished = false; // there, under `kept`
};

struct State {
  double now = 0;
  char term = 1;     // of the borrower's leader
  char question = 0; // its latest
  char origin_term = 1, knows_origin_term = 0;
  Job jobs[kMaxJobs];
  std::vector<Frame> frames; // sorted

  std::string key() const {
    std::string out{term, question, origin_term, knows_origin_term};
    auto left = [this](double until) {
      return static_cast<char>(until == kNever ? 99 : std::clamp(until - now, -1.0, 4.0));
    };
    for (const auto &j : jobs) {
      out += {j.generation, j.recorded, static_cast<char>(j.runs_here), static_cast<char>(j.done), j.kept,
              j.runs_left,  j.ran,      static_cast<char>(j.finished)};
      if (j.delegation)
        out += {'L',
                static_cast<char>(j.delegation->generation()),
                static_cast<char>(j.delegation->may_offer()),
                static_cast<char>(j.delegation->closing()),
                static_cast<char>(j.delegation->released(now)),
                left(j.delegation->expires_at()),
                static_cast<char>(j.delegation->remote_term())};
      if (j.inbound)
        out += {'D', static_cast<char>(j.inbound->generation()), static_cast<char>(j.inbound->closed()),
                left(j.inbound->expires_at()), static_cast<char>(j.inbound->last_earlier_request())};
    }
    for (const auto &f : frames)
      out.append(reinterpret_cast<const char *>(&f), sizeof f);
    return out;
  }
};

class Search {
public:
  Search(Mutant m, Size size) : mutant_(m), size_(size) {}
  std::size_t states = 0;
  std::string broken; // the first state that must not be, in words

  void run(std::size_t most) {
    std::deque<std::pair<State, int>> todo{{State{}, 0}};
    std::unordered_set<std::string> seen{State{}.key()};
    while (!todo.empty() && broken.empty() && states < most) {
      auto [s, depth] = std::move(todo.front());
      todo.pop_front();
      ++states;
      deepest = depth;
      for (auto &next : steps(s)) {
        check(next);
        if (seen.insert(next.key()).second) todo.emplace_back(std::move(next), depth + 1);
      }
    }
    whole = todo.empty();
  }
  int deepest = 0;
  bool whole = false; // every state that there is

private:
  void check(const State &s) {
    for (const auto &j : s.jobs)
      if (j.runs_here && j.runs_left >= 0) broken = "runs in both cells";
  }

  void send(State &s, Frame f) const {
    if (s.frames.size() >= static_cast<std::size_t>(size_.frames) ||
        std::count_if(s.frames.begin(), s.frames.end(), [&](const Frame &x) { return !(x < f) && !(f < x); }))
      return; // lost, or there already
    s.frames.insert(std::upper_bound(s.frames.begin(), s.frames.end(), f), f);
  }

  std::vector<State> steps(const State &s) const {
    std::vector<State> out;
    auto with = [&](auto change) {
      State n = s;
      change(n);
      out.push_back(std::move(n));
    };
    for (char k = 0; k < size_.jobs; ++k) {
      const Job &j = s.jobs[static_cast<std::size_t>(k)];
      const auto at = static_cast<std::size_t>(k);
      // Home.
      const bool free = !j.delegation && !j.runs_here && !j.done;
      if (free && j.generation < size_.generations)
        with([&](State &n) {
          Job &x = n.jobs[at];
          x.delegation.emplace(static_cast<Generation>(++x.generation), static_cast<std::uint64_t>(n.origin_term));
          if (mutant_ == Mutant::RecordAfterOffer) x.delegation->mark_recorded();
        });
      if (j.delegation && j.recorded != j.generation && !j.delegation->released(s.now))
        with([&](State &n) {
          n.jobs[at].recorded = n.jobs[at].generation;
          n.jobs[at].delegation->mark_recorded();
        });
      if (j.delegation && j.delegation->may_offer())
        with([&](State &n) { send(n, {Frame::Offer, k, j.generation, 0, 0, 0, n.origin_term, false}); });
      if (j.delegation && !j.delegation->closing() && !j.delegation->released(s.now))
        with([&](State &n) { n.jobs[at].delegation->close(); });
      if (j.delegation && j.delegation->released(s.now))
        with([&](State &n) {
          n.jobs[at].delegation.reset();
          n.jobs[at].recorded = 0;
        });
      if (free) with([&](State &n) { n.jobs[at].runs_here = true; });
      if (j.runs_here)
        with([&](State &n) {
          n.jobs[at].runs_here = false;
          n.jobs[at].done = true;
        });
      // Borrower.
      if (j.inbound && !j.inbound->closed() && s.question < size_.questions)
        with([&](State &n) { send(n, {Frame::Ask, k, j.kept, 0, n.term, ++n.question, 0, false}); });
      if (j.inbound && j.inbound->may_run(s.now) && j.runs_left < 0 && !j.finished)
        with([&](State &n) {
          n.jobs[at].runs_left = static_cast<char>(kTerms.lease_s);
          n.jobs[at].ran = j.kept;
        });
      if (j.runs_left >= 0)
        with([&](State &n) { // it ends by itself
          n.jobs[at].runs_left = -1;
          n.jobs[at].finished |= j.ran == j.kept;
        });
      if (j.inbound && (j.inbound->closed() || j.finished) && j.runs_left < 0)
        with([&](State &n) { send(n, {Frame::Ended, k, j.kept, 0, n.term, 0, n.knows_origin_term, j.finished}); });
      if (j.inbound && !j.inbound->closed()) with([&](State &n) { n.jobs[at].inbound->close(); }); // given back
    }
    // Frames arrive, once or again, or never.
    for (std::size_t f = 0; f < s.frames.size(); ++f)
      for (const bool again : {false, true}) {
        State n = s;
        const Frame frame = s.frames[f];
        if (!again) n.frames.erase(n.frames.begin() + static_cast<long>(f));
        take(n, frame);
        out.push_back(std::move(n));
      }
    // The leader at home, and at the borrower, is another: what is not recorded is forgotten.
    if (s.origin_term < size_.terms)
      with([&](State &n) {
        ++n.origin_term;
        for (auto &j : n.jobs) {
          j.delegation.reset();
          if (j.recorded)
            j.delegation = DelegationAtOrigin::restored(static_cast<Generation>(j.recorded),
                                                        static_cast<std::uint64_t>(n.origin_term), n.now, kTerms);
        }
      });
    if (s.term < size_.terms)
      with([&](State &n) {
        ++n.term;
        n.knows_origin_term = 0;
        for (auto &j : n.jobs) {
          j.inbound.reset();
          if (j.kept) j.inbound.emplace(static_cast<Generation>(j.kept), static_cast<std::uint64_t>(n.question));
        }
      });
    with([&](State &n) { pass_time(n); });
    return out;
  }

  void pass_time(State &n) const {
    n.now += 1;
    for (auto &f : n.frames)
      if (f.kind == Frame::Grant || f.kind == Frame::Ask)
        f.asked_left = static_cast<char>(std::min(3, f.asked_left + 1));
    std::sort(n.frames.begin(), n.frames.end());
    for (auto &j : n.jobs) {
      if (j.inbound) j.inbound->tick(n.now);
      // The workers' leases: renewed for as long as the leader lets them go on, over at most a lease later.
      if (j.runs_left >= 0)
        j.runs_left = j.inbound && j.inbound->may_run(n.now) && j.ran == j.kept ? static_cast<char>(kTerms.lease_s)
                                                                                : static_cast<char>(j.runs_left - 1);
    }
  }

  void take(State &n, const Frame &f) const {
    if (f.kind == Frame::Offer || f.kind == Frame::Grant)
      n.knows_origin_term = std::max(n.knows_origin_term, f.origin_term);
    Job &j = n.jobs[static_cast<std::size_t>(f.job)];
    const bool mine = mutant_ == Mutant::GenerationIgnored ||
                      (j.delegation && j.delegation->generation() == static_cast<Generation>(f.generation));
    switch (f.kind) {
    case Frame::Offer: // recorded before it says yes; an older one is still in the way, or this one is known
      if (j.kept || j.runs_left >= 0) return;
      j.kept = f.generation;
      j.finished = false;
      j.inbound.emplace(static_cast<Generation>(f.generation),
                        mutant_ == Mutant::OldAnswerTaken ? 0 : static_cast<std::uint64_t>(n.question));
      return;
    case Frame::Ask:
      return send(n,
                  {Frame::Grant, f.job, f.generation, f.asked_left, f.term, f.question, n.origin_term,
                   j.delegation && mine && j.delegation->confirm(n.now, static_cast<std::uint64_t>(f.term), kTerms)});
    case Frame::Grant:
      if (!j.inbound || f.term != n.term) return; // not an answer to this leader
      if (mutant_ != Mutant::GenerationIgnored && j.kept != f.generation) return;
      if (!f.yes) return j.inbound->close();
      j.inbound->apply_grant(static_cast<std::uint64_t>(f.question),
                             mutant_ == Mutant::GrantFromAnswer ? n.now : n.now - f.asked_left, kTerms);
      return;
    case Frame::Ended:
      if (j.delegation && mine &&
          j.delegation->mark_ended(
              mutant_ == Mutant::TermIgnored ? ~std::uint64_t(0) : static_cast<std::uint64_t>(f.term),
              static_cast<std::uint64_t>(mutant_ == Mutant::HomeTermIgnored ? n.origin_term : f.origin_term)))
        j.done |= f.yes;
      // Home's answer, which may be lost; taken at once, it lets the borrower forget.
      if (!j.delegation || !mine || j.delegation->released(n.now)) {
        if (j.kept == f.generation && j.runs_left < 0) {
          j.kept = 0;
          j.inbound.reset();
        }
      }
    }
  }

  Mutant mutant_;
  Size size_;
};

} // namespace

// LOFTROUTER_STATES=N: so many states of larger sizes, instead of a few.
std::size_t more_states() {
  const char *env = std::getenv("LOFTROUTER_STATES");
  return env ? static_cast<std::size_t>(std::atol(env)) : 20'000;
}

TEST(Handover, NoTwoCellsEverRunTheSameWork) {
  Search all(Mutant::None, {});
  all.run(1'000'000);
  EXPECT_EQ(all.broken, "");
  EXPECT_TRUE(all.whole) << all.states; // every state of this size
  for (const Size &size : {Size{1, 2, 2, 2, 2}, Size{1, 2, 3, 2, 3}, Size{1, 1, 3, 3, 3}, Size{2, 2, 3, 2, 3}}) {
    Search s(Mutant::None, size);
    s.run(more_states());
    EXPECT_EQ(s.broken, "") << s.states;
    EXPECT_GE(s.deepest, 6);
    std::printf("%d jobs, %d generations, %d frames, %d terms, %d questions: %zu states to depth %d%s\n", size.jobs,
                size.generations, size.frames, size.terms, size.questions, s.states, s.deepest,
                s.whole ? ", all there are" : "");
  }
}

TEST(Handover, EachMutantIsFound) {
  for (auto m : {Mutant::GrantFromAnswer, Mutant::GenerationIgnored, Mutant::RecordAfterOffer, Mutant::TermIgnored,
                 Mutant::OldAnswerTaken, Mutant::HomeTermIgnored}) {
    Size size;
    size.questions = 1;
    if (m == Mutant::GenerationIgnored) size.generations = 2;
    if (m == Mutant::OldAnswerTaken) size.frames = 3;
    if (m == Mutant::GenerationIgnored || m == Mutant::OldAnswerTaken || m == Mutant::GrantFromAnswer) size.terms = 1;
    Search s(m, size);
    s.run(1'000'000);
    EXPECT_EQ(s.broken, "runs in both cells") << static_cast<int>(m) << " " << s.states << " " << s.deepest << s.whole;
  }
}
