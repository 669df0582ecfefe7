// Wiring: sockets on one side, the core's commands and effects on the other.
#pragma once

#include "loftrouter/model/settings.hpp"

namespace loftrouter::app {

// Runs until killed; a start-up problem is returned as one line.
std::string run_daemon(const Settings &settings);
void setup_logging();

} // namespace loftrouter::app
