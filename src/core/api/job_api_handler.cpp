#include "loftrouter/core/api/job_api_handler.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
constexpr double kStoreTimeoutS = 1.4; // a client waits 2 s for a lookup and 5 s for a submission
constexpr int kMaxUserOperations = 256;
constexpr double kCheckIntervalS = 0.03;       // between revision checks
constexpr double kFollowIdleS = 60;            // following ends when no request has needed it for so long
constexpr double kFollowRetryS = 5;            // after a read of changes without an answer
constexpr double kCheckRetryIntervalS = 0.01;  // after a check for which no read was left
constexpr double kTimeoutScanIntervalS = 0.05; // between scans for requests that waited too long
// A forwarded request has to be answered while the client waits: 2 s for a lookup, 5 s for a change.
constexpr double kForwardedLookupTimeoutS = 1.8, kForwardedChangeTimeoutS = 4.5, kMinForwardTimeS = 0.15;
constexpr std::size_t kMaxKeptBodyBytes = 4096; // of a submission that may be forwarded a second time
constexpr std::string_view kUnreachable = "this node reaches neither the state service nor a replica that does";
constexpr double kCancelRetryWindowS = 1.5; // for retries of a cancellation that lost a compare-and-swap
constexpr double kReplicaStatusMaxAgeS = 1.2;
constexpr double kSubmissionMaxAgeS = 5.0;               // of what is known of a new job's dependencies
constexpr double kSubmissionMaxAgeShare = 0.25;          // of `cancel_s`, at most
constexpr std::size_t kMaxDependencyLookups = 8;         // in flight
constexpr double kReadsPerLookup = 1.3;                  // on average: the open record, and sometimes the end record
constexpr std::size_t kMaxDependenciesFollowed = 20'000; // in one batch; then the other requests wait for the next
} // namespace

JobApiHandler::Feasibility JobApiHandler::check_feasibility(const JobSpec &spec, std::string &reason) const {
  const int team = spec.team.starts_with('@') ? -1 : jobs_.find_team(spec.team); // pseudo-teams stand for other cells
  if (team < 0) {
    reason = fmt::format("unknown team {}", spec.team);
    return Feasibility::Infeasible;
  }
  const Team &team_quota = quotas_.total_quota(team);
  double concurrent_tasks = spec.shape == Shape::Array ? 1 : spec.tasks;
  constexpr double tolerance = 1e-6;
  if ((team_quota.cpus_max > 0 && spec.need.cpus * concurrent_tasks > team_quota.cpus_max + tolerance) ||
      (team_quota.gpus_max > 0 && spec.need.gpus * concurrent_tasks > team_quota.gpus_max + tolerance)) {
    reason = fmt::format("needs more than the limit of team {}", spec.team);
    return Feasibility::Infeasible;
  }
  if (!catalog_.known()) return Feasibility::Unknown;
  std::set<std::string_view> zones; // zones that can hold a task of the job
  for (const auto &type : catalog_.types()) {
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end()) continue;
    if (!spec.need.fits(type.size)) continue;
    for (const auto &zone : type.zones)
      if (!spec.zone || zone == *spec.zone) zones.insert(zone);
  }
  if (zones.empty()) {
    reason = "a task fits no machine type that the job allows";
    return Feasibility::Infeasible;
  }
  // The tasks of an array need not run at the same time.
  if (spec.spread && spec.shape != Shape::Array && spec.tasks > 1 && (spec.one_zone || zones.size() < 2)) {
    reason = "its spread needs two zones, but all of its tasks have to be in one zone";
    return Feasibility::Infeasible;
  }
  return Feasibility::Feasible;
}

// Chooses a replica that the state service answers, preferably the leader.
int JobApiHandler::choose_replica(std::uint64_t tried_replicas, bool needs_dependency_support) const {
  int best = -1;
  for (std::size_t i = 0; i < replicas_.count() && i < 64; ++i) {
    const auto &replica = replicas_[ReplicaIndex(i)];
    if (replica.state_service_lost || runtime_.now() - replica.status_as_of > kReplicaStatusMaxAgeS ||
        (tried_replicas >> i & 1))
      continue;
    if (needs_dependency_support && !replica.supports_dependencies) continue;
    if (best < 0 || replica.service_status.leads) best = static_cast<int>(i);
  }
  return best;
}

bool JobApiHandler::can_answer() const {
  return !replicas_.state_service_lost() || choose_replica() >= 0;
}

// Returns false if the request can't be forwarded. A request that another replica forwarded is not forwarded again: two
// replicas could send it back and forth.
bool JobApiHandler::forward(RequestId request_id, Verb verb, const std::string &id, double received_at,
                            std::string body, std::uint64_t tried_replicas, bool has_dependencies) {
  const double deadline = received_at + (verb == Verb::Look ? kForwardedLookupTimeoutS : kForwardedChangeTimeoutS);
  const int target = choose_replica(tried_replicas, has_dependencies);
  if (target < 0 || Runtime::is_proxied(request_id) || forwarded_requests_.full() ||
      runtime_.now() + kMinForwardTimeS > deadline || body.size() + 256 > wire::kPeerMaxForwardedBody)
    return false;
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::UserRequest;
  message.nonce = forwarded_requests_.add(
      request_id, deadline,
      {verb, id, body.size() <= kMaxKeptBodyBytes ? body : std::string(), received_at,
       tried_replicas | std::uint64_t(1) << target | (body.size() <= kMaxKeptBodyBytes ? 0 : ~std::uint64_t(0)),
       has_dependencies});
  message.term = leadership_.highest_term();
  message.sender = replicas_.own_sender_number();
  message.verb = verb;
  message.id = id;
  message.body = std::move(body);
  runtime_.send({ReplicaIndex(static_cast<std::size_t>(target)), 0, std::move(message)});
  return true;
}

void JobApiHandler::forward_or_refuse(const PendingRequest &request, Verb verb, std::string_view reason,
                                      std::string body, bool has_dependencies) {
  if (!forward(request.request_id, verb, request.id, request.received_at, std::move(body), 0, has_dependencies))
    runtime_.refuse(request.request_id, reason);
}

void JobApiHandler::forward_or_refuse(const PendingRequest &request, const JobSpec &spec, std::string_view reason) {
  forward_or_refuse(request, Verb::Submit, reason, wire::encode(wire::to_json(spec)), !spec.dependencies.empty());
}

void JobApiHandler::handle_forwarded_request(const PeerMessageCommand &command) {
  const auto &message = command.message;
  if (!replicas_.by_sender(message.sender).valid()) return; // not a configured replica
  const auto request_id = runtime_.proxy_request(command.link, message.nonce);
  if (!request_id) return; // the other replica times out
  if (message.verb == Verb::Look) return take(LookupCommand{*request_id, message.id});
  if (message.verb == Verb::Abort) return take(CancelCommand{*request_id, message.id});
  auto spec = wire::decode_job(message.body);
  auto *job = std::get_if<JobSpec>(&spec);
  if (!job || job->id != message.id) return runtime_.refuse(*request_id, "a replica forwarded an invalid job");
  take(SubmitCommand{*request_id, std::move(*job)});
}

// The replica's reply is based on a read made after the request arrived. What this node has cached since then is newer
// and takes precedence.
void JobApiHandler::relay_forwarded_reply(const wire::PeerMessage &message) {
  const auto forwarded = forwarded_requests_.complete(message.nonce);
  if (!forwarded) return; // timed out
  const auto &[verb, id, body, received_at, tried_replicas, has_dependencies] = forwarded->context;
  // The replica may have lost the state service at the same time as this node.
  if (message.status == 503 &&
      forward(forwarded->request, verb, id, received_at, body, tried_replicas, has_dependencies))
    return;
  if (message.status == 200) {
    const bool short_reply = verb != Verb::Look;
    if (const auto *end = ended_.find(id)) return reply_ended(forwarded->request, id, *end, short_reply);
    if (open_jobs_.known_cancelled(id)) return reply_open({forwarded->request, id, short_reply, runtime_.now()}, true);
  }
  runtime_.reply(forwarded->request, message.status, message.body,
                 message.retry_s ? std::optional<int>(message.retry_s) : std::nullopt);
}

void JobApiHandler::tick() {
  for (const auto &forwarded : forwarded_requests_.expire(runtime_.now()))
    runtime_.refuse(forwarded.request, "neither the state service nor another replica answered in time");
}

struct JobApiHandler::PendingSubmission {
  PendingRequest request;
  OpenRecord record;
  std::size_t lookups_left = 1; // plus one until check_dependencies has started all of them
  std::string never_accepted = {}, service = {};
  bool unknown = false, cancelled = false;

  void add_dependency(const std::string &name, JobStatus status) {
    switch (status) {
    case JobStatus::NeverAccepted:
      never_accepted = name;
      break;
    case JobStatus::Service:
      service = name;
      break;
    case JobStatus::Unknown:
      unknown = true;
      break;
    case JobStatus::Cancelled:
      cancelled = true;
      break;
    case JobStatus::Open:
    case JobStatus::Done:
      break;
    }
  }
};

void JobApiHandler::take(SubmitCommand &&command) {
  const PendingRequest request{command.req, command.spec.id, true, runtime_.now()};
  // A known job has been accepted before and stays accepted; reply with its state.
  if (ended_.find(request.id) || find_open_job(request.id)) return reply_state(request);
  const bool has_dependencies = !command.spec.dependencies.empty();
  std::string infeasible_reason;
  switch (check_feasibility(command.spec, infeasible_reason)) {
  case Feasibility::Infeasible:
    return reject_unless_accepted(request, command.spec, infeasible_reason);
  case Feasibility::Unknown:
    return forward_or_refuse(request, command.spec, "the machine types are not known yet");
  case Feasibility::Feasible:
    break;
  }
  OpenRecord record{std::move(command.spec), runtime_.wall(), false, {}};
  if (!state_limits_.fits(wire::to_json(record), StateServiceLimits::kCancellationMarkRoom))
    return reject_unless_accepted(request, record.spec, "the job's description is too long to be stored");
  // An earlier version ignores dependencies and would start the job at once.
  if (has_dependencies && replicas_.some_replica_lacks_dependencies())
    return runtime_.refuse(request.request_id, "jobs with dependencies are accepted once all nodes run this version",
                           2);
  if (replicas_.state_service_lost()) return forward_or_refuse(request, record.spec, kUnreachable);
  if (!has_dependencies) return commit_submission(request, std::move(record));
  check_dependencies(std::make_shared<PendingSubmission>(PendingSubmission{request, std::move(record)}));
}

// Rejects a submission unless the same job was accepted before: limits and machine types may have changed since then,
// and a repeated submission is idempotent. Only a read made after the request arrived can rule that out.
void JobApiHandler::reject_unless_accepted(const PendingRequest &request, const JobSpec &spec,
                                           const std::string &reason) {
  if (replicas_.state_service_lost()) return forward_or_refuse(request, spec, kUnreachable);
  look_up(request.id, [this, request, spec, reason](JobStatus status) {
    if (status == JobStatus::NeverAccepted) return runtime_.reply(request.request_id, 422, wire::encode_error(reason));
    if (status != JobStatus::Unknown) return reply_state(request);
    forward_or_refuse(request, spec, "it is not known at present whether this job was accepted before");
  });
}

void JobApiHandler::commit_submission(const PendingRequest &request, OpenRecord record) {
  if (operations_in_flight_ >= kMaxUserOperations || !state_limits_.take_write(runtime_.now()))
    return runtime_.refuse(request.request_id, "too many concurrent submissions");
  ++operations_in_flight_;
  auto value = wire::to_json(record);
  runtime_.store(StoreCommit{{{wire::open_key(request.id), 0}, {wire::end_key(request.id), 0}},
                             {{wire::open_key(request.id), std::move(value), 0}}},
                 kStoreTimeoutS,
                 [this, request, record = std::move(record), sent_at = runtime_.now()](const wire::StoreReply &reply) {
                   --operations_in_flight_;
                   if (reply.status == 200) {
                     remember_open(record, reply.revision, sent_at);
                     return runtime_.reply(
                         request.request_id, 201,
                         wire::encode_accepted(request.id, record.cancelled ? JobState::Cancelled : JobState::Queued));
                   }
                   if (reply.status == 409) return reply_state(request);
                   // The commit may still succeed; a retry is idempotent.
                   forward_or_refuse(request, record.spec, "the state service did not confirm the submission");
                 });
}

// Acceptance is permanent, so a cached status proves it. That a job was never accepted is proved only by a read made
// after the request arrived.
void JobApiHandler::check_dependencies(std::shared_ptr<PendingSubmission> submission) {
  for (const auto &name : submission->record.spec.dependencies) {
    if (const JobStatus status = known_status(name); status != JobStatus::Unknown) {
      submission->add_dependency(name, status);
      continue;
    }
    ++submission->lookups_left;
    look_up(name, [this, submission, name](JobStatus status) {
      submission->add_dependency(name, status);
      if (--submission->lookups_left == 0) finish_dependency_check(submission);
    });
  }
  if (--submission->lookups_left == 0) finish_dependency_check(submission);
}

void JobApiHandler::finish_dependency_check(const std::shared_ptr<PendingSubmission> &submission) {
  if (submission->unknown)
    return forward_or_refuse(submission->request, submission->record.spec,
                             "it is not known at present whether the job's dependencies exist");
  if (!submission->never_accepted.empty())
    return reject_unless_accepted(
        submission->request, submission->record.spec,
        fmt::format("unknown dependency: job {} was never accepted", submission->never_accepted));
  if (!submission->service.empty())
    return reject_unless_accepted(
        submission->request, submission->record.spec,
        fmt::format("dependency {} is a service, which never completes", submission->service));
  if (submission->cancelled) {
    submission->record.cancelled = true;
    return commit_submission(submission->request, std::move(submission->record));
  }
  if (unverified_requests_.size() >= kMaxUserOperations)
    return runtime_.refuse(submission->request.request_id, "too many concurrent requests");
  // What is cached of the dependencies may be old, and jobs further up may be cancelled.
  PendingRequest request = submission->request;
  request.max_wait_s = runtime_.now() - request.received_at + kDependenciesMaxWaitS;
  request.submission = submission;
  unverified_requests_.push_back(std::move(request));
  cache_changed_ = true;
}

const JobApiHandler::OpenJob *JobApiHandler::find_open_job(const std::string &id) {
  if (const OpenJob *open = open_jobs_.find(id)) return open;
  // A cancellation that this leader propagated along the dependency graph may not be recorded yet.
  const JobIndex job_index = leadership_.leading() ? jobs_.index(id) : JobIndex();
  if (!job_index.valid() || jobs_[job_index].cancelled || jobs_[job_index].ending || jobs_[job_index].delegated_here)
    return nullptr;
  remember_open({jobs_[job_index].spec, jobs_[job_index].submit_wall, false, {}}, jobs_[job_index].open_mod_revision,
                OpenJobCache::kNeverConfirmed);
  return open_jobs_.find(id);
}

JobApiHandler::JobStatus JobApiHandler::known_status(const std::string &id) {
  if (const auto *end = ended_.find(id)) return end->cancelled ? JobStatus::Cancelled : JobStatus::Done;
  const auto *open = find_open_job(id);
  if (!open) return JobStatus::Unknown;
  return open->is_cancelled() ? JobStatus::Cancelled : open->service ? JobStatus::Service : JobStatus::Open;
}

void JobApiHandler::look_up(const std::string &id, std::function<void(JobStatus)> callback) {
  if (!try_look_up(id, callback)) callback(JobStatus::Unknown);
}

// Reads the open record before the end record, the order in which a job moves through them.
bool JobApiHandler::try_look_up(const std::string &id, std::function<void(JobStatus)> callback) {
  if (operations_in_flight_ >= kMaxUserOperations || !state_limits_.take_read(runtime_.now(), kReadsPerLookup))
    return false;
  ++operations_in_flight_;
  runtime_.store(
      StoreGet{wire::open_key(id)}, kStoreTimeoutS / 2,
      [this, id, callback = std::move(callback), sent_at = runtime_.now()](const wire::StoreReply &open_reply) {
        --operations_in_flight_;
        const bool has_record = open_reply.status == 200 && open_reply.entries.size() == 1;
        if (auto end = has_record ? wire::final_from_json(open_reply.entries[0].value) : std::nullopt) {
          ended_.remember(id, std::move(*end));
          return callback(known_status(id));
        }
        if (auto open = has_record ? wire::open_from_json(open_reply.entries[0].value) : std::nullopt;
            open && !open->delegated) {
          remember_open(*open, open_reply.entries[0].mod_revision, sent_at);
          return callback(known_status(id));
        } else if (open_reply.status != 404 && !open) {
          return callback(JobStatus::Unknown);
        }
        ++operations_in_flight_;
        runtime_.store(
            StoreGet{wire::end_key(id)}, kStoreTimeoutS / 2, [this, id, callback](const wire::StoreReply &reply) {
              --operations_in_flight_;
              if (reply.status == 404) return callback(JobStatus::NeverAccepted);
              auto end = reply.status == 200 && reply.entries.size() == 1 ? wire::end_from_json(reply.entries[0].value)
                                                                          : std::nullopt;
              if (!end) return callback(JobStatus::Unknown);
              ended_.remember(id, std::move(*end));
              callback(known_status(id));
            });
      });
  return true;
}

// Reads the record of a job that waiting requests need to know about.
void JobApiHandler::look_up_dependency(const std::string &id) {
  if (dependency_lookups_.size() >= kMaxDependencyLookups || dependency_lookups_.contains(id)) return;
  const bool started = try_look_up(id, [this, id](JobStatus status) {
    dependency_lookups_.erase(id);
    if (status == JobStatus::NeverAccepted || status == JobStatus::Unknown)
      failed_dependency_lookups_[id] = runtime_.now();
    cache_changed_ = true;
  });
  if (started) dependency_lookups_.insert(id);
}

void JobApiHandler::take(LookupCommand &&command) {
  if (!wire::valid_job_id(command.id)) return runtime_.reply(command.req, 404, wire::encode_error("no such job"));
  reply_state({command.req, command.id, false, runtime_.now()});
}

void JobApiHandler::reply_state(const PendingRequest &request) {
  if (const auto *end = ended_.find(request.id))
    return reply_ended(request.request_id, request.id, *end, request.is_submission);
  const OpenJob *cached = open_jobs_.find(request.id);
  // Cancellation is permanent; that a job is still open has to be checked.
  if (cached && cached->is_cancelled()) return reply_open(request, true);
  if (replicas_.state_service_lost()) return forward_or_refuse(request, Verb::Look, kUnreachable);
  if (!cached) return read_open_record(request);
  if (unverified_requests_.size() >= kMaxUserOperations)
    return runtime_.refuse(request.request_id, "too many concurrent requests");
  unverified_requests_.push_back(request);
}

void JobApiHandler::read_open_record(const PendingRequest &request) {
  if (operations_in_flight_ >= kMaxUserOperations || !state_limits_.take_read(runtime_.now(), kReadsPerLookup))
    return runtime_.refuse(request.request_id, "too many concurrent requests");
  ++operations_in_flight_;
  runtime_.store(
      StoreGet{wire::open_key(request.id)}, kStoreTimeoutS / 2,
      [this, request, sent_at = runtime_.now()](const wire::StoreReply &reply) {
        --operations_in_flight_;
        if (reply.status == 404) return read_end_record(request, false);
        if (auto end = reply.entries.size() == 1 ? wire::final_from_json(reply.entries[0].value) : std::nullopt) {
          ended_.remember(request.id, *end);
          return reply_ended(request.request_id, request.id, *end, request.is_submission);
        }
        auto open = reply.status == 200 && reply.entries.size() == 1 ? wire::open_from_json(reply.entries[0].value)
                                                                     : std::nullopt;
        if (!open) return forward_or_refuse(request, Verb::Look, "the state service did not answer");
        if (open->delegated)
          return request.is_submission ? reclaim_job_id(request, reply.entries[0].mod_revision, std::move(*open))
                                       : read_end_record(request, false);
        remember_open(*open, reply.entries[0].mod_revision, sent_at);
        if (open->cancelled || open->spec.dependencies.empty()) return reply_open(request, open->cancelled);
        unverified_requests_.push_back(request);
        cache_changed_ = true;
      });
}

void JobApiHandler::reply_open(const PendingRequest &request, bool cancelled) {
  // The caches were updated while the request was in flight and are newer than what was read.
  if (const auto *end = ended_.find(request.id))
    return reply_ended(request.request_id, request.id, *end, request.is_submission);
  if (const OpenJob *open = open_jobs_.find(request.id)) cancelled |= open->is_cancelled();
  const auto cancelled_dependency = open_jobs_.cancelled_dependency(request.id);
  auto view = status_reporter_.view(request.id, cancelled || !cancelled_dependency.empty());
  if (!cancelled_dependency.empty()) view.reason = dependency_cancelled_reason(cancelled_dependency);
  runtime_.reply(request.request_id, 200,
                 request.is_submission ? wire::encode_accepted(request.id, view.state) : wire::encode_job_view(view));
}

void JobApiHandler::remember_open(const OpenRecord &record, std::uint64_t mod_revision, double confirmed_at) {
  const std::string &id = record.spec.id;
  OpenJob job;
  job.mod_revision = mod_revision;
  job.cancelled = record.cancelled;
  job.service = record.spec.shape == Shape::Service;
  job.dependencies = record.spec.dependencies;
  job.confirmed_at = confirmed_at;
  // The leader has to learn of every cancellation that was reported to a user, whichever node wrote it.
  if (open_jobs_.remember(id, std::move(job))) cancellations_.record(id);
}

void JobApiHandler::on(const JobEndLearned &event) {
  open_jobs_.erase(event.id);
  cache_changed_ = true;
}

// Answers many requests with one transaction of revision preconditions: a cached record whose revision is unchanged is
// current. Where a job depends on more records than a transaction compares, one read of all changes since the last one
// confirms them instead. Either is sent after the requests arrived, so the replies are not stale.
void JobApiHandler::check_open_records() {
  if (unverified_requests_.empty()) return;
  refuse_expired_requests();
  const double now = runtime_.now();
  const bool check_due = !check_in_flight_ && now >= next_check_at_;
  const bool follow_due = open_jobs_.following() && !follow_in_flight_ && now >= next_follow_at_;
  if (!std::exchange(cache_changed_, false) && !check_due && !follow_due) return;
  if (open_jobs_.following() && now >= follow_until_) open_jobs_.stop_following();
  NeededChecks needed = answer_waiting_requests();
  if (check_due && !needed.unconfirmed.empty()) {
    next_check_at_ = now + kCheckRetryIntervalS;
    if (state_limits_.take_read(now)) send_check(std::move(needed.unconfirmed));
  }
  if (follow_due && needed.follow) {
    next_follow_at_ = now + kCheckRetryIntervalS;
    if (state_limits_.take_read(now)) read_changes();
  }
}

void JobApiHandler::refuse_expired_requests() {
  const double now = runtime_.now();
  if (now < next_timeout_scan_at_) return;
  next_timeout_scan_at_ = now + kTimeoutScanIntervalS;
  std::erase_if(failed_dependency_lookups_,
                [now](const auto &failed) { return now - failed.second > kDependenciesMaxWaitS; });
  std::erase_if(unverified_requests_, [this, now](const PendingRequest &request) {
    const bool reply_expected = (check_in_flight_ && request.received_at <= check_requested_at_) ||
                                (follow_in_flight_ && request.received_at <= follow_requested_at_);
    const bool expired = !reply_expected && now - request.received_at > request.max_wait_s;
    if (expired) runtime_.refuse(request.request_id, "too many concurrent requests");
    return expired;
  });
}

JobApiHandler::NeededChecks JobApiHandler::answer_waiting_requests() {
  NeededChecks needed;
  for (std::size_t left = unverified_requests_.size();
       left-- > 0 && needed.dependencies_followed < kMaxDependenciesFollowed;) {
    PendingRequest request = std::move(unverified_requests_.front());
    unverified_requests_.pop_front();
    if (advance(request, needed) == Progress::Waiting) unverified_requests_.push_back(std::move(request));
  }
  return needed;
}

// Answers the request if everything is known that the answer depends on. Otherwise reads what is not cached, and adds
// the cached records to be confirmed. A job with a cancelled dependency is cancelled too, and so is what depends on it;
// every replica derives that from the same records, without waiting for the leader to record it.
JobApiHandler::Progress JobApiHandler::advance(PendingRequest &request, NeededChecks &needed) {
  std::vector<std::string> examined{request.id};
  if (request.submission) {
    examined = request.submission->record.spec.dependencies;
  } else {
    const OpenJob *open = open_jobs_.find(request.id);
    if (!open || open->is_cancelled()) { // ended, cancelled or evicted meanwhile
      reply_state(request);
      return Progress::Answered;
    }
    if (!open->dependencies.empty()) request.max_wait_s = kDependenciesMaxWaitS;
  }
  auto examination = examine(examined, confirmed_since(request), needed);
  if (examination.cancelled || examination.all_confirmed()) {
    finish(request, examination.cancelled);
    return Progress::Answered;
  }
  if (const std::string_view failure = failure_of(examination, request.received_at); !failure.empty()) {
    fail(request, failure);
    return Progress::Answered;
  }
  for (const auto &id : examination.unknown) {
    if (find_open_job(id))
      cache_changed_ = true; // the leader knows it
    else
      look_up_dependency(id);
  }
  needed.follow |= examination.follow_needed && examination.unknown.empty() && examination.unconfirmed.empty();
  if (!examination.unconfirmed.empty()) needed.unconfirmed.push_back(std::move(examination.unconfirmed));
  return Progress::Waiting;
}

// Returns since when the records that the request depends on must have been confirmed. Nobody has been told of a new
// job yet, so an answer older than the request contradicts nothing; only cancellations of `cancel_s` ago must be known.
double JobApiHandler::confirmed_since(const PendingRequest &request) const {
  if (!request.submission) return request.received_at;
  return request.received_at - std::min(kSubmissionMaxAgeS, kSubmissionMaxAgeShare * settings_.cancel_s);
}

// Examines jobs and what they depend on, by following where there are too many records for one transaction.
OpenJobCache::Examination JobApiHandler::examine(const std::vector<std::string> &ids, double since,
                                                 NeededChecks &needed) {
  OpenJobCache::ExaminationOptions options{.since = since, .max_listed = max_preconditions() + 1};
  auto examination = open_jobs_.examine(ids, options);
  needed.dependencies_followed += examination.dependencies_followed;
  if (!examination.too_many) return examination;
  follow_until_ = runtime_.now() + kFollowIdleS;
  options.by_following = true;
  examination = open_jobs_.examine(ids, options);
  needed.dependencies_followed += examination.dependencies_followed;
  return examination;
}

// Returns why a request received at that time can't be answered here, or an empty text while it may still be.
std::string_view JobApiHandler::failure_of(const OpenJobCache::Examination &examination, double received_at) const {
  const bool lookup_failed = std::any_of(examination.unknown.begin(), examination.unknown.end(), [&](const auto &id) {
    const auto failed = failed_dependency_lookups_.find(id);
    return failed != failed_dependency_lookups_.end() && failed->second >= received_at;
  });
  if (lookup_failed) return "the state of the job's dependencies is not known at present";
  const bool check_failed = !examination.unconfirmed.empty() && received_at <= failed_check_requested_at_;
  const bool follow_failed = examination.too_many && received_at <= failed_follow_requested_at_;
  return check_failed || follow_failed ? "the state service did not answer" : "";
}

void JobApiHandler::finish(const PendingRequest &request, bool cancelled) {
  if (!request.submission) return reply_open(request, cancelled);
  OpenRecord &record = request.submission->record;
  record.cancelled = cancelled;
  commit_submission(request.submission->request, std::move(record));
}

void JobApiHandler::fail(const PendingRequest &request, std::string_view reason) {
  if (!request.submission) return forward_or_refuse(request, Verb::Look, reason);
  forward_or_refuse(request.submission->request, request.submission->record.spec, reason);
}

// Adds as many records as one transaction takes, those of the requests first that need the fewest: one job far down a
// large graph must not hold up all others.
void JobApiHandler::send_check(std::vector<std::vector<std::string>> unconfirmed) {
  std::stable_sort(unconfirmed.begin(), unconfirmed.end(),
                   [](const auto &left, const auto &right) { return left.size() < right.size(); });
  std::set<std::string> checked;
  StoreCommit commit;
  for (const auto &ids : unconfirmed)
    for (const auto &id : ids) {
      if (commit.preconditions.size() >= max_preconditions()) break;
      const OpenJob *open = open_jobs_.find(id);
      if (open && checked.insert(id).second) commit.preconditions.push_back({wire::open_key(id), open->mod_revision});
    }
  if (commit.preconditions.empty()) return;
  check_requested_at_ = runtime_.now();
  next_check_at_ = check_requested_at_ + kCheckIntervalS;
  check_in_flight_ = true;
  auto preconditions = commit.preconditions;
  runtime_.store(std::move(commit), kStoreTimeoutS / 2,
                 [this, preconditions = std::move(preconditions)](const wire::StoreReply &reply) {
                   on_check_reply(preconditions, reply);
                 });
}

void JobApiHandler::on_check_reply(const std::vector<wire::Precondition> &checked, const wire::StoreReply &reply) {
  const double requested_at = check_requested_at_;
  check_in_flight_ = false;
  cache_changed_ = true;
  if (reply.status == 409) { // read again: these have been cancelled or have ended meanwhile
    for (const auto &key : reply.failed)
      open_jobs_.erase(wire::record_name(key));
    return;
  }
  if (reply.status != 200) {
    failed_check_requested_at_ = requested_at;
    return;
  }
  const bool start_following =
      !open_jobs_.following() && runtime_.now() < follow_until_ && runtime_.now() >= follow_retry_at_;
  if (start_following) open_jobs_.start_following(reply.revision, requested_at);
  for (const auto &precondition : checked)
    open_jobs_.confirm(wire::record_name(precondition.key), precondition.mod_revision, requested_at);
  if (start_following) open_jobs_.revision_learned(runtime_.now());
}

// Reads what has changed in the open records since the revision that is followed.
void JobApiHandler::read_changes() {
  follow_in_flight_ = true;
  follow_requested_at_ = runtime_.now();
  next_follow_at_ = follow_requested_at_ + kCheckIntervalS;
  const std::uint64_t from = open_jobs_.followed_revision();
  runtime_.store(StoreWatch{std::string(wire::kOpenPrefix), from, 0}, kStoreTimeoutS / 2,
                 [this, from](const wire::StoreReply &reply) { on_changes(from, reply); });
}

void JobApiHandler::on_changes(std::uint64_t from, const wire::StoreReply &reply) {
  const double requested_at = follow_requested_at_;
  follow_in_flight_ = false;
  cache_changed_ = true;
  if (!open_jobs_.following() || open_jobs_.followed_revision() != from) return; // begun anew meanwhile
  if (reply.status != 200) { // transactions are used again, and following begins anew after a while
    open_jobs_.stop_following();
    failed_follow_requested_at_ = requested_at;
    follow_retry_at_ = runtime_.now() + kFollowRetryS;
    return;
  }
  for (const auto &change : reply.events)
    apply_change(change, requested_at);
  open_jobs_.followed_to(reply.revision, requested_at, runtime_.now());
}

// Applies a change to a cached record; what is not cached is not followed.
void JobApiHandler::apply_change(const wire::WatchEvent &change, double requested_at) {
  const std::string id = wire::record_name(change.key);
  if (!open_jobs_.find(id)) return;
  if (auto end = change.value ? wire::final_from_json(*change.value) : std::nullopt)
    return ended_.remember(id, std::move(*end));
  const auto open = change.value ? wire::open_from_json(*change.value) : std::nullopt;
  if (open && !open->delegated)
    remember_open(*open, change.mod_revision, requested_at);
  else
    open_jobs_.erase(id);
}

// Cancels a job delegated from another cell whose id a local user has submitted: local users have priority. The user
// has to retry.
void JobApiHandler::reclaim_job_id(const PendingRequest &request, std::uint64_t mod_revision, OpenRecord record) {
  const std::string reason =
      "a job delegated from cell " + record.delegated->origin + " holds this id; it is being returned";
  if (!std::exchange(record.cancelled, true) && state_limits_.take_write(runtime_.now()))
    runtime_.store(StoreCommit{{{wire::open_key(request.id), mod_revision}},
                               {{wire::open_key(request.id), wire::to_json(record), 0}}},
                   kStoreTimeoutS, [](const wire::StoreReply &) {});
  runtime_.refuse(request.request_id, reason, 2);
}

void JobApiHandler::read_end_record(const PendingRequest &request, bool is_cancellation) {
  ++operations_in_flight_;
  runtime_.store(StoreGet{wire::end_key(request.id)}, kStoreTimeoutS / 2,
                 [this, request, is_cancellation](const wire::StoreReply &reply) {
                   --operations_in_flight_;
                   if (reply.status == 404 && !request.is_submission)
                     return runtime_.reply(request.request_id, 404, wire::encode_error("no such job"));
                   auto end = reply.status == 200 && reply.entries.size() == 1
                                  ? wire::end_from_json(reply.entries[0].value)
                                  : std::nullopt;
                   if (!end)
                     return forward_or_refuse(request, is_cancellation ? Verb::Abort : Verb::Look,
                                              "the state service did not answer");
                   ended_.remember(request.id, *end);
                   reply_ended(request.request_id, request.id, *end, request.is_submission || is_cancellation);
                 });
}

void JobApiHandler::reply_ended(RequestId request_id, const std::string &id, const EndRecord &end, bool short_reply) {
  JobState state = end.cancelled ? JobState::Cancelled : JobState::Done;
  if (short_reply) return runtime_.reply(request_id, 200, wire::encode_accepted(id, state));
  JobView view{id, state, end.cancelled ? 0 : end.tasks, 0, end.reason};
  runtime_.reply(request_id, 200, wire::encode_job_view(view));
}

void JobApiHandler::take(CancelCommand &&command) {
  const auto &id = command.id;
  if (!wire::valid_job_id(id)) return runtime_.reply(command.req, 404, wire::encode_error("no such job"));
  if (const auto *end = ended_.find(id)) return reply_ended(command.req, id, *end, true);
  const PendingRequest request{command.req, id, false, runtime_.now()};
  cancel_job(request);
}

void JobApiHandler::cancel_job(const PendingRequest &request) {
  if (replicas_.state_service_lost()) return forward_or_refuse(request, Verb::Abort, kUnreachable);
  if (operations_in_flight_ >= kMaxUserOperations || !state_limits_.take_write(runtime_.now()))
    return runtime_.refuse(request.request_id, "too many concurrent requests");
  ++operations_in_flight_;
  runtime_.store(
      StoreGet{wire::open_key(request.id)}, kStoreTimeoutS / 2, [this, request](const wire::StoreReply &open_reply) {
        --operations_in_flight_;
        if (open_reply.status == 404) return read_end_record(request, true);
        if (auto end =
                open_reply.entries.size() == 1 ? wire::final_from_json(open_reply.entries[0].value) : std::nullopt) {
          ended_.remember(request.id, *end);
          return reply_ended(request.request_id, request.id, *end, true);
        }
        auto open = open_reply.status == 200 && open_reply.entries.size() == 1
                        ? wire::open_from_json(open_reply.entries[0].value)
                        : std::nullopt;
        if (!open) return forward_or_refuse(request, Verb::Abort, "the state service did not answer");
        if (open->delegated) return read_end_record(request, true); // not a job of a local user
        if (open->cancelled) {
          remember_open(*open, open_reply.entries[0].mod_revision, OpenJobCache::kNeverConfirmed);
          return runtime_.reply(request.request_id, 200, wire::encode_accepted(request.id, JobState::Cancelled));
        }
        open->cancelled = true;
        ++operations_in_flight_;
        auto value = wire::to_json(*open);
        if (!state_limits_.fits(value)) { // stored under a larger size limit
          auto shorter = *open;
          shorter.spec.types.reset(); // no task of it starts any more
          shorter.spec.dependencies.clear();
          value = wire::to_json(shorter);
        }
        runtime_.store(StoreCommit{{{wire::open_key(request.id), open_reply.entries[0].mod_revision}},
                                   {{wire::open_key(request.id), std::move(value), 0}}},
                       kStoreTimeoutS, [this, request, record = *open](const wire::StoreReply &reply) {
                         --operations_in_flight_;
                         if (reply.status == 200) {
                           remember_open(record, reply.revision, OpenJobCache::kNeverConfirmed);
                           return runtime_.reply(request.request_id, 200,
                                                 wire::encode_accepted(request.id, JobState::Cancelled));
                         }
                         // The job's end or another cancellation came first; reply with that.
                         if (reply.status == 409 && runtime_.now() - request.received_at < kCancelRetryWindowS)
                           return cancel_job(request);
                         if (reply.status == 409)
                           return runtime_.refuse(request.request_id, "the job keeps changing; retry");
                         forward_or_refuse(request, Verb::Abort, "the state service did not confirm the cancellation");
                       });
      });
}

} // namespace loftrouter::core
