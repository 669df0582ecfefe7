#include "task_sets.hpp"

#include <charconv>

#include <fmt/format.h>

#include "json_fields.hpp"
#include "loftrouter/wire/job.hpp"

namespace loftrouter::wire {

namespace {

constexpr std::uint32_t kTasksPerDigit = 4;
constexpr std::uint64_t kMaxRangeEnd = 1'000'000; // exceeds the 100,000 tasks that a job may have
constexpr std::string_view kDigits = "0123456789abcdef";

// Returns the size of the ranges as JSON text, with a trailing comma.
std::size_t list_text_length(const Ranges &ranges) {
  std::size_t length = 2; // brackets
  for (auto [begin, end] : ranges)
    length += fmt::formatted_size("{},{},", begin, end);
  return length;
}

std::string format_bitmap(const Ranges &ranges, std::size_t digit_count) {
  std::string digits(digit_count, '\0'); // values 0 to 15, replaced by characters at the end
  for (auto [begin, end] : ranges)
    for (auto index = begin; index < end; ++index) {
      char &digit = digits[index / kTasksPerDigit];
      digit = static_cast<char>(digit | 1 << index % kTasksPerDigit);
    }
  for (char &digit : digits)
    digit = kDigits[static_cast<std::size_t>(digit)];
  return digits;
}

std::optional<Ranges> parse_bitmap(std::string_view digits) {
  Ranges ranges;
  std::uint32_t index = 0;
  for (char digit : digits) {
    const auto bits = kDigits.find(digit);
    if (bits == std::string_view::npos) return std::nullopt;
    for (std::uint32_t bit = 0; bit < kTasksPerDigit; ++bit, ++index) {
      if (!(bits >> bit & 1)) continue;
      if (!ranges.empty() && ranges.back().second == index)
        ranges.back().second = index + 1;
      else
        ranges.emplace_back(index, index + 1);
    }
  }
  return ranges;
}

std::optional<Ranges> parse_list(const Json &list) {
  if (!list.is_array() || list.size() % 2) return std::nullopt;
  Ranges ranges;
  for (std::size_t i = 0; i < list.size(); i += 2) {
    const auto begin = read_count(list[i]);
    const auto end = read_count(list[i + 1]);
    if (!begin || !end || *begin >= *end || *end > kMaxRangeEnd) return std::nullopt;
    ranges.emplace_back(*begin, *end);
  }
  return ranges;
}

} // namespace

std::string format_task_name(std::string_view job, std::uint32_t index) {
  return fmt::format("{}/{}", job, index);
}

std::optional<TaskName> parse_task_name(std::string_view name) {
  const auto slash = name.rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  TaskName task;
  task.job = name.substr(0, slash);
  const char *const end = name.data() + name.size();
  const auto parsed = std::from_chars(name.data() + slash + 1, end, task.index);
  if (parsed.ec != std::errc() || parsed.ptr != end || !valid_job_id(task.job)) return std::nullopt;
  return task;
}

Json task_set_to_json(const Ranges &ranges) {
  const std::size_t digit_count = ranges.empty() ? 0 : (ranges.back().second + kTasksPerDigit - 1) / kTasksPerDigit;
  if (digit_count + 2 < list_text_length(ranges)) return format_bitmap(ranges, digit_count);
  Json list = Json::array();
  for (auto [begin, end] : ranges) {
    list.push_back(begin);
    list.push_back(end);
  }
  return list;
}

std::optional<Ranges> task_set_from_json(const Json &json) {
  if (json.is_string()) return parse_bitmap(json.get_ref<const std::string &>());
  return parse_list(json);
}

} // namespace loftrouter::wire
