// Every message of the protocol, from CBOR to plain structs and back. All field names are here.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::wire {

bool valid_job_id(std::string_view id);

// Users.
std::variant<JobSpec, std::string> decode_job(std::string_view body); // or why it is malformed
std::string encode_job_view(const JobView &view);
std::string encode_accepted(std::string_view id, JobState state);
std::string encode_error(std::string_view text);

// Workers.
std::optional<Heartbeat> decode_heartbeat(std::string_view body);
std::string encode_commands(std::uint64_t fencing_token, const std::vector<TaskCommand> &orders);
std::string encode_call(std::uint64_t fencing_token, std::uint64_t incarnation,
                        const std::vector<TaskCommand> &orders); // to /orders
std::string encode_redirect(std::string_view node);              // empty: no node named
// The worker's side of the two, for load tools and tests.
std::string encode_heartbeat(const Heartbeat &report);
struct WorkerCommands {
  std::uint64_t fencing_token = 0;
  std::vector<TaskCommand> orders;
};
std::optional<WorkerCommands> decode_commands(std::string_view body);

// State service: records.
Json to_json(const JobSpec &spec);
std::optional<JobSpec> job_from_json(const Json &json, std::string &problem);
Json to_json(const OpenRecord &record);
Json to_json(const EndRecord &end);
Json to_json(const ProgressRecord &progress);
Json progress_shard(std::vector<std::pair<std::string, Json>> jobs, const SumsByTeam &sums = {}); // of the above
Json to_json(const SumsByTeam &sums);
std::optional<SumsByTeam> sums_from_json(const Json &json);
Json to_json(const LeaderRecord &record);
Json to_json(const StoredConnectivityRecord &r);
Json to_json(const std::vector<MachineType> &types);
std::optional<OpenRecord> open_from_json(const Json &json);
std::optional<EndRecord> end_from_json(const Json &json);
// An open record whose job is over, until it is moved.
Json final_json(const EndRecord &end);
std::optional<EndRecord> final_from_json(const Json &json);
// A shard's jobs. `key` names the job of a record that is of one job alone, as earlier versions wrote them.
std::optional<ProgressShard> progress_from_json(std::string_view key, const Json &json);
std::optional<LeaderRecord> leader_from_json(const Json &json);
std::optional<StoredConnectivityRecord> connectivity_from_json(const Json &json);
std::optional<std::vector<MachineType>> types_from_json(const Json &json);

// State service: requests and answers.
struct Precondition {
  std::string key;
  std::uint64_t mod_revision = 0;
};
struct Mutation {
  std::string key;
  std::optional<Json> value; // nothing: delete
  std::uint64_t lease = 0;
};
struct KeyValue {
  std::string key;
  Json value;
  std::uint64_t mod_revision = 0;
  std::uint64_t lease = 0;
};
struct WatchEvent {
  std::string key;
  std::optional<Json> value;
  std::uint64_t mod_revision = 0;
};
struct StoreReply {
  int status = 0; // 0: no answer, outcome unknown
  std::uint64_t revision = 0;
  std::uint64_t lease = 0;
  bool more = false;
  std::vector<std::string> failed;
  std::vector<KeyValue> entries;
  std::vector<WatchEvent> events;
};
std::string encode_commit(const std::vector<Precondition> &preconditions, const std::vector<Mutation> &writes);
std::string encode_ttl(double ttl_s);
StoreReply decode_store(int status, std::string_view body);

// Cloud.
struct CloudReply {
  int status = 0;
  bool no_capacity = false;
  std::vector<MachineType> types;
  std::vector<std::string> names;
  std::vector<ListedMachine> machines;
  bool more = false;
};
std::string encode_scale_out(std::string_view request, std::string_view type, std::string_view zone, bool spot,
                             int count);
std::string encode_scale_in(const std::vector<std::string> &names);
enum class CloudCall : std::uint8_t { Types, List, Rent, Return };
CloudReply decode_cloud(CloudCall call, int status, std::string_view body);

} // namespace loftrouter::wire
