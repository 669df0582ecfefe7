// Records in a file how a run of this controller ended, so that the next one can say so.
//
// The file is written at the start and when a signal ends the process. What ends without a signal that can be handled
// (kill -9, lack of memory, loss of power) leaves the file as the start has written it. Where files do not outlive the
// process nothing is known.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "loftrouter/model/settings.hpp"
#include "loftrouter/net/loop.hpp"

namespace loftrouter::app {

struct PreviousRun {
  enum class End : std::uint8_t {
    Unknown, // no record of it
    Stopped, // by SIGTERM or SIGINT
    Faulted, // by a fault of its own
    Killed   // without a signal that it could handle
  };
  End end = End::Unknown;
  std::string detail; // what the run wrote last
};

// Returns the value of the log field `previous_run`.
[[nodiscard]] std::string_view previous_run_name(PreviousRun::End end);

class RunRecord {
public:
  // First words of the lines that a signal handler appends to `fd`.
  static constexpr std::string_view kStopped = "stopped";
  static constexpr std::string_view kFaulted = "faulted";

  // Opens the record of the controller with these settings, in $RUNTIME_DIRECTORY or else the system's directory for
  // temporary files. Without a usable file `fd` is negative.
  explicit RunRecord(const Settings &settings);
  // As above, at this path.
  explicit RunRecord(const std::string &path);

  [[nodiscard]] const PreviousRun &previous() const { return previous_; }
  [[nodiscard]] int fd() const { return file_.get(); }

private:
  PreviousRun previous_;
  net::Fd file_;
};

} // namespace loftrouter::app
