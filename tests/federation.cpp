#include "federation.hpp"

#include <algorithm>

namespace loftrouter::test {

namespace {
constexpr int kLinksPerCell = 100; // a link id is cell * kLinksPerCell + node
constexpr double kStepS = 0.01;
} // namespace

Federation::Federation(std::uint64_t seed, std::vector<WorldOptions> cells, double loss, bool joined)
    : rng_(seed), loss_(loss), options_(std::move(cells)) {
  const int cell_count = static_cast<int>(options_.size());
  for (int c = 0; c < cell_count; ++c) {
    auto &cell_options = options_[static_cast<std::size_t>(c)];
    cell_options.cells.name = joined ? name(c) : "";
    cell_options.cells.others.clear();
    for (int other_index = 0; other_index < cell_count; ++other_index) {
      if (other_index == c || !joined) continue;
      OtherCell other{name(other_index), {}};
      for (int node = 0; node < options_[static_cast<std::size_t>(other_index)].nodes; ++node)
        other.nodes.push_back(name(other_index) + ":" + std::to_string(node));
      cell_options.cells.others.push_back(std::move(other));
    }
    if (cell_options.first_job == 1) cell_options.first_job = 1 + 100'000 * c;
    worlds_.push_back(std::make_unique<World>(seed * 31 + static_cast<std::uint64_t>(c), cell_options));
    World &world = *worlds_.back();
    world.send_cell = [this, c](int node, const core::CellSend &outgoing) { send(c, node, outgoing); };
    world.foreign = [this, c](const std::string &job) -> World::Told * {
      for (int other_index = 0; other_index < size(); ++other_index)
        if (other_index != c)
          if (auto *own_job = (*this)[other_index].own(job)) return own_job;
      return nullptr;
    };
    world.started = [this, c](const World::On &task) { started(c, task); };
    world.stopped = [this, c](const World::On &task) { stopped(c, task); };
  }
}

void Federation::run(double until) {
  while (now_ < until) {
    now_ = std::min(until, now_ + kStepS);
    for (auto &world : worlds_)
      world->run(now_);
  }
}

void Federation::cut(int from, int from_node, int to, int to_node, double for_s) {
  partitions_.push_back({from, from_node, to, to_node, now_ + for_s});
}

// A cell numbers the nodes of the other cells consecutively, in the order of its features file.
void Federation::send(int cell, int node, const core::CellSend &outgoing) {
  ++frames;
  delegations += outgoing.message.kind == wire::CellMessage::Kind::OfferReply && outgoing.message.accepted;
  // Returns the number by which cell `numbering_cell` knows a node of cell `other`.
  auto node_number = [this](int numbering_cell, int other, int node_index) {
    int number = 0;
    for (int other_index = 0; other_index < other; ++other_index)
      if (other_index != numbering_cell) number += options_[static_cast<std::size_t>(other_index)].nodes;
    return number + node_index;
  };
  int to = -1, to_node = -1, from_number = -1;
  if (outgoing.node >= 0) {
    int number = outgoing.node;
    for (int other_index = 0; other_index < size() && to < 0; ++other_index) {
      if (other_index == cell) continue;
      const int nodes = options_[static_cast<std::size_t>(other_index)].nodes;
      if (number < nodes) {
        to = other_index;
        to_node = number;
      }
      number -= nodes;
    }
  } else {
    to = static_cast<int>(outgoing.link) / kLinksPerCell;
    to_node = static_cast<int>(outgoing.link) % kLinksPerCell;
    from_number = node_number(to, cell, node);
  }
  for (const auto &partition : partitions_)
    if (now_ < partition.until && partition.from == cell && partition.to == to &&
        (partition.from_node < 0 || partition.from_node == node) &&
        (partition.to_node < 0 || partition.to_node == to_node))
      return;
  std::uniform_real_distribution<double> draw(0, 1);
  if (draw(rng_) < loss_) return;
  const auto bytes = wire::encode_cell(outgoing.message);
  std::string_view rest = bytes;
  core::CellMessageCommand cmd{from_number, static_cast<std::uint64_t>(cell * kLinksPerCell + node), {}};
  if (wire::read_cell(rest, cmd.message) != wire::FrameRead::Frame || !rest.empty() ||
      wire::encode_cell(cmd.message) != bytes)
    return broken_.push_back("a message between cells changed when it was encoded and decoded again");
  const int copies = draw(rng_) < loss_ ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const double extra_delay_s = draw(rng_) < loss_ ? 30 * draw(rng_) : 0;
    (*this)[to].deliver_cell(to_node, cmd, kStepS + 0.02 * draw(rng_) + extra_delay_s);
  }
}

int Federation::origin_of(int cell, const std::string &job) {
  if ((*this)[cell].own(job)) return cell;
  for (int other_index = 0; other_index < size(); ++other_index)
    if ((*this)[other_index].own(job)) return other_index;
  return -1;
}

static std::string task_key(int origin, const World::On &task) {
  return std::to_string(origin) + task.job + "/" + std::to_string(task.index);
}

void Federation::started(int cell, const World::On &task) {
  const int origin = origin_of(cell, task.job);
  if (origin != cell) ++remote_starts[task.job];
  auto &running_copies = running_[task_key(origin, task)];
  for (const auto &[other_cell, serial] : running_copies)
    broken_.push_back("t=" + std::to_string(now_) + " ran_twice across cells " + task.job + "/" +
                      std::to_string(task.index) + " in " + name(cell) + " and " + name(other_cell));
  running_copies.emplace(cell, task.serial);
  origins_[{cell, task.serial}] = origin;
  const auto &spec = (*this)[origin].own(task.job)->spec;
  used_[{origin, spec.team}] += spec.need.cpus;
  const double used = used_by(spec.team);
  for (const auto &team : options_[static_cast<std::size_t>(origin)].teams)
    if (team.name == spec.team && team.cpus_max > 0 && used > team.cpus_max + 1e-6)
      broken_.push_back("t=" + std::to_string(now_) + " quota exceeded across cells " + team.name);
  if (on_start) on_start(origin, cell, task);
}

double Federation::used_by(const std::string &team) const {
  double used = 0;
  for (const auto &[origin_and_team, cpus] : used_)
    if (origin_and_team.second == team) used += cpus;
  return used;
}

void Federation::stopped(int cell, const World::On &task) {
  const int origin = origins_.at({cell, task.serial}); // the job id may belong to another job by now
  origins_.erase({cell, task.serial});
  const auto it = running_.find(task_key(origin, task));
  it->second.erase({cell, task.serial});
  if (it->second.empty()) running_.erase(it);
  const auto &spec = (*this)[origin].own(task.job)->spec;
  used_[{origin, spec.team}] -= spec.need.cpus;
}

bool Federation::all_over() const {
  return std::all_of(worlds_.begin(), worlds_.end(), [](const auto &world) { return world->all_over(); });
}

std::vector<std::string> Federation::broken() const {
  auto violations = broken_;
  for (const auto &world : worlds_)
    violations.insert(violations.end(), world->broken.begin(), world->broken.end());
  return violations;
}

} // namespace loftrouter::test
