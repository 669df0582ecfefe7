// Several simulated worlds as cells of one fleet: the frames between them, and what must hold over all of them.
#pragma once

#include <map>

#include "world.hpp"

namespace loftrouter::test {

class Federation {
public:
  // One cell each; their names, addresses and job numbers are set here.
  Federation(std::uint64_t seed, std::vector<WorldOptions> cells, double loss = 0, bool joined = true);

  World &operator[](int c) { return *worlds_[static_cast<std::size_t>(c)]; }
  int size() const { return static_cast<int>(worlds_.size()); }
  void run(double until);
  double now() const { return t_; }
  // Frames from one cell's node to another's are lost; -1: all nodes.
  void cut(int from, int from_node, int to, int to_node, double for_s);
  void cut(int a, int b, double for_s) {
    cut(a, -1, b, -1, for_s);
    cut(b, -1, a, -1, for_s);
  }
  bool all_over() const;
  double used_by(const std::string &team) const; // CPUs of its tasks on machines, whichever cell its jobs are from
  std::vector<std::string> broken() const;       // in all of them, and over them
  std::function<void(int origin, int cell, const World::On &)> on_start;
  int frames = 0, delegations = 0;              // the latter: debts that were taken
  std::map<std::string, int> started_elsewhere; // tasks, by job: not in the cell that accepted it
  static std::string name(int c) { return std::string(1, static_cast<char>('p' + c)); }

private:
  struct Cut {
    int from, from_node, to, to_node;
    double until;
  };
  void send(int cell, int node, const core::CellSend &c);
  void started(int cell, const World::On &task);
  void stopped(int cell, const World::On &task);
  int owner(int in, const std::string &job); // whose job runs in a cell: its own users', if they have one of that id
  std::mt19937_64 rng_;
  double loss_, t_ = 0;
  std::vector<std::unique_ptr<World>> worlds_;
  std::vector<WorldOptions> options_;
  std::vector<Cut> cuts_;
  std::vector<std::string> broken_;
  std::unordered_map<std::string, std::set<std::pair<int, std::uint64_t>>> on_; // cell and serial, by owner and task
  std::map<std::pair<int, std::uint64_t>, int> origins_;                        // of what runs, by cell and serial
  std::map<std::pair<int, std::string>, double> used_;                          // CPUs, by owner and team
};

} // namespace loftrouter::test
