#include "loftrouter/core/connectivity/connectivity_monitor.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace loftrouter::core {

namespace {
const std::string kPrefix = "reach/";
constexpr double kTtl = 10.0, kTouchEvery = 3.0, kRetry = 2.0;   // s, of the lease that a word hangs on
constexpr double kWordsAMinute = 6, kWordsAtOnce = 6;            // most that a node writes
constexpr double kListEvery = 2.0, kListEveryDownlinkLost = 0.5; // while a link is down
constexpr double kLinkWord = 1.5;                                // s, of a sibling's word by link
constexpr double kListLife = 3.0;                                // s, of what a list has shown
constexpr double kHearsLife = 15.0;                              // s, of the word "hears" in the state service
constexpr double kAgain = 5.0;                                   // s, after which it is written again
constexpr double kYoung = 60.0, kFlap = 10.0;                    // a term younger than the first is ended so much later
constexpr double kStandBack = 15.0;                              // s, before a node that has made room stands again
constexpr double kSilentFor = 60.0;                              // s, that a node takes itself for silent
constexpr double kCloudPatience = 20.0, kCloudFresh = 15.0;      // s
constexpr int kCloudTries = 2;
constexpr double kCarry = 3.0;  // s, for siblings to learn that reports are to be passed on, and for the next reports
constexpr double kSooner = 1.5; // s, by which workers were heard elsewhere later than here
constexpr double kRankStep = 0.3, kMaxElectionDelay = 1.5; // s, of the worse placed behind the better placed
} // namespace

void RecentHeartbeats::add(int zone, double now) {
  if (buckets_.empty() || now - buckets_.back().at >= kBucket) buckets_.push_back({now, {}});
  while (now - buckets_.front().at > window_s_)
    buckets_.pop_front();
  ++grown(buckets_.back().zones, zone);
}

std::vector<std::uint32_t> RecentHeartbeats::by_zone(double now) const {
  std::vector<std::uint32_t> out;
  for (const auto &b : buckets_)
    if (now - b.at <= window_s_)
      for (std::size_t z = 0; z < b.zones.size(); ++z)
        grown(out, static_cast<int>(z)) += b.zones[z];
  return out;
}

std::uint32_t RecentHeartbeats::all(double now) const {
  std::uint32_t sum = 0;
  for (auto n : by_zone(now))
    sum += n;
  return sum;
}

ConnectivityMonitor::ConnectivityMonitor(Runtime &runtime, const Settings &settings, const InstanceTypeCatalog &catalog,
                                         Leadership &leadership, Replicas &replicas, const WorkerRegistry &workers,
                                         const FailureDetector &failure_detector)
    : runtime_(runtime), settings_(settings), catalog_(catalog), leadership_(leadership), replicas_(replicas),
      workers_(workers), failure_detector_(failure_detector), heard_(late_after(settings)),
      writes_(kWordsAMinute / 60, kWordsAtOnce), by_state_(settings.replicas.size()) {}

// ---- this node ----

void ConnectivityMonitor::heard(const std::string &zone) {
  last_report_at_ = last_direct_at_ = runtime_.now();
  heard_.add(catalog_.find_zone(zone) + 1, runtime_.now()); // 0: a zone that is not known
}

std::vector<std::pair<std::string, double>> ConnectivityMonitor::machines_by_zone() const {
  std::vector<std::pair<std::string, double>> out;
  const auto reports = heard_.by_zone(runtime_.now());
  for (std::size_t z = 1; z < reports.size(); ++z)
    if (reports[z])
      out.emplace_back(catalog_.zone_name(static_cast<int>(z) - 1),
                       std::ceil(reports[z] * settings_.heartbeat_interval_s / heard_.window_s()));
  return out;
}

void ConnectivityMonitor::tick(std::size_t kept) {
  if (runtime_.now() - tick_at_ > 1) awake_from_ = runtime_.now(); // what has come meanwhile is not read yet
  tick_at_ = runtime_.now();
  judge_self(kept);
  replicas_.say(own_);
  tell_of_changes();
  keep_word();
  read_words();
  make_room();
  double best = rank(own_);
  for (std::size_t i = 0; i < replicas_.count(); ++i)
    if (const auto w = word(i)) best = std::min(best, rank(w->says));
  leadership_.set_election_delay(std::min(kMaxElectionDelay, kRankStep * (rank(own_) - best)));
}

void ConnectivityMonitor::judge_self(std::size_t kept) {
  const double now = runtime_.now();
  const auto reports = heard_.all(now);
  own_.machines = static_cast<std::uint16_t>(
      std::min(6e4, std::ceil(reports * settings_.heartbeat_interval_s / heard_.window_s())));
  own_.quiet_s = std::min(ConnectivityRecord::kMaxQuiet, now - last_direct_at_);
  own_.carried_s = ConnectivityRecord::kMaxQuiet;
  for (std::size_t i = 0; i < replicas_.count(); ++i)
    if (const double age = now - replicas_[i].asked_at; age < kLinkWord)
      own_.carried_s = std::min(own_.carried_s, replicas_[i].asks_with.quiet_s + age);
  const bool leads = leadership_.leading();
  if (reports > 0 || (leads && now - last_report_at_ < heard_.window_s())) {
    own_.workers = WorkerReachability::Reachable;
    silent_since_ = -1;
  } else if (now - awake_from_ > heard_.window_s() &&
             (leads ? failure_detector_.all().silent() : kept >= FailureDetector::Count::kMin)) {
    if (silent_since_ < 0) silent_since_ = now;
    own_.workers =
        now - silent_since_ < kSilentFor || leads ? WorkerReachability::Unreachable : WorkerReachability::Unknown;
  } else if (own_.workers != WorkerReachability::Unreachable || now - silent_since_ > kSilentFor) {
    own_.workers = WorkerReachability::Unknown;
  }
  own_.cloud = runtime_.cloud_failures() >= kCloudTries     ? ProviderHealth::Unhealthy
               : now - runtime_.cloud_ok_at() < kCloudFresh ? ProviderHealth::Healthy
                                                            : ProviderHealth::Unknown;
}

// One line a change, of what this node finds itself cut off from.
void ConnectivityMonitor::tell_of_changes() {
  std::vector<std::pair<std::string, bool>> now{
      {"state service", runtime_.now() - runtime_.state_ok_at() < 2 * kLinkWord},
      {"workers", own_.workers != WorkerReachability::Unreachable},
      {"cloud", own_.cloud != ProviderHealth::Unhealthy}};
  for (std::size_t i = 0; i < replicas_.count(); ++i)
    now.emplace_back(replicas_.name(i), runtime_.now() - replicas_[i].stated_at < 2 * kLinkWord);
  if (runtime_.up_s() < 5) return;
  for (std::size_t k = 0; k < now.size(); ++k) {
    if (told_.empty() ? now[k].second : told_[k].second == now[k].second) continue;
    const std::string &what = now[k].first;
    if (now[k].second)
      runtime_.log(LogLevel::Info, "connectivity_restored", {{"what", what}});
    else
      runtime_.log(LogLevel::Info, "connectivity_lost",
                   {{"from", what},
                    {"why", what == "workers"         ? "all whose reports came here have fallen silent"
                            : what == "cloud"         ? "it has not answered the last calls"
                            : what == "state service" ? "it answers nothing"
                                                      : "no answer on the link"}});
  }
  told_ = std::move(now);
}

// ---- words by way of the state service ----

// Neither hears a sibling's word on the link that this node dials, nor is known to be heard on those that they dial.
bool ConnectivityMonitor::some_link_down() const {
  for (std::size_t i = 0; i < replicas_.count(); ++i)
    if (runtime_.now() - std::min(replicas_[i].stated_at, replicas_[i].asked_at) > kLinkWord) return true;
  return false;
}

// A key under a lease, so that it goes with its node. Renewing the lease changes nothing in the state service, so a
// quiet day costs no writes.
void ConnectivityMonitor::keep_word() {
  if (replicas_.count() == 0 || asking_ || runtime_.now() < next_lease_) {
  } else if (lease_ == 0) {
    asking_ = true;
    next_lease_ = runtime_.now() + kRetry * (0.8 + 0.4 * runtime_.random());
    runtime_.store(StoreLeaseGrant{kTtl}, 1.0, [this](const wire::StoreReply &reply) {
      asking_ = false;
      if (reply.status != 200 || !reply.lease) return;
      lease_ = reply.lease;
      written_.reset();
      next_lease_ = runtime_.now() + kTouchEvery;
    });
  } else {
    asking_ = true;
    next_lease_ = runtime_.now() + kTouchEvery;
    runtime_.store(StoreLeaseRenew{lease_}, 1.0, [this](const wire::StoreReply &reply) {
      asking_ = false;
      if (reply.status == 404) lease_ = 0;
    });
  }
  if (lease_ == 0 || replicas_.cut_off()) return;
  // Over the links it is told anyway, and more often.
  auto band = [](std::uint16_t machines) { return static_cast<int>(std::log2(machines + 1.0) / 2); };
  auto heard = [this](const ConnectivityRecord &connectivity) {
    return connectivity.workers == WorkerReachability::Reachable || carried(connectivity);
  };
  // That it hears nobody any more shows by the word's age.
  auto weighty = [&](const ConnectivityRecord &before) {
    return (own_.workers != before.workers && own_.workers != WorkerReachability::Unknown) ||
           own_.cloud != before.cloud ||
           (heard(own_) &&
            (!heard(before) || band(own_.machines) > band(before.machines) || runtime_.now() - written_at_ > kAgain));
  };
  const bool changed = !written_ || (some_link_down() && weighty(*written_));
  if (changed && writes_.take(runtime_.now())) write_word();
}

void ConnectivityMonitor::write_word() {
  written_ = own_;
  written_at_ = runtime_.now();
  const StoredConnectivityRecord record{own_, runtime_.wall()};
  runtime_.store(StoreCommit{{}, {{kPrefix + std::to_string(replicas_.self()), wire::to_json(record), lease_}}}, 1.0,
                 [this, lease = lease_](const wire::StoreReply &reply) {
                   if (lease != lease_) return;
                   if (reply.status == 400) lease_ = 0; // it is over
                   if (reply.status != 200) written_.reset();
                 });
}

void ConnectivityMonitor::read_words() {
  const bool downlink_lost = leadership_.leading() && runtime_.now() - last_report_at_ > heard_.window_s() / 2;
  if (listing_ || runtime_.now() < next_list_ || !some_link_down() || replicas_.count() == 0) return;
  next_list_ = runtime_.now() + (downlink_lost ? kListEveryDownlinkLost : kListEvery);
  listing_ = true;
  runtime_.store(StoreList{kPrefix, ""}, 1.0, [this, asked = runtime_.now()](const wire::StoreReply &reply) {
    listing_ = false;
    if (reply.status != 200) return;
    listed_at_ = asked;
    for (auto &s : by_state_)
      s.present = false;
    for (const auto &e : reply.entries) {
      const auto digits = e.key.substr(kPrefix.size());
      const auto record = wire::connectivity_from_json(e.value);
      if (!record || digits.empty() || digits.size() > 3 || digits.find_first_not_of("0123456789") != std::string::npos)
        continue;
      const int sender = std::stoi(digits);
      const int i = sender < 256 ? replicas_.by_sender(static_cast<std::uint8_t>(sender)) : -1;
      if (i >= 0) by_state_[static_cast<std::size_t>(i)] = {*record, true};
    }
  });
}

std::optional<ConnectivityMonitor::Word> ConnectivityMonitor::word(std::size_t i) const {
  const auto &link = replicas_[i];
  const double age = runtime_.now() - link.stated_at;
  if (age < kLinkWord) return link.cut_off ? std::nullopt : std::optional(Word{link.connectivity, age, true});
  const auto &s = by_state_[i];
  if (!s.present || runtime_.now() - listed_at_ > kListLife) return std::nullopt;
  Word w{s.record.word, std::max(0.0, runtime_.wall() - s.record.wall), false};
  if (w.age_s > kHearsLife) {
    if (w.says.workers == WorkerReachability::Reachable) w.says.workers = WorkerReachability::Unknown;
    w.says.carried_s = ConnectivityRecord::kMaxQuiet;
  }
  if (w.age_s > kSilentFor) w.says = {};
  return w;
}

bool ConnectivityMonitor::probe_wanted() const {
  if (leadership_.role() != Role::Follower) return false;
  for (std::size_t i = 0; i < replicas_.count(); ++i)
    if (const auto w = word(i);
        w && w->says.cloud == ProviderHealth::Unhealthy && replicas_.name(i) == leadership_.leader_name())
      return true;
  return false;
}

// ---- who leads ----

// How ill placed a node is to lead: the larger the worse.
double ConnectivityMonitor::rank(const ConnectivityRecord &connectivity) const {
  const int workers = connectivity.workers == WorkerReachability::Reachable ? 0
                      : carried(connectivity)                               ? 1
                      : connectivity.workers == WorkerReachability::Unknown ? 2
                                                                            : 5;
  return workers + (connectivity.cloud == ProviderHealth::Unhealthy ? 3 : 0);
}

void ConnectivityMonitor::step_down(std::string_view why, std::size_t replica, const Word &w) {
  const auto how = w.says.workers == WorkerReachability::Reachable ? fmt::format("hears about {}", w.says.machines)
                   : carried(w.says)                               ? "gets them by way of a sibling"
                                                                   : "may reach them";
  leadership_.step_down(
      fmt::format("{}; {} {} ({})", why, replicas_.name(replica), how, w.by_link ? "by link" : "by the state service"));
  leadership_.abstain_from_elections(kStandBack);
}

// A leader that the workers no longer reach, while they may reach another node, makes room: siblings could only send
// them back to it, and all their leases would run out. The same if few reach it and many another that cannot pass
// their reports on; and, later, if only others reach the cloud.
void ConnectivityMonitor::make_room() {
  if (!leadership_.active()) return;
  const double now = runtime_.now();
  const auto live = workers_.available_count();
  const bool several = live >= FailureDetector::Count::kMin;
  const bool young = now - leadership_.took_over_at() < kYoung;
  const bool heard_any = last_report_at_ > leadership_.leading_since();
  // Each second saved here is one more for workers, which wait 4 s for an answer before they try elsewhere, to reach
  // the next leader within their lease. A few machines may hang by chance. On links that come and go, the leader
  // changes once a minute at most.
  const double patience = (several ? late_after(settings_) : std::max(4.5, 2 * settings_.heartbeat_interval_s + 2)) +
                          (young && heard_any ? kFlap : 0);
  const double quiet = now - std::max({last_report_at_, leadership_.leading_since(), awake_from_});
  // If a sibling hears them and can pass their reports on, it is given time to do so.
  const auto &all = failure_detector_.all();
  const bool downlink_lost = all.known > 0 && quiet >= patience + (carried(own_) ? kCarry : 0);
  const std::size_t here = all.known - all.late;
  const bool few = !downlink_lost && !young && all.known >= 2 * FailureDetector::Count::kMin &&
                   3 * all.late >= 2 * all.known && now - awake_from_ > patience;
  const bool cloud =
      own_.cloud == ProviderHealth::Unhealthy &&
      now - std::max(runtime_.cloud_ok_at(), leadership_.leading_since()) > (young ? kYoung : kCloudPatience);
  if (!downlink_lost && !few && !cloud) return;
  for (std::size_t i = 0; i < replicas_.count(); ++i) {
    const auto w = word(i);
    if (!w) continue;
    const bool direct = w->says.workers == WorkerReachability::Reachable, accepts_commands = direct || carried(w->says);
    if (w->says.workers == WorkerReachability::Unreachable && !accepts_commands) continue; // it would serve no better
    // Whatever silenced them here may have silenced them there at the same moment.
    if (downlink_lost && accepts_commands && std::min(w->says.quiet_s, w->says.carried_s) + w->age_s + kSooner > quiet)
      continue;
    // That several fall silent at once is enough. Where few have been heard a sibling has to have heard some: the
    // workers may be what has failed. Waiting for that with several would send workers that try a sibling back here.
    if (downlink_lost && (accepts_commands || (several && !young)))
      return step_down("no worker reaches this node", i, *w);
    if (few && direct && w->says.machines > 2 * here + FailureDetector::Count::kMin && !replicas_[i].passes)
      return step_down(fmt::format("only {} of {} machines reach this node", here, all.known), i, *w);
    if (cloud && w->says.cloud == ProviderHealth::Healthy)
      return step_down("the cloud does not answer this node", i, *w);
  }
}

} // namespace loftrouter::core
