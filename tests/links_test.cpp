// Networks in pieces: every set of broken links between three nodes, the state service and the workers, judged by the
// rules and by what must go on. LOFTROUTER_LINKS=N plays every N-th set (1: all); the result of all of them stands in
// docs/measurements.md.
#include <gtest/gtest.h>

#include "scenario.hpp"

using namespace loftrouter;
using namespace loftrouter::test;

namespace {

using Cut = World::Cut;

// The links around three nodes, by place: 0 leads when they break. Dialled links are named by who dials.
struct Broken {
  bool state[3] = {}, workers[3] = {}, dial[3][3] = {};

  explicit Broken(unsigned set) {
    int bit = 0;
    for (int i = 0; i < 3; ++i)
      state[i] = set >> bit++ & 1;
    for (int i = 0; i < 3; ++i)
      workers[i] = set >> bit++ & 1;
    for (int i = 0; i < 3; ++i)
      for (int k = 0; k < 3; ++k)
        if (i != k) dial[i][k] = set >> bit++ & 1;
  }
  static constexpr unsigned kSets = 1U << 12;
  // Whether a node that leads can be reached by workers, straight or by way of a sibling.
  bool served() const {
    for (int i = 0; i < 3; ++i)
      for (int m = 0; m < 3; ++m)
        if (!state[i] && !workers[m] && (i == m || !dial[m][i])) return true;
    return false;
  }
  // A user's question at this node can be answered.
  bool answers(int i) const {
    bool can = !state[i];
    for (int m = 0; m < 3; ++m)
      can |= m != i && !state[m] && !dial[i][m];
    return can;
  }
};

struct Result {
  double gap = 0, healed_gap = 0; // longest time without a start while it was broken, and after it healed
  int refused = 0;                // answers of 503 at nodes that could have answered, from 6 s on
  int rented = 0, returned = 0;   // from the cut on
  std::string broken;
};

// A stream of short tasks that always leaves some waiting.
void steady_work(World &w, double until) {
  for (int i = 0; 2 + 2 * i < until; ++i)
    w.at(2 + 2 * i, [&w] {
      auto s = w.job(Shape::Array, 8, 1, 6);
      s.spot = true;
      w.submit(s);
    });
}

constexpr double kCutAt = 60, kCutFor = 60, kEnd = 170;

Result play(unsigned set, std::uint64_t seed) {
  const Broken b(set);
  World w(seed, {});
  std::mt19937_64 rng(seed);
  const Cut modes[] = {Cut::Drop, Cut::Refuse, Cut::Hold};
  steady_work(w, 160);
  Result r;
  std::string asked;
  w.at(50, [&] { asked = w.submit(w.job(Shape::Array, 1, 1, 300)); });
  std::vector<std::shared_ptr<World::Answer>> answers;
  w.at(kCutAt, [&] {
    const int leader = std::max(0, w.leader());
    r.rented = -w.rented;
    r.returned = -w.returned;
    auto node = [leader](int place) { return (leader + place) % 3; };
    for (int i = 0; i < 3; ++i) {
      auto how = [&] { return modes[rng() % 3]; };
      if (b.state[i]) w.cut_state(node(i), kCutFor, how());
      if (b.workers[i]) w.cut_workers(node(i), kCutFor, how());
      for (int k = 0; k < 3; ++k)
        if (b.dial[i][k]) w.cut_peer(node(i), node(k), kCutFor, how() == Cut::Hold ? Cut::Hold : Cut::Drop);
      if (!b.answers(i)) continue;
      for (int k = 0; k < 20; ++k)
        w.at(kCutAt + 6 + 2.5 * k, [&w, &answers, &asked, at = node(i)] { answers.push_back(w.look_up(at, asked)); });
    }
  });
  w.run(kEnd);
  r.rented += w.rented;
  r.returned += w.returned;
  for (const auto &a : answers)
    r.refused += a->status != 200;
  auto longest_gap = [&w](double from, double to) {
    double gap = 0, last = from;
    for (double t : w.started_at)
      if (t >= from && t < to) {
        gap = std::max(gap, t - last);
        last = t;
      }
    return std::max(gap, to - last);
  };
  r.gap = longest_gap(kCutAt, kCutAt + kCutFor);
  r.healed_gap = longest_gap(kCutAt + kCutFor, kEnd - 12); // by then there is always work
  r.broken = all(w);
  return r;
}

// Terms that were begun within [from, to).
int terms(const World &w, double from, double to) {
  int n = 0;
  for (double t : w.elected_at)
    n += t >= from && t < to;
  return n;
}

} // namespace

// As long as a node that reaches the state service is reached by workers, straight or by way of a sibling, starts go
// on; users are answered wherever somebody can be asked; and no fleet is thrown away.
TEST(Links, EverySetOfBrokenLinksIsLivedThrough) {
  const char *env = std::getenv("LOFTROUTER_LINKS");
  const unsigned every = env ? static_cast<unsigned>(std::max(1, std::atoi(env))) : 64;
  const char *part = std::getenv("LOFTROUTER_PART"); // k/n: of the sets, for several processes at once
  unsigned mine = 0, parts = 1;
  if (part) std::sscanf(part, "%u/%u", &mine, &parts);
  int played = 0;
  for (unsigned set = 1 + 3 * (every > 1); set < Broken::kSets; set += every) {
    if (set % parts != mine) continue;
    const Broken b(set);
    const auto r = play(set, 1000 + set);
    ++played;
    if (env)
      std::printf("set %u served %d gap %.1f healed %.1f refused %d rented %d returned %d\n", set, b.served(), r.gap,
                  r.healed_gap, r.refused, r.rented, r.returned);
    EXPECT_EQ(r.broken, "") << "set " << set;
    if (b.served()) {
      EXPECT_LE(r.gap, 40) << "set " << set;
    }
    EXPECT_LE(r.healed_gap, 20) << "set " << set;
    EXPECT_LE(r.refused, 1) << "set " << set; // by rate, now and then
  }
  EXPECT_GT(played, 0);
}

// With the links refused, a leader that no worker reaches learns from the state service that others live, and makes
// room: no lease runs out, and nothing is rented in place of what it no longer hears.
TEST(Links, DeafLeaderMakesRoomAlsoWhereOnlyTheStateServiceIsCommonGround) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    WorldOptions o;
    o.heartbeat_interval_s = 2;
    o.lease_s = 16;
    World w(seed, o);
    steady_work(w, 140);
    int leader = -1, rented = 0;
    w.at(60, [&] { w.cut_peers(80); });
    w.at(70, [&] {
      leader = w.leader();
      rented = w.rented;
      w.cut_workers(leader, 60, World::Cut::Hold);
    });
    w.run(90);
    EXPECT_NE(w.leader(), leader) << seed;
    EXPECT_EQ(w.lease_kills, 0) << seed;
    EXPECT_LE(w.rented - rented, 4) << seed;
    EXPECT_TRUE(w.broken.empty()) << all(w);
  }
}

// Links that come and go change the leader once a minute at most.
TEST(Links, FlappingChangesTheLeaderOnceAMinuteAtMost) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    World w(seed, {});
    steady_work(w, 230);
    w.at(50, [&w] { w.cut_peers(200); });
    for (int i = 0; i < 9; ++i)
      w.at(60 + 20 * i, [&w, i] {
        const int leader = std::max(0, w.leader());
        w.cut_workers(leader, 9, World::Cut::Drop);
        w.cut_workers((leader + 1 + i % 2) % 3, 9, World::Cut::Drop);
      });
    w.run(260);
    for (double t = 60; t < 200; t += 10)
      EXPECT_LE(terms(w, t, t + 59), 1) << "seed " << seed << " from " << t;
    EXPECT_TRUE(w.broken.empty()) << all(w);
  }
}

// Users of a node that the state service does not answer are served by way of a sibling: they submit, ask and cancel,
// and what they were told stays so.
TEST(Links, UsersAreServedByWayOfASibling) {
  for (auto how : {World::Cut::Drop, World::Cut::Refuse, World::Cut::Hold}) {
    World w(5, {});
    w.run(30);
    const int node = (w.leader() + 1) % 3;
    w.cut_state(node, 60, how);
    w.run(33);
    auto job = w.job(Shape::Array, 2, 1, 200);
    const auto up = w.up(node), first = w.submit_at(node, job);
    w.run(33.5);
    const auto again = w.submit_at(node, job), unknown = w.look_up(node, "j-777777");
    auto bad = w.job(Shape::Array, 2, 1, 5);
    bad.team = "nobody";
    const auto refused = w.submit_at(node, bad);
    w.run(55);
    const auto seen = w.look_up(node, job.id), cancelled = w.abort_at(node, job.id);
    w.run(56);
    const auto after = w.look_up(node, job.id), elsewhere = w.look_up((node + 1) % 3, job.id);
    w.run(57);
    EXPECT_EQ(up->status, 200);
    EXPECT_EQ(first->status, 201);
    EXPECT_EQ(again->status, 200);
    EXPECT_EQ(unknown->status, 404);
    EXPECT_EQ(refused->status, 422);
    EXPECT_EQ(seen->body.value("status", ""), "running") << seen->body;
    EXPECT_EQ(cancelled->body.value("status", ""), "aborted") << cancelled->body;
    EXPECT_EQ(after->body.value("status", ""), "aborted") << after->body;
    EXPECT_EQ(elsewhere->body.value("status", ""), "aborted") << elsewhere->body;
    EXPECT_TRUE(w.broken.empty()) << all(w);
  }
}

// Nobody can be asked: refused at once, neither held back nor sent round in circles.
TEST(Links, WhereNobodyCanBeAskedUsersAreRefusedAtOnce) {
  World w(6, {});
  w.run(30);
  w.outage(30);
  w.run(35);
  const auto a = w.submit_at(0, w.job(Shape::Array, 1, 1, 5)), b = w.look_up(1, "j-000001");
  w.run(35.1);
  EXPECT_EQ(a->status, 503);
  EXPECT_EQ(b->status, 503);
}

// Both errors of the brake: a fleet that nobody hears is neither given back nor replaced; machines that died are.
TEST(Links, SilentFleetIsWaitedForAndDeadMachinesAreReplaced) {
  int died = 0, replaced = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    World w(seed, {});
    steady_work(w, 300);
    int rented = 0, returned = 0;
    w.at(80, [&] {
      rented = w.rented;
      returned = w.returned;
      for (int i = 0; i < 3; ++i)
        w.cut_workers(i, 40, World::Cut::Hold);
    });
    w.run(119);
    EXPECT_EQ(w.rented, rented) << seed;
    EXPECT_LE(w.returned, returned + 1) << seed; // one that was on its way out
    w.run(400);
    EXPECT_TRUE(w.broken.empty()) << all(w);
    EXPECT_TRUE(w.all_over());
    World v(seed, {});
    for (int k = 0; k < 4; ++k)
      steady_work(v, 160);
    v.run(80);
    rented = v.rented;
    died += v.kill_machines(0.6);
    v.run(100);
    replaced += v.rented - rented;
    v.run(400);
    EXPECT_TRUE(v.all_over());
    EXPECT_TRUE(v.broken.empty()) << all(v);
  }
  EXPECT_GE(died, 10);
  EXPECT_GE(replaced, died / 2);
}

// The cloud answers one node only: the leader makes room for it, later.
TEST(Links, LeaderWithoutTheCloudMakesRoomForOneThatHasIt) {
  World w(9, {});
  steady_work(w, 200);
  w.run(70);
  const int leader = w.leader(), whole = (leader + 2) % 3;
  for (int i = 0; i < 3; ++i)
    if (i != whole) w.cut_cloud(i, 150, World::Cut::Drop);
  w.run(85);
  EXPECT_EQ(w.leader(), leader) << "not at once";
  w.run(140);
  EXPECT_EQ(w.leader(), whole);
  w.run(300);
  EXPECT_TRUE(w.broken.empty()) << all(w);
}

// Five nodes, links cut at random at the worst moments: within a round trip of a takeover, a submission, a
// cancellation, along with stalls, crashes and outages.
class FiveNodes : public ::testing::TestWithParam<int> {};
TEST_P(FiveNodes, CutsAtTheWorstMomentsBreakNoRule) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  WorldOptions o = troubled(seed);
  o.nodes = 5;
  World w(seed + 5000, o);
  mixed_load(w, 30);
  std::mt19937_64 rng(seed * 31 + 7);
  auto pick = [&](int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); };
  auto some_cut = [&w](std::uint64_t bits, double for_s) {
    const int i = static_cast<int>(bits % 5), k = static_cast<int>(bits / 5 % 5);
    const auto how = static_cast<Cut>(bits / 25 % 5);
    const int at = w.leader() >= 0 && bits / 125 % 2 ? w.leader() : i;
    switch (bits / 250 % 4) {
    case 0:
      return w.cut_state(at, for_s, how);
    case 1:
      return w.cut_workers(at, for_s, how == Cut::NoAnswers ? Cut::Drop : how);
    case 2:
      return w.cut_cloud(at, for_s, how);
    default:
      return at == k ? w.cut_peers(for_s) : w.cut_peer(at, k, for_s, how == Cut::Hold ? Cut::Hold : Cut::Drop);
    }
  };
  for (int i = 0; i < 14; ++i) {
    const double at = 10 + pick(150), for_s = 2 + pick(30);
    const auto bits = rng(), more = rng();
    const int kind = pick(5);
    w.at(at, [&w, kind, bits, more, for_s, some_cut] {
      const int node = static_cast<int>(bits % 5);
      if (kind == 0) w.crash(std::max(0, w.leader()), 3);
      if (kind == 1) w.stall(node, for_s / 2, bits & 64);
      if (kind == 2) w.outage(for_s / 2);
      if (kind == 3) w.cancel(w.submit(w.job(Shape::Array, 3, 1, 20)));
      w.at(w.now() + 0.002 * static_cast<double>(more % 8), [some_cut, bits, for_s] { some_cut(bits, for_s); });
      w.at(w.now() + 0.002 * static_cast<double>(more / 8 % 8), [some_cut, more, for_s] { some_cut(more, for_s); });
    });
  }
  w.run(500);
  EXPECT_TRUE(w.broken.empty()) << all(w);
  EXPECT_TRUE(w.all_over()) << w.finished_jobs << " of " << w.accepted_jobs;
}
INSTANTIATE_TEST_SUITE_P(Links, FiveNodes, ::testing::Range(1, 1 + seeds(8)));
