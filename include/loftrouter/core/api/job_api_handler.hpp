// JobApiHandler serves the user API on any node. It writes submissions and cancellations to the state service, and
// answers lookups from a read made after the request arrived. If the state service does not answer this node, the
// request is forwarded once to a replica that it does answer (docs/links.md).
//
// It owns the requests in flight and a cache of open records. Every reply holds for a time after the request arrived
// and never contradicts an earlier reply (docs/safety.md "forgotten", "not_done", "went_back", "orphaned"): a cached
// end or cancellation is permanent; anything else is checked with the state service, for the job and for all jobs that
// it depends on. A request that can't be served in time is refused at once.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "loftrouter/core/api/open_job_cache.hpp"
#include "loftrouter/core/api/status_reporter.hpp"
#include "loftrouter/core/jobs/ended_jobs.hpp"
#include "loftrouter/core/runtime/forwarded_requests.hpp"

namespace loftrouter::core {

class JobApiHandler {
public:
  JobApiHandler(Runtime &runtime, const Settings &settings, const InstanceTypeCatalog &catalog,
                StateServiceLimits &state_limits, const Leadership &leadership, JobTable &jobs, EndedJobs &ended,
                Replicas &replicas, Cancellations &cancellations, const Quotas &quotas,
                const StatusReporter &status_reporter)
      : runtime_(runtime), settings_(settings), catalog_(catalog), state_limits_(state_limits), leadership_(leadership),
        jobs_(jobs), ended_(ended), replicas_(replicas), cancellations_(cancellations), quotas_(quotas),
        status_reporter_(status_reporter), open_jobs_(ended), forwarded_requests_(kMaxForwarded, runtime.nonce()) {}

  void take(SubmitCommand &&command);
  void take(LookupCommand &&command);
  void take(CancelCommand &&command);
  // Answers the waiting requests that can be answered, and checks cached open records against the state service for the
  // others. Called after each batch.
  void check_open_records();
  void tick(); // refuses forwarded requests that timed out
  // Serves a request that another replica forwarded.
  void handle_forwarded_request(const PeerMessageCommand &command);
  // Relays to the user the reply to a request that this node forwarded.
  void relay_forwarded_reply(const wire::PeerMessage &message);
  bool can_answer() const; // directly or through another replica
  void on(const JobEndLearned &event);

private:
  static constexpr std::size_t kMaxForwarded = 512;
  static constexpr double kNever = -1e9;               // s
  static constexpr double kLookupMaxWaitS = 0.25;      // for a revision check
  static constexpr double kDependenciesMaxWaitS = 1.0; // where dependencies may have to be read first
  using Verb = wire::PeerMessage::Verb;
  struct PendingSubmission;
  // A request about a job that is cached as open, or about a new job whose dependencies are. It waits until their
  // records are confirmed.
  struct PendingRequest {
    RequestId request_id;
    std::string id; // of the job
    bool is_submission;
    double received_at;
    double max_wait_s = kLookupMaxWaitS;
    std::shared_ptr<PendingSubmission> submission = nullptr; // of a new job
  };
  enum class Progress : std::uint8_t { Answered, Waiting };
  // What the waiting requests need to be answered.
  struct NeededChecks {
    std::vector<std::vector<std::string>> unconfirmed; // for each request, the ids of the records to be compared
    bool follow = false;                               // at least one needs the changes since the followed revision
    std::size_t dependencies_followed = 0;             // to bound the work of a batch
  };
  struct ForwardedRequest {
    Verb verb;
    std::string id, body; // of the job; the body is kept only if it is short
    double received_at;
    std::uint64_t tried_replicas; // bit set of replicas
    bool has_dependencies;
  };
  using OpenJob = OpenJobCache::OpenJob;
  enum class JobStatus : std::uint8_t { Open, Service, Done, Cancelled, NeverAccepted, Unknown };
  enum class Feasibility : std::uint8_t { Feasible, Infeasible, Unknown };
  Feasibility check_feasibility(const JobSpec &spec, std::string &reason) const;
  void reply_state(const PendingRequest &request);
  void reply_ended(RequestId request_id, const std::string &id, const EndRecord &end, bool short_reply);
  void reply_open(const PendingRequest &request, bool cancelled);
  // `confirmed_at`: when the read was requested, or the write; monotonic s.
  void remember_open(const OpenRecord &record, std::uint64_t mod_revision, double confirmed_at);
  const OpenJob *find_open_job(const std::string &id);
  // Returns the cached status of a job.
  JobStatus known_status(const std::string &id);
  // Reads a job's status from the state service.
  void look_up(const std::string &id, std::function<void(JobStatus)> callback);
  bool try_look_up(const std::string &id, std::function<void(JobStatus)> callback); // false: no budget is left
  void look_up_dependency(const std::string &id);
  void check_dependencies(std::shared_ptr<PendingSubmission> submission);
  void finish_dependency_check(const std::shared_ptr<PendingSubmission> &submission);
  void commit_submission(const PendingRequest &request, OpenRecord record);
  void reject_unless_accepted(const PendingRequest &request, const JobSpec &spec, const std::string &reason);
  void cancel_job(const PendingRequest &request);
  std::size_t max_preconditions() const { return static_cast<std::size_t>(4 * settings_.state_txn_ops); }
  void refuse_expired_requests();
  NeededChecks answer_waiting_requests();
  Progress advance(PendingRequest &request, NeededChecks &needed);
  OpenJobCache::Examination examine(const std::vector<std::string> &ids, double since, NeededChecks &needed);
  double confirmed_since(const PendingRequest &request) const;
  std::string_view failure_of(const OpenJobCache::Examination &examination, double received_at) const;
  void finish(const PendingRequest &request, bool cancelled);
  void fail(const PendingRequest &request, std::string_view reason);
  void send_check(std::vector<std::vector<std::string>> unconfirmed);
  void on_check_reply(const std::vector<wire::Precondition> &checked, const wire::StoreReply &reply);
  void read_changes();
  void on_changes(std::uint64_t from, const wire::StoreReply &reply);
  void apply_change(const wire::WatchEvent &change, double requested_at);
  void read_open_record(const PendingRequest &request);
  void reclaim_job_id(const PendingRequest &request, std::uint64_t mod_revision, OpenRecord record);
  void read_end_record(const PendingRequest &request, bool is_cancellation);
  int choose_replica(std::uint64_t tried_replicas = 0, bool needs_dependency_support = false) const; // -1: none
  bool forward(RequestId request_id, Verb verb, const std::string &id, double received_at, std::string body = {},
               std::uint64_t tried_replicas = 0, bool has_dependencies = false);
  // Forwards a request that the state service has not answered to another replica, or refuses it.
  void forward_or_refuse(const PendingRequest &request, Verb verb, std::string_view reason, std::string body = {},
                         bool has_dependencies = false);
  void forward_or_refuse(const PendingRequest &request, const JobSpec &spec, std::string_view reason);

  Runtime &runtime_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  StateServiceLimits &state_limits_;
  const Leadership &leadership_;
  JobTable &jobs_;
  EndedJobs &ended_;
  Replicas &replicas_;
  Cancellations &cancellations_;
  const Quotas &quotas_;
  const StatusReporter &status_reporter_;
  int operations_in_flight_ = 0; // store operations on behalf of users
  std::deque<PendingRequest> unverified_requests_;
  bool cache_changed_ = false; // since the waiting requests were last looked at
  double next_timeout_scan_at_ = 0;
  // Transactions that compare revisions, one at a time.
  bool check_in_flight_ = false;
  double check_requested_at_ = kNever, failed_check_requested_at_ = kNever, next_check_at_ = 0;
  // Reads of what has changed since the followed revision, one at a time.
  bool follow_in_flight_ = false;
  double follow_requested_at_ = kNever, failed_follow_requested_at_ = kNever, next_follow_at_ = 0;
  double follow_until_ = kNever, follow_retry_at_ = kNever;
  OpenJobCache open_jobs_;
  std::unordered_set<std::string> dependency_lookups_;                // ids, in flight
  std::unordered_map<std::string, double> failed_dependency_lookups_; // id -> when it failed
  ForwardedRequests<ForwardedRequest> forwarded_requests_;
};

} // namespace loftrouter::core
