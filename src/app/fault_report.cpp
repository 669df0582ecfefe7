#include "loftrouter/app/fault_report.hpp"

#include <array>
#include <charconv>
#include <chrono>
#include <csignal>
#include <ctime>

#include <unistd.h>

#include "loftrouter/app/run_record.hpp"

namespace loftrouter::app {

namespace {

constexpr std::size_t kMaxLineBytes = 1024;
constexpr std::size_t kHandlerStackBytes = std::size_t{64} * 1024;
constexpr std::array kFaultSignals{SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};
constexpr std::array kStopSignals{SIGTERM, SIGINT};

// What the handler needs, set before it is installed.
struct HandlerState {
  const CurrentWork *work = nullptr;
  FaultReportOptions options;
  std::time_t started_at_s = 0; // on the monotonic clock
};
HandlerState handler_state;
std::array<char, kHandlerStackBytes> handler_stack;

std::time_t seconds_of(clockid_t clock) {
  timespec now{};
  ::clock_gettime(clock, &now);
  return now.tv_sec;
}

// A log line in a fixed buffer. What does not fit is left out.
class FixedLine {
public:
  void append(std::string_view text) {
    for (const char character : text)
      append(character);
  }
  void append(char character) {
    if (size_ < bytes_.size()) bytes_[size_++] = character;
  }
  // At least so many digits, with leading zeros.
  void append_number(std::uint64_t value, std::ptrdiff_t min_digits = 1) {
    std::array<char, 20> digits{};
    const char *const end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
    for (auto missing = min_digits - (end - digits.data()); missing > 0; --missing)
      append('0');
    append(std::string_view(digits.data(), static_cast<std::size_t>(end - digits.data())));
  }
  // The text without quotes, backslashes, control characters and bytes beyond ASCII.
  void append_plain(std::string_view text) {
    for (const char character : text)
      append(character >= ' ' && character <= '~' && character != '"' && character != '\\' ? character : '?');
  }
  void write_to(int fd) const {
    // There is nobody left to tell of a failure.
    [[maybe_unused]] const ssize_t written = ::write(fd, bytes_.data(), size_);
  }

private:
  std::array<char, kMaxLineBytes> bytes_;
  std::size_t size_ = 0;
};

// Appends the fields of a line, as text or as members of a JSON object.
class FieldWriter {
public:
  FieldWriter(FixedLine &line, bool json) : line_(line), json_(json) {}

  void text(std::string_view key, std::string_view value) {
    begin(key);
    line_.append('"');
    line_.append_plain(value);
    line_.append('"');
  }
  void number(std::string_view key, std::uint64_t value) {
    begin(key);
    line_.append_number(value);
  }

private:
  void begin(std::string_view key) {
    line_.append(json_ ? ",\"" : " ");
    line_.append(key);
    line_.append(json_ ? "\":" : "=");
  }

  FixedLine &line_;
  bool json_;
};

void append_time(FixedLine &line) {
  using namespace std::chrono;
  const sys_seconds now{seconds{seconds_of(CLOCK_REALTIME)}};
  const auto day = floor<days>(now);
  const year_month_day date{day};
  const hh_mm_ss time{now - day};
  line.append_number(static_cast<std::uint64_t>(static_cast<int>(date.year())), 4);
  line.append('-');
  line.append_number(static_cast<unsigned>(date.month()), 2);
  line.append('-');
  line.append_number(static_cast<unsigned>(date.day()), 2);
  line.append('T');
  line.append_number(static_cast<std::uint64_t>(time.hours().count()), 2);
  line.append(':');
  line.append_number(static_cast<std::uint64_t>(time.minutes().count()), 2);
  line.append(':');
  line.append_number(static_cast<std::uint64_t>(time.seconds().count()), 2);
  line.append('Z');
}

std::string_view signal_name(int signal) {
  switch (signal) {
  case SIGSEGV:
    return "SIGSEGV";
  case SIGBUS:
    return "SIGBUS";
  case SIGFPE:
    return "SIGFPE";
  case SIGILL:
    return "SIGILL";
  case SIGABRT:
    return "SIGABRT";
  case SIGTERM:
    return "SIGTERM";
  case SIGINT:
    return "SIGINT";
  default:
    return "other";
  }
}

void append_fields(FieldWriter fields, int signal) {
  const CurrentWork &work = *handler_state.work;
  fields.text("signal", signal_name(signal));
  fields.number("uptime_s", static_cast<std::uint64_t>(seconds_of(CLOCK_MONOTONIC) - handler_state.started_at_s));
  switch (work.stage()) {
  case CurrentWork::Stage::Idle:
    fields.text("working_on", "nothing");
    break;
  case CurrentWork::Stage::DecodingBody:
    fields.text("working_on", "body");
    fields.text("interface", work.interface());
    fields.text("method", work.method());
    fields.text("path", work.path());
    fields.number("body_bytes", work.body_bytes());
    break;
  case CurrentWork::Stage::ApplyingCommand:
    fields.text("working_on", "command");
    fields.text("command", work.command());
    break;
  }
  fields.number("leader_term", work.leader_term());
}

void write_log_line(int signal) {
  const bool json = handler_state.options.json;
  FixedLine line;
  line.append(json ? R"({"time":")" : "");
  append_time(line);
  line.append(json ? R"(","level":"error","event":"process_faulted")" : " error process_faulted");
  append_fields(FieldWriter(line, json), signal);
  line.append(json ? "}\n" : "\n");
  line.write_to(STDERR_FILENO);
}

void note_end(std::string_view how, int signal) {
  if (handler_state.options.run_record_fd < 0) return;
  FixedLine line;
  line.append(how);
  append_fields(FieldWriter(line, false), signal);
  line.append('\n');
  line.write_to(handler_state.options.run_record_fd);
}

// SA_RESETHAND has restored the default action, which the raised signal takes once the handler has returned.
void on_fault(int signal) {
  write_log_line(signal);
  note_end(RunRecord::kFaulted, signal);
  ::raise(signal);
}

void on_stop(int signal) {
  note_end(RunRecord::kStopped, signal);
  ::raise(signal);
}

void handle_once(int signal, void (*handler)(int)) {
  struct sigaction action {};
  action.sa_handler = handler;
  action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND);
  sigemptyset(&action.sa_mask);
  ::sigaction(signal, &action, nullptr);
}

} // namespace

void install_fault_report(const CurrentWork &work, FaultReportOptions options) {
  handler_state = {&work, options, seconds_of(CLOCK_MONOTONIC)};
  stack_t stack{};
  stack.ss_sp = handler_stack.data();
  stack.ss_size = handler_stack.size();
  ::sigaltstack(&stack, nullptr);
  for (const int signal : kFaultSignals)
    handle_once(signal, on_fault);
  for (const int signal : kStopSignals)
    handle_once(signal, on_stop);
}

} // namespace loftrouter::app
