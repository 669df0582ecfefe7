// The tables of docs/CAPACITY.md, made from the figures of scale runs: each figure of each role as a line over the
// number of workers, by least squares.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace loftrouter::scale {

struct Line {
  double base = 0, slope = 0;
  double residual = 0; // root mean square, in the figure's own unit
};

// Least squares through the points. With fewer than two different x the slope is 0.
Line fit(const std::vector<double> &x, const std::vector<double> &y);

// Markdown: first what was run, then a line a figure with base, slope for each 1,000 workers, residual, and its value
// at `target` workers (in bold where it was extrapolated). Runs that are not valid are listed and not used.
std::string capacity_tables(const std::vector<nlohmann::json> &runs, double target);

} // namespace loftrouter::scale
