// Index of a progress shard: of a record that holds the progress of many jobs and what their teams have used.
#pragma once

#include "loftrouter/core/runtime/dense_index.hpp"

namespace loftrouter::core {

using ShardIndex = DenseIndex<struct ShardIndexTag>; // of ProgressShards, while this node leads

} // namespace loftrouter::core
