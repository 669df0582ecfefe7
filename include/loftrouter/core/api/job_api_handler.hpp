// JobApiHandler serves the user API on any node. It writes submissions and cancellations to the state service, and
// answers lookups from a read made after the request arrived. If the state service does not answer this node, the
// request is forwarded once to a replica that it does answer (docs/links.md).
//
// It owns the requests in flight and a cache of open records. Every reply holds for a time after the request arrived
// and never contradicts an earlier reply (docs/safety.md "forgotten", "not_done", "went_back"): a cached end or
// cancellation is permanent, anything else is checked with the state service. A request that can't be served in time is
// refused at once.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

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
        status_reporter_(status_reporter), forwarded_requests_(kMaxForwarded, runtime.nonce()) {}

  void take(SubmitCommand &&command);
  void take(LookupCommand &&command);
  void take(CancelCommand &&command);
  // Checks the cached open records against the state service for the waiting requests. Called after each batch.
  void check_open_records();
  void tick(); // refuses forwarded requests that timed out
  // Serves a request that another replica forwarded.
  void handle_forwarded_request(const PeerMessageCommand &command);
  // Relays to the user the reply to a request that this node forwarded.
  void relay_forwarded_reply(const wire::PeerMessage &message);
  bool can_answer() const; // directly or through another replica
  void on(const JobEndLearned &event) { open_jobs_.erase(event.id); }

private:
  static constexpr std::size_t kMaxForwarded = 512;
  static constexpr double kLookupMaxWaitS = 0.25;      // for a revision check
  static constexpr double kDependenciesMaxWaitS = 1.0; // where dependencies have to be read first
  using Verb = wire::PeerMessage::Verb;
  // A request about a job that is cached as open waits for the next revision check.
  struct PendingRequest {
    RequestId request_id;
    std::string id; // of the job
    bool is_submission;
    double received_at;
    double max_wait_s = kLookupMaxWaitS;
    std::vector<std::string> unchanged_keys = {}; // confirmed by earlier revision checks of this request
  };
  struct RevisionCheck {
    PendingRequest request;
    std::vector<std::string> keys;
    bool complete = true; // false if the commit had no room for some of the keys
  };
  struct ForwardedRequest {
    Verb verb;
    std::string id, body; // of the job; the body is kept only if it is short
    double received_at;
    std::uint64_t tried_replicas; // bit set of replicas
    bool has_dependencies;
  };
  struct OpenJob {
    std::uint64_t mod_revision;
    bool cancelled, service;
    std::vector<std::string> dependencies; // except those known to be done
  };
  enum class JobStatus : std::uint8_t { Open, Service, Done, Cancelled, NeverAccepted, Unknown };
  struct PendingSubmission; // waits for the lookup of its dependencies
  enum class Feasibility : std::uint8_t { Feasible, Infeasible, Unknown };
  Feasibility check_feasibility(const JobSpec &spec, std::string &reason) const;
  void reply_state(const PendingRequest &request);
  void reply_ended(RequestId request_id, const std::string &id, const EndRecord &end, bool short_reply);
  void reply_open(const PendingRequest &request, bool cancelled);
  void remember_open(const OpenRecord &record, std::uint64_t mod_revision, bool cancelled);
  const OpenJob *find_open_job(const std::string &id);
  // Returns the cached status of a job.
  JobStatus known_status(const std::string &id);
  // Reads a job's status from the state service.
  void look_up(const std::string &id, std::function<void(JobStatus)> callback);
  void check_dependencies(std::shared_ptr<PendingSubmission> submission);
  void finish_dependency_check(const std::shared_ptr<PendingSubmission> &submission);
  void commit_submission(const PendingRequest &request, OpenRecord record);
  void reject_unless_accepted(const PendingRequest &request, const JobSpec &spec, const std::string &reason);
  void cancel_job(const PendingRequest &request);
  std::size_t max_preconditions() const { return static_cast<std::size_t>(4 * settings_.state_txn_ops); }
  std::optional<RevisionCheck> prepare_check(PendingRequest request, StoreCommit &commit);
  std::string find_cancelled_dependency(const std::string &id);
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
  bool check_in_flight_ = false;
  double next_check_at_ = 0, next_timeout_scan_at_ = 0;
  std::unordered_map<std::string, OpenJob> open_jobs_;
  std::deque<std::string> open_job_order_;
  ForwardedRequests<ForwardedRequest> forwarded_requests_;
};

} // namespace loftrouter::core
