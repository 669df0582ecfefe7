#include "loftrouter/wire/worker.hpp"

#include "json_fields.hpp"
#include "loftrouter/wire/cbor.hpp"
#include "protocol_names.hpp"
#include "task_sets.hpp"

namespace loftrouter::wire {

namespace {

Json to_json(const TaskCommand &command) {
  Json json = {{field::kCommand, spelling::kCommands[command.verb]},
               {field::kTask, format_task_name(command.job, command.index)},
               {field::kAttempt, command.attempt}};
  if (command.verb == TaskCommand::Verb::Stop) json[field::kGraceS] = command.grace_s;
  return json;
}

Json to_json(const std::vector<TaskCommand> &commands) {
  Json list = Json::array();
  for (const auto &command : commands)
    list.push_back(to_json(command));
  return list;
}

Json to_json(const TaskStatus &task) {
  Json json = {{field::kTask, format_task_name(task.job, task.index)},
               {field::kAttempt, task.attempt},
               {field::kState, spelling::kTaskPhases[task.phase]}};
  if (task.cause != ExitCause::None) json[field::kExitCause] = spelling::kExitCauses[task.cause];
  if (task.saved) json[field::kSaved] = true;
  return json;
}

std::optional<TaskCommand> command_from_json(const Json &json) {
  const auto verb = read_spelling(member(json, field::kCommand), spelling::kCommands);
  const auto name = read_text(member(json, field::kTask));
  const auto attempt = read_count(member(json, field::kAttempt));
  if (!verb || !name || !attempt) return std::nullopt;
  auto task = parse_task_name(*name);
  if (!task) return std::nullopt;
  const double grace_s = read_amount(member(json, field::kGraceS)).value_or(0);
  return TaskCommand{*verb, std::move(task->job), task->index, *attempt, grace_s};
}

} // namespace

std::string encode_commands(std::uint64_t fencing_token, const std::vector<TaskCommand> &commands) {
  return encode({{field::kFencingToken, fencing_token}, {field::kCommands, to_json(commands)}});
}

std::string encode_direct_commands(std::uint64_t fencing_token, std::uint64_t incarnation,
                                   const std::vector<TaskCommand> &commands) {
  return encode({{field::kFencingToken, fencing_token},
                 {field::kIncarnation, incarnation},
                 {field::kCommands, to_json(commands)}});
}

std::string encode_redirect(std::string_view node) {
  if (node.empty()) return encode(Json::object());
  return encode({{field::kRedirect, node}});
}

std::string encode_heartbeat(const Heartbeat &heartbeat) {
  Json tasks = Json::array();
  for (const auto &task : heartbeat.tasks)
    tasks.push_back(to_json(task));
  Json json = {{field::kMachine, heartbeat.machine},   {field::kAddress, heartbeat.address},
               {field::kMachineType, heartbeat.type},  {field::kZone, heartbeat.zone},
               {field::kSpot, heartbeat.spot},         {field::kIncarnation, heartbeat.incarnation},
               {field::kSequence, heartbeat.sequence}, {field::kFencingToken, heartbeat.fencing_token},
               {field::kTasks, std::move(tasks)}};
  if (heartbeat.notice_s) json[field::kNoticeS] = *heartbeat.notice_s;
  return encode(json);
}

std::optional<WorkerCommands> decode_commands(std::string_view body) {
  const auto json = decode(body);
  if (!json) return std::nullopt;
  const auto fencing_token = read_count(member(*json, field::kFencingToken));
  const Json &list = member(*json, field::kCommands);
  if (!fencing_token || !list.is_array()) return std::nullopt;
  WorkerCommands decoded;
  decoded.fencing_token = *fencing_token;
  for (const auto &element : list) {
    auto command = command_from_json(element);
    if (!command) return std::nullopt;
    decoded.commands.push_back(std::move(*command));
  }
  return decoded;
}

} // namespace loftrouter::wire
