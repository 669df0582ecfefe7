// Defines the keys of the records in the state service. They are part of the stored format and must not change, so that
// records of earlier versions are found.
#pragma once

#include <string>
#include <string_view>

namespace loftrouter::wire {

inline constexpr std::string_view kLeaderKey = "leader";         // LeaderRecord
inline constexpr std::string_view kOpenPrefix = "open/";         // OpenRecord of each open job
inline constexpr std::string_view kEndPrefix = "end/";           // EndRecord of each ended job
inline constexpr std::string_view kProgressPrefix = "progress/"; // ProgressShard: progress of many jobs
inline constexpr std::string_view kAccountsPrefix = "accounts/"; // SumsByTeam of one past accounting period

inline std::string open_key(std::string_view job_id) {
  return std::string(kOpenPrefix).append(job_id);
}

inline std::string end_key(std::string_view job_id) {
  return std::string(kEndPrefix).append(job_id);
}

// `shard` is the shard name, or a job id in records of earlier versions.
inline std::string progress_key(std::string_view shard) {
  return std::string(kProgressPrefix).append(shard);
}

// `period` is a period name from accounts::Clock::name.
inline std::string accounts_key(std::string_view period) {
  return std::string(kAccountsPrefix).append(period);
}

// Returns the key without its prefix, which is the job id for open and end records. Returns the whole key if it has
// no prefix.
inline std::string record_name(std::string_view key) {
  return std::string(key.substr(key.find('/') + 1));
}

} // namespace loftrouter::wire
