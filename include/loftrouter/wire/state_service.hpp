// Requests to the state service, a consensus-backed key-value store, and its answers.
//
// All functions are pure; StoreClient carries the requests. A StoreReply with status 0 proves nothing: the request may
// have been executed, or may yet be. Whoever reads it as a refusal could start a task twice (rule `ran_twice`).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::wire {

// A condition of a transaction: the key was last changed at this revision.
struct Precondition {
  std::string key;
  std::uint64_t mod_revision = 0; // 0: the key does not exist
};

// A change that a transaction makes.
struct Mutation {
  std::string key;
  std::optional<Json> value; // nothing: the key is deleted
  std::uint64_t lease = 0;   // that the key is attached to; 0: none
};

struct KeyValue {
  std::string key;
  Json value;
  std::uint64_t mod_revision = 0; // of the key's last change
  std::uint64_t lease = 0;        // 0: none
};

struct WatchEvent {
  std::string key;
  std::optional<Json> value; // nothing: the key was deleted
  std::uint64_t mod_revision = 0;
};

// An answer to any request; what the request doesn't ask for stays empty.
struct StoreReply {
  int status = 0;                  // HTTP; 0: no answer, or one that can't be read: the outcome is unknown
  std::uint64_t revision = 0;      // of the whole store
  std::uint64_t lease = 0;         // that was granted
  bool more = false;               // the list goes on after its last entry
  std::vector<std::string> failed; // keys whose precondition did not hold (409)
  std::vector<KeyValue> entries;   // of a list; of a get, one
  std::vector<WatchEvent> events;  // of a watch
};

// A transaction: compare, then swap, atomically.
[[nodiscard]] std::string encode_commit(const std::vector<Precondition> &preconditions,
                                        const std::vector<Mutation> &mutations);
// The request for a lease. `ttl_s` is cut to whole milliseconds.
[[nodiscard]] std::string encode_lease_grant(double ttl_s);
// The request to renew a lease; its path names the lease.
[[nodiscard]] std::string encode_lease_renew();

// `status` is HTTP's, or 0 if there was no answer.
[[nodiscard]] StoreReply decode_store_reply(int status, std::string_view body);

} // namespace loftrouter::wire
