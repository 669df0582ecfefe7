// What several tests play in the simulated world: a mixed load, and seeded troubles.
#pragma once

#include "world.hpp"

namespace loftrouter::test {

inline void mixed_load(World &w, int jobs) {
  for (int i = 0; i < jobs; ++i)
    w.at(2 + i * 4.0, [&w, i] {
      JobSpec s;
      switch (i % 5) {
      case 0:
        s = w.job(Shape::Array, 12, 1, 6);
        break;
      case 1:
        s = w.job(Shape::Gang, 1, 12, 8);
        break;
      case 2:
        s = w.job(Shape::Gang, 3, 3, 8);
        s.one_zone = true;
        break;
      case 3:
        s = w.job(Shape::Array, 9, 2, 5, "blue");
        break;
      default:
        s = w.job(Shape::Array, 5, 1, 5);
        s.spread = true;
      }
      if (i % 4 == 0) s.priority = Priority::Low;
      if (i % 7 == 1) s.priority = Priority::High;
      auto id = w.submit(s);
      if (i % 6 == 5) w.at(w.now() + 7, [&w, id] { w.cancel(id); });
    });
}

inline std::string all(const World &w) {
  std::string out;
  for (const auto &b : w.broken)
    out += b + "\n";
  return out;
}

// Every accepted job, by number, is told of by each node that is up, within a few polls: over, running, or waiting with
// a reason. What is not, in words.
inline std::string forgotten(World &w, int first, int last) {
  std::map<std::pair<std::string, int>, std::shared_ptr<World::Answer>> left;
  for (int i = first; i <= last; ++i) {
    const auto id = job_name(i);
    for (int node = 0; node < 3; ++node)
      if (const auto *job = w.own(id); job && job->accepted) left[{id, node}];
  }
  for (int poll = 0; poll < 5 && !left.empty(); ++poll) {
    for (auto &[who, answer] : left) {
      answer = w.look_up(who.second, who.first);
      w.run(w.now() + 0.05);
    }
    w.run(w.now() + 3);
    std::erase_if(left, [](const auto &x) {
      const auto state = x.second->status == 200 ? x.second->body.value("status", "") : "";
      return state == "queued" ? !x.second->body.value("reason", "").empty() : !state.empty();
    });
  }
  std::string out;
  for (const auto &[who, answer] : left)
    out += who.first + " at node " + std::to_string(who.second) + ": " + std::to_string(answer->status) + " " +
           answer->body.dump() + "\n";
  return out;
}

inline WorldOptions troubled(std::uint64_t seed) {
  WorldOptions o;
  o.loss = seed % 3 == 0 ? 0.0 : 0.02;
  o.sick = seed % 4 == 0 ? 0.2 : 0.0;
  o.boot_fail = 0.1;
  o.die_per_hour = 10;
  o.hang_per_hour = seed % 2 ? 20 : 0;
  if (seed % 5 >= 2) o.cpu_share = 0.004; // siblings pass reports on
  return o;
}

inline void make_trouble(World &w, std::uint64_t seed) {
  std::mt19937_64 rng(seed * 77 + 5);
  auto pick = [&](int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); };
  for (int i = 0; i < 10; ++i) {
    double at = 10 + pick(150);
    int kind = pick(13), node = pick(3), len = 2 + pick(25);
    bool hold = pick(2);
    auto how = static_cast<World::Cut>(pick(4));
    w.at(at, [&w, kind, node, len, hold, how] {
      switch (kind) {
      case 0:
        w.crash(node, 3);
        break;
      case 1:
        if (w.leader() >= 0) w.crash(w.leader(), 3);
        break;
      case 2:
        for (int n = 0; n < 3; ++n)
          w.crash(n, 3);
        break;
      case 3:
        w.outage(len);
        break;
      case 4:
        if (w.leader() >= 0) w.cut_state(w.leader(), len, how);
        break;
      case 5:
        w.cut_workers(node, len, hold);
        break;
      case 6:
        if (w.leader() >= 0) w.cut_workers(w.leader(), len, hold);
        break;
      case 7:
        w.stall(node, len, hold);
        break;
      case 8:
      case 9:
        if (w.leader() >= 0) w.stall(w.leader(), len, hold);
        break;
      case 10:
        w.cut_state(node, len, how);
        break;
      case 11:
        w.cut_peers(len);
        break;
      default:
        w.cut_outbound(0.1 * (node + 3), len);
      }
    });
  }
}

} // namespace loftrouter::test
