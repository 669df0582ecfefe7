#include "loftrouter/core/users.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace loft::core {

namespace {
constexpr double kUserDeadline = 1.4; // a poll waits 2 s, a submission 5 s
constexpr int kMaxUserOps = 256;
constexpr std::size_t kMostKnown = 4000;   // open records
constexpr double kConfirmEvery = 0.03;     // least time between comparisons
constexpr double kQuestionPatience = 0.25; // that a question waits for one
} // namespace

UserDesk::Verdict UserDesk::judge(const JobSpec &spec, std::string &why) const {
  const int team = jobs_.find_team(spec.team);
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
  if (!catalogue_.known()) return Verdict::Unknown;
  for (const auto &type : catalogue_.types()) {
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end()) continue;
    if (spec.zone && std::find(type.zones.begin(), type.zones.end(), *spec.zone) == type.zones.end()) continue;
    if (spec.need.fits(type.size)) return Verdict::Ok;
  }
  why = "a task fits no machine type that the job allows";
  return Verdict::Never;
}

void UserDesk::take(CmdSubmit &&cmd) {
  if (const auto *end = ended_.find(cmd.spec.id)) return answer_end(cmd.req, cmd.spec.id, *end, true);
  std::string why;
  switch (judge(cmd.spec, why)) {
  case Verdict::Never:
    return port_.reply(cmd.req, 422, wire::encode_error(why));
  case Verdict::Unknown:
    return port_.refuse(cmd.req, "machine types are not known yet");
  case Verdict::Ok:
    break;
  }
  OpenRecord record{cmd.spec, port_.wall(), false};
  auto value = wire::to_json(record);
  if (static_cast<double>(value.dump().size()) > settings_.state_value_kb * 1024 - 64)
    return port_.reply(cmd.req, 422, wire::encode_error("the job's description is too long to be kept"));
  if (under_way_ >= kMaxUserOps || !budget_.take_write(port_.now()))
    return port_.refuse(cmd.req, "too many submissions at once");
  ++under_way_;
  std::string id = cmd.spec.id;
  port_.store(StoreCommit{{{"open/" + id, 0}, {"end/" + id, 0}}, {{"open/" + id, std::move(value), 0}}}, kUserDeadline,
              [this, req = cmd.req, id](const wire::StoreReply &r) {
                --under_way_;
                if (r.status == 200) {
                  note_open(id, r.revision, false);
                  return port_.reply(req, 201, wire::encode_accepted(id, JobState::Queued));
                }
                if (r.status == 409) return answer_state(req, id, true);
                port_.refuse(req, "the state service did not confirm the submission");
              });
}

void UserDesk::take(CmdLookup &&cmd) {
  if (!wire::valid_job_id(cmd.id)) return port_.reply(cmd.req, 404, wire::encode_error("no such job"));
  answer_state(cmd.req, cmd.id, false);
}

void UserDesk::answer_state(RequestId req, const std::string &id, bool as_submit) {
  if (const auto *end = ended_.find(id)) return answer_end(req, id, *end, as_submit);
  auto known = known_open_.find(id);
  if (known == known_open_.end()) return read_open(req, id, as_submit);
  // Cancelled is for ever; that it is still open has to be confirmed.
  if (known->second.cancelled) return tell_open(req, id, true, as_submit);
  if (questions_.size() >= kMaxUserOps) return port_.refuse(req, "too many questions at once");
  questions_.push_back({req, id, as_submit, port_.now()});
}

void UserDesk::read_open(RequestId req, const std::string &id, bool as_submit) {
  if (under_way_ >= kMaxUserOps || !budget_.take_read(port_.now(), 1.3))
    return port_.refuse(req, "too many questions at once");
  ++under_way_;
  port_.store(StoreGet{"open/" + id}, kUserDeadline / 2, [this, req, id, as_submit](const wire::StoreReply &r) {
    --under_way_;
    if (r.status == 404) return read_end(req, id, as_submit, false);
    if (auto end = r.entries.size() == 1 ? wire::final_from_json(r.entries[0].value) : std::nullopt) {
      ended_.remember(id, *end);
      return answer_end(req, id, *end, as_submit);
    }
    auto open = r.status == 200 && r.entries.size() == 1 ? wire::open_from_json(r.entries[0].value) : std::nullopt;
    if (!open) return port_.refuse(req, "the state service did not answer");
    note_open(id, r.entries[0].stamp, open->cancelled);
    tell_open(req, id, open->cancelled, as_submit);
  });
}

void UserDesk::tell_open(RequestId req, const std::string &id, bool cancelled, bool as_submit) {
  // What this node has learnt while the question was under way is newer than what was found.
  if (const auto *end = ended_.find(id)) return answer_end(req, id, *end, as_submit);
  if (auto it = known_open_.find(id); it != known_open_.end()) cancelled |= it->second.cancelled;
  auto view = insight_.view(id, cancelled);
  port_.reply(req, 200, as_submit ? wire::encode_accepted(id, view.state) : wire::encode_job_view(view));
}

void UserDesk::note_open(const std::string &id, std::uint64_t stamp, bool cancelled) {
  // Whoever tells a user so has to tell the leader too (`extended`), also if another node wrote it, or this one
  // without an answer.
  const auto before = known_open_.find(id);
  if (cancelled && (before == known_open_.end() || !before->second.cancelled)) siblings_.cancelled(id);
  if (const int mine = jobs_.index(id); cancelled && lead_.leading() && mine >= 0)
    jobs_.cancel(mine); // sooner than the watch tells it
  auto [it, fresh] = known_open_.try_emplace(id, KnownOpen{stamp, cancelled});
  if (!fresh && stamp > it->second.stamp) it->second = {stamp, cancelled};
  if (!fresh) return;
  known_order_.push_back(id);
  if (known_order_.size() <= kMostKnown) return;
  known_open_.erase(known_order_.front());
  known_order_.pop_front();
}

// One comparison of revisions answers many questions: a record whose revision is still the one read before
// is still what it was then. It is sent after the questions have come, so the answer is not older than they are.
void UserDesk::confirm() {
  while (!questions_.empty() && port_.now() - questions_.front().asked > kQuestionPatience) {
    port_.refuse(questions_.front().req, "too many questions at once");
    questions_.pop_front();
  }
  if (confirming_ || questions_.empty() || port_.now() < next_confirm_ || !budget_.take_read(port_.now())) return;
  next_confirm_ = port_.now() + kConfirmEvery;
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
  port_.store(std::move(compare), kUserDeadline / 2, [this, asked = std::move(asked)](const wire::StoreReply &r) {
    confirming_ = false;
    for (const auto &q : asked) {
      if (r.status == 200) {
        tell_open(q.req, q.id, false, q.as_submit);
      } else if (r.status != 409) {
        port_.refuse(q.req, "the state service did not answer");
      } else if (std::find(r.failed.begin(), r.failed.end(), "open/" + q.id) != r.failed.end()) {
        read_open(q.req, q.id, q.as_submit); // cancelled or over by now
      } else {
        questions_.push_back(q);
      }
    }
  });
}

void UserDesk::read_end(RequestId req, const std::string &id, bool as_submit, bool as_abort) {
  ++under_way_;
  port_.store(
      StoreGet{"end/" + id}, kUserDeadline / 2, [this, req, id, as_submit, as_abort](const wire::StoreReply &r) {
        --under_way_;
        if (r.status == 404 && !as_submit) return port_.reply(req, 404, wire::encode_error("no such job"));
        auto end = r.status == 200 && r.entries.size() == 1 ? wire::end_from_json(r.entries[0].value) : std::nullopt;
        if (!end) return port_.refuse(req, "the state service did not answer");
        ended_.remember(id, *end);
        answer_end(req, id, *end, as_submit || as_abort);
      });
}

void UserDesk::answer_end(RequestId req, const std::string &id, const EndRecord &end, bool brief) {
  JobState state = end.cancelled ? JobState::Cancelled : JobState::Done;
  if (brief) return port_.reply(req, 200, wire::encode_accepted(id, state));
  JobView view{id, state, end.cancelled ? 0 : end.tasks, 0, end.reason};
  port_.reply(req, 200, wire::encode_job_view(view));
}

void UserDesk::take(CmdAbort &&cmd) {
  const auto &id = cmd.id;
  if (!wire::valid_job_id(id)) return port_.reply(cmd.req, 404, wire::encode_error("no such job"));
  if (const auto *end = ended_.find(id)) return answer_end(cmd.req, id, *end, true);
  if (under_way_ >= kMaxUserOps || !budget_.take_write(port_.now()))
    return port_.refuse(cmd.req, "too many requests at once");
  ++under_way_;
  port_.store(StoreGet{"open/" + id}, kUserDeadline / 2, [this, req = cmd.req, id](const wire::StoreReply &r) {
    --under_way_;
    if (r.status == 404) return read_end(req, id, false, true);
    if (auto end = r.entries.size() == 1 ? wire::final_from_json(r.entries[0].value) : std::nullopt) {
      ended_.remember(id, *end);
      return answer_end(req, id, *end, true);
    }
    auto open = r.status == 200 && r.entries.size() == 1 ? wire::open_from_json(r.entries[0].value) : std::nullopt;
    if (!open) return port_.refuse(req, "the state service did not answer");
    if (open->cancelled) {
      note_open(id, r.entries[0].stamp, true);
      return port_.reply(req, 200, wire::encode_accepted(id, JobState::Cancelled));
    }
    open->cancelled = true;
    ++under_way_;
    port_.store(StoreCommit{{{"open/" + id, r.entries[0].stamp}}, {{"open/" + id, wire::to_json(*open), 0}}},
                kUserDeadline, [this, req, id](const wire::StoreReply &c) {
                  --under_way_;
                  if (c.status == 200) {
                    note_open(id, c.revision, true);
                    return port_.reply(req, 200, wire::encode_accepted(id, JobState::Cancelled));
                  }
                  port_.refuse(req, "the state service did not confirm the cancellation");
                });
  });
}

} // namespace loft::core
