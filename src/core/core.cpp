#include "loftrouter/core/core.hpp"

#include <cassert>

namespace loftrouter::core {

namespace {
constexpr double kMaxStateServiceSilenceS = 3.0; // without a response for this long, it counts as unreachable
}

Core::Core(Settings settings, std::uint64_t seed)
    : settings_(with_cell_teams(std::move(settings))), runtime_(seed), objectives_(settings_),
      catalog_(settings_.zones), configuration_(runtime_, events_, settings_),
      operator_settings_(runtime_, events_, configuration_), state_limits_(settings_),
      leadership_(runtime_, events_, settings_, catalog_), jobs_(runtime_, events_, settings_), ended_jobs_(events_),
      dependencies_(runtime_, settings_, state_limits_, leadership_, jobs_, ended_jobs_),
      failure_attribution_(runtime_, events_, jobs_, operator_settings_),
      job_reasons_(runtime_, jobs_, dependencies_, failure_attribution_, objectives_),
      ledger_(runtime_, settings_, catalog_, jobs_, operator_settings_),
      state_writer_({.runtime = runtime_,
                     .events = events_,
                     .settings = settings_,
                     .leadership = leadership_,
                     .state_limits = state_limits_,
                     .jobs = jobs_,
                     .ended_jobs = ended_jobs_,
                     .dependencies = dependencies_,
                     .failure_attribution = failure_attribution_,
                     .job_reasons = job_reasons_,
                     .objectives = objectives_,
                     .ledger = ledger_}),
      cancellations_(runtime_, settings_, leadership_, jobs_),
      state_watch_(runtime_, settings_, leadership_, state_writer_, cancellations_),
      workers_(runtime_, events_, settings_, catalog_, operator_settings_, leadership_, jobs_, state_writer_),
      quotas_(runtime_, events_, settings_, configuration_, leadership_, jobs_, workers_),
      failure_detector_(runtime_, settings_, catalog_, leadership_, workers_),
      replicas_(runtime_, settings_, leadership_, state_limits_, cancellations_),
      connectivity_(runtime_, settings_, catalog_, leadership_, replicas_, workers_, failure_detector_),
      heartbeats_(runtime_, settings_, leadership_, replicas_, connectivity_, failure_detector_, workers_),
      scheduler_({runtime_, events_, settings_, catalog_, operator_settings_, leadership_, jobs_, dependencies_,
                  failure_attribution_, state_writer_, workers_, objectives_, ledger_, quotas_}),
      autoscaler_({runtime_, settings_, catalog_, operator_settings_, leadership_, jobs_, dependencies_,
                   failure_attribution_, workers_, failure_detector_, scheduler_, objectives_}),
      federation_(runtime_, events_, settings_, catalog_, operator_settings_, leadership_, cancellations_,
                  state_limits_, jobs_, failure_attribution_, ledger_, state_writer_, workers_, replicas_, quotas_,
                  autoscaler_, objectives_),
      quota_changes_(runtime_, settings_, configuration_, quotas_, state_limits_),
      quota_exchange_(runtime_, settings_, configuration_, leadership_, quotas_, quota_changes_, state_limits_,
                      federation_),
      applied_configuration_(runtime_, settings_, configuration_, state_limits_),
      configuration_api_(runtime_, settings_, configuration_, operator_settings_, quotas_, quota_changes_,
                         quota_exchange_, state_limits_),
      service_levels_(runtime_, jobs_, ended_jobs_, dependencies_),
      status_reporter_(runtime_, settings_, catalog_, operator_settings_, leadership_, cancellations_, jobs_,
                       ended_jobs_, dependencies_, failure_attribution_, job_reasons_, workers_, scheduler_, quotas_,
                       autoscaler_, objectives_, ledger_, replicas_),
      job_api_(runtime_, settings_, catalog_, state_limits_, leadership_, jobs_, ended_jobs_, replicas_, cancellations_,
               quotas_, status_reporter_),
      administration_api_(runtime_, settings_, catalog_, operator_settings_, state_limits_, leadership_, cancellations_,
                          jobs_, dependencies_, failure_attribution_, workers_, autoscaler_, replicas_, connectivity_,
                          federation_, heartbeats_, service_levels_, status_reporter_, ledger_, configuration_api_),
      event_log_(runtime_, jobs_, workers_) {
  heartbeats_.set_refusal_condition(
      [this](const Heartbeat &heartbeat) { return federation_.has_unconfirmed_delegation(heartbeat); });
}

Effects Core::apply(std::vector<Command> batch, Now now) {
  runtime_.begin_batch(now);
  federation_.expire_delegations();
  deliver_events();
  for (auto &command : batch) {
    std::visit(
        [this](auto &&cmd) {
          observe_work_(cmd.kName);
          on(std::move(cmd));
        },
        std::move(command));
    deliver_events();
  }
  observe_work_(kRoundName);
  job_api_.check_open_records();
  deliver_events();
  if (leadership_.leading()) {
    scheduler_.place_if_something_changed();
    deliver_events();
    state_writer_.flush();
    deliver_events();
    workers_.send_stop_commands();
  }
  return runtime_.take_effects();
}

// Delivers each event to its subscribers in a fixed order: the log, modules that make decisions, modules that report,
// and last the job table, which may reuse the job's index afterwards.
void Core::deliver_events() {
  events_.deliver([this](const auto &event) {
    auto dispatch = [&event](auto &...subscribers) {
      auto dispatch_to = [&event](auto &subscriber) {
        if constexpr (requires { subscriber.on(event); }) subscriber.on(event);
      };
      (dispatch_to(subscribers), ...);
    };
    dispatch(event_log_, configuration_, operator_settings_, quotas_, quota_changes_, quota_exchange_, cancellations_,
             dependencies_, failure_attribution_, workers_, failure_detector_, ledger_, state_writer_, state_watch_,
             heartbeats_, scheduler_, autoscaler_, federation_, service_levels_, job_reasons_, status_reporter_,
             job_api_, jobs_);
  });
}

void Core::on(TickCommand &&) {
  auto step = [this](auto &&run_step) {
    run_step();
    deliver_events(); // the next step sees the events of this one
  };
  step([this] { runtime_.run_scheduled(); });
  step([this] { leadership_.tick(); });
  step([this] { state_watch_.tick(); });
  failure_detector_.tick();
  step([this] { connectivity_.tick(heartbeats_.workers_forwarded()); });
  if (replicas_.ping_due()) {
    heartbeats_.update_load();
    replicas_.send_pings();
  }
  step([this] { heartbeats_.tick(); });
  job_api_.tick();
  step([this] { autoscaler_.tick(); });
  if (connectivity_.provider_probe_wanted()) autoscaler_.probe();
  step([this] { federation_.tick(); });
  step([this] { configuration_.tick(); });
  step([this] { quota_changes_.tick(); });
  step([this] { quota_exchange_.tick(); });
  applied_configuration_.tick();
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

// Returns whether the job table and the worker registry agree, for an assertion: each placed task has exactly one
// allocation.
bool Core::consistent() const {
  bool tables_agree = true;
  std::vector<std::uint32_t> allocations(jobs_.index_limit(), 0);
  workers_.each([&](MachineIndex machine_index, const Machine &machine) {
    tables_agree &= workers_.consistent(machine_index);
    for (const auto &allocation : machine.allocations)
      if (allocation.job.valid() && !allocation.completed()) ++allocations[allocation.job.position()];
  });
  jobs_.each([&](JobIndex job_index, const Job &job) {
    tables_agree &= jobs_.consistent(job_index) && allocations[job_index.position()] == job.placed;
  });
  return tables_agree;
}

void Core::on(HealthCheckCommand &&cmd) {
  if (catalog_.known() && (runtime_.now() - runtime_.state_service_answered_at() < kMaxStateServiceSilenceS ||
                           replicas_.state_service_lost_by_all() || job_api_.can_answer()))
    runtime_.reply(cmd.req, 200, "");
  else
    runtime_.refuse(cmd.req, catalog_.known() ? "state service unreachable" : "starting up");
}

void Core::on(StoreReplyCommand &&cmd) {
  if (cmd.reply.status == 429 && state_limits_.request_rejected(runtime_.now()))
    runtime_.log(LogLevel::Info, "state_service_limits_lowered", {{"then", "applying the announced limits"}});
  runtime_.complete(cmd);
}

void Core::on(HeartbeatCommand &&cmd) {
  place_and_respond(heartbeats_.handle(std::move(cmd)));
}

// Places tasks on the heartbeat's machine and responds. The heartbeat's events are delivered first: it may have freed
// resources or caused the machine's quarantine.
void Core::place_and_respond(std::optional<AcceptedHeartbeat> heartbeat) {
  if (!heartbeat) return;
  deliver_events();
  scheduler_.place_on_machine(heartbeat->machine);
  heartbeats_.respond(std::move(*heartbeat));
}

void Core::on(PeerMessageCommand &&cmd) {
  using Kind = wire::PeerMessage::Kind;
  const auto &message = cmd.message;
  leadership_.observe_term(message.term, "another replica knows a higher term");
  switch (message.kind) {
  case Kind::Digest:
    return status_reporter_.handle_digest(message);
  case Kind::Commands:
    return heartbeats_.handle_response(message);
  case Kind::Heartbeat:
    return place_and_respond(heartbeats_.handle_forwarded(cmd));
  case Kind::CellRequest:
    return federation_.handle_forwarded_request(cmd);
  case Kind::CellResponse:
    return federation_.relay_forwarded_reply(message);
  case Kind::UserRequest:
    return job_api_.handle_forwarded_request(cmd);
  case Kind::UserResponse:
    return job_api_.relay_forwarded_reply(message);
  case Kind::Ping:
    return replicas_.answer_ping(cmd, heartbeats_.service_status());
  case Kind::Pong:
    if (replicas_.accept_pong(cmd)) heartbeats_.status_received(message);
  }
}

} // namespace loftrouter::core
