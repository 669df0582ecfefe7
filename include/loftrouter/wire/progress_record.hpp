// Encodes and decodes stored job progress: started and finished tasks, resource usage, and delegations to other cells.
// One key holds a shard with the records of many jobs.
//
// All functions are pure. Decoders reject a record if any part is invalid: losing the start of a task could start it
// twice (docs/safety.md "ran_twice").
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::wire {

[[nodiscard]] Json to_json(const ProgressRecord &progress);

// Encode and decode usage sums by accounting period and team.
[[nodiscard]] Json to_json(const SumsByTeam &sums);
[[nodiscard]] std::optional<SumsByTeam> sums_from_json(const Json &json);

// Builds the value of `progress/<shard>` from job ids and their encoded records. Without sums, the value has the
// format of earlier versions.
[[nodiscard]] Json progress_shard(std::vector<std::pair<std::string, Json>> records_by_job,
                                  const SumsByTeam &sums = {});

// Decodes a shard. Earlier versions stored one job per key; `key` then supplies the job id. Rejects newer format
// versions.
[[nodiscard]] std::optional<ProgressShard> progress_from_json(std::string_view key, const Json &json);

} // namespace loftrouter::wire
