// Runs several simulated clusters as the cells of a federation: delivers the messages between them and checks the rules
// that hold across cells.
#pragma once

#include <map>

#include "world.hpp"

namespace loftrouter::test {

class Federation {
public:
  // Creates one cell for each entry of `cells`, and sets its name, addresses and first job number. `loss`: the
  // probability that a message is lost, and likewise that it is duplicated or delayed. `joined`: whether the cells know
  // each other.
  Federation(std::uint64_t seed, std::vector<WorldOptions> cells, double loss = 0, bool joined = true);

  World &operator[](int c) { return *worlds_[static_cast<std::size_t>(c)]; }
  int size() const { return static_cast<int>(worlds_.size()); }
  void run(double until);
  double now() const { return now_; }
  // Drops the messages from one cell's node to another's; -1: all nodes.
  void cut(int from, int from_node, int to, int to_node, double for_s);
  void cut(int a, int b, double for_s) {
    cut(a, -1, b, -1, for_s);
    cut(b, -1, a, -1, for_s);
  }
  bool all_over() const;
  double used_by(const std::string &team) const; // CPUs, in all cells
  std::vector<std::string> broken() const;       // rule violations, within and across cells
  std::function<void(int origin, int cell, const World::On &)> on_start;
  int frames = 0, delegations = 0;          // delegations: accepted offers
  std::map<std::string, int> remote_starts; // tasks started outside the origin cell, by job
  static std::string name(int c) { return std::string(1, static_cast<char>('p' + c)); }

private:
  struct Partition {
    int from, from_node, to, to_node;
    double until;
  };
  void send(int cell, int node, const core::CellSend &outgoing);
  void started(int cell, const World::On &task);
  void stopped(int cell, const World::On &task);
  // Returns the origin cell of a job that runs in `cell`: that cell itself if its users submitted a job of this id.
  int origin_of(int cell, const std::string &job);
  std::mt19937_64 rng_;
  double loss_, now_ = 0;
  std::vector<std::unique_ptr<World>> worlds_;
  std::vector<WorldOptions> options_;
  std::vector<Partition> partitions_;
  std::vector<std::string> broken_;
  std::unordered_map<std::string, std::set<std::pair<int, std::uint64_t>>>
      running_;                                          // cell and serial, by origin and task
  std::map<std::pair<int, std::uint64_t>, int> origins_; // of running tasks, by cell and serial
  std::map<std::pair<int, std::string>, double> used_;   // CPUs, by origin and team
};

} // namespace loftrouter::test
