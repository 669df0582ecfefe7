// What people are told: why a job waits or was stopped, whether it will be late, and how siblings learn it.
#include "loftrouter/core/core.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace loft::core {

namespace {
constexpr double kDigestEvery = 0.5;
constexpr double kNewsLife = 10.0; // after which a sibling's word about a job is too old to be passed on
constexpr std::size_t kMaxNews = 4000;

std::string plural(std::uint64_t n, std::string_view what) {
  return fmt::format("{} {}{}", n, what, n == 1 ? "" : "s");
}
} // namespace

Core::Supplies Core::supplies() const {
  Supplies out;
  for (const auto &m : machines_) {
    if (!m || m->type < 0 || m->lost || m->returning || m->order) continue;
    auto &s = out[{m->type, m->zone, m->spot}];
    ++(m->heard ? s.up : s.starting);
  }
  return out;
}

// Something worth telling the job's owner, with the time of day. It stays until the next such thing.
void Core::happened(Job &k, std::string_view what) {
  k.reason = fmt::format("{} ({})", what, wire::clock_time(now_.wall));
}

bool Core::any_running(int j) const {
  for (const auto &t : jobs_[static_cast<std::size_t>(j)]->tasks)
    if (t.state == TaskState::Placed)
      for (const auto &s : machines_[static_cast<std::size_t>(t.machine)]->slots)
        if (s.job == j && s.phase == TaskPhase::Running) return true;
  return false;
}

// Why the job's tasks wait, or what last happened to them, in words for its owner.
std::string Core::why(int j, const Supplies &supply) const {
  const Job &n = *jobs_[static_cast<std::size_t>(j)];
  if (n.cancelled) return "stopped: cancelled by its user";
  if (n.done == n.spec.tasks) return "all tasks have completed; this is being recorded";
  if (suspect(n)) {
    if (n.placed)
      return fmt::format("failed with an error on {} machines; being tried again: check the job", n.failed_on);
    return fmt::format("failed with an error on {} machines; next try in {:.0f} s: check the job", n.failed_on,
                       std::max(0.0, n.retry_at - now()));
  }
  const std::uint32_t pending = n.spec.tasks - n.done - n.placed - n.unaccounted;
  std::string wait;
  if (!lease_valid()) {
    wait = fmt::format("nothing is started: the state service has not answered since {}",
                       wire::clock_time(store_ok_wall_));
  } else if (!informed()) {
    wait = fmt::format("nothing is started: the state service has told of no cancellations since {}",
                       wire::clock_time(informed_wall_));
  } else if (n.unaccounted) {
    wait = fmt::format(
        "{} started by an earlier leader {} looked for on the machines; what is not found by {} starts again",
        plural(n.unaccounted, "task"), n.unaccounted == 1 ? "is" : "are",
        wire::clock_time(now_.wall + std::max(0.0, unaccounted_until_ - now())));
  } else if (pending) {
    const Team *team = n.team >= 0 ? &settings_.teams[static_cast<std::size_t>(n.team)] : nullptr;
    int up = 0, starting = 0;
    bool refused = true;
    PlaceJob p = place_job(j);
    p.barred.clear();
    for (std::size_t t = 0; t < types_.size(); ++t)
      for (const auto &zone : types_[t].zones)
        for (bool spot : {false, true}) {
          PlaceMachine m;
          m.type = static_cast<int>(t);
          m.zone = zone_names_.find(zone);
          m.spot = spot;
          if (!allowed(p, m) || !p.need.fits(types_[t].size)) continue;
          const auto key = std::tuple(m.type, m.zone, spot);
          if (auto s = supply.find(key); s != supply.end()) {
            up += s->second.up;
            starting += s->second.starting;
          }
          auto none = no_capacity_until_.find(key);
          refused &= none != no_capacity_until_.end() && now() < none->second;
        }
    const std::string what = fmt::format("{:g} CPUs and {:g} GB{}", n.spec.need.cpus, n.spec.need.memory,
                                         n.spec.zone ? " in " + *n.spec.zone : "");
    if (team && team->cpus_max > 0 && team_room()[static_cast<std::size_t>(n.team)].cpus < n.spec.need.cpus)
      wait = fmt::format("team {} uses all of its limit of {:g} CPUs", n.spec.team, team->cpus_max);
    else if (p.gang && n.placed)
      wait = "the tasks of its earlier attempt have to stop first";
    else if (up == 0 && starting == 0)
      wait = refused ? "the cloud has no machine to give with " + what : "no machine with " + what + " is up yet";
    else if (up == 0)
      wait = fmt::format("{} with {} {} starting", plural(static_cast<std::uint64_t>(starting), "machine"), what,
                         starting == 1 ? "is" : "are");
    else
      wait = fmt::format("all {} with {} are in use{}", plural(static_cast<std::uint64_t>(up), "machine"), what,
                         starting ? fmt::format("; {} more starting", starting)
                                  : (refused ? "; the cloud has no more to give" : ""));
    wait = (pending == n.spec.tasks ? "waiting: " : fmt::format("{} of {} tasks wait: ", pending, n.spec.tasks)) + wait;
  }
  if (wait.empty() && n.placed && n.done == 0 && n.reason.empty() && !any_running(j))
    wait = n.placed == 1 ? "its task has a machine and fetches its image"
                         : fmt::format("its {} tasks have machines and fetch their images", n.placed);
  if (wait.empty()) return n.reason;
  return n.reason.empty() ? wait : wait + "; " + n.reason;
}

// After how long its team wants the job complete: nothing if nobody has said.
std::optional<double> Core::wanted_after(const Job &n) const {
  if (n.spec.deadline_s) return n.spec.deadline_s;
  std::optional<double> last;
  for (const auto &o : settings_.objectives)
    if (o.kind == "finished" && o.job_class == n.spec.job_class) last = std::max(last.value_or(0), o.within_s);
  return last;
}

bool Core::foreseen_late(const Job &n) const {
  auto wanted = wanted_after(n);
  if (!wanted || n.cancelled || n.done == n.spec.tasks) return false;
  const double age = std::max(0.0, now_.wall - n.submit_wall);
  const std::uint32_t pending = n.spec.tasks - n.done - n.placed - n.unaccounted;
  const double queue = pending * n.spec.need.cpus / std::max(1.0, up_cpus_);
  return age + (pending ? n.spec.estimate_s * (1 + queue) : 0.0) > tunables_.late_notice_share * *wanted;
}

std::vector<std::uint32_t> Core::running_counts() const {
  std::vector<std::uint32_t> out(jobs_.size(), 0);
  for (std::size_t j = 0; j < jobs_.size(); ++j)
    if (jobs_[j]) out[j] = jobs_[j]->unaccounted; // most likely running
  for (const auto &m : machines_)
    if (m)
      for (const auto &s : m->slots)
        if (s.job >= 0 && !s.finished && s.phase == TaskPhase::Running) ++out[static_cast<std::size_t>(s.job)];
  return out;
}

// A frame each half second: the jobs whose counts have changed first, then the others in turn. What does not fit
// waits for the next frame.
void Core::tell_siblings() {
  if (role_ != Role::Leading || now() < next_digest_ || siblings_.empty()) return;
  next_digest_ = now() + kDigestEvery;
  const auto running = running_counts();
  std::vector<int> first, rest;
  const std::size_t n = jobs_.size();
  for (std::size_t k = 0; k < n; ++k) {
    const std::size_t j = (digest_cursor_ + k) % n;
    if (!jobs_[j] || jobs_[j]->cancelled) continue;
    const bool changed = jobs_[j]->told_done != jobs_[j]->done || jobs_[j]->told_running != running[j];
    (changed ? first : rest).push_back(static_cast<int>(j));
  }
  const auto supply = supplies();
  wire::PeerMessage m;
  m.kind = wire::PeerMessage::Kind::Digest;
  m.term = term_;
  std::size_t room = wire::kPeerMaxBody - 64;
  for (const auto *list : {&first, &rest})
    for (int j : *list) {
      if (m.news.size() >= wire::kPeerMaxNews || room < 256) break;
      Job &k = job(j);
      wire::PeerMessage::JobNews news{k.spec.id, k.done, running[static_cast<std::size_t>(j)], foreseen_late(k),
                                      why(j, supply)};
      k.told_done = news.done;
      k.told_running = news.running;
      room -= std::min(room, wire::peer_news_size(news));
      if (list == &rest) digest_cursor_ = static_cast<std::size_t>(j) + 1;
      m.news.push_back(std::move(news));
    }
  for (std::size_t i = 0; i < siblings_.size(); ++i)
    effects_.peers.push_back({static_cast<int>(i), 0, m});
}

void Core::take_digest(const wire::PeerMessage &m) {
  if (m.term < news_term_ || role_ == Role::Leading) return;
  if (m.term > news_term_) {
    news_.clear();
    news_order_.clear();
  }
  news_term_ = m.term;
  news_at_ = now();
  for (const auto &n : m.news) {
    if (ends_.contains(n.id)) continue;
    auto [it, fresh] = news_.insert_or_assign(n.id, News{n.done, n.running, n.late, n.reason, now()});
    if (!fresh) continue;
    news_order_.push_back(n.id);
    while (news_order_.size() > kMaxNews) {
      news_.erase(news_order_.front());
      news_order_.pop_front();
    }
  }
}

// What a user is shown of a job that the state service has just said is open.
JobView Core::view_of(const std::string &id, bool cancelled) {
  JobView view{id, cancelled ? JobState::Cancelled : JobState::Queued, 0, 0, {}};
  if (auto mine = job_index_.find(id); role_ == Role::Leading && mine != job_index_.end()) {
    const Job &j = job(mine->second);
    view.done = j.done;
    view.running = j.unaccounted;
    for (const auto &m : machines_)
      if (m)
        for (const auto &slot : m->slots)
          view.running += slot.job == mine->second && !slot.finished && slot.phase == TaskPhase::Running;
    view.reason = why(mine->second, supplies());
  } else if (cancelled) {
    view.reason = "stopped: cancelled by its user";
  } else if (auto it = news_.find(id);
             it != news_.end() && news_term_ >= leader_term_ && now() - it->second.at < kNewsLife) {
    view.done = it->second.done;
    view.running = it->second.running;
    view.reason = it->second.reason;
  } else if (leader_name_.empty()) {
    view.reason = leaderless_since_wall_ > 0 ? fmt::format("no leader since {}; the next one starts what waits",
                                                           wire::clock_time(leaderless_since_wall_))
                                             : "no leader is known yet";
  } else {
    view.reason =
        fmt::format("how far it is cannot be told by this node: no word of it from the leader, {}", leader_name_);
  }
  if (!cancelled && view.running) view.state = JobState::Running;
  return view;
}

} // namespace loft::core
