#include "loftrouter/wire/admin_status.hpp"

#include <cmath>
#include <ctime>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "admin_json.hpp"
#include "loftrouter/wire/node_records.hpp"

namespace loftrouter::wire {

namespace {

double round_to_hundredths(double value) {
  return std::round(value * 100) / 100;
}

Json to_json(const LatencyQuantiles &quantiles) {
  return {{"p50", round_to_hundredths(quantiles.p50)}, {"p99", round_to_hundredths(quantiles.p99)}};
}

Json to_json(const AdminStatus::Replica &replica) {
  return {{"node", replica.node},
          {"heard_s_ago", age_json(replica.last_contact_s)},
          {"version", replica.version},
          {"cut_off_from_state_service", replica.cut_off},
          {"hears_workers", replica.connectivity.workers == WorkerReachability::Reachable},
          {"reaches", wire::to_json(replica.connectivity)},
          {"told_by", replica.source},
          {"passes_reports_on", replica.forwards_heartbeats},
          {"workers_kept", replica.direct_workers}};
}

Json to_json(const AdminStatus::Connectivity &connectivity) {
  Json by_zone = Json::object();
  for (const auto &[zone, machines] : connectivity.machines)
    by_zone[zone] = machines;
  Json json = wire::to_json(connectivity.record);
  json["machines_by_zone"] = std::move(by_zone);
  return json;
}

Json to_json(const AdminStatus::Kind &kind) {
  return {{"type", kind.type}, {"zone", kind.zone},         {"spot", kind.spot},
          {"up", kind.up},     {"starting", kind.starting}, {"silent", kind.unreachable},
          {"cpus", kind.cpus}, {"cpus_in_use", kind.used},  {"refused_by_cloud", kind.refused}};
}

Json to_json(const AdminStatus::ServiceLevel &level) {
  return {{"of", level.of},
          {"name", level.name},
          {"accepted", level.accepted},
          {"begun", level.begun},
          {"done", level.done},
          {"cancelled", level.cancelled},
          {"waiting", level.waiting},
          {"longest_wait_s", std::round(level.longest_wait_s)}};
}

Json to_json(const AdminStatus::Queue &queue) {
  return {{"team", queue.team},
          {"open_jobs", queue.jobs},
          {"tasks_waiting", queue.waiting},
          {"tasks_placed", queue.running},
          {"oldest_waiting_s", std::round(queue.oldest_s)},
          {"jobs_waiting_for_others", queue.waiting_for_others}};
}

Json to_json(const AdminStatus::Cell &cell) {
  return {{"cell", cell.name},
          {"heard_s_ago", age_json(cell.last_contact_s)},
          {"may_be_lent_to", cell.delegates},
          {"tasks_lent", cell.delegated_out_tasks},
          {"tasks_borrowed", cell.delegated_in_tasks}};
}

Json to_json(const RejectedBodyCount &rejected) {
  return {{"interface", rejected.interface}, {"reason", rejected.reason}, {"count", rejected.count}};
}

template <class Element> Json list_json(const std::vector<Element> &elements) {
  Json list = Json::array();
  for (const auto &element : elements)
    list.push_back(to_json(element));
  return list;
}

Json leader_json(const AdminStatus &status) {
  Json json = {{"node", text_or_null(status.leader)}, {"term", status.term}};
  if (!status.leader_since.empty()) json["since"] = status.leader_since;
  return json;
}

Json workers_json(const AdminStatus &status) {
  const auto &load = status.load;
  return {{"reported_s_ago", age_json(status.heartbeat_age_s)},
          {"here", load.workers},
          {"here_most", load.max_workers},
          {"reports_a_second", round_to_hundredths(load.heartbeats_per_s)},
          {"reports_a_second_most", round_to_hundredths(load.max_heartbeats_per_s)},
          {"passed_on_a_second", round_to_hundredths(load.forwarded_per_s)},
          {"siblings_keep_some", load.spreads}};
}

Json processor_json(const AdminStatus::Load &load) {
  return {{"used_s", round_to_hundredths(load.cpu_s)},
          {"up_s", round_to_hundredths(load.up_s)},
          {"allowed_share", load.cpu_share}};
}

} // namespace

std::string clock_time(double wall) {
  return fmt::format("{:%H:%M:%S}Z", fmt::gmtime(static_cast<std::time_t>(wall)));
}

std::string encode_status(const AdminStatus &status) {
  return dump_admin_json({{"node", status.node},
                          {"reaches", to_json(status.connectivity)},
                          {"role", status.role},
                          {"leader", leader_json(status)},
                          {"troubles", status.troubles},
                          {"state_service", {{"answered_s_ago", age_json(status.state_age_s)}}},
                          {"cloud", {{"answered_s_ago", age_json(status.cloud_age_s)}}},
                          {"workers", workers_json(status)},
                          {"processor", processor_json(status.load)},
                          {"siblings", list_json(status.replicas)},
                          {"fleet", list_json(status.fleet)},
                          {"queues", list_json(status.queues)},
                          {"served", list_json(status.served)},
                          {"cell", text_or_null(status.cell)},
                          {"cells", list_json(status.cells)},
                          {"rejected_bodies", list_json(status.rejected_bodies)},
                          {"batch_ms", to_json(status.batch_ms)},
                          {"queue_wait_ms", to_json(status.queue_wait_ms)}});
}

} // namespace loftrouter::wire
