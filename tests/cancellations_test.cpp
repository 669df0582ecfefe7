// What a leader knows of cancellations, against a slow plain model that remembers every note of every node: whatever
// was noted before `known_until` has to be marked in the job table, or as soon as its job comes into it.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "world.hpp"

using namespace loftrouter;
using namespace loftrouter::core;
using loftrouter::test::job_name;

namespace {

constexpr double kCancel = 40, kDriftOfSiblings[] = {0.0005, -0.0005};

struct Replica { // as Cancellations::repeated() of another process would have it
  double began = 0;
  std::deque<std::pair<std::string, double>> noted; // and when, by the true clock
};

class Model {
public:
  explicit Model(unsigned seed) : rng(seed) {
    pass(0);
    elect();
  }
  int pick(int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); }

  // By the answers of a state service that says yes; the records are read from then on.
  void elect() {
    MachineType type;
    type.name = "t";
    catalog.take({type});
    lead.step_down("a new term");
    deliver();
    for (int i = 0; i < 200 && lead.role() != Role::Loading; ++i) {
      pass(0.1);
      lead.tick();
      for (auto ops = port.take().store; !ops.empty(); ops = port.take().store)
        for (const auto &op : ops) {
          wire::StoreReply r;
          r.status = std::holds_alternative<StoreGet>(op.what) ? 404 : 200;
          r.lease = 7;
          r.revision = ++revision;
          port.answered({op.op, r});
        }
      deliver();
    }
    ASSERT_EQ(lead.role(), Role::Loading);
    in_table.clear();
    under_way.clear();
  }
  void pass(double s) { port.begin({t += s, 1.7e9 + t}); }
  void deliver() {
    events.deliver([this](const auto &e) {
      if constexpr (requires { known.on(e); }) known.on(e);
      if constexpr (requires { jobs.on(e); }) jobs.on(e);
    });
  }

  void note_at(int replica) {
    const auto id = job_name(next++);
    notes[id] = t;
    if (replica == 2) return known.note(id), deliver();
    replicas[replica].noted.emplace_back(id, t);
  }
  void restart(int replica) { replicas[replica] = {t, {}}; }
  void word(int replica, double asked) { // of now; it may be as old as its question
    auto &s = replicas[replica];
    const double rate = 1 + kDriftOfSiblings[replica];
    std::erase_if(s.noted, [&](const auto &n) { return (t - n.second) * rate > kCancel; });
    std::vector<std::string> ids;
    for (auto it = s.noted.rbegin(); it != s.noted.rend() && ids.size() < wire::kPeerMaxCancelled; ++it)
      ids.push_back(it->first);
    known.hear(static_cast<std::size_t>(replica), asked, (t - s.began) * rate, ids);
    deliver();
  }
  // What the state service was asked now, to be answered at any later time: of what was recorded by then, a part of the
  // open jobs, with their marks, into the table.
  void ask() {
    std::map<std::string, bool> open;
    for (int i = std::max(0, next - 40); i < next + 5; ++i)
      if (pick(4)) open[job_name(i)] = notes.contains(job_name(i));
    under_way.emplace_back(t, std::move(open));
  }
  void answer() {
    if (under_way.empty()) return;
    auto [asked, open] = std::move(under_way.front());
    under_way.pop_front();
    for (const auto &[id, at] : notes)
      if (at <= asked && jobs.index(id).valid()) jobs.cancel(jobs.index(id));
    for (const auto &[id, marked] : open) {
      if (!jobs.index(id).valid() && in_table.insert(id).second) {
        OpenRecord r;
        r.spec.id = id;
        r.spec.tasks = 1;
        const JobIndex j = jobs.add(std::move(r), ++revision);
        events.publish(JobAccepted{j});
      }
      if (const JobIndex j = jobs.index(id); marked && j.valid()) jobs.cancel(j);
    }
    known.news(asked);
    deliver();
  }
  void end_job() { // a job that is over leaves the table; its mark was followed
    if (!in_table.empty()) {
      const auto id = *in_table.begin();
      if (const JobIndex j = jobs.index(id); j.valid()) jobs.remove(j);
      deliver();
    }
  }
  std::string check() const {
    for (const auto &[id, at] : notes)
      if (const JobIndex j = jobs.index(id); at < known.known_until() - 1e-6 && j.valid() && !jobs[j].cancelled)
        return id + " noted at " + std::to_string(at) + ", known until " + std::to_string(known.known_until());
    return {};
  }

  std::mt19937 rng;
  double t = 100;
  static Settings three_nodes() {
    Settings s;
    s.cancel_s = kCancel;
    s.replicas = {{"b", "a", ""}, {"c", "a", ""}};
    return s;
  }
  const Settings settings = three_nodes();
  Runtime port{1};
  Events events;
  InstanceTypeCatalog catalog{{"a"}};
  Leadership lead{port, events, settings, catalog};
  JobTable jobs{port, events, settings};
  Cancellations known{port, settings, lead, jobs};
  Replica replicas[2] = {{t, {}}, {t, {}}};
  std::map<std::string, double> notes;
  std::set<std::string> in_table;
  std::deque<std::pair<double, std::map<std::string, bool>>> under_way; // questions, in order
  int next = 1;
  std::uint64_t revision = 100;
};

} // namespace

TEST(KnownUntil, NothingNotedBeforeItIsUnmarked) {
  double moved_by_words = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    Model m(seed);
    bool linked[2] = {true, true}, state = true;
    for (int step = 0; step < 3000; ++step) {
      m.pass(0.02 * m.pick(8));
      const double asked = m.t; // of this step's words
      switch (m.pick(12)) {
      case 0:
      case 1:
        m.note_at(m.pick(3));
        break;
      case 2:
        if (m.pick(60) == 0)
          for (int i = 0; i < 80; ++i) // more than a frame holds
            m.note_at(0);
        break;
      case 3:
        if (m.pick(12) == 0) m.restart(m.pick(2));
        break;
      case 4:
        if (m.pick(25) == 0) state = !state;
        break;
      case 5:
        if (m.pick(12) == 0) linked[m.pick(2)] ^= true;
        break;
      case 6:
        if (m.pick(150) == 0) m.pass(kCancel);
        if (m.pick(150) == 0) m.elect();
        break;
      case 7:
        if (state) m.ask();
        break;
      case 8:
        if (state || m.pick(3) == 0) m.answer(); // also late
        break;
      case 9:
        m.end_job();
        break;
      default:
        break;
      }
      if (m.pick(3) == 0) m.pass(0.01 * m.pick(100)); // between a question and its answer
      for (int s = 0; s < 2; ++s)
        if (linked[s] && m.pick(2)) {
          const double before = m.known.known_until();
          m.word(s, asked);
          moved_by_words += std::min(5.0, std::max(0.0, m.known.known_until() - before));
        }
      ASSERT_EQ(m.check(), "") << "seed " << seed << " step " << step;
    }
  }
  EXPECT_GT(moved_by_words, 1000) << "most of it is known by words";
}
