// The processes that a scale run consists of beside its controllers. Each reads lines from the runner on standard input
// and ends when that is closed.
#pragma once

#include "layout.hpp"
#include "runner.hpp"

namespace loftrouter::scale {

enum class ChildRole : std::uint8_t { Outside, Workers, Users, Links };

// Runs until the runner has gone. `region` is that of Outside and Workers. Returns the exit code.
int run_child(ChildRole role, int region, const RunOptions &options);

} // namespace loftrouter::scale
