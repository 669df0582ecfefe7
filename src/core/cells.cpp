#include "loftrouter/core/cells.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace loft::core {

namespace {
using Kind = wire::CellMessage::Kind;
constexpr double kTick = 0.25, kDecideEvery = 0.5, kSummaryEvery = 1.0, kRenewShare = 0.25, kToldEvery = 0.5;
constexpr double kToldAtLeast = 5.0;                   // s, between words about a debt on which nothing changes
constexpr double kMostGrant = 10.0, kLeastGrant = 4.0; // s
constexpr double kGrantSlack = 8.0;                    // s, of a cancellation's time that grants leave
constexpr double kOfferFor = 10.0, kOfferAgain = 1.0;  // s
constexpr double kSureWithin = 2.0;                    // s, for a new leader to have what it borrows confirmed
constexpr double kFirstGrant = 10.0;                   // s, for a new debt to be confirmed
constexpr double kUnstarted = 20.0;                    // s, after which borrowed work that has not begun goes back
constexpr double kNotAgain = 60.0, kNoRoomPause = 5.0; // s, between two hand-overs of a job to the same cell
constexpr double kLongWait = 20.0;                     // s
constexpr double kHomeHasRoom = 10.0;                  // s
constexpr std::size_t kMostWanted = 16, kMostDebts = 4000, kMostLoans = 10'000;
constexpr std::uint32_t kLeastLent = 1;
constexpr int kEager = 2;
constexpr double kBorrowShare = 0.5, kBorrowLeast = 32; // of the CPUs that are up; CPUs
constexpr std::size_t kMostRanges = 4;                  // of a loan
const cells::Rules kRules;
} // namespace

Settings with_cell_teams(Settings s) {
  for (const auto &c : s.cells.others)
    s.teams.push_back({"@" + c.name, 0, 0, 0, 0});
  return s;
}

Cells::Cells(Port &port, Events &events, const Settings &settings, const Catalogue &catalogue,
             const Operators &operators, const Leadership &lead, const Cancellations &cancellations,
             StoreBudget &budget, JobTable &jobs, const FailureJudge &judge, Ledger &ledger, Recorder &recorder,
             Fleet &fleet, Siblings &siblings, const Quotas &quotas, const Scaler &scaler, const Wishes &wishes)
    : port_(port), events_(events), settings_(settings), catalogue_(catalogue), operators_(operators), lead_(lead),
      cancellations_(cancellations), budget_(budget), jobs_(jobs), judge_(judge), ledger_(ledger), recorder_(recorder),
      fleet_(fleet), siblings_(siblings), quotas_(quotas), scaler_(scaler), wishes_(wishes), passed_(256, port.nonce()),
      numbers_(port.nonce()) {
  for (const auto &c : settings_.cells.others) {
    std::vector<int> nodes;
    for (const auto &address : c.nodes) {
      nodes.push_back(static_cast<int>(node_addresses_.size()));
      node_addresses_.push_back(address);
    }
    cells_.push_back({.name = c.name, .nodes = cells::Membership(std::move(nodes)), .view = {}, .renewals = {}});
    cells_.back().question = numbers_;
  }
}

int Cells::by_name(const std::string &name) const {
  for (std::size_t c = 0; c < cells_.size(); ++c)
    if (cells_[c].name == name) return static_cast<int>(c);
  return -1;
}

// ---- frames ----

wire::CellMessage Cells::message(Kind kind, int cell) const {
  wire::CellMessage m;
  m.kind = kind;
  m.from = settings_.cells.name;
  m.to = cells_[static_cast<std::size_t>(cell)].name;
  m.term = lead_.term();
  return m;
}

bool Cells::send(int cell, wire::CellMessage m) {
  auto &c = cells_[static_cast<std::size_t>(cell)];
  const int node = c.nodes.target(port_.now());
  if (node < 0) return false;
  c.nodes.asked(port_.now());
  port_.send(CellSend{node, 0, std::move(m)});
  return true;
}

void Cells::reply(const Route &to, wire::CellMessage m) {
  if (!to.by_sibling) return port_.send(CellSend{-1, to.link, std::move(m)});
  wire::PeerMessage p;
  p.kind = wire::PeerMessage::Kind::CellTold;
  p.nonce = to.nonce;
  p.term = lead_.highest_term();
  p.sender = siblings_.self();
  p.body = wire::encode_cell(m);
  port_.send(PeerSend{-1, to.link, std::move(p)});
}

static bool is_answer(Kind k) {
  return k == Kind::Summaries || k == Kind::Room || k == Kind::Taken || k == Kind::Renewed || k == Kind::Settled;
}

void Cells::take(CmdCell &&cmd) {
  if (!on()) return;
  const int cell = by_name(cmd.message.from);
  if (cell < 0 || cmd.message.to != settings_.cells.name) {
    const auto wrong = fmt::format("{} -> {}", cmd.message.from, cmd.message.to);
    if (wrong != told_wrong_)
      port_.log(
          LogLevel::Error, "cell_refused",
          {{"frame", wrong}, {"why", cell < 0 ? "no such cell in the features file" : "this cell has another name"}});
    told_wrong_ = wrong;
    return;
  }
  if (lead_.leading() || is_answer(cmd.message.kind))
    return handle({cmd.link, 0, false}, cmd.node, std::move(cmd.message));
  // A node that does not lead passes it on, once: a leader of another cell may reach only this one.
  int to = -1;
  for (std::size_t i = 0; i < siblings_.count(); ++i)
    if (siblings_[i].leads && port_.now() - siblings_[i].stated_at < 1.2) to = static_cast<int>(i);
  if (to < 0 || passed_.full()) return; // it asks again, elsewhere
  wire::PeerMessage p;
  p.kind = wire::PeerMessage::Kind::CellAsk;
  p.nonce = passed_.take(0, port_.now() + 3, cmd.link);
  p.term = lead_.highest_term();
  p.sender = siblings_.self();
  p.body = wire::encode_cell(cmd.message);
  port_.send(PeerSend{to, 0, std::move(p)});
}

void Cells::take_passed(const CmdPeer &cmd) {
  if (!on() || !lead_.leading() || siblings_.by_sender(cmd.message.sender) < 0) return;
  std::string_view rest = cmd.message.body;
  wire::CellMessage m;
  if (wire::read_cell(rest, m) != wire::PeerRead::Frame || !rest.empty()) return;
  if (by_name(m.from) < 0 || m.to != settings_.cells.name || is_answer(m.kind)) return;
  handle({cmd.link, cmd.message.nonce, true}, -1, std::move(m));
}

void Cells::take_back(const wire::PeerMessage &p) {
  const auto item = passed_.answered(p.nonce);
  std::string_view rest = p.body;
  wire::CellMessage m;
  if (item && wire::read_cell(rest, m) == wire::PeerRead::Frame) port_.send(CellSend{-1, item->kept, std::move(m)});
}

void Cells::handle(const Route &from, int node, wire::CellMessage &&m) {
  const int cell = by_name(m.from);
  auto &c = cells_[static_cast<std::size_t>(cell)];
  if (node >= 0) {
    int leader = -1;
    if (m.kind == Kind::Summaries)
      for (std::size_t n = 0; n < node_addresses_.size(); ++n)
        if (node_addresses_[n] == m.address) leader = static_cast<int>(n);
    c.nodes.answered(node, leader, port_.now());
  }
  if (!lead_.leading()) return;
  switch (m.kind) {
  case Kind::Summary:
  case Kind::Summaries:
    c.heard_at = port_.now();
    c.term = std::max(c.term, m.term);
    c.lease_s = m.lease_s;
    c.view.kinds = std::move(m.kinds);
    c.view.wait_s = std::move(m.wait_s);
    if (m.kind == Kind::Summary) {
      c.knows_quotas = m.number & wire::kKnowsQuotas;
      auto r = message(Kind::Summaries, cell);
      r.number = m.number;
      summarize(r);
      reply(from, std::move(r));
    }
    return;
  case Kind::Want: {
    cells::Work work{m.need, m.types, m.spot, m.whole, m.tasks};
    auto r = message(Kind::Room, cell);
    r.number = m.number;
    if (lead_.active() && siblings_.answering() && operators_.cell_rules().borrow && indebted_.size() < kMostDebts)
      r.tasks = promises_.promise(m.number, m.need.cpus, m.tasks, m.whole, spare_cpus(work), port_.now());
    return reply(from, std::move(r));
  }
  case Kind::Room:
    if (const auto it = wanted_.find(m.number); it != wanted_.end()) {
      const Wanted w = it->second;
      wanted_.erase(it);
      lend(w, m.number, m.tasks);
    }
    return;
  case Kind::Offer:
    return offered(from, cell, std::move(m));
  case Kind::Taken: {
    int j = -1;
    Loan *l = loan(m.generation, j);
    if (!l || l->cell != cell) return;
    l->taken |= m.yes;
    if (m.yes || l->state.confirmed()) return;
    port_.log(LogLevel::Info, "loan_refused",
              {{"job", jobs_[j].spec.id}, {"cell", c.name}, {"why", m.body.substr(0, 100)}});
    l->state.close();
    return;
  }
  case Kind::Renew: {
    auto r = message(Kind::Renewed, cell);
    r.number = m.number;
    r.grant_s = grant_s(c.lease_s);
    for (auto g : m.generations) {
      int j = -1;
      Loan *l = loan(g, j);
      const bool known = l && l->cell == cell;
      if (known && m.lease_s > l->terms.lease_s) l->terms = terms(m.lease_s); // its settings have changed
      // Without news of cancellations nothing is said: neither that it goes on nor that it is over.
      if (known && l->state.offers() && !may_confirm(l->terms)) return;
      r.grant_s = known ? std::min(r.grant_s, l->terms.grant_s) : r.grant_s;
      if (known && l->state.confirm(port_.now(), m.term, l->terms))
        l->taken = true;
      else
        r.generations.push_back(g);
    }
    return reply(from, std::move(r));
  }
  case Kind::Renewed: {
    const auto it = c.renewals.find(m.number);
    if (it == c.renewals.end()) return;
    const auto [asked_at, about] = std::move(it->second);
    c.renewals.erase(it);
    c.term = std::max(c.term, m.term);
    cells::Terms t;
    t.grant_s = std::min(m.grant_s, kMostGrant);
    for (auto g : about) {
      int j = -1;
      Debt *d = debt(g, cell, j);
      if (!d) continue;
      if (std::find(m.generations.begin(), m.generations.end(), g) != m.generations.end())
        close(j, *d);
      else
        d->state.granted(m.number, asked_at, t);
    }
    return;
  }
  case Kind::Told:
    return told(from, cell, m);
  case Kind::Settled: {
    int j = -1;
    if (Debt *d = debt(m.generation, cell, j); d && d->ended) jobs_.settle(j);
    return;
  }
  case Kind::Recall: {
    int j = -1;
    if (Debt *d = debt(m.generation, cell, j)) close(j, *d);
    return;
  }
  case Kind::Quota:
  case Kind::QuotaApplied:
  case Kind::QuotaChange:
  case Kind::QuotaOutcome:
    if (take_quota_) take_quota_(cell, std::move(m));
    return;
  }
}

bool Cells::tell_quota(int cell, wire::CellMessage m) {
  return cells_[static_cast<std::size_t>(cell)].knows_quotas && send(cell, std::move(m));
}

// ---- what is told of this cell ----

// Machines by kind, with what they still have to do and what waits for them, job after job in the order of their turns:
// from it, how long each job's work will wait here.
void Cells::survey() {
  std::map<MachineKind, Lot> lots;
  fleet_.each([&](int, const Machine &m) {
    if (m.type < 0 || m.lost || m.returning || m.order || m.taken_at) return;
    Lot &l = lots[{m.type, m.zone, m.spot}];
    l.size = m.size;
    if (!m.heard) {
      ++l.starting;
      return;
    }
    if (m.silent(port_.now(), settings_.report_s)) return;
    ++l.machines;
    l.idle += m.slots.empty();
    l.cpus += m.size.cpus;
    l.free.add(m.size);
    l.free.add(m.used, -1);
    for (const auto &s : m.slots) {
      if (s.job < 0 || s.finished || jobs_[s.job].borrowed) continue;
      const double ran = s.running_since >= 0 ? port_.now() - s.running_since : 0;
      l.busy += std::max(3.0, jobs_[s.job].spec.estimate_s - ran) * s.need.cpus;
    }
  });
  for (std::size_t t = 0; t < catalogue_.types().size(); ++t)
    for (const auto &zone : catalogue_.types()[t].zones)
      for (bool spot : {false, true}) {
        const MachineKind kind(static_cast<int>(t), catalogue_.find_zone(zone), spot);
        if (std::get<1>(kind) < 0) continue;
        Lot &l = lots[kind];
        l.size = catalogue_.types()[t].size;
        l.refused = scaler_.refused(kind);
      }
  lots_.clear();
  for (auto &[kind, l] : lots) {
    l.kind = kind;
    lots_.push_back(l);
  }
  std::vector<int> order;
  jobs_.each([&](int j, const Job &n) {
    if (!n.borrowed && !n.cancelled && n.pending() > 0 && n.spec.waits_for.empty()) order.push_back(j);
  });
  std::sort(order.begin(), order.end(), [this](int a, int b) {
    return std::pair(-static_cast<int>(jobs_[a].spec.urgency), jobs_[a].submit_wall) <
           std::pair(-static_cast<int>(jobs_[b].spec.urgency), jobs_[b].submit_wall);
  });
  waits_.assign(jobs_.slots(), 0);
  std::fill(std::begin(wait_by_urgency_), std::end(wait_by_urgency_), 0);
  own_waiting_cpus_ = 0;
  const double cheapest = catalogue_.cheapest_cpu();
  for (int j : order) {
    const Job &n = jobs_[j];
    const auto work = work_of(j);
    const double est = std::max(3.0, n.spec.estimate_s), own = n.pending() * n.spec.need.cpus * est;
    double cpus = 0, load = 0, places = 0, soon = std::numeric_limits<double>::infinity();
    std::vector<Lot *> mine;
    for (auto &l : lots_) {
      if (!may_use(work, l)) continue;
      mine.push_back(&l);
      cpus += l.cpus;
      load += l.busy + l.ahead;
      if (l.ahead <= 0) {
        cells::View one;
        one.kinds.push_back({"", "", std::get<2>(l.kind), false, static_cast<std::uint32_t>(l.machines),
                             static_cast<std::uint32_t>(l.idle), l.size, l.free, 0, 1});
        auto any = work;
        any.types.clear();
        places += cells::room(any, one);
      }
      const auto &type = catalogue_.type(std::get<0>(l.kind));
      const bool dear = Catalogue::cpu_price(type, std::get<2>(l.kind)) > kDear * cheapest;
      if (l.starting > 0 || (!l.refused && !(dear && n.spec.urgency == Urgency::Low)))
        soon = std::min(soon, 1.1 * type.boot_s + 1);
    }
    double wait = cpus > 0 ? (load + 0.5 * own) / cpus : std::numeric_limits<double>::infinity();
    // A whole machine for each is free when what is on it ends, not when the average has ended.
    if (n.spec.shape == Shape::Gang && places < n.pending()) wait = std::max(wait, 0.5 * est);
    if (places >= n.pending()) wait = 0.25;
    wait = std::min(wait, soon);
    // Whatever the figures say: what has waited for so long without a start will wait on.
    const double age = port_.wall() - n.submit_wall;
    if (n.placed + n.done + n.unaccounted == 0 && age > kLongWait) wait = std::max(wait, 0.5 * age);
    waits_[static_cast<std::size_t>(j)] = std::isfinite(wait) ? wait : 1e6;
    auto &of_class = wait_by_urgency_[static_cast<std::size_t>(n.spec.urgency)];
    of_class = std::max(of_class, std::min(wait, 3600.0));
    own_waiting_cpus_ += n.pending() * n.spec.need.cpus;
    for (auto *l : mine)
      l->ahead += cpus > 0 ? own * l->cpus / cpus : 0;
  }
}

void Cells::summarize(wire::CellMessage &m) const {
  m.address = settings_.peer_listen;
  m.lease_s = settings_.lease_s;
  m.wait_s.assign(std::begin(wait_by_urgency_), std::end(wait_by_urgency_));
  for (const auto &l : lots_) {
    wire::CellKind k;
    const auto [type, zone, spot] = l.kind;
    k.type = catalogue_.type_name(type);
    k.zone = catalogue_.zone_name(zone);
    k.spot = spot;
    k.refused = l.refused;
    k.machines = static_cast<std::uint32_t>(l.machines);
    k.size = l.size;
    if (l.ahead <= 0) { // otherwise its own work waits for it
      k.free = l.free;
      k.idle = static_cast<std::uint32_t>(l.idle);
    }
    k.boot_s = catalogue_.type(type).boot_s;
    k.fetch_gb_per_s = catalogue_.type(type).fetch_gb_per_s;
    if (m.kinds.size() < wire::kCellMaxKinds) m.kinds.push_back(std::move(k));
  }
}

// ---- as home ----

// What a cancellation leaves after the borrower's workers have let go, and steps in between.
double Cells::grant_s(double lease_s) const {
  const double left = settings_.cancel_s - lease_s * (1 + kDrift) - kGrantSlack;
  return left < kLeastGrant ? 0 : std::min(kMostGrant, left);
}

cells::Terms Cells::terms(double lease_s) const {
  cells::Terms t;
  t.grant_s = grant_s(lease_s);
  t.lease_s = lease_s;
  t.drift = kDrift;
  return t;
}

// Only what would be over in time if its cancellation had been confirmed just after the last news. In a common outage
// as long as this leader answers its own workers.
bool Cells::may_confirm(const cells::Terms &t) const {
  return siblings_.answering() && t.grant_s > 0 &&
         port_.now() - cancellations_.known_until() + t.over_after_s() < settings_.cancel_s - 1;
}

bool Cells::may_leave(const JobSpec &spec) const {
  const auto &rules = operators_.cell_rules();
  auto among = [](const std::vector<std::string> &all, const std::string &x) {
    return std::find(all.begin(), all.end(), x) != all.end();
  };
  if (!rules.lend || spec.shape == Shape::Service || spec.team.starts_with('@') || !spec.waits_for.empty())
    return false;
  if (among(rules.stay_teams, spec.team) || among(rules.stay_classes, spec.job_class)) return false;
  return !spec.zone; // its zone is here
}

cells::Work Cells::work_of(int j) const {
  const Job &n = jobs_[j];
  cells::Work w;
  w.need = n.spec.need;
  if (n.spec.types) w.types = *n.spec.types;
  w.spot = n.spec.spot;
  w.whole = n.spec.shape == Shape::Gang || n.spec.one_zone || n.spec.spread;
  w.tasks = n.pending();
  w.estimate_s = n.spec.estimate_s;
  w.image_gb = n.spec.image_gb;
  w.urgency = n.spec.urgency;
  w.wait_here_s = static_cast<std::size_t>(j) < waits_.size() ? waits_[static_cast<std::size_t>(j)] : 0;
  return w;
}

static std::uint64_t pair_key(std::uint64_t serial, int cell) {
  return serial << 8 | static_cast<std::uint64_t>(cell & 255);
}

// Which waiting work would start sooner elsewhere. Those whose time is nearest come first; each cell is asked for room,
// which it promises, before anything is recorded.
void Cells::decide() {
  std::erase_if(wanted_, [this](const auto &w) { return port_.now() > w.second.until; });
  std::erase_if(not_again_, [this](const auto &x) { return port_.now() > x.second; });
  if (!operators_.cell_rules().lend || loan_jobs_.size() >= kMostLoans) return;
  std::vector<cells::View> views;
  bool any = false;
  for (auto &c : cells_) {
    views.push_back(c.view);
    views.back().age_s = port_.now() - c.heard_at;
    views.back().open = grant_s(c.lease_s) > 0;
    if (!views.back().open && c.lease_s > 0 && !std::exchange(c.told_no_room, true))
      port_.log(LogLevel::Error, "nothing_is_lent",
                {{"cell", c.name},
                 {"why", "cancel_s leaves no time for a grant beside the lease of its workers"},
                 {"cancel_s", settings_.cancel_s},
                 {"lease_s", c.lease_s}});
    any |= views.back().open && views.back().age_s < kRules.fresh_s;
  }
  if (!any) return;
  std::vector<std::pair<double, int>> order; // by the time left
  jobs_.each([&](int j, const Job &n) {
    int &eager = grown(eager_, j);
    const bool whole = n.spec.shape == Shape::Gang || n.spec.one_zone || n.spec.spread;
    if (n.borrowed || n.cancelled || n.ending || n.pending() == 0 || n.loans.size() >= Recorder::kMostLoans ||
        judge_.suspect(j) || n.team < 0 || ledger_.spent(n.team) || !may_leave(n.spec) ||
        (whole && (n.placed || n.unaccounted || n.lent))) {
      eager = 0;
      return;
    }
    const double age = std::max(0.0, port_.wall() - n.submit_wall);
    order.emplace_back(wishes_.due_after(n.spec, n.spec.deadline_s, age) - age - n.spec.estimate_s, j);
  });
  std::sort(order.begin(), order.end());
  for (auto [left, j] : order) {
    if (wanted_.size() >= kMostWanted) return;
    const Job &n = jobs_[j];
    auto mine = views;
    for (std::size_t c = 0; c < mine.size(); ++c) {
      mine[c].open &= !not_again_.contains(pair_key(n.serial, static_cast<int>(c)));
      for (const auto &l : n.loans) // one hand-over of a job to a cell at a time
        mine[c].open &= l.cell != cells_[c].name;
    }
    const auto work = work_of(j);
    auto choice = cells::choose(work, mine, kRules);
    if (settings_.cells.at_random && work.wait_here_s > 1) {
      const auto any = static_cast<std::size_t>(port_.random() * static_cast<double>(mine.size()));
      if (mine[any].open) choice = cells::Choice{static_cast<int>(any), 0, 0};
    }
    int &eager = grown(eager_, j);
    eager = choice ? eager + 1 : 0;
    if (eager < kEager) continue; // not on one look alone
    // What would start here meanwhile stays.
    const double share = std::clamp(1 - choice->wait_s / std::max(0.1, work.wait_here_s), 0.0, 1.0);
    const auto tasks = work.whole ? work.tasks : std::max(kLeastLent, static_cast<std::uint32_t>(work.tasks * share));
    const auto most = team_allows(j);
    if (most == 0 || (work.whole && most < work.tasks)) continue;
    want(j, choice->cell, work, std::min(tasks, most));
    eager = 0;
  }
}

// How many more of a job's tasks its team's limit allows, all that may be on a machine anywhere counted.
std::uint32_t Cells::team_allows(int j) const {
  const Job &n = jobs_[j];
  const auto room = quotas_.room()[static_cast<std::size_t>(n.team)];
  double most = 1e6;
  if (room.cpus >= 0 && n.spec.need.cpus > 0) most = std::min(most, std::floor(room.cpus / n.spec.need.cpus + 1e-9));
  if (room.gpus >= 0 && n.spec.need.gpus > 0) most = std::min(most, std::floor(room.gpus / n.spec.need.gpus + 1e-9));
  return static_cast<std::uint32_t>(most);
}

void Cells::want(int j, int cell, const cells::Work &work, std::uint32_t tasks) {
  const std::uint64_t ticket = ++numbers_;
  auto m = message(Kind::Want, cell);
  m.number = ticket;
  m.need = work.need;
  m.tasks = tasks;
  m.types = work.types;
  m.spot = work.spot;
  m.whole = work.whole;
  not_again_[pair_key(jobs_[j].serial, cell)] = port_.now() + kNoRoomPause;
  if (send(cell, std::move(m))) wanted_[ticket] = {j, cell, jobs_[j].serial, tasks, port_.now() + 3};
}

void Cells::lend(const Wanted &w, std::uint64_t ticket, std::uint32_t tasks) {
  const Job *n = jobs_.find(w.job);
  if (!n || n->serial != w.serial || n->cancelled || n->ending || !lead_.active() || tasks == 0 || tasks > w.tasks)
    return;
  const bool whole = n->spec.shape == Shape::Gang || n->spec.one_zone || n->spec.spread;
  if (n->pending() == 0 || n->loans.size() >= Recorder::kMostLoans || (whole && tasks < n->pending())) return;
  // What may run there counts against its team's limit from now on.
  tasks = std::min(tasks, team_allows(w.job));
  if (tasks == 0 || (whole && tasks < n->pending())) return;
  // The last of those that wait, in few pieces: the first will have their turn here.
  Ranges ranges;
  std::uint32_t got = 0;
  for (std::uint32_t i = n->spec.tasks; i-- > 0 && got < tasks;) {
    if (n->tasks[i].state != TaskState::Pending) continue;
    if (!ranges.empty() && ranges.back().first == i + 1)
      ranges.back().first = i;
    else if (ranges.size() < kMostRanges)
      ranges.emplace_back(i, i + 1);
    else
      break;
    ++got;
  }
  std::reverse(ranges.begin(), ranges.end());
  if (got == 0 || (whole && got < n->pending())) return;
  const auto &c = cells_[static_cast<std::size_t>(w.cell)];
  const cells::Generation g = (lead_.term() << 20) + ++loans_made_;
  grown(loans_, w.job)
      .push_back({.state = cells::AtHome(g, lead_.term()),
                  .cell = w.cell,
                  .made_at = port_.now(),
                  .ticket = ticket,
                  .terms = terms(c.lease_s)});
  loan_jobs_[g] = w.job;
  not_again_[pair_key(n->serial, w.cell)] = port_.now() + kNotAgain;
  port_.log(LogLevel::Info, "lending",
            {{"job", n->spec.id},
             {"class", n->spec.job_class},
             {"tasks", got},
             {"cell", c.name},
             {"expected_wait_s", waits_[static_cast<std::size_t>(w.job)]}});
  jobs_.lend(w.job, {g, c.name, std::move(ranges), c.lease_s, false, {}});
}

Cells::Loan *Cells::loan(std::uint64_t generation, int &job) {
  const auto it = loan_jobs_.find(generation);
  if (it == loan_jobs_.end()) return nullptr;
  job = it->second;
  for (auto &l : loans_[static_cast<std::size_t>(job)])
    if (l.state.generation() == generation) return &l;
  return nullptr;
}

wire::CellMessage Cells::offer(int j, const Loan &l) const {
  const Job &n = jobs_[j];
  auto m = message(Kind::Offer, l.cell);
  m.number = l.ticket;
  m.generation = l.state.generation();
  JobSpec spec = n.spec;
  const double age = std::max(0.0, port_.wall() - n.submit_wall);
  spec.deadline_s = wishes_.wanted_after(n.spec, n.spec.deadline_s)
                        ? std::optional(std::max(1.0, wishes_.due_after(n.spec, n.spec.deadline_s, age) - age))
                        : std::nullopt;
  m.body = wire::encode(wire::to_json(spec));
  for (const auto &x : n.loans)
    if (x.generation == m.generation) m.ranges = x.tasks;
  return m;
}

// Each loan takes its next step: offered, called back, lapsed, gone.
void Cells::tend_loans() {
  std::vector<std::pair<int, std::uint64_t>> gone, lapsed;
  const double now = port_.now();
  for (const auto &[generation, j] : loan_jobs_) {
    int job = j;
    Loan &l = *loan(generation, job);
    const Job &n = jobs_[j];
    const auto record =
        std::find_if(n.loans.begin(), n.loans.end(), [g = generation](const auto &x) { return x.generation == g; });
    if (l.dropped || record == n.loans.end() || record->lapsed) continue;
    if (l.state.offers() && !l.taken && now >= l.next_offer) {
      l.next_offer = now + kOfferAgain;
      if (now - l.made_at > kOfferFor)
        l.state.close();
      else
        send(l.cell, offer(j, l));
    }
    // Nobody has asked on for so long that nothing of it runs there any more.
    if (l.state.offers() && l.state.confirmed() && now >= l.state.until()) l.state.close();
    if (!l.state.closing() && l.taken && !l.progressed) { // taken, not begun, and there is room here again
      const bool room = waits_.size() > static_cast<std::size_t>(j) && waits_[static_cast<std::size_t>(j)] < 1 &&
                        own_waiting_cpus_ < 1;
      if (!room)
        l.idle_since = -1;
      else if (l.idle_since < 0)
        l.idle_since = now;
      if (room && now - l.idle_since > kHomeHasRoom) l.state.close();
    }
    if (l.state.closing() && now >= l.next_recall && l.state.confirmed()) {
      l.next_recall = now + kOfferAgain;
      auto m = message(Kind::Recall, l.cell);
      m.generation = generation;
      send(l.cell, std::move(m));
    }
    if (l.state.over(now)) (l.state.confirmed() ? lapsed : gone).emplace_back(j, generation);
  }
  for (auto [j, g] : lapsed) {
    port_.log(LogLevel::Info, "loan_lapsed", {{"job", jobs_[j].spec.id}, {"why", "its cell has not asked on"}});
    jobs_.lapse_loan(j, g);
  }
  for (auto [j, g] : gone)
    if (Loan *l = loan(g, j)) drop(j, *l);
}

// Once it is recorded that it is over, its borrower is told so. One that was never confirmed has nothing to tell, and
// may never have been recorded.
void Cells::drop(int j, Loan &l) {
  const auto g = l.state.generation();
  l.dropped = true;
  l.running = 0;
  const bool forget = !l.state.confirmed();
  jobs_.drop_loan(j, g);
  if (forget) on(LoanDropped{j, g});
}

void Cells::on(const LoanDropped &e) {
  std::erase_if(grown(loans_, e.job), [&e](const Loan &l) { return l.state.generation() == e.generation; });
  loan_jobs_.erase(e.generation);
}

// How a loan gets on there, or that it has ended. What is done there is done, unless it was started again here.
void Cells::told(const Route &from, int cell, const wire::CellMessage &m) {
  int j = -1;
  Loan *l = loan(m.generation, j);
  if (!l || l->cell != cell) {
    if (!m.yes || !lead_.active()) return;
    auto r = message(Kind::Settled, cell); // its end is recorded, or was never known
    r.generation = m.generation;
    return reply(from, std::move(r));
  }
  const Job &n = jobs_[j];
  const auto record =
      std::find_if(n.loans.begin(), n.loans.end(), [&](const auto &x) { return x.generation == m.generation; });
  if (l->dropped || record == n.loans.end() || !lead_.active()) return; // being recorded; it is told again
  const Ranges mine = record->tasks;
  const bool lapsed = record->lapsed;
  const auto used = m.usage - record->charged;
  // Of an attempt that is counted twice, or a word that comes late, nothing is taken.
  if (std::all_of(used.v.begin(), used.v.end(), [](auto x) { return x >= 0; }) && !used.none()) {
    ledger_.add(j, used);
    jobs_.charge_loan(j, m.generation, m.usage);
    jobs_.changed(j, false);
  }
  auto inside = [&](std::uint32_t i) {
    return std::any_of(mine.begin(), mine.end(), [i](auto r) { return i >= r.first && i < r.second; });
  };
  for (auto [a, b] : m.ranges)
    for (auto i = a; i < b && i < n.spec.tasks; ++i) {
      const auto state = n.tasks[i].state;
      if (inside(i) && (state == TaskState::Lent || (lapsed && state == TaskState::Pending && !n.cancelled))) {
        l->progressed = true;
        jobs_.finish(j, i);
      }
    }
  l->running = lapsed || m.yes ? 0 : m.running;
  l->progressed |= m.running > 0;
  std::uint32_t running = 0;
  for (const auto &x : loans_[static_cast<std::size_t>(j)])
    running += x.running;
  jobs_.set_lent_running(j, running);
  if (!m.yes) return;
  if (!lapsed && !l->state.ended(m.term, m.other_term)) return;
  port_.log(LogLevel::Info, "loan_ended",
            {{"job", n.spec.id}, {"cell", cells_[static_cast<std::size_t>(cell)].name}, {"late", lapsed}});
  drop(j, *l);
}

// ---- as borrower ----

bool Cells::may_use(const cells::Work &work, const Lot &l) const {
  wire::CellKind k;
  k.type = catalogue_.type_name(std::get<0>(l.kind));
  k.spot = std::get<2>(l.kind);
  k.size = l.size;
  return cells::allowed(work, k);
}

// CPUs for such work that own work does not need: places that are free, machine by machine, and what may be rented for
// others.
double Cells::spare_cpus(const cells::Work &work) const {
  double free = 0, up = 0, borrowed = 0;
  bool rentable = false;
  std::set<MachineKind> open;
  for (const auto &l : lots_) {
    up += l.cpus;
    if (!may_use(work, l) || l.ahead > 0) continue;
    open.insert(l.kind);
    rentable |= !l.refused;
  }
  fleet_.each([&](int, const Machine &m) {
    if (!m.heard || m.lost || m.returning || m.order || m.taken_at || m.draining ||
        m.silent(port_.now(), settings_.report_s) || !open.contains({m.type, m.zone, m.spot}))
      return;
    Resources room = m.size;
    room.add(m.used, -1);
    for (; work.need.fits(room); free += work.need.cpus)
      room.add(work.need, -1);
  });
  for (int j : indebted_) {
    const Job &n = jobs_[j];
    borrowed += (n.pending() + n.placed) * n.spec.need.cpus;
    free -= n.pending() * n.spec.need.cpus;
  }
  const double rent = rentable ? std::max(kBorrowLeast, kBorrowShare * up) : 0;
  return std::max(0.0, std::min(operators_.cell_rules().most_borrowed_cpus - borrowed, std::max(0.0, free) + rent));
}

void Cells::offered(const Route &from, int cell, wire::CellMessage &&m) {
  auto answer = [this, from, cell, generation = m.generation, number = m.number](bool yes, std::string_view why) {
    auto r = message(Kind::Taken, cell);
    r.number = number;
    r.generation = generation;
    r.yes = yes;
    r.body = why;
    reply(from, std::move(r));
  };
  int known = -1;
  if (debt(m.generation, cell, known)) return answer(true, "");
  if (taking_.contains(m.generation)) return;
  if (!lead_.active() || !siblings_.answering()) return; // asked again
  auto spec = wire::decode_job(m.body);
  auto *job = std::get_if<JobSpec>(&spec);
  if (!job || m.ranges.back().second > job->tasks) return answer(false, "the job cannot be read");
  if (jobs_.index(job->id) >= 0) return answer(false, "its id is in use here");
  if (!operators_.cell_rules().borrow) return answer(false, "nothing is borrowed here");
  if (indebted_.size() >= kMostDebts) return answer(false, "too much is borrowed already");
  std::uint32_t tasks = 0;
  for (auto [a, b] : m.ranges)
    tasks += b - a;
  if (!promises_.take(m.number, tasks, port_.now())) return answer(false, "no room was promised for it");
  OpenRecord record{std::move(*job), port_.wall(), false, Lent{m.from, m.generation, m.ranges}};
  record.spec.zone.reset();
  const std::string key = "open/" + record.spec.id, end = "end/" + record.spec.id;
  auto value = wire::to_json(record);
  if (!budget_.fits(value, StoreBudget::kRoomForMark)) return answer(false, "its description is too long to be kept");
  budget_.take_leader_writes(port_.now(), 1);
  taking_.insert(m.generation);
  // The record comes before the yes; an id that anybody here uses or has used is not mixed with it.
  port_.store(StoreCommit{{{"leader", lead_.term()}, {key, 0}, {end, 0}}, {{key, value, 0}}}, 1.5,
              [this, answer, key, value, g = m.generation, epoch = lead_.epoch()](const wire::StoreReply &r) {
                if (epoch != lead_.epoch()) return;
                taking_.erase(g);
                if (r.status == 409) return answer(false, "its id is in use here");
                if (r.status != 200)
                  return; // if it is there all the same, the watch tells, and the next offer gets a yes
                recorder_.take_open(key, value, r.revision);
                answer(true, "");
              });
}

Cells::Debt *Cells::debt(std::uint64_t generation, int home, int &job) {
  const auto it = debt_jobs_.find({home, generation});
  if (it == debt_jobs_.end()) return nullptr;
  job = it->second;
  return &*debts_[static_cast<std::size_t>(job)];
}

void Cells::close(int j, Debt &d) {
  d.state.close();
  if (!jobs_[j].cancelled) jobs_.cancel(j); // its tasks stop; that nobody here has cancelled it is not recorded
}

void Cells::expire() {
  if (!lead_.leading()) return;
  for (int j : indebted_) {
    auto &d = *debts_[static_cast<std::size_t>(j)];
    d.state.tick(port_.now());
    const double patience = d.restored ? kSureWithin : kFirstGrant;
    if (d.state.closed() || (!d.state.granted_once() && port_.now() - d.known_at > patience)) close(j, d);
    jobs_.pause(j, d.draining || !d.state.may_run(port_.now()));
  }
}

bool Cells::unsure_of(const WorkerReport &r) const {
  if (indebted_.empty()) return false;
  return std::any_of(r.tasks.begin(), r.tasks.end(), [this](const TaskReport &t) {
    const int j = jobs_.index(t.job);
    const auto *d = j >= 0 && static_cast<std::size_t>(j) < debts_.size() && debts_[static_cast<std::size_t>(j)]
                        ? &*debts_[static_cast<std::size_t>(j)]
                        : nullptr;
    return d && !d->state.granted_once() && !d->state.closed();
  });
}

void Cells::tend_debts() {
  if (indebted_.empty()) return;
  const double now = port_.now();
  const auto counts = fleet_.running_counts();
  for (std::size_t k = 0; k < indebted_.size(); ++k) {
    const int j = indebted_[k];
    auto &d = *debts_[static_cast<std::size_t>(j)];
    const Job &n = jobs_[j];
    // Not begun for long, or own work waits: what has not begun goes back, what runs may end.
    const bool waits = n.pending() > 0 && !d.state.closed() && (n.placed == 0 || own_waiting_cpus_ > 0);
    if (!waits)
      d.idle_since = -1;
    else if (d.idle_since < 0)
      d.idle_since = now;
    if (waits && now - d.idle_since > kUnstarted && !std::exchange(d.draining, true)) {
      jobs_.pause(j, true);
      fleet_.withdraw(j); // or it would keep a place for a start that is never sent
    }
    const bool still = n.placed == 0 && n.unaccounted == 0;
    if (d.draining && still) close(j, d);
    d.ended = still && (d.state.closed() || n.done == n.spec.tasks);
    // An id that an own user wants is not kept waiting for another cell's answer.
    if (d.ended && d.wanted) jobs_.settle(j);
    const std::uint32_t running = counts[static_cast<std::size_t>(j)];
    const auto used = ledger_.on() ? ledger_.usage(j) : accounts::Usage{};
    const bool news = d.ended || n.done != d.told_done || running != d.told_running || used.held() != d.told_held;
    if (n.ending || now < d.next_told || (!news && now < d.next_told + kToldAtLeast - kToldEvery)) continue;
    if (d.home < 0) continue;
    auto m = message(Kind::Told, d.home);
    m.generation = d.state.generation();
    m.other_term = cells_[static_cast<std::size_t>(d.home)].term;
    m.yes = d.ended;
    m.running = running;
    m.usage = used;
    std::vector<char> done(n.spec.tasks, 0);
    for (auto [a, b] : n.borrowed->tasks)
      for (auto i = a; i < b && i < n.spec.tasks; ++i)
        done[i] = n.tasks[i].state == TaskState::Done;
    m.ranges = narrow(make_ranges(n.spec.tasks, [&](std::uint32_t i) { return done[i] != 0; }), wire::kCellMaxRanges);
    d.next_told = now + (d.ended ? 1.0 : kToldEvery);
    if (!send(d.home, std::move(m))) continue;
    d.told_done = n.done;
    d.told_running = running;
    d.told_held = used.held();
  }
}

void Cells::renew(int home) {
  auto &c = cells_[static_cast<std::size_t>(home)];
  std::vector<std::uint64_t> about;
  bool urgent = false;
  for (int j : indebted_) {
    const auto &d = *debts_[static_cast<std::size_t>(j)];
    if (d.home != home || d.state.closed()) continue;
    about.push_back(d.state.generation());
    urgent |= !d.state.granted_once();
  }
  if (about.empty() || (port_.now() < c.next_renew && !(urgent && port_.now() > c.next_renew - 2))) return;
  c.next_renew = port_.now() + kMostGrant * kRenewShare;
  std::erase_if(c.renewals, [this](const auto &r) { return port_.now() - r.second.first > kMostGrant; });
  for (std::size_t i = 0; i < about.size(); i += wire::kCellMaxGenerations) {
    auto m = message(Kind::Renew, home);
    m.number = ++c.question;
    m.lease_s = settings_.lease_s;
    m.generations.assign(about.begin() + static_cast<long>(i),
                         about.begin() + static_cast<long>(std::min(about.size(), i + wire::kCellMaxGenerations)));
    c.renewals[m.number] = {port_.now(), m.generations};
    send(home, std::move(m));
  }
}

// ---- time and events ----

void Cells::tick() {
  if (!on()) return;
  for (const auto &item : passed_.give_up(port_.now()))
    (void)item; // whoever asked asks again
  if (!lead_.active() || port_.now() < next_tick_) return;
  next_tick_ = port_.now() + kTick;
  bool near = false;
  for (int c = 0; c < static_cast<int>(cells_.size()); ++c) {
    auto &cell = cells_[static_cast<std::size_t>(c)];
    cell.nodes.tick(port_.now(), port_.random());
    near |= port_.now() - cell.heard_at < kRules.fresh_s;
    if (port_.now() >= cell.next_summary) {
      cell.next_summary = port_.now() + kSummaryEvery;
      auto m = message(Kind::Summary, c);
      m.number = ++numbers_ | (settings_.configuration ? wire::kKnowsQuotas : 0);
      summarize(m);
      send(c, std::move(m));
    }
  }
  if (port_.now() >= next_decision_) {
    next_decision_ = port_.now() + kDecideEvery;
    if (near || !loan_jobs_.empty() || !indebted_.empty()) survey();
    if (near && port_.now() - lead_.leading_since() > 5) decide();
  }
  tend_loans();
  tend_debts();
  for (int c = 0; c < static_cast<int>(cells_.size()); ++c)
    renew(c);
}

void Cells::on(const LoanRecorded &e) {
  int j = -1;
  if (Loan *l = loan(e.generation, j)) l->state.recorded();
}

void Cells::on(const JobAccepted &e) {
  grown(eager_, e.job) = 0;
  grown(loans_, e.job).clear();
  const Job &n = jobs_[e.job];
  grown(debts_, e.job).reset();
  if (!n.borrowed) return;
  const int home = by_name(n.borrowed->home);
  const auto asked = home >= 0 ? cells_[static_cast<std::size_t>(home)].question : 0;
  grown(debts_, e.job) = Debt{.state = cells::AtBorrower(n.borrowed->generation, asked),
                              .home = home,
                              .known_at = port_.now(),
                              .restored = !lead_.leading()};
  indebted_.push_back(e.job);
  debt_jobs_[{home, n.borrowed->generation}] = e.job;
  if (home >= 0) cells_[static_cast<std::size_t>(home)].next_renew = 0;
  if (home >= 0 && !n.cancelled) return;
  // Nobody confirms it, as its cell is not in the features file any more; or somebody here wants its id.
  debts_[static_cast<std::size_t>(e.job)]->state.close();
  debts_[static_cast<std::size_t>(e.job)]->wanted = true;
}

void Cells::on(const JobCancelled &e) {
  const Job &n = jobs_[e.job];
  if (n.borrowed) {
    auto &d = debts_[static_cast<std::size_t>(e.job)];
    if (!d) return;
    d->wanted |= !d->state.closed(); // by its record: somebody here wants the id
    d->state.close();
    return;
  }
  for (auto &l : grown(loans_, e.job))
    l.state.close();
}

void Cells::on(const JobOver &e) {
  for (const auto &l : grown(loans_, e.job))
    loan_jobs_.erase(l.state.generation());
  grown(loans_, e.job).clear();
  if (auto &d = grown(debts_, e.job)) {
    std::erase(indebted_, e.job);
    debt_jobs_.erase({d->home, d->state.generation()});
    d.reset();
  }
}

void Cells::on(const TermBegun &) {
  if (!on()) return;
  next_tick_ = 0;
  jobs_.each([this](int j, const Job &n) {
    for (const auto &r : n.loans) {
      // A cell that is not in the features file any more: what it runs is over by the bound, and nobody tells.
      const int cell = by_name(r.cell);
      auto bound = terms(r.lease_s); // of what it may have been granted, also under other settings
      bound.grant_s = kMostGrant;
      Loan l{.state = cells::AtHome::restored(r.generation, lead_.term(), port_.now() + kStatementLife, bound),
             .cell = cell,
             .made_at = port_.now(),
             .taken = true,
             .progressed = true,
             .terms = terms(r.lease_s)};
      // Guards against work that runs in two cells: what has lapsed may have been started here, and is never confirmed.
      if (n.cancelled || cell < 0 || r.lapsed) l.state.close();
      grown(loans_, j).push_back(std::move(l));
      loan_jobs_[r.generation] = j;
    }
  });
}

void Cells::on(const TermEnded &) {
  loans_.clear();
  loan_jobs_.clear();
  debts_.clear();
  indebted_.clear();
  debt_jobs_.clear();
  taking_.clear();
  wanted_.clear();
  not_again_.clear();
  eager_.clear();
  waits_.clear();
  for (auto &c : cells_)
    c.renewals.clear();
}

std::vector<Cells::State> Cells::states() const {
  std::vector<State> out;
  for (const auto &c : cells_) {
    State s{c.name, c.heard_at < -1e8 ? -1 : port_.now() - c.heard_at, c.lease_s <= 0 || grant_s(c.lease_s) > 0};
    jobs_.each([&](int j, const Job &n) {
      for (const auto &l : n.loans)
        if (l.cell == c.name && !l.lapsed) {
          ++s.loans;
          for (auto [a, b] : l.tasks)
            for (auto i = a; i < b; ++i)
              s.lent_tasks += n.tasks[i].state == TaskState::Lent;
        }
      if (!n.borrowed || n.borrowed->home != c.name) return;
      ++s.debts;
      s.borrowed_tasks += n.pending() + n.placed + n.unaccounted;
      (void)j;
    });
    out.push_back(std::move(s));
  }
  return out;
}

} // namespace loft::core
