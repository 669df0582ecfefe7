// Index of a shard in ProgressShards, valid for one term.
#pragma once

#include "loftrouter/core/runtime/dense_index.hpp"

namespace loftrouter::core {

using ShardIndex = DenseIndex<struct ShardIndexTag>;

} // namespace loftrouter::core
