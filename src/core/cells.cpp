// Cells: the frames between them, time and events. What it does as home and as borrower is in files of its own.
#include "cells_terms.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace loft::core {

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
