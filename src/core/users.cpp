// What users ask for. Any node answers: submissions and cancellations go straight to the state
// service, and an answer about a job comes from a read made after the question arrived.
#include "loftrouter/core/core.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace loft::core {

namespace {
constexpr double kUserDeadline = 1.4; // a poll waits 2 s, a submission 5 s
constexpr int kMaxUserOps = 256;
constexpr std::size_t kMaxEnds = 4000;
constexpr double kConfirmEvery = 0.03;     // least time between comparisons
constexpr double kQuestionPatience = 0.25; // that a question waits for one
} // namespace

Core::Verdict Core::judge(const JobSpec &spec, std::string &why) const {
  int team = team_names_.find(spec.team);
  if (team < 0) {
    why = fmt::format("unknown team {}", spec.team);
    return Verdict::Never;
  }
  const Team &t = settings_.teams[static_cast<std::size_t>(team)];
  double times = spec.shape == Shape::Array ? 1 : spec.tasks;
  constexpr double eps = 1e-6;
  if ((t.cpus_max > 0 && spec.need.cpus * times > t.cpus_max + eps) ||
      (t.gpus_max > 0 && spec.need.gpus * times > t.gpus_max + eps)) {
    why = fmt::format("needs more than the limit of team {}", spec.team);
    return Verdict::Never;
  }
  if (!types_known_) return Verdict::Unknown;
  for (const auto &type : types_) {
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end()) continue;
    if (spec.zone && std::find(type.zones.begin(), type.zones.end(), *spec.zone) == type.zones.end()) continue;
    if (spec.need.fits(type.size)) return Verdict::Ok;
  }
  why = "a task fits no machine type that the job allows";
  return Verdict::Never;
}

void Core::on(CmdSubmit &&cmd) {
  if (auto it = ends_.find(cmd.spec.id); it != ends_.end()) return answer_end(cmd.req, cmd.spec.id, it->second, true);
  std::string why;
  switch (judge(cmd.spec, why)) {
  case Verdict::Never:
    return reply(cmd.req, 422, wire::encode_error(why));
  case Verdict::Unknown:
    return refuse(cmd.req, "machine types are not known yet");
  case Verdict::Ok:
    break;
  }
  OpenRecord record{cmd.spec, now_.wall, false};
  auto value = wire::to_json(record);
  if (static_cast<double>(value.dump().size()) > settings_.state_value_kb * 1024 - 64)
    return reply(cmd.req, 422, wire::encode_error("the job's description is too long to be kept"));
  if (user_ops_ >= kMaxUserOps || !user_writes_.take(now())) return refuse(cmd.req, "too many submissions at once");
  ++user_ops_;
  std::string id = cmd.spec.id;
  store(StoreCommit{{{"open/" + id, 0}, {"end/" + id, 0}}, {{"open/" + id, std::move(value), 0}}}, kUserDeadline,
        [this, req = cmd.req, id](const wire::StoreReply &r) {
          --user_ops_;
          if (r.status == 200) {
            note_open(id, r.revision, false);
            return reply(req, 201, wire::encode_accepted(id, JobState::Queued));
          }
          if (r.status == 409) return answer_state(req, id, true);
          refuse(req, "the state service did not confirm the submission");
        });
}

void Core::on(CmdLookup &&cmd) {
  if (!wire::valid_job_id(cmd.id)) return reply(cmd.req, 404, wire::encode_error("no such job"));
  answer_state(cmd.req, cmd.id, false);
}

void Core::answer_state(RequestId req, const std::string &id, bool as_submit) {
  if (auto it = ends_.find(id); it != ends_.end()) return answer_end(req, id, it->second, as_submit);
  auto known = known_open_.find(id);
  if (known == known_open_.end()) return read_open(req, id, as_submit);
  // Cancelled is for ever; that it is still open has to be confirmed.
  if (known->second.cancelled) return tell_open(req, id, true, as_submit);
  if (questions_.size() >= kMaxUserOps) return refuse(req, "too many questions at once");
  questions_.push_back({req, id, as_submit, now()});
}

void Core::read_open(RequestId req, const std::string &id, bool as_submit) {
  if (user_ops_ >= kMaxUserOps || !user_reads_.take(now(), 1.3)) return refuse(req, "too many questions at once");
  ++user_ops_;
  store(StoreGet{"open/" + id}, kUserDeadline / 2, [this, req, id, as_submit](const wire::StoreReply &r) {
    --user_ops_;
    if (r.status == 404) return read_end(req, id, as_submit, false);
    if (auto end = r.entries.size() == 1 ? wire::final_from_json(r.entries[0].value) : std::nullopt) {
      remember_end(id, *end);
      return answer_end(req, id, *end, as_submit);
    }
    auto open = r.status == 200 && r.entries.size() == 1 ? wire::open_from_json(r.entries[0].value) : std::nullopt;
    if (!open) return refuse(req, "the state service did not answer");
    note_open(id, r.entries[0].stamp, open->cancelled);
    tell_open(req, id, open->cancelled, as_submit);
  });
}

void Core::tell_open(RequestId req, const std::string &id, bool cancelled, bool as_submit) {
  // What this node has learnt while the question was under way is newer than what was found.
  if (auto it = ends_.find(id); it != ends_.end()) return answer_end(req, id, it->second, as_submit);
  if (auto it = known_open_.find(id); it != known_open_.end()) cancelled |= it->second.cancelled;
  auto view = view_of(id, cancelled);
  reply(req, 200, as_submit ? wire::encode_accepted(id, view.state) : wire::encode_job_view(view));
}

void Core::note_open(const std::string &id, std::uint64_t stamp, bool cancelled) {
  // Whoever tells a user so has to tell the leader too (`extended`), also if another node wrote it, or this one
  // without an answer.
  const auto before = known_open_.find(id);
  if (cancelled && (before == known_open_.end() || !before->second.cancelled))
    confirmed_cancels_.emplace_back(id, now());
  if (auto mine = job_index_.find(id);
      cancelled && role_ == Role::Leading && mine != job_index_.end() && !job(mine->second).cancelled) {
    job(mine->second).cancelled = true; // sooner than the watch tells it
    cancel_job(mine->second);
  }
  auto [it, fresh] = known_open_.try_emplace(id, KnownOpen{stamp, cancelled});
  if (!fresh && stamp > it->second.stamp) it->second = {stamp, cancelled};
  if (!fresh) return;
  known_order_.push_back(id);
  if (known_order_.size() <= kMaxEnds) return;
  known_open_.erase(known_order_.front());
  known_order_.pop_front();
}

// One comparison of revisions answers many questions: a record whose revision is still the one read before
// is still what it was then. It is sent after the questions have come, so the answer is not older than they are.
void Core::confirm_questions() {
  while (!questions_.empty() && now() - questions_.front().asked > kQuestionPatience) {
    refuse(questions_.front().req, "too many questions at once");
    questions_.pop_front();
  }
  if (confirming_ || questions_.empty() || now() < next_confirm_ || !user_reads_.take(now())) return;
  next_confirm_ = now() + kConfirmEvery;
  confirming_ = true;
  StoreCommit compare;
  std::vector<Question> asked;
  const auto most = static_cast<std::size_t>(std::max(1, 4 * settings_.state_txn_ops));
  while (!questions_.empty() && asked.size() < most) {
    auto q = std::move(questions_.front());
    questions_.pop_front();
    if (auto it = known_open_.find(q.id); it != known_open_.end() && !it->second.cancelled) {
      const std::string key = "open/" + q.id;
      if (std::none_of(compare.guards.begin(), compare.guards.end(), [&](const auto &g) { return g.key == key; }))
        compare.guards.push_back({key, it->second.stamp});
      asked.push_back(std::move(q));
    } else {
      answer_state(q.req, q.id, q.as_submit); // ended, cancelled or pushed out meanwhile
    }
  }
  if (asked.empty()) {
    confirming_ = false;
    return;
  }
  store(std::move(compare), kUserDeadline / 2, [this, asked = std::move(asked)](const wire::StoreReply &r) {
    confirming_ = false;
    for (const auto &q : asked) {
      if (r.status == 200) {
        tell_open(q.req, q.id, false, q.as_submit);
      } else if (r.status != 409) {
        refuse(q.req, "the state service did not answer");
      } else if (std::find(r.failed.begin(), r.failed.end(), "open/" + q.id) != r.failed.end()) {
        read_open(q.req, q.id, q.as_submit); // cancelled or over by now
      } else {
        questions_.push_back(q);
      }
    }
  });
}

void Core::read_end(RequestId req, const std::string &id, bool as_submit, bool as_abort) {
  ++user_ops_;
  store(StoreGet{"end/" + id}, kUserDeadline / 2, [this, req, id, as_submit, as_abort](const wire::StoreReply &r) {
    --user_ops_;
    if (r.status == 404 && !as_submit) return reply(req, 404, wire::encode_error("no such job"));
    auto end = r.status == 200 && r.entries.size() == 1 ? wire::end_from_json(r.entries[0].value) : std::nullopt;
    if (!end) return refuse(req, "the state service did not answer");
    remember_end(id, *end);
    answer_end(req, id, *end, as_submit || as_abort);
  });
}

void Core::answer_end(RequestId req, const std::string &id, const EndRecord &end, bool brief) {
  JobState state = end.cancelled ? JobState::Cancelled : JobState::Done;
  if (brief) return reply(req, 200, wire::encode_accepted(id, state));
  JobView view{id, state, end.cancelled ? 0 : end.tasks, 0, end.reason};
  reply(req, 200, wire::encode_job_view(view));
}

void Core::remember_end(const std::string &id, EndRecord end) {
  known_open_.erase(id);
  news_.erase(id);
  if (!ends_.emplace(id, std::move(end)).second) return;
  ends_order_.push_back(id);
  if (ends_order_.size() > kMaxEnds) {
    ends_.erase(ends_order_.front());
    ends_order_.pop_front();
  }
}

void Core::on(CmdAbort &&cmd) {
  const auto &id = cmd.id;
  if (!wire::valid_job_id(id)) return reply(cmd.req, 404, wire::encode_error("no such job"));
  if (auto it = ends_.find(id); it != ends_.end()) return answer_end(cmd.req, id, it->second, true);
  if (user_ops_ >= kMaxUserOps || !user_writes_.take(now())) return refuse(cmd.req, "too many requests at once");
  ++user_ops_;
  store(StoreGet{"open/" + id}, kUserDeadline / 2, [this, req = cmd.req, id](const wire::StoreReply &r) {
    --user_ops_;
    if (r.status == 404) return read_end(req, id, false, true);
    if (auto end = r.entries.size() == 1 ? wire::final_from_json(r.entries[0].value) : std::nullopt) {
      remember_end(id, *end);
      return answer_end(req, id, *end, true);
    }
    auto open = r.status == 200 && r.entries.size() == 1 ? wire::open_from_json(r.entries[0].value) : std::nullopt;
    if (!open) return refuse(req, "the state service did not answer");
    if (open->cancelled) {
      note_open(id, r.entries[0].stamp, true);
      return reply(req, 200, wire::encode_accepted(id, JobState::Cancelled));
    }
    open->cancelled = true;
    ++user_ops_;
    store(StoreCommit{{{"open/" + id, r.entries[0].stamp}}, {{"open/" + id, wire::to_json(*open), 0}}}, kUserDeadline,
          [this, req, id](const wire::StoreReply &c) {
            --user_ops_;
            if (c.status == 200) {
              note_open(id, c.revision, true);
              return reply(req, 200, wire::encode_accepted(id, JobState::Cancelled));
            }
            refuse(req, "the state service did not confirm the cancellation");
          });
  });
}

} // namespace loft::core
