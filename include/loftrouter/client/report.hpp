// The morning statement as one HTML file that opens offline, and its plot. Pure but for the plot, which gnuplot draws.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace loftrouter::client {

// `statement`: with all pages of its jobs; `open`: the jobs that are not over; `plot`: SVG, or empty.
std::string report_html(const nlohmann::json &statement, const nlohmann::json &open, const std::string &plot);

// Jobs that ended, by hour (UTC) of the period: in time, late and stopped, as SVG. Empty where none has ended or
// gnuplot is not installed.
std::string plot_by_hour(const nlohmann::json &statement);

} // namespace loftrouter::client
