// Writes one last log line when a fault ends the process: signal, uptime, what it was working on, and the leader's
// term.
//
// The signal keeps its effect: exit status and core dump are those of the fault. The handler runs on a stack of its
// own, so that it works after a stack overflow, and calls async-signal-safe functions alone.
#pragma once

#include <string_view>

#include "loftrouter/app/current_work.hpp"

namespace loftrouter::app {

struct FaultReportOptions {
  bool json = false;      // log lines are JSON
  int run_record_fd = -1; // also notes the end there; see RunRecord
};

// Handles SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT, and notes SIGTERM and SIGINT in the run record. `work` must
// outlive the process's threads. Call once, from the thread that does the work.
void install_fault_report(const CurrentWork &work, FaultReportOptions options);

} // namespace loftrouter::app
