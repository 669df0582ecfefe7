// A leadership on its own, beside a state service whose answers the test gives.
#pragma once

#include "loftrouter/core/election/leadership.hpp"

namespace loftrouter::test {

// Answers all requests of the state service like one that has no leader key and grants everything. Returns how many
// there were. Revisions count up from `revision`.
inline int grant_everything(core::Runtime &runtime, std::uint64_t &revision) {
  int answered = 0;
  for (auto ops = runtime.take_effects().store; !ops.empty(); ops = runtime.take_effects().store)
    for (const auto &op : ops) {
      wire::StoreReply reply;
      reply.status = std::holds_alternative<core::StoreGet>(op.request) ? 404 : 200;
      reply.lease = 7;
      reply.revision = ++revision;
      runtime.complete(core::StoreReplyCommand{op.op, reply});
      ++answered;
    }
  return answered;
}

// Runs an election that this replica wins at once: from a follower to one that loads the records.
inline void win_election(core::Runtime &runtime, core::Leadership &leadership) {
  std::uint64_t revision = 0;
  leadership.tick();
  grant_everything(runtime, revision);
}

// A catalog that knows a type: nobody runs for leader before.
inline core::InstanceTypeCatalog loaded_catalog() {
  core::InstanceTypeCatalog catalog({"a"});
  MachineType type;
  type.name = "t";
  catalog.update({type});
  return catalog;
}

} // namespace loftrouter::test
