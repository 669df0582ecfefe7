// Processes of a scale run: started with pipes, sampled from /proc, ended with their starter.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include "channel.hpp"

namespace loftrouter::scale {

struct ProcessSample {
  double cpu_s = 0; // used so far
  double rss_mb = 0;
  int sockets = 0; // open descriptors
};

class Process {
public:
  // Starts the program with standard input and output as a channel, and standard error in `log`. It is killed when
  // this process ends. Throws std::runtime_error.
  Process(net::Loop &loop, const std::vector<std::string> &command, const std::string &log,
          LineChannel::OnLine on_line);
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  ~Process() { kill(); }
  void kill(); // at once; waits for its end
  void send(std::string_view line) { channel_->send(line); }
  ProcessSample sample() const; // zero once it is gone
  bool alive() const;

private:
  pid_t pid_ = 0;
  net::Fd to_, from_;
  std::unique_ptr<LineChannel> channel_;
};

} // namespace loftrouter::scale
