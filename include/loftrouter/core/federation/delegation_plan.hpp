// Where waiting work goes: a cell is scored as a machine is, by its free share of each resource against the demand of a
// whole plan, from what it has told of itself. Pure functions of a snapshot; tests compare them with a slow plain
// model.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/cell.hpp"

namespace loftrouter::cells {

struct Work {                     // of one job, that could be lent
  Resources need;                 // of each task
  std::vector<std::string> types; // allowed; none: any
  bool spot = false, whole = false;
  std::uint32_t tasks = 0;
  double estimate_s = 0, image_gb = 0;
  Priority priority = Priority::Normal;
  double wait_here_s = 0; // expected until it starts at home
};
struct View { // of a cell, as last told
  std::vector<wire::CellKind> kinds;
  std::vector<double> wait_s; // by urgency
  double age_s = 1e9;
  bool open = true; // may be asked now
};
struct Rules {
  double hand_over_s = 2;    // records on both sides and frames between them
  double margin_s = 5;       // that it has to be better by, and
  double margin_share = 0.2; // of the wait at home
  double fresh_s = 10;       // what is older than this counts for nothing, and for the less the older it is
};
struct Choice {
  int cell = -1;
  double score = 0, wait_s = 0; // expected there
};

bool allowed(const Work &work, const wire::CellKind &kind);
// Tasks for which there is room now; an upper bound, as only sums are told.
std::uint32_t room(const Work &work, const View &cell);
// F of the cell: over its allowed kinds, free share times the demand of the plan, each share at most 1.
double score(const Work &work, const View &cell, const Rules &rules);
// Until the work would start there; nothing: never, as far as known.
std::optional<double> wait_there(const Work &work, const View &cell, const Rules &rules);
// The best cell that is better than home by the margin; nothing if there is none.
std::optional<Choice> choose(const Work &work, const std::vector<View> &cells, const Rules &rules);

// What the borrower promises, so that several cells which see the same room do not fill it several times over.
class CapacityGrants {
public:
  // Of `most` tasks, those that fit into `free` CPUs beside what is promised already; kept for a few seconds.
  std::uint32_t promise(std::uint64_t ticket, double cpus_each, std::uint32_t most, bool whole, double free_cpus,
                        double now);
  // An offer has come: its promise is used up. False: there is none (any more).
  bool take(std::uint64_t ticket, std::uint32_t tasks, double now);
  double promised_cpus(double now);
  static constexpr double kKept = 5.0; // s
  static constexpr std::size_t kMax = 256;

private:
  struct CapacityGrant {
    std::uint64_t ticket;
    std::uint32_t tasks;
    double cpus, until;
  };
  void expire(double now);
  std::vector<CapacityGrant> capacity_grants_;
};

} // namespace loftrouter::cells
