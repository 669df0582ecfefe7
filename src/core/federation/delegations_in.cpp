// Cells, as the borrower: what is taken, kept confirmed, told of and given back.
#include "federation_limits.hpp"

#include <algorithm>

#include "loftrouter/wire/storage_keys.hpp"

#include "loftrouter/core/runtime/ranges.hpp"

namespace loftrouter::core {

bool CellFederation::may_use(const cells::Work &work, const Lot &lot) const {
  wire::CellKind k;
  k.type = catalog_.type_name(lot.kind.type);
  k.spot = lot.kind.spot;
  k.size = lot.size;
  return cells::allowed(work, k);
}

// CPUs for such work that own work does not need: places that are free, machine by machine, and what may be rented for
// others.
double CellFederation::spare_cpus(const cells::Work &work) const {
  double free = 0, up = 0, delegated_here = 0;
  bool rentable = false;
  std::set<MachineKind> open;
  for (const auto &l : lots_) {
    up += l.cpus;
    if (!may_use(work, l) || l.ahead > 0) continue;
    open.insert(l.kind);
    rentable |= !l.refused;
  }
  workers_.each([&](MachineIndex, const Machine &machine) {
    if (!machine.available() || machine.returning() || machine.admin_state || machine.reclaim_at ||
        machine.draining() || machine.heartbeat_overdue(runtime_.now(), settings_.heartbeat_interval_s) ||
        !open.contains({machine.type, machine.zone, machine.spot}))
      return;
    Resources room = machine.size;
    room.add(machine.used, -1);
    for (; work.need.fits(room); free += work.need.cpus)
      room.add(work.need, -1);
  });
  for (JobIndex job_index : inbound_list_) {
    const Job &job = jobs_[job_index];
    delegated_here += (job.pending() + job.placed) * job.spec.need.cpus;
    free -= job.pending() * job.spec.need.cpus;
  }
  const double rent = rentable ? std::max(kMinAcceptedCpus, kAcceptShare * up) : 0;
  return std::max(0.0,
                  std::min(operators_.cell_rules().max_accepted_cpus - delegated_here, std::max(0.0, free) + rent));
}

void CellFederation::offered(const Route &from, int cell, wire::CellMessage &&m) {
  auto answer = [this, from, cell, generation = m.generation, number = m.number](bool yes, std::string_view why) {
    auto r = message(Kind::OfferReply, cell);
    r.number = number;
    r.generation = generation;
    r.accepted = yes;
    r.body = why;
    reply(from, std::move(r));
  };
  JobIndex known;
  if (inbound(m.generation, cell, known)) return answer(true, "");
  if (taking_.contains(m.generation)) return;
  if (!leadership_.active() || !replicas_.may_answer_heartbeats()) return; // asked again
  auto spec = wire::decode_job(m.body);
  auto *job = std::get_if<JobSpec>(&spec);
  if (!job || m.ranges.back().second > job->tasks) return answer(false, "the job cannot be read");
  if (jobs_.index(job->id).valid()) return answer(false, "its id is in use here");
  if (!operators_.cell_rules().accept) return answer(false, "nothing is borrowed here");
  if (inbound_list_.size() >= kMaxInboundDelegations) return answer(false, "too much is borrowed already");
  std::uint32_t tasks = 0;
  for (auto [a, b] : m.ranges)
    tasks += b - a;
  if (!capacity_grants_.take(m.number, tasks, runtime_.now())) return answer(false, "no room was promised for it");
  OpenRecord record{std::move(*job), runtime_.wall(), false, DelegationSource{m.from, m.generation, m.ranges}};
  record.spec.zone.reset();
  const std::string key = wire::open_key(record.spec.id), end = wire::end_key(record.spec.id);
  auto value = wire::to_json(record);
  if (!state_limits_.fits(value, StateServiceLimits::kCancellationMarkRoom))
    return answer(false, "its description is too long to be kept");
  state_limits_.take_leader_writes(runtime_.now(), 1);
  taking_.insert(m.generation);
  // The record comes before the yes; an id that anybody here uses or has used is not mixed with it.
  runtime_.store(
      StoreCommit{{{std::string(wire::kLeaderKey), leadership_.term()}, {key, 0}, {end, 0}}, {{key, value, 0}}}, 1.5,
      [this, answer, key, value, g = m.generation, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
        if (epoch != leadership_.epoch()) return;
        taking_.erase(g);
        if (reply.status == 409) return answer(false, "its id is in use here");
        if (reply.status != 200) return; // if it is there all the same, the watch tells, and the next offer gets a yes
        state_writer_.load_open_record(key, value, reply.revision);
        answer(true, "");
      });
}

CellFederation::InboundDelegation *CellFederation::inbound(std::uint64_t generation, int origin, JobIndex &job_index) {
  const auto it = inbound_jobs_.find({origin, generation});
  if (it == inbound_jobs_.end()) return nullptr;
  job_index = it->second;
  return &*inbound_[job_index.position()];
}

void CellFederation::close(JobIndex job_index, InboundDelegation &inbound) {
  inbound.state.close();
  if (!jobs_[job_index].cancelled)
    jobs_.cancel(job_index); // its tasks stop; that nobody here has cancelled it is not recorded
}

void CellFederation::expire() {
  if (!leadership_.leading()) return;
  for (JobIndex job_index : inbound_list_) {
    auto &d = *inbound_[job_index.position()];
    d.state.tick(runtime_.now());
    const double patience = d.restored ? kSureWithin : kFirstGrant;
    if (d.state.closed() || (!d.state.granted_once() && runtime_.now() - d.known_at > patience)) close(job_index, d);
    jobs_.pause(job_index, d.draining || !d.state.may_run(runtime_.now()));
  }
}

bool CellFederation::unsure_of(const Heartbeat &heartbeat) const {
  if (inbound_list_.empty()) return false;
  return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [this](const TaskStatus &task) {
    const JobIndex job_index = jobs_.index(task.job);
    const auto *d = job_index.valid() && job_index.position() < inbound_.size() && inbound_[job_index.position()]
                        ? &*inbound_[job_index.position()]
                        : nullptr;
    return d && !d->state.granted_once() && !d->state.closed();
  });
}

void CellFederation::tend_inbound() {
  if (inbound_list_.empty()) return;
  const double now = runtime_.now();
  const auto counts = workers_.running_tasks_by_job();
  for (std::size_t k = 0; k < inbound_list_.size(); ++k) {
    const JobIndex job_index = inbound_list_[k];
    auto &d = *inbound_[job_index.position()];
    const Job &job = jobs_[job_index];
    // Not begun for long, or own work waits: what has not begun goes back, what runs may end.
    const bool waits = job.pending() > 0 && !d.state.closed() && (job.placed == 0 || own_waiting_cpus_ > 0);
    if (!waits)
      d.idle_since = -1;
    else if (d.idle_since < 0)
      d.idle_since = now;
    if (waits && now - d.idle_since > kUnstarted && !std::exchange(d.draining, true)) {
      jobs_.pause(job_index, true);
      workers_.release_unsent(job_index); // or it would keep a place for a start that is never sent
    }
    const bool still = job.placed == 0 && job.unaccounted == 0;
    if (d.draining && still) close(job_index, d);
    d.ended = still && (d.state.closed() || job.done == job.spec.tasks);
    // An id that an own user wants is not kept waiting for another cell's answer.
    if (d.ended && d.wanted) jobs_.confirm_end_by_origin(job_index);
    const std::uint32_t running = counts[job_index.position()];
    const auto used = ledger_.enabled() ? ledger_.current_usage(job_index) : accounts::Usage{};
    const bool news = d.ended || job.done != d.told_done || running != d.told_running || used.held() != d.told_held;
    if (job.ending || now < d.next_told || (!news && now < d.next_told + kToldAtLeast - kToldEvery)) continue;
    if (d.origin < 0) continue;
    auto m = message(Kind::Progress, d.origin);
    m.generation = d.state.generation();
    m.origin_term = cells_[static_cast<std::size_t>(d.origin)].term;
    m.ended = d.ended;
    m.running = running;
    m.usage = used;
    std::vector<char> done(job.spec.tasks, 0);
    for (auto [a, b] : job.delegated_here->tasks)
      for (auto i = a; i < b && i < job.spec.tasks; ++i)
        done[i] = job.tasks[i].state == TaskState::Done;
    m.ranges = narrow(make_ranges(job.spec.tasks, [&](std::uint32_t i) { return done[i] != 0; }), wire::kCellMaxRanges);
    d.next_told = now + (d.ended ? 1.0 : kToldEvery);
    if (!send(d.origin, std::move(m))) continue;
    d.told_done = job.done;
    d.told_running = running;
    d.told_held = used.held();
  }
}

void CellFederation::renew(int origin) {
  auto &c = cells_[static_cast<std::size_t>(origin)];
  std::vector<std::uint64_t> about;
  bool urgent = false;
  for (JobIndex job_index : inbound_list_) {
    const auto &d = *inbound_[job_index.position()];
    if (d.origin != origin || d.state.closed()) continue;
    about.push_back(d.state.generation());
    urgent |= !d.state.granted_once();
  }
  if (about.empty() || (runtime_.now() < c.next_renew && !(urgent && runtime_.now() > c.next_renew - 2))) return;
  c.next_renew = runtime_.now() + kMaxGrant * kRenewShare;
  std::erase_if(c.renewals, [this](const auto &r) { return runtime_.now() - r.second.first > kMaxGrant; });
  for (std::size_t i = 0; i < about.size(); i += wire::kCellMaxGenerations) {
    auto m = message(Kind::Renewal, origin);
    m.number = ++c.question;
    m.lease_s = settings_.lease_s;
    m.generations.assign(about.begin() + static_cast<long>(i),
                         about.begin() + static_cast<long>(std::min(about.size(), i + wire::kCellMaxGenerations)));
    c.renewals[m.number] = {runtime_.now(), m.generations};
    send(origin, std::move(m));
  }
}

} // namespace loftrouter::core
