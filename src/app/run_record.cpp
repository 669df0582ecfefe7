#include "loftrouter/app/run_record.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <filesystem>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace loftrouter::app {

namespace {

constexpr std::size_t kMaxRecordBytes = 1024;
constexpr std::string_view kRunning = "running\n";

bool plain(char character) {
  return std::isalnum(static_cast<unsigned char>(character)) || character == '.' || character == '-';
}

std::string record_path(const Settings &settings) {
  const char *const runtime_directory = std::getenv("RUNTIME_DIRECTORY");
  std::error_code error;
  const auto directory =
      runtime_directory ? std::filesystem::path(runtime_directory) : std::filesystem::temp_directory_path(error);
  std::string name = "loftrouterd-" + settings.node + "-" + settings.listen;
  std::replace_if(
      name.begin(), name.end(), [](char character) { return !plain(character); }, '_');
  return (directory / (name + ".run")).string();
}

// Opens a regular file of this user. Others may write to the directory, so links are not followed.
net::Fd open_own_file(const std::string &path, int flags) {
  net::Fd file(::open(path.c_str(), flags | O_NOFOLLOW | O_CLOEXEC, S_IRUSR | S_IWUSR));
  struct stat status {};
  if (!file || ::fstat(file.get(), &status) != 0) return {};
  if (!S_ISREG(status.st_mode) || status.st_uid != ::geteuid()) return {};
  return file;
}

std::string read_record(const std::string &path) {
  const net::Fd file = open_own_file(path, O_RDONLY);
  if (!file) return {};
  std::string text(kMaxRecordBytes, '\0');
  const ssize_t size = ::read(file.get(), text.data(), text.size());
  text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  return text;
}

PreviousRun parse_record(std::string_view text) {
  if (!text.starts_with(kRunning)) return {};
  text.remove_prefix(kRunning.size());
  const std::string last(text.substr(0, text.find('\n')));
  if (last.starts_with(RunRecord::kStopped)) return {PreviousRun::End::Stopped, last};
  if (last.starts_with(RunRecord::kFaulted)) return {PreviousRun::End::Faulted, last};
  return {PreviousRun::End::Killed, {}};
}

} // namespace

std::string_view previous_run_name(PreviousRun::End end) {
  switch (end) {
  case PreviousRun::End::Unknown:
    return "unknown";
  case PreviousRun::End::Stopped:
    return "stopped";
  case PreviousRun::End::Faulted:
    return "faulted";
  case PreviousRun::End::Killed:
    return "killed";
  }
  return "unknown";
}

RunRecord::RunRecord(const Settings &settings) : RunRecord(record_path(settings)) {}

RunRecord::RunRecord(const std::string &path)
    : previous_(parse_record(read_record(path))), file_(open_own_file(path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND)) {
  if (file_ && ::write(file_.get(), kRunning.data(), kRunning.size()) < 0) file_.reset();
}

} // namespace loftrouter::app
