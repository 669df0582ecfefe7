#include "process.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace loftrouter::scale {

namespace {
constexpr int kUserTimeField = 14; // of /proc/PID/stat, as counted in its manual page; the next is system time

struct PipeEnds {
  net::Fd read, write;
};

PipeEnds open_pipe() {
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe can be opened");
  return {net::Fd(ends[0]), net::Fd(ends[1])};
}
} // namespace

Process::Process(net::Loop &loop, const std::vector<std::string> &command, const std::string &log,
                 LineChannel::OnLine on_line) {
  auto input = open_pipe(), output = open_pipe();
  net::Fd errors(::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
  std::vector<char *> arguments;
  for (const auto &word : command)
    arguments.push_back(const_cast<char *>(word.c_str()));
  arguments.push_back(nullptr);
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("no process can be started");
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(1);
    ::dup2(input.read.get(), STDIN_FILENO);
    ::dup2(output.write.get(), STDOUT_FILENO);
    ::dup2(errors.get(), STDERR_FILENO);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
  to_ = std::move(input.write);
  from_ = std::move(output.read);
  channel_ = std::make_unique<LineChannel>(loop, from_.get(), to_.get(), std::move(on_line), nullptr);
}

void Process::kill() {
  if (pid_ <= 0) return;
  channel_.reset();
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool Process::alive() const {
  return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0;
}

ProcessSample Process::sample() const {
  ProcessSample out;
  if (pid_ <= 0) return out;
  const auto proc = "/proc/" + std::to_string(pid_);
  std::ifstream stat(proc + "/stat"), statm(proc + "/statm");
  std::string line;
  if (!std::getline(stat, line)) return out;
  std::istringstream fields(line.substr(line.rfind(')') + 1)); // the name may hold spaces
  std::string skipped;
  double user = 0, system = 0;
  for (int field = 3; field < kUserTimeField; ++field)
    fields >> skipped;
  fields >> user >> system;
  out.cpu_s = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  double size = 0, resident = 0;
  statm >> size >> resident;
  out.rss_mb = resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  std::error_code error;
  for (auto it = std::filesystem::directory_iterator(proc + "/fd", error); !error && it != end(it); it.increment(error))
    ++out.sockets;
  return out;
}

} // namespace loftrouter::scale
