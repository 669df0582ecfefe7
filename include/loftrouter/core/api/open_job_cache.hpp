// Caches open records that this replica has read, and the graph of their dependencies.
//
// Owns the cached records; used by the core's thread alone. A cancellation never changes, so a cached one is always
// current. That a job is open holds only as of the time at which its record was confirmed: a job is answered for as
// open only if its own record and those of all jobs that it depends on, directly or through others, have been confirmed
// since the request arrived (rules `orphaned` and `went_back`, docs/safety.md "Job dependencies").
//
// A record is confirmed by reading it, by a transaction that compares its revision, or, where there are too many for a
// transaction, by *following*: a record that was current at revision R and for which the state service reports no
// change since R is current.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/jobs/ended_jobs.hpp"

namespace loftrouter::core {

// Times are monotonic seconds.
class OpenJobCache {
public:
  static constexpr double kNeverConfirmed = -1e9;

  struct OpenJob {
    std::uint64_t mod_revision = 0;
    bool cancelled = false;            // by its own record
    bool dependency_cancelled = false; // by the record of a job that it depends on, directly or through others
    bool service = false;
    std::vector<std::string> dependencies; // ids, except those known to be done
    // When the record is known to have been current, and when the job and all that it depends on are known to have been
    // open or done. Both stay true whatever happens later.
    double confirmed_at = kNeverConfirmed;
    double all_confirmed_at = kNeverConfirmed;

    // For the cache alone.
    std::uint64_t followed_in = 0;     // the generation in which the record is followed
    std::uint64_t all_followed_in = 0; // the version in which all that it depends on was followed, too
    std::uint64_t visited_by = 0;      // the last examination that visited it

    [[nodiscard]] bool is_cancelled() const { return cancelled || dependency_cancelled; }
  };

  // What is cached about some jobs and all jobs that they depend on, directly or through others. Incomplete if one is
  // cancelled or too many ids are listed.
  struct Examination {
    bool cancelled = false;               // at least one is known to be cancelled
    bool too_many = false;                // as many ids are listed as were asked for
    bool follow_needed = false;           // at least one is followed, and may have changed since
    std::vector<std::string> unknown;     // ids neither cached as open nor known to have ended
    std::vector<std::string> unconfirmed; // ids of open jobs whose records may have changed since
    std::size_t dependencies_followed = 0;

    // Returns whether all were open or done at the time asked about.
    [[nodiscard]] bool all_confirmed() const {
      return !cancelled && !follow_needed && unknown.empty() && unconfirmed.empty();
    }
  };
  struct ExaminationOptions {
    double since = kNeverConfirmed;
    std::size_t max_listed = 1;
    bool by_following = false; // records that are followed are not listed as unconfirmed
  };

  explicit OpenJobCache(const EndedJobs &ended) : ended_(ended) {}

  // Returns null if the job is not cached. The pointer is valid until the cache is changed.
  [[nodiscard]] const OpenJob *find(const std::string &id) const;
  // Caches what a read of the state service has returned, unless something newer is cached. `job.confirmed_at`: when
  // the read was requested. Returns whether this is the first that is known of the job's own cancellation.
  [[nodiscard]] bool remember(const std::string &id, OpenJob job);
  // Notes that a read requested at `requested_at` found the record at this revision.
  void confirm(const std::string &id, std::uint64_t mod_revision, double requested_at);
  void erase(const std::string &id);

  // Examines jobs that are not known to be done, and what they depend on.
  [[nodiscard]] Examination examine(const std::vector<std::string> &ids, const ExaminationOptions &options);
  // Returns whether the job is cached and known to be cancelled.
  [[nodiscard]] bool known_cancelled(const std::string &id);
  // Returns a dependency of the job that is known to be cancelled, or an empty string.
  [[nodiscard]] std::string cancelled_dependency(const std::string &id) const;

  // Begins to follow records: those that are confirmed by a read requested after `revision` was learned. All changes
  // after that revision have to be applied before the next call of `followed_to`.
  void start_following(std::uint64_t revision, double requested_at);
  void stop_following();
  [[nodiscard]] bool following() const { return following_; }
  [[nodiscard]] std::uint64_t followed_revision() const { return followed_revision_; }
  // Records requested from now on are followed from the current revision. `now`: when that revision was learned.
  void revision_learned(double now) { revision_learned_at_ = now; }
  // All changes up to `revision` have been applied. `requested_at`: when they were requested.
  void followed_to(std::uint64_t revision, double requested_at, double now);

private:
  // An evicted record costs a read at the next request. All take about 2.1 MB without dependencies.
  static constexpr std::size_t kMaxJobs = 12'000;

  // A job on the path from an examined job, and what has been found so far about it and all that it depends on.
  struct PathElement {
    OpenJob *job;
    std::size_t next; // position of the dependency that is examined next
    double oldest;    // the oldest confirmation
    bool all_followed;
  };
  struct Walk {
    const ExaminationOptions &options;
    std::vector<PathElement> path;
    Examination result;
  };
  // The outcome of visiting a job; Stopped: the examination ends.
  enum class Visit : std::uint8_t { Open, Done, Stopped };
  [[nodiscard]] Visit enter(const std::string &id, Walk &walk);
  void add_to_path(const std::string &id, OpenJob &job, Walk &walk) const;
  void combine(const OpenJob &dependency, std::vector<PathElement> &path) const;
  void leave(std::vector<PathElement> &path) const;
  [[nodiscard]] bool is_followed(const OpenJob &job) const { return following_ && job.followed_in == generation_; }
  [[nodiscard]] bool all_followed(const OpenJob &job) const { return following_ && job.all_followed_in == version_; }
  [[nodiscard]] double confirmed_at(const OpenJob &job) const;
  [[nodiscard]] double all_confirmed_at(const OpenJob &job) const;
  void evict();

  const EndedJobs &ended_;
  std::unordered_map<std::string, OpenJob> jobs_; // by id
  std::deque<std::string> insertion_order_;       // ids, oldest first
  std::uint64_t examinations_ = 0;

  bool following_ = false;
  std::uint64_t followed_revision_ = 0;
  double revision_learned_at_ = kNeverConfirmed;
  double followed_at_ = kNeverConfirmed; // what is followed is confirmed as of then
  std::uint64_t generation_ = 0;         // of following; grows whenever it begins
  std::uint64_t version_ = 0;            // grows whenever a followed job is cancelled or no longer followed
};

} // namespace loftrouter::core
