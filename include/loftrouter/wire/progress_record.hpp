// Records of how far jobs have got, in the state service: which tasks were started and have completed, what was used,
// and what other cells run. The records of many jobs share a key, a shard.
//
// All functions are pure. A record that can't be read whole is nothing: a task whose start is forgotten could be
// started a second time (rule `ran_twice`).
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

// Usage by period and team, packed.
[[nodiscard]] Json to_json(const SumsByTeam &sums);
[[nodiscard]] std::optional<SumsByTeam> sums_from_json(const Json &json);

// `progress/<shard>`, from the records of its jobs by id. Without sums it has the format of earlier versions.
[[nodiscard]] Json progress_shard(std::vector<std::pair<std::string, Json>> jobs, const SumsByTeam &sums = {});

// `key` names the job of a record that is of one job alone, as earlier versions wrote them. A format version later
// than this one's is refused, as what it means can't be known.
[[nodiscard]] std::optional<ProgressShard> progress_from_json(std::string_view key, const Json &json);

} // namespace loftrouter::wire
