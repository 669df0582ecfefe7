// Keys of the records in the state service. They are part of the stored format and never change: records of earlier
// versions are found under them.
#pragma once

#include <string>
#include <string_view>

namespace loftrouter::wire {

inline constexpr std::string_view kLeaderKey = "leader";         // LeaderRecord
inline constexpr std::string_view kOpenPrefix = "open/";         // OpenRecord of each open job
inline constexpr std::string_view kEndPrefix = "end/";           // EndRecord of each ended job
inline constexpr std::string_view kProgressPrefix = "progress/"; // ProgressShard: progress of many jobs
inline constexpr std::string_view kAccountsPrefix = "accounts/"; // SumsByTeam of one past accounting period

// The open record of the job with this id.
inline std::string open_key(std::string_view id) {
  return std::string(kOpenPrefix).append(id);
}

// The end record of the job with this id.
inline std::string end_key(std::string_view id) {
  return std::string(kEndPrefix).append(id);
}

// The progress record with this name.
inline std::string progress_key(std::string_view name) {
  return std::string(kProgressPrefix).append(name);
}

// The sums of the accounting period with this name (accounts::Clock::name).
inline std::string accounts_key(std::string_view period) {
  return std::string(kAccountsPrefix).append(period);
}

// What follows the prefix of a key: of an open or end record the job's id. The whole key if it has no prefix.
inline std::string record_name(std::string_view key) {
  return std::string(key.substr(key.find('/') + 1));
}

} // namespace loftrouter::wire
