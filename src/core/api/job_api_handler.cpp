#include "loftrouter/core/api/job_api_handler.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
constexpr double kUserDeadline = 1.4; // a poll waits 2 s, a submission 5 s
constexpr int kMaxUserOps = 256;
// Open records: jobs that wait or run, about one to each of 11,000 machines. 2.3 MB at 0.2 KB each. One that is pushed
// out costs a read when somebody asks for it.
constexpr std::size_t kMaxKnown = 12'000;
constexpr double kConfirmEvery = 0.03; // least time between comparisons
constexpr double kSweepEvery = 0.05;   // the same, between looks for questions that have waited too long
// Within what a user waits for an answer (2 s, and 5 s for what changes something), a sibling's has to be there.
constexpr double kLookWithin = 1.8, kChangeWithin = 4.5, kMinForReplica = 0.15;
constexpr std::size_t kKeptBody = 4096; // of a description that may be passed on a second time
// At once: nothing that this node could ask would answer in time.
constexpr std::string_view kCutOff = "this node reaches neither the state service nor a sibling that does";
constexpr double kAbortAgain = 1.5; // s, from when it was asked, that a cancellation which has lost a race begins anew
constexpr double kWordLife = 1.2;   // s, of a sibling's word that the state service answers it
} // namespace

JobApiHandler::Verdict JobApiHandler::judge(const JobSpec &spec, std::string &why) const {
  const int team = spec.team.starts_with('@') ? -1 : jobs_.find_team(spec.team); // such names stand for other cells
  if (team < 0) {
    why = fmt::format("unknown team {}", spec.team);
    return Verdict::Never;
  }
  const Team &team_quota = quotas_.total_quota(team);
  double times = spec.shape == Shape::Array ? 1 : spec.tasks;
  constexpr double eps = 1e-6;
  if ((team_quota.cpus_max > 0 && spec.need.cpus * times > team_quota.cpus_max + eps) ||
      (team_quota.gpus_max > 0 && spec.need.gpus * times > team_quota.gpus_max + eps)) {
    why = fmt::format("needs more than the limit of team {}", spec.team);
    return Verdict::Never;
  }
  if (!catalog_.known()) return Verdict::Unknown;
  std::set<std::string_view> zones; // in which a task of it may ever be
  for (const auto &type : catalog_.types()) {
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end()) continue;
    if (!spec.need.fits(type.size)) continue;
    for (const auto &zone : type.zones)
      if (!spec.zone || zone == *spec.zone) zones.insert(zone);
  }
  if (zones.empty()) {
    why = "a task fits no machine type that the job allows";
    return Verdict::Never;
  }
  // An array may run a part at a time.
  if (spec.spread && spec.shape != Shape::Array && spec.tasks > 1 && (spec.one_zone || zones.size() < 2)) {
    why = "at most half of its tasks may be in one zone, and all of them have to be";
    return Verdict::Never;
  }
  return Verdict::Ok;
}

// ---- by way of siblings ----

// One that the state service answers, the leader if it can be.
int JobApiHandler::helper(std::uint64_t tried, bool knows_dependencies) const {
  int best = -1;
  for (std::size_t i = 0; i < replicas_.count() && i < 64; ++i) {
    const auto &s = replicas_[ReplicaIndex(i)];
    if (s.state_service_lost || runtime_.now() - s.status_as_of > kWordLife || (tried >> i & 1)) continue;
    if (knows_dependencies && !s.supports_dependencies) continue;
    if (best < 0 || s.service_status.leads) best = static_cast<int>(i);
  }
  return best;
}

bool JobApiHandler::can_answer() const {
  return !replicas_.state_service_lost() || helper() >= 0;
}

// Never what a sibling has passed on to this node: two that each think well of the other would send it to and fro.
bool JobApiHandler::pass_on(RequestId req, Verb verb, const std::string &id, double asked, std::string body,
                            std::uint64_t tried, bool waits) {
  const double until = asked + (verb == Verb::Look ? kLookWithin : kChangeWithin);
  const int to = helper(tried, waits);
  if (to < 0 || Runtime::is_proxied(req) || passed_.full() || runtime_.now() + kMinForReplica > until ||
      body.size() + 256 > wire::kPeerMaxForwardedBody)
    return false;
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::UserRequest;
  message.nonce =
      passed_.add(req, until,
                  {verb, id, body.size() <= kKeptBody ? body : std::string(), asked,
                   tried | std::uint64_t(1) << to | (body.size() <= kKeptBody ? 0 : ~std::uint64_t(0)), waits});
  message.term = leadership_.highest_term();
  message.sender = replicas_.own_sender_number();
  message.verb = verb;
  message.id = id;
  message.body = std::move(body);
  runtime_.send({ReplicaIndex(static_cast<std::size_t>(to)), 0, std::move(message)});
  return true;
}

void JobApiHandler::no_answer(const Question &question, Verb verb, std::string_view why, std::string body, bool waits) {
  if (!pass_on(question.req, verb, question.id, question.asked, std::move(body), 0, waits))
    runtime_.refuse(question.req, why);
}

void JobApiHandler::no_answer(const Question &question, const JobSpec &spec, std::string_view why) {
  no_answer(question, Verb::Submit, why, wire::encode(wire::to_json(spec)), !spec.dependencies.empty());
}

void JobApiHandler::handle_forwarded_request(const PeerMessageCommand &cmd) {
  const auto &m = cmd.message;
  if (!replicas_.by_sender(m.sender).valid()) return; // not from a node of these settings
  const auto req = runtime_.proxy_request(cmd.link, m.nonce);
  if (!req) return; // it gives up by itself
  if (m.verb == Verb::Look) return take(LookupCommand{*req, m.id});
  if (m.verb == Verb::Abort) return take(CancelCommand{*req, m.id});
  auto spec = wire::decode_job(m.body);
  auto *job = std::get_if<JobSpec>(&spec);
  if (!job || job->id != m.id) return runtime_.refuse(*req, "a sibling passed on what is no job");
  take(SubmitCommand{*req, std::move(*job)});
}

// What a sibling read after the user had asked. What this node has learnt since is newer, and is told instead.
void JobApiHandler::relay_forwarded_reply(const wire::PeerMessage &message) {
  const auto item = passed_.complete(message.nonce);
  if (!item) return; // given up
  const auto &[verb, id, body, asked, tried, waits] = item->context;
  // It may have been cut off at the same moment as this node, and not have known yet.
  if (message.status == 503 && pass_on(item->request, verb, id, asked, body, tried, waits)) return;
  if (message.status == 200) {
    const bool brief = verb != Verb::Look;
    if (const auto *end = ended_.find(id)) return answer_end(item->request, id, *end, brief);
    if (const auto it = known_open_.find(id);
        it != known_open_.end() && (it->second.cancelled || !cancelled_name(id).empty()))
      return tell_open({item->request, id, brief, runtime_.now()}, true);
  }
  runtime_.reply(item->request, message.status, message.body,
                 message.retry_s ? std::optional<int>(message.retry_s) : std::nullopt);
}

void JobApiHandler::tick() {
  for (const auto &item : passed_.expire(runtime_.now()))
    runtime_.refuse(item.request, "neither the state service nor a sibling has answered");
}

struct JobApiHandler::Submission {
  Question q;
  OpenRecord record;
  std::size_t left = 1; // names being looked up, and one for the loop that begins it
  std::string never = {}, service = {};
  bool unknown = false, cancelled = false;

  void take(const std::string &name, Named found) {
    switch (found) {
    case Named::Never:
      never = name;
      break;
    case Named::Service:
      service = name;
      break;
    case Named::Unknown:
      unknown = true;
      break;
    case Named::Cancelled:
      cancelled = true;
      break;
    case Named::Open:
    case Named::Done:
      break;
    }
  }
};

// ---- submissions ----

void JobApiHandler::take(SubmitCommand &&cmd) {
  const Question question{cmd.req, cmd.spec.id, true, runtime_.now()};
  // Known, so accepted before: whatever would be said of it now, it stays so, and its state costs no write.
  if (ended_.find(question.id) || known_open(question.id)) return answer_state(question);
  const bool waits = !cmd.spec.dependencies.empty();
  std::string why;
  switch (judge(cmd.spec, why)) {
  case Verdict::Never:
    return refuse_for_ever(question, cmd.spec, why);
  case Verdict::Unknown:
    return no_answer(question, cmd.spec, "machine types are not known yet");
  case Verdict::Ok:
    break;
  }
  OpenRecord record{std::move(cmd.spec), runtime_.wall(), false, {}};
  if (!state_limits_.fits(wire::to_json(record), StateServiceLimits::kCancellationMarkRoom))
    return refuse_for_ever(question, record.spec, "the job's description is too long to be kept");
  // An earlier version would start it at once, whether it leads or has it passed on.
  if (waits && replicas_.some_replica_lacks_dependencies())
    return runtime_.refuse(question.req, "jobs that wait for others are accepted once all nodes have this version", 2);
  if (replicas_.state_service_lost()) return no_answer(question, record.spec, kCutOff);
  if (!waits) return accept(question, std::move(record));
  check_names(std::make_shared<Submission>(Submission{question, std::move(record)}));
}

// Guards against an accepted job being called impossible when its submission is repeated: limits, types and sizes may
// have been others when it was accepted. That nobody has accepted it, only reads made since can tell.
void JobApiHandler::refuse_for_ever(const Question &question, const JobSpec &spec, const std::string &why) {
  if (replicas_.state_service_lost()) return no_answer(question, spec, kCutOff);
  learn(question.id, [this, question, spec, why](Named found) {
    if (found == Named::Never) return runtime_.reply(question.req, 422, wire::encode_error(why));
    if (found != Named::Unknown) return answer_state(question);
    no_answer(question, spec, "whether this job was accepted before cannot be told at present");
  });
}

void JobApiHandler::accept(const Question &question, OpenRecord record) {
  if (under_way_ >= kMaxUserOps || !state_limits_.take_write(runtime_.now()))
    return runtime_.refuse(question.req, "too many submissions at once");
  ++under_way_;
  auto value = wire::to_json(record);
  runtime_.store(StoreCommit{{{wire::open_key(question.id), 0}, {wire::end_key(question.id), 0}},
                             {{wire::open_key(question.id), std::move(value), 0}}},
                 kUserDeadline, [this, question, record = std::move(record)](const wire::StoreReply &reply) {
                   --under_way_;
                   if (reply.status == 200) {
                     note_open(record, reply.revision, record.cancelled);
                     return runtime_.reply(
                         question.req, 201,
                         wire::encode_accepted(question.id, record.cancelled ? JobState::Cancelled : JobState::Queued));
                   }
                   if (reply.status == 409) return answer_state(question);
                   // It may have been carried out, or may be yet: the same again is the same job.
                   no_answer(question, record.spec, "the state service did not confirm the submission");
                 });
}

// ---- the jobs that a submission names ----

// That a job was accepted is for ever, so what this node knows of it will do; that it was not, only reads made since
// can tell.
void JobApiHandler::check_names(std::shared_ptr<Submission> s) {
  for (const auto &name : s->record.spec.dependencies) {
    if (const Named found = known(name); found != Named::Unknown) {
      s->take(name, found);
      continue;
    }
    ++s->left;
    learn(name, [this, s, name](Named found) {
      s->take(name, found);
      if (--s->left == 0) names_checked(s);
    });
  }
  if (--s->left == 0) names_checked(s);
}

void JobApiHandler::names_checked(const std::shared_ptr<Submission> &s) {
  if (s->unknown)
    return no_answer(s->q, s->record.spec, "whether the jobs that it waits for exist cannot be told at present");
  if (!s->never.empty())
    return refuse_for_ever(s->q, s->record.spec, fmt::format("no job {} was ever accepted", s->never));
  if (!s->service.empty())
    return refuse_for_ever(s->q, s->record.spec, fmt::format("job {} is a service, which is never done", s->service));
  s->record.cancelled = s->cancelled;
  accept(s->q, std::move(s->record));
}

const JobApiHandler::KnownOpen *JobApiHandler::known_open(const std::string &id) {
  if (const auto it = known_open_.find(id); it != known_open_.end()) return &it->second;
  // What this leader has cancelled along the graph is not recorded so yet.
  const JobIndex job_index = leadership_.leading() ? jobs_.index(id) : JobIndex();
  if (!job_index.valid() || jobs_[job_index].cancelled || jobs_[job_index].ending || jobs_[job_index].delegated_here)
    return nullptr;
  note_open({jobs_[job_index].spec, jobs_[job_index].submit_wall, false, {}}, jobs_[job_index].open_mod_revision,
            false);
  return &known_open_.find(id)->second;
}

JobApiHandler::Named JobApiHandler::known(const std::string &id) {
  if (const auto *end = ended_.find(id)) return end->cancelled ? Named::Cancelled : Named::Done;
  const auto *open = known_open(id);
  if (!open) return Named::Unknown;
  return open->cancelled ? Named::Cancelled : open->service ? Named::Service : Named::Open;
}

// Reads a job's records, in the order in which it moves through them.
void JobApiHandler::learn(const std::string &id, std::function<void(Named)> then) {
  if (under_way_ >= kMaxUserOps || !state_limits_.take_read(runtime_.now(), 1.3)) return then(Named::Unknown);
  ++under_way_;
  runtime_.store(StoreGet{wire::open_key(id)}, kUserDeadline / 2, [this, id, then](const wire::StoreReply &r) {
    --under_way_;
    const bool one = r.status == 200 && r.entries.size() == 1;
    if (auto end = one ? wire::final_from_json(r.entries[0].value) : std::nullopt) {
      ended_.remember(id, std::move(*end));
      return then(known(id));
    }
    if (auto open = one ? wire::open_from_json(r.entries[0].value) : std::nullopt; open && !open->delegated) {
      note_open(*open, r.entries[0].mod_revision, open->cancelled);
      return then(known(id));
    } else if (r.status != 404 && !open) {
      return then(Named::Unknown);
    }
    ++under_way_;
    runtime_.store(StoreGet{wire::end_key(id)}, kUserDeadline / 2, [this, id, then](const wire::StoreReply &reply) {
      --under_way_;
      if (reply.status == 404) return then(Named::Never);
      auto end =
          reply.status == 200 && reply.entries.size() == 1 ? wire::end_from_json(reply.entries[0].value) : std::nullopt;
      if (!end) return then(Named::Unknown);
      ended_.remember(id, std::move(*end));
      then(known(id));
    });
  });
}

// ---- questions ----

void JobApiHandler::take(LookupCommand &&cmd) {
  if (!wire::valid_job_id(cmd.id)) return runtime_.reply(cmd.req, 404, wire::encode_error("no such job"));
  answer_state({cmd.req, cmd.id, false, runtime_.now()});
}

void JobApiHandler::answer_state(const Question &question) {
  if (const auto *end = ended_.find(question.id))
    return answer_end(question.req, question.id, *end, question.as_submit);
  auto known = known_open_.find(question.id);
  // Cancelled is for ever; that it is still open has to be confirmed.
  if (known != known_open_.end() && known->second.cancelled) return tell_open(question, true);
  if (replicas_.state_service_lost()) return no_answer(question, Verb::Look, kCutOff);
  if (known == known_open_.end()) return read_open(question);
  if (questions_.size() >= kMaxUserOps) return runtime_.refuse(question.req, "too many questions at once");
  questions_.push_back(question);
}

void JobApiHandler::read_open(const Question &question) {
  if (under_way_ >= kMaxUserOps || !state_limits_.take_read(runtime_.now(), 1.3))
    return runtime_.refuse(question.req, "too many questions at once");
  ++under_way_;
  runtime_.store(
      StoreGet{wire::open_key(question.id)}, kUserDeadline / 2, [this, question](const wire::StoreReply &reply) {
        --under_way_;
        if (reply.status == 404) return read_end(question, false);
        if (auto end = reply.entries.size() == 1 ? wire::final_from_json(reply.entries[0].value) : std::nullopt) {
          ended_.remember(question.id, *end);
          return answer_end(question.req, question.id, *end, question.as_submit);
        }
        auto open = reply.status == 200 && reply.entries.size() == 1 ? wire::open_from_json(reply.entries[0].value)
                                                                     : std::nullopt;
        if (!open) return no_answer(question, Verb::Look, "the state service did not answer");
        if (open->delegated)
          return question.as_submit ? want_id(question, reply.entries[0].mod_revision, std::move(*open))
                                    : read_end(question, false);
        note_open(*open, reply.entries[0].mod_revision, open->cancelled);
        if (open->cancelled || open->spec.dependencies.empty()) return tell_open(question, open->cancelled);
        Question names = question; // how those are that it waits for
        names.patience = kNamesPatience;
        names.unchanged.push_back(wire::open_key(question.id));
        questions_.push_back(std::move(names));
      });
}

// A job that it names and that was cancelled, as far as this node knows; empty: none.
std::string JobApiHandler::cancelled_name(const std::string &id) {
  const auto it = known_open_.find(id);
  if (it == known_open_.end()) return {};
  const auto names = it->second.dependencies;
  for (const auto &name : names)
    if (known(name) == Named::Cancelled) return name;
  return {};
}

void JobApiHandler::tell_open(const Question &question, bool cancelled) {
  // What this node has learnt while the question was under way is newer than what was found.
  if (const auto *end = ended_.find(question.id))
    return answer_end(question.req, question.id, *end, question.as_submit);
  if (auto it = known_open_.find(question.id); it != known_open_.end()) cancelled |= it->second.cancelled;
  const auto with = cancelled_name(question.id);
  auto view = status_reporter_.view(question.id, cancelled || !with.empty());
  if (!with.empty()) view.reason = dependency_cancelled_reason(with);
  runtime_.reply(question.req, 200,
                 question.as_submit ? wire::encode_accepted(question.id, view.state) : wire::encode_job_view(view));
}

void JobApiHandler::note_open(const OpenRecord &record, std::uint64_t mod_revision, bool cancelled) {
  const std::string &id = record.spec.id;
  // Whoever tells a user so has to tell the leader too, also if another node wrote it, or this one without an answer.
  const auto before = known_open_.find(id);
  if (cancelled && (before == known_open_.end() || !before->second.cancelled)) cancellations_.record(id);
  auto [it, fresh] = known_open_.try_emplace(
      id, KnownOpen{mod_revision, cancelled, record.spec.shape == Shape::Service, record.spec.dependencies});
  if (!fresh && mod_revision > it->second.mod_revision) {
    it->second.mod_revision = mod_revision;
    it->second.cancelled = cancelled;
  }
  if (!fresh) return;
  known_order_.push_back(id);
  if (known_order_.size() <= kMaxKnown) return;
  known_open_.erase(known_order_.front());
  known_order_.pop_front();
}

// What a question has to find unchanged: its job's record, and those of the jobs that it names and that are not known
// to be done. A job that names a cancelled one is cancelled with it, for ever, and every node says so by the same
// records: the leader writes it down, but nobody has to wait for that. Nothing: it has been seen to otherwise.
std::optional<JobApiHandler::Compared> JobApiHandler::compare(Question question, StoreCommit &commit) {
  std::vector<std::pair<std::string, std::uint64_t>> all;
  const auto own = known_open_.find(question.id);
  if (own == known_open_.end() || own->second.cancelled) { // ended, cancelled or pushed out meanwhile
    answer_state(question);
    return std::nullopt;
  }
  Compared out;
  all.emplace_back(wire::open_key(question.id), own->second.mod_revision);
  const auto names = own->second.dependencies; // what is learnt below may move the entry
  std::vector<std::string> done;
  for (const auto &name : names) {
    const Named found = known(name);
    if (found == Named::Cancelled) {
      tell_open(question, true);
      return std::nullopt;
    }
    if (found == Named::Unknown) {
      question.patience = kNamesPatience;
      learn(name, [this, question](Named learnt) mutable {
        if (learnt == Named::Never || learnt == Named::Unknown)
          return no_answer(question, Verb::Look, "how the jobs are that it waits for cannot be told at present");
        questions_.push_back(std::move(question));
      });
      return std::nullopt;
    }
    if (found == Named::Done)
      done.push_back(name);
    else
      all.emplace_back(wire::open_key(name), known_open_.find(name)->second.mod_revision);
  }
  if (auto it = known_open_.find(question.id); it != known_open_.end() && !done.empty())
    std::erase_if(it->second.dependencies,
                  [&](const auto &n) { return std::find(done.begin(), done.end(), n) != done.end(); });
  for (auto &[key, mod_revision] : all) {
    if (std::find(question.unchanged.begin(), question.unchanged.end(), key) != question.unchanged.end()) continue;
    if (std::none_of(commit.preconditions.begin(), commit.preconditions.end(),
                     [&k = key](const auto &g) { return g.key == k; })) {
      if (commit.preconditions.size() >= max_guards()) {
        out.whole = false; // the rest with the next
        break;
      }
      commit.preconditions.push_back({key, mod_revision});
    }
    out.keys.push_back(key);
  }
  out.question = std::move(question);
  return out;
}

// One comparison of revisions answers many questions: a record whose revision is still the one read before
// is still what it was then. It is sent after the questions have come, so the answer is not older than they are.
void JobApiHandler::check_open_records() {
  const double now = runtime_.now();
  if (!questions_.empty() && now >= next_sweep_) {
    next_sweep_ = now + kSweepEvery;
    for (std::size_t k = questions_.size(); k-- > 0;) {
      Question question = std::move(questions_.front());
      questions_.pop_front();
      if (now - question.asked > question.patience)
        runtime_.refuse(question.req, "too many questions at once");
      else
        questions_.push_back(std::move(question));
    }
  }
  if (confirming_ || questions_.empty() || now < next_confirm_ || !state_limits_.take_read(now)) return;
  next_confirm_ = now + kConfirmEvery;
  confirming_ = true;
  StoreCommit commit;
  std::vector<Compared> asked;
  const std::size_t most = max_guards();
  for (std::size_t k = questions_.size(); k-- > 0 && asked.size() < most && commit.preconditions.size() < most;) {
    Question question = std::move(questions_.front());
    questions_.pop_front();
    auto c = compare(std::move(question), commit);
    if (!c) continue;
    if (c->keys.empty() && c->whole)
      tell_open(c->question, false); // it has just been read, and all that it names is done
    else
      asked.push_back(std::move(*c));
  }
  if (commit.preconditions.empty()) {
    confirming_ = false;
    return;
  }
  runtime_.store(std::move(commit), kUserDeadline / 2, [this, asked = std::move(asked)](const wire::StoreReply &reply) {
    confirming_ = false;
    auto failed = [&](const std::string &key) {
      return std::find(reply.failed.begin(), reply.failed.end(), key) != reply.failed.end();
    };
    for (auto c : asked) {
      auto &q = c.question;
      if (reply.status != 200 && reply.status != 409) {
        no_answer(q, Verb::Look, "the state service did not answer");
        continue;
      }
      if (failed(wire::open_key(q.id))) {
        read_open(q); // cancelled or over by now
        continue;
      }
      for (const auto &key : c.keys)
        if (failed(key)) { // so is one that it waits for: that is read again
          known_open_.erase(wire::record_name(key));
          q.patience = kNamesPatience;
        }
      if (reply.status == 200 && c.whole) {
        tell_open(q, false);
        continue;
      }
      if (reply.status == 200) {
        q.patience = kNamesPatience;
        q.unchanged.insert(q.unchanged.end(), c.keys.begin(), c.keys.end());
      }
      questions_.push_back(std::move(q));
    }
  });
}

// A submission whose id another cell's work bears here, which is then given back: own users come first.
void JobApiHandler::want_id(const Question &question, std::uint64_t mod_revision, OpenRecord record) {
  const std::string why = "work of cell " + record.delegated->origin + " bears this id here; it is being given back";
  if (!std::exchange(record.cancelled, true) && state_limits_.take_write(runtime_.now()))
    runtime_.store(StoreCommit{{{wire::open_key(question.id), mod_revision}},
                               {{wire::open_key(question.id), wire::to_json(record), 0}}},
                   kUserDeadline, [](const wire::StoreReply &) {});
  runtime_.refuse(question.req, why, 2);
}

void JobApiHandler::read_end(const Question &question, bool as_abort) {
  ++under_way_;
  runtime_.store(
      StoreGet{wire::end_key(question.id)}, kUserDeadline / 2,
      [this, question, as_abort](const wire::StoreReply &reply) {
        --under_way_;
        if (reply.status == 404 && !question.as_submit)
          return runtime_.reply(question.req, 404, wire::encode_error("no such job"));
        auto end = reply.status == 200 && reply.entries.size() == 1 ? wire::end_from_json(reply.entries[0].value)
                                                                    : std::nullopt;
        if (!end) return no_answer(question, as_abort ? Verb::Abort : Verb::Look, "the state service did not answer");
        ended_.remember(question.id, *end);
        answer_end(question.req, question.id, *end, question.as_submit || as_abort);
      });
}

void JobApiHandler::answer_end(RequestId req, const std::string &id, const EndRecord &end, bool brief) {
  JobState state = end.cancelled ? JobState::Cancelled : JobState::Done;
  if (brief) return runtime_.reply(req, 200, wire::encode_accepted(id, state));
  JobView view{id, state, end.cancelled ? 0 : end.tasks, 0, end.reason};
  runtime_.reply(req, 200, wire::encode_job_view(view));
}

void JobApiHandler::take(CancelCommand &&cmd) {
  const auto &id = cmd.id;
  if (!wire::valid_job_id(id)) return runtime_.reply(cmd.req, 404, wire::encode_error("no such job"));
  if (const auto *end = ended_.find(id)) return answer_end(cmd.req, id, *end, true);
  const Question question{cmd.req, id, false, runtime_.now()};
  abort(question);
}

void JobApiHandler::abort(const Question &question) {
  if (replicas_.state_service_lost()) return no_answer(question, Verb::Abort, kCutOff);
  if (under_way_ >= kMaxUserOps || !state_limits_.take_write(runtime_.now()))
    return runtime_.refuse(question.req, "too many requests at once");
  ++under_way_;
  runtime_.store(StoreGet{wire::open_key(question.id)}, kUserDeadline / 2, [this, question](const wire::StoreReply &r) {
    --under_way_;
    if (r.status == 404) return read_end(question, true);
    if (auto end = r.entries.size() == 1 ? wire::final_from_json(r.entries[0].value) : std::nullopt) {
      ended_.remember(question.id, *end);
      return answer_end(question.req, question.id, *end, true);
    }
    auto open = r.status == 200 && r.entries.size() == 1 ? wire::open_from_json(r.entries[0].value) : std::nullopt;
    if (!open) return no_answer(question, Verb::Abort, "the state service did not answer");
    if (open->delegated) return read_end(question, true); // not a job of this cell's users
    if (open->cancelled) {
      note_open(*open, r.entries[0].mod_revision, true);
      return runtime_.reply(question.req, 200, wire::encode_accepted(question.id, JobState::Cancelled));
    }
    open->cancelled = true;
    ++under_way_;
    auto value = wire::to_json(*open);
    if (!state_limits_.fits(value)) { // from when values were larger
      auto shorter = *open;
      shorter.spec.types.reset(); // nothing of it starts any more
      shorter.spec.dependencies.clear();
      value = wire::to_json(shorter);
    }
    runtime_.store(StoreCommit{{{wire::open_key(question.id), r.entries[0].mod_revision}},
                               {{wire::open_key(question.id), std::move(value), 0}}},
                   kUserDeadline, [this, question, record = *open](const wire::StoreReply &reply) {
                     --under_way_;
                     if (reply.status == 200) {
                       note_open(record, reply.revision, true);
                       return runtime_.reply(question.req, 200,
                                             wire::encode_accepted(question.id, JobState::Cancelled));
                     }
                     // Its end, or another cancellation, came first: that is what the user is told.
                     if (reply.status == 409 && runtime_.now() - question.asked < kAbortAgain) return abort(question);
                     if (reply.status == 409) return runtime_.refuse(question.req, "the job keeps changing; ask again");
                     no_answer(question, Verb::Abort, "the state service did not confirm the cancellation");
                   });
  });
}

} // namespace loftrouter::core
