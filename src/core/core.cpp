#include "loftrouter/core/core.hpp"

#include <cassert>

namespace loftrouter::core {

Core::Core(Settings settings, std::uint64_t seed)
    : settings_(with_cell_teams(std::move(settings))), runtime_(seed), objectives_(settings_),
      catalog_(settings_.zones), configuration_(runtime_, events_, settings_),
      operators_(runtime_, events_, configuration_), state_limits_(settings_),
      leadership_(runtime_, events_, settings_, catalog_), jobs_(runtime_, events_, settings_), ended_(events_),
      dependencies_(runtime_, settings_, state_limits_, leadership_, jobs_, ended_),
      failure_attribution_(runtime_, events_, jobs_, operators_),
      job_reasons_(runtime_, jobs_, dependencies_, failure_attribution_, objectives_),
      ledger_(runtime_, settings_, catalog_, jobs_, operators_),
      state_writer_({.runtime = runtime_,
                     .events = events_,
                     .settings = settings_,
                     .leadership = leadership_,
                     .state_limits = state_limits_,
                     .jobs = jobs_,
                     .ended_jobs = ended_,
                     .dependencies = dependencies_,
                     .failure_attribution = failure_attribution_,
                     .job_reasons = job_reasons_,
                     .objectives = objectives_,
                     .ledger = ledger_}),
      cancellations_(runtime_, settings_, leadership_, jobs_),
      watch_(runtime_, settings_, leadership_, state_writer_, cancellations_),
      workers_(runtime_, events_, settings_, catalog_, operators_, leadership_, jobs_, state_writer_),
      quotas_(runtime_, events_, settings_, configuration_, leadership_, jobs_, workers_),
      failure_detector_(runtime_, settings_, catalog_, leadership_, workers_),
      replicas_(runtime_, settings_, leadership_, state_limits_, cancellations_),
      connectivity_(runtime_, settings_, catalog_, leadership_, replicas_, workers_, failure_detector_),
      heartbeats_(runtime_, settings_, leadership_, replicas_, connectivity_, failure_detector_, workers_),
      scheduler_({runtime_, events_, settings_, catalog_, operators_, leadership_, jobs_, dependencies_,
                  failure_attribution_, state_writer_, workers_, objectives_, ledger_, quotas_}),
      autoscaler_({runtime_, settings_, catalog_, operators_, leadership_, jobs_, dependencies_, failure_attribution_,
                   workers_, failure_detector_, scheduler_, objectives_}),
      federation_(runtime_, events_, settings_, catalog_, operators_, leadership_, cancellations_, state_limits_, jobs_,
                  failure_attribution_, ledger_, state_writer_, workers_, replicas_, quotas_, autoscaler_, objectives_),
      quota_changes_(runtime_, settings_, configuration_, quotas_, state_limits_),
      quota_exchange_(runtime_, settings_, configuration_, leadership_, quotas_, quota_changes_, state_limits_,
                      federation_),
      applied_(runtime_, settings_, configuration_, state_limits_),
      configuration_api_(runtime_, settings_, configuration_, operators_, quotas_, quota_changes_, quota_exchange_,
                         state_limits_),
      service_levels_(runtime_, jobs_, ended_, dependencies_),
      status_reporter_(runtime_, settings_, catalog_, operators_, leadership_, cancellations_, jobs_, ended_,
                       dependencies_, failure_attribution_, job_reasons_, workers_, scheduler_, quotas_, autoscaler_,
                       objectives_, ledger_, replicas_),
      users_(runtime_, settings_, catalog_, state_limits_, leadership_, jobs_, ended_, replicas_, cancellations_,
             quotas_, status_reporter_),
      administration_(runtime_, settings_, catalog_, operators_, state_limits_, leadership_, cancellations_, jobs_,
                      dependencies_, failure_attribution_, workers_, autoscaler_, replicas_, connectivity_, federation_,
                      heartbeats_, service_levels_, status_reporter_, ledger_, configuration_api_),
      event_log_(runtime_, jobs_, workers_) {
  heartbeats_.refuse_while([this](const Heartbeat &heartbeat) { return federation_.unsure_of(heartbeat); });
}

Effects Core::apply(std::vector<Command> batch, Now at) {
  runtime_.begin_batch(at);
  federation_.expire();
  deliver();
  for (auto &c : batch) {
    std::visit([this](auto &&cmd) { on(std::move(cmd)); }, std::move(c));
    deliver();
  }
  users_.confirm();
  deliver();
  if (leadership_.leading()) {
    scheduler_.place_if_something_changed();
    deliver();
    state_writer_.flush();
    deliver();
    workers_.send_stop_commands();
  }
  return runtime_.take_effects();
}

// In this order those listen that have something to say about the event: the log, then what decides, then what tells.
void Core::deliver() {
  events_.deliver([this](const auto &event) {
    auto hand = [&event](auto &...parts) {
      auto one = [&event](auto &part) {
        if constexpr (requires { part.on(event); }) part.on(event);
      };
      (one(parts), ...);
    };
    hand(event_log_, configuration_, operators_, quotas_, quota_changes_, quota_exchange_, cancellations_,
         dependencies_, failure_attribution_, workers_, failure_detector_, ledger_, state_writer_, watch_, heartbeats_,
         scheduler_, autoscaler_, federation_, service_levels_, job_reasons_, status_reporter_, users_, jobs_);
  });
}

void Core::on(TickCommand &&) {
  auto step = [this](auto &&fn) {
    fn();
    deliver(); // what one part has done is known to the next
  };
  step([this] { runtime_.run_scheduled(); });
  step([this] { leadership_.tick(); });
  step([this] { watch_.tick(); });
  failure_detector_.tick();
  step([this] { connectivity_.tick(heartbeats_.workers_forwarded()); });
  if (replicas_.ping_due()) {
    heartbeats_.update_load();
    replicas_.send_pings();
  }
  step([this] { heartbeats_.tick(); });
  users_.tick();
  step([this] { autoscaler_.tick(); });
  if (connectivity_.provider_probe_wanted()) autoscaler_.probe();
  step([this] { federation_.tick(); });
  step([this] { configuration_.tick(); });
  step([this] { quota_changes_.tick(); });
  step([this] { quota_exchange_.tick(); });
  applied_.tick();
  if (!leadership_.leading()) return;
  step([this] {
    for (JobIndex job_index : jobs_.expire_unaccounted())
      workers_.reconcile_gang(job_index);
  });
  step([this] { dependencies_.tick(); });
  status_reporter_.log_summary();
  service_levels_.tick();
  step([this] { workers_.tick(); });
  step([this] { quotas_.tick(); });
  ledger_.tick();
  step([this] { scheduler_.tick(); });
  status_reporter_.publish_to_replicas();
  assert(consistent());
}

// For asserts: what two parts know of the same thing agrees. A placed task has one slot, on its own machine.
bool Core::consistent() const {
  bool good = true;
  std::vector<std::uint32_t> allocations(jobs_.index_limit(), 0);
  workers_.each([&](MachineIndex machine_index, const Machine &machine) {
    good &= workers_.consistent(machine_index);
    for (const auto &s : machine.allocations)
      if (s.job.valid() && !s.completed()) ++allocations[s.job.position()];
  });
  jobs_.each([&](JobIndex job_index, const Job &job) {
    good &= jobs_.consistent(job_index) && allocations[job_index.position()] == job.placed;
  });
  return good;
}

void Core::on(HealthCheckCommand &&cmd) {
  if (catalog_.known() &&
      (runtime_.now() - runtime_.state_service_answered_at() < 3.0 || replicas_.common_outage() || users_.can_answer()))
    runtime_.reply(cmd.req, 200, "");
  else
    runtime_.refuse(cmd.req, catalog_.known() ? "state service out of reach" : "starting up");
}

void Core::on(StoreReplyCommand &&cmd) {
  if (cmd.reply.status == 429 && state_limits_.request_rejected(runtime_.now()))
    runtime_.log(LogLevel::Info, "state_service_limits_lowered", {{"then", "the announced rates are kept to"}});
  runtime_.complete(cmd);
}

void Core::on(HeartbeatCommand &&cmd) {
  answer(heartbeats_.handle(std::move(cmd)));
}

// What a report says is listened to before anything new is started by its answer: a machine may have been condemned
// by it, and room may have come up.
void Core::answer(std::optional<AcceptedHeartbeat> report) {
  if (!report) return;
  deliver();
  scheduler_.place_on(report->machine);
  heartbeats_.respond(std::move(*report));
}

void Core::on(PeerMessageCommand &&cmd) {
  using Kind = wire::PeerMessage::Kind;
  const auto &m = cmd.message;
  leadership_.observe_term(m.term, "another replica knows a higher term");
  switch (m.kind) {
  case Kind::Digest:
    return status_reporter_.take_digest(m);
  case Kind::Commands:
    return heartbeats_.handle_response(m);
  case Kind::Heartbeat:
    return answer(heartbeats_.handle_forwarded(cmd));
  case Kind::CellRequest:
    return federation_.take_passed(cmd);
  case Kind::CellResponse:
    return federation_.take_back(m);
  case Kind::UserRequest:
    return users_.take_asked(cmd);
  case Kind::UserResponse:
    return users_.take_told(m);
  case Kind::Ping:
    return replicas_.answer_ping(cmd, heartbeats_.serving());
  case Kind::Pong:
    if (replicas_.accept_pong(cmd)) heartbeats_.status_received(m);
  }
}

} // namespace loftrouter::core
