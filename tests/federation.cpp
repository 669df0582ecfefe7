#include "federation.hpp"

#include <algorithm>

namespace loftrouter::test {

namespace {
constexpr int kLinksPerCell = 100; // a link id is cell * kLinksPerCell + node
constexpr double kStepS = 0.01;
} // namespace

Federation::Federation(std::uint64_t seed, std::vector<WorldOptions> cells, double loss, bool joined)
    : rng_(seed), loss_(loss), options_(std::move(cells)) {
  const int n = static_cast<int>(options_.size());
  for (int c = 0; c < n; ++c) {
    auto &cell_options = options_[static_cast<std::size_t>(c)];
    cell_options.cells.name = joined ? name(c) : "";
    cell_options.cells.others.clear();
    for (int x = 0; x < n; ++x) {
      if (x == c || !joined) continue;
      OtherCell other{name(x), {}};
      for (int k = 0; k < options_[static_cast<std::size_t>(x)].nodes; ++k)
        other.nodes.push_back(name(x) + ":" + std::to_string(k));
      cell_options.cells.others.push_back(std::move(other));
    }
    if (cell_options.first_job == 1) cell_options.first_job = 1 + 100'000 * c;
    worlds_.push_back(std::make_unique<World>(seed * 31 + static_cast<std::uint64_t>(c), cell_options));
    World &world = *worlds_.back();
    world.send_cell = [this, c](int node, const core::CellSend &outgoing) { send(c, node, outgoing); };
    world.foreign = [this, c](const std::string &job) -> World::Told * {
      for (int x = 0; x < size(); ++x)
        if (x != c)
          if (auto *t = (*this)[x].own(job)) return t;
      return nullptr;
    };
    world.started = [this, c](const World::On &task) { started(c, task); };
    world.stopped = [this, c](const World::On &task) { stopped(c, task); };
  }
}

void Federation::run(double until) {
  while (now_ < until) {
    now_ = std::min(until, now_ + kStepS);
    for (auto &w : worlds_)
      w->run(now_);
  }
}

void Federation::cut(int from, int from_node, int to, int to_node, double for_s) {
  partitions_.push_back({from, from_node, to, to_node, now_ + for_s});
}

// Node numbers count the nodes of the other cells in the order of the sender's features file.
void Federation::send(int cell, int node, const core::CellSend &outgoing) {
  ++frames;
  delegations += outgoing.message.kind == wire::CellMessage::Kind::OfferReply && outgoing.message.accepted;
  auto node_number = [this](int of, int other, int node_index) { // of a node of cell `other`, as cell `of` numbers it
    int number = 0;
    for (int x = 0; x < other; ++x)
      if (x != of) number += options_[static_cast<std::size_t>(x)].nodes;
    return number + node_index;
  };
  int to = -1, to_node = -1, from_number = -1;
  if (outgoing.node >= 0) {
    int number = outgoing.node;
    for (int x = 0; x < size() && to < 0; ++x) {
      if (x == cell) continue;
      const int nodes = options_[static_cast<std::size_t>(x)].nodes;
      if (number < nodes) {
        to = x;
        to_node = number;
      }
      number -= nodes;
    }
  } else {
    to = static_cast<int>(outgoing.link) / kLinksPerCell;
    to_node = static_cast<int>(outgoing.link) % kLinksPerCell;
    from_number = node_number(to, cell, node);
  }
  for (const auto &cut : partitions_)
    if (now_ < cut.until && cut.from == cell && cut.to == to && (cut.from_node < 0 || cut.from_node == node) &&
        (cut.to_node < 0 || cut.to_node == to_node))
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
  for (int k = 0; k < copies; ++k) {
    const double extra_delay_s = draw(rng_) < loss_ ? 30 * draw(rng_) : 0;
    (*this)[to].deliver_cell(to_node, cmd, kStepS + 0.02 * draw(rng_) + extra_delay_s);
  }
}

int Federation::origin_of(int cell, const std::string &job) {
  if ((*this)[cell].own(job)) return cell;
  for (int x = 0; x < size(); ++x)
    if ((*this)[x].own(job)) return x;
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
      broken_.push_back("t=" + std::to_string(now_) + " quota across cells " + team.name);
  if (on_start) on_start(origin, cell, task);
}

double Federation::used_by(const std::string &team) const {
  double used = 0;
  for (const auto &[origin_and_team, cpus] : used_)
    if (origin_and_team.second == team) used += cpus;
  return used;
}

void Federation::stopped(int cell, const World::On &task) {
  const int origin = origins_.at({cell, task.serial}); // by now the id may belong to another job
  origins_.erase({cell, task.serial});
  const auto it = running_.find(task_key(origin, task));
  it->second.erase({cell, task.serial});
  if (it->second.empty()) running_.erase(it);
  const auto &spec = (*this)[origin].own(task.job)->spec;
  used_[{origin, spec.team}] -= spec.need.cpus;
}

bool Federation::all_over() const {
  return std::all_of(worlds_.begin(), worlds_.end(), [](const auto &w) { return w->all_over(); });
}

std::vector<std::string> Federation::broken() const {
  auto violations = broken_;
  for (const auto &w : worlds_)
    violations.insert(violations.end(), w->broken.begin(), w->broken.end());
  return violations;
}

} // namespace loftrouter::test
