// Encodes requests to the state service, a consensus-backed key-value store, and decodes its replies.
//
// All functions are pure; StoreClient sends the requests. A StoreReply with status 0 means that the outcome is unknown:
// the request may have been executed or may still be. Treating it as a failure could start a task twice
// (docs/safety.md "ran_twice").
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::wire {

// Makes a transaction fail unless the key was last modified at this revision.
struct Precondition {
  std::string key;
  std::uint64_t mod_revision = 0; // 0: the key does not exist
};

// Puts or deletes a key in a transaction.
struct Mutation {
  std::string key;
  std::optional<Json> value; // nullopt: delete the key
  std::uint64_t lease = 0;   // lease to attach the key to; 0: none
};

struct KeyValue {
  std::string key;
  Json value;
  std::uint64_t mod_revision = 0; // revision of the last modification
  std::uint64_t lease = 0;        // 0: none
};

struct WatchEvent {
  std::string key;
  std::optional<Json> value; // nullopt: the key was deleted
  std::uint64_t mod_revision = 0;
};

// Holds the reply to any request; fields that don't apply to the request stay empty.
struct StoreReply {
  int status = 0;                  // HTTP status; 0: no reply or an invalid one, outcome unknown
  std::uint64_t revision = 0;      // store-wide revision
  std::uint64_t lease = 0;         // granted lease
  bool more = false;               // further entries follow the last one
  bool undecodable = false;        // there was a body, and it could not be read
  std::vector<std::string> failed; // keys with a failed precondition (409)
  std::vector<KeyValue> entries;   // of a list request; at most one of a get
  std::vector<WatchEvent> events;  // of a watch
};

// Encodes an atomic compare-and-swap transaction.
[[nodiscard]] std::string encode_commit(const std::vector<Precondition> &preconditions,
                                        const std::vector<Mutation> &mutations);
// Encodes a lease grant. `ttl_s` is truncated to whole milliseconds.
[[nodiscard]] std::string encode_lease_grant(double ttl_s);
// Encodes the body of a lease renewal; the request path identifies the lease.
[[nodiscard]] std::string encode_lease_renew();

// `status` is the HTTP status, or 0 if there was no reply.
[[nodiscard]] StoreReply decode_store_reply(int status, std::string_view body);

} // namespace loftrouter::wire
