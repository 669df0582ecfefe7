// Tests the cache of open records against a reference model of the state service: whatever is read late, in another
// order or not at all, a job that was cancelled before a question, by its own record or by that of any job that it
// depends on, is never found to be open.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>
#include <set>

#include "loftrouter/core/api/open_job_cache.hpp"
#include "loftrouter/core/runtime/events.hpp"

using namespace loftrouter;
using namespace loftrouter::core;

namespace {

// The open records and ends in the state service, and reads of them that take time.
class CacheModel {
public:
  CacheModel(std::uint64_t seed, int jobs) : rng_(seed), cache_(ended_) {
    for (int i = 0; i < jobs; ++i) {
      Record record;
      for (int k = 0; k < i; ++k)
        if (draw(8) == 0) record.dependencies.push_back(name(k));
      record.mod_revision = ++revision_;
      records_[name(i)] = record;
    }
  }

  void step() {
    now_ += 0.01;
    change_something();
    begin_some_read();
    if (draw(6) == 0) cache_.erase(draw_job()); // as if it were evicted
    std::shuffle(replies_.begin(), replies_.end(), rng_);
    while (!replies_.empty() && draw(20) < 11) {
      auto reply = std::move(replies_.back());
      replies_.pop_back();
      reply();
    }
    ask();
  }

  int confirmed = 0, confirmed_by_following = 0, found_cancelled = 0;

private:
  struct Record {
    std::uint64_t mod_revision = 0;
    std::vector<std::string> dependencies;
    double cancelled_at = -1, done_at = -1, ended_at = -1;
    std::uint64_t ended_revision = 0;
  };

  static std::string name(int i) { return "j-" + std::to_string(i); }
  std::uint64_t draw(std::uint64_t below) { return rng_() % below; }
  std::string draw_job() { return name(static_cast<int>(draw(records_.size()))); }

  // Whether the job was cancelled by that time, by its own record or by that of a job that it depends on.
  bool cancelled(const std::string &id, double by) const {
    const Record &record = records_.at(id);
    if (record.cancelled_at >= 0 && record.cancelled_at <= by) return true;
    return std::any_of(record.dependencies.begin(), record.dependencies.end(),
                       [&](const auto &dependency) { return cancelled(dependency, by); });
  }
  bool all_done(const std::vector<std::string> &ids) const {
    return std::all_of(ids.begin(), ids.end(), [this](const auto &id) { return records_.at(id).done_at >= 0; });
  }

  // A user cancels, a job whose dependencies are done completes, or the leader records the end of a cancelled job.
  void change_something() {
    const std::string id = draw_job();
    Record &record = records_[id];
    if (record.ended_at >= 0) return;
    if (draw(150) == 0 && record.cancelled_at < 0) {
      record.cancelled_at = now_;
      record.mod_revision = ++revision_;
    } else if (draw(20) == 0 && (all_done(record.dependencies) || cancelled(id, now_))) {
      (cancelled(id, now_) ? record.ended_at : record.done_at) = now_;
      if (record.ended_at >= 0 && record.cancelled_at < 0) record.cancelled_at = now_;
      record.ended_at = now_;
      record.ended_revision = ++revision_;
    }
  }

  OpenJobCache::OpenJob read(const Record &record, double requested_at) const {
    OpenJobCache::OpenJob job;
    job.mod_revision = record.mod_revision;
    job.cancelled = record.cancelled_at >= 0;
    job.dependencies = record.dependencies;
    job.confirmed_at = requested_at;
    return job;
  }
  void remember_end(const std::string &id, const Record &record) {
    EndRecord end;
    end.cancelled = record.done_at < 0;
    ended_.remember(id, end);
    cache_.erase(id);
  }

  void begin_some_read() {
    switch (draw(8)) {
    case 0:
      return begin_compare();
    case 1:
      return begin_following();
    default:
      return begin_read(draw_job());
    }
  }
  void begin_read(const std::string &id) {
    const Record record = records_[id];
    replies_.push_back([this, id, record, requested_at = now_] {
      if (record.ended_at >= 0) return remember_end(id, record);
      (void)cache_.remember(id, read(record, requested_at));
    });
  }
  void begin_compare() {
    std::map<std::string, std::uint64_t> compared;
    for (int i = 0; i < 6; ++i)
      if (const std::string id = draw_job(); const auto *job = cache_.find(id)) compared[id] = job->mod_revision;
    std::set<std::string> failed;
    for (const auto &[id, mod_revision] : compared)
      if (const Record &record = records_[id]; record.ended_at >= 0 || record.mod_revision != mod_revision)
        failed.insert(id);
    replies_.push_back([this, compared, failed, revision = revision_, requested_at = now_] {
      for (const auto &id : failed)
        cache_.erase(id);
      if (!failed.empty()) return;
      const bool start = !cache_.following();
      if (start) cache_.start_following(revision, requested_at);
      for (const auto &[id, mod_revision] : compared)
        cache_.confirm(id, mod_revision, requested_at);
      if (start) cache_.revision_learned(now_);
    });
  }
  void begin_following() {
    if (!cache_.following() || following_in_flight_) return;
    following_in_flight_ = true;
    const bool lost = draw(30) == 0;
    const auto records = records_;
    replies_.push_back(
        [this, lost, records, from = cache_.followed_revision(), revision = revision_, requested_at = now_] {
          following_in_flight_ = false;
          if (lost) return cache_.stop_following();
          for (const auto &[id, record] : records) {
            if (!cache_.find(id)) continue;
            if (record.ended_at >= 0 && record.ended_revision > from) { // the open record is gone, its end is not told
              cache_.erase(id);
            } else if (record.ended_at < 0 && record.mod_revision > from) {
              (void)cache_.remember(id, read(record, requested_at));
            }
          }
          cache_.followed_to(revision, requested_at, now_);
        });
  }

  // Asks about a job as of a moment of the last second.
  void ask() {
    const std::string id = draw_job();
    if (!cache_.find(id)) return;
    const double since = now_ - 0.01 * static_cast<double>(draw(100));
    const bool by_following = draw(2);
    const auto examination = cache_.examine({id}, {.since = since, .max_listed = 1000, .by_following = by_following});
    if (examination.cancelled) {
      ASSERT_TRUE(cancelled(id, now_)) << id;
      ++found_cancelled;
    } else if (examination.all_confirmed()) {
      ASSERT_FALSE(cancelled(id, since)) << id << " at " << now_ << " since " << since;
      ++(by_following ? confirmed_by_following : confirmed);
    }
  }

  std::mt19937_64 rng_;
  Events events_;
  EndedJobs ended_{events_};
  OpenJobCache cache_;
  std::map<std::string, Record> records_;
  std::uint64_t revision_ = 0;
  double now_ = 1;
  bool following_in_flight_ = false;
  std::vector<std::function<void()>> replies_;
};

} // namespace

// Guards against a job called open although a job above it was cancelled before the question.
TEST(OpenJobCache, NeverConfirmsAJobBelowACancelledOne) {
  int confirmed = 0, confirmed_by_following = 0, found_cancelled = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CacheModel model(seed, 20);
    for (int i = 0; i < 1500; ++i) {
      model.step();
      ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
    }
    confirmed += model.confirmed;
    confirmed_by_following += model.confirmed_by_following;
    found_cancelled += model.found_cancelled;
  }
  EXPECT_GT(confirmed, 500);
  EXPECT_GT(confirmed_by_following, 500);
  EXPECT_GT(found_cancelled, 500);
}

// Guards against chains that exhaust the stack.
TEST(OpenJobCache, FollowsAChainOfTenThousandJobs) {
  Events events;
  EndedJobs ended(events);
  OpenJobCache cache(ended);
  for (int i = 0; i < 10'000; ++i) {
    OpenJobCache::OpenJob job;
    job.mod_revision = 1;
    job.cancelled = i == 0;
    job.confirmed_at = 1;
    if (i > 0) job.dependencies = {std::to_string(i - 1)};
    EXPECT_EQ(cache.remember(std::to_string(i), job), i == 0);
  }
  EXPECT_TRUE(cache.known_cancelled("9999"));
  EXPECT_EQ(cache.cancelled_dependency("9999"), "9998");
}
