// Helpers for tests of `Leadership` that answer the requests to the state service themselves.
#pragma once

#include "loftrouter/core/election/leadership.hpp"

namespace loftrouter::test {

// Answers all pending requests, and those that follow from the answers, like a state service that has no leader key and
// accepts every lease and commit. Increments `revision` for each request, and returns their number.
inline int grant_everything(core::Runtime &runtime, std::uint64_t &revision) {
  int answered = 0;
  for (auto requests = runtime.take_effects().store; !requests.empty(); requests = runtime.take_effects().store)
    for (const auto &request : requests) {
      wire::StoreReply reply;
      reply.status = std::holds_alternative<core::StoreGet>(request.request) ? 404 : 200;
      reply.lease = 7;
      reply.revision = ++revision;
      runtime.complete(core::StoreReplyCommand{request.op, reply});
      ++answered;
    }
  return answered;
}

// Lets a follower win an election that no other replica takes part in; its role is then Loading.
inline void win_election(core::Runtime &runtime, core::Leadership &leadership) {
  std::uint64_t revision = 0;
  leadership.tick();
  grant_everything(runtime, revision);
}

// Returns a catalog with one instance type. Replicas with an empty catalog do not run for leader.
inline core::InstanceTypeCatalog loaded_catalog() {
  core::InstanceTypeCatalog catalog({"a"});
  MachineType type;
  type.name = "t";
  catalog.update({type});
  return catalog;
}

} // namespace loftrouter::test
