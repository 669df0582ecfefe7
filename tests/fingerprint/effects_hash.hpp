// A hash of all that simulated controllers send: to the state service, the cloud, workers, replicas, other cells and
// users, each message with its time and its sender. What has an encoding on the network is hashed as those bytes, the
// rest field by field. Log lines are left out, and on request what texts for people say.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "loftrouter/core/runtime/effects.hpp"

namespace loftrouter::fingerprint {

// FNV-1a, 64 bits: the same on every platform and build.
class Hash {
public:
  void add_bytes(std::string_view bytes);
  void add_number(std::uint64_t number);
  std::uint64_t value() const { return state_; }

private:
  static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325U, kPrime = 0x100000001b3U;
  std::uint64_t state_ = kOffsetBasis;
};

// 16 hexadecimal digits.
std::string hash_text(std::uint64_t hash);

struct Sender {
  int cell = 0, node = 0;
};

// What a message is for; the numbers are part of the hash.
enum class Destination : std::uint8_t { User = 1, OtherCell, StateService, Cloud, Worker, Replica };
std::string_view destination_name(Destination destination);

// One message as it is hashed: the bytes that are sent, and where they go.
struct SentMessage {
  double time = 0; // simulated, s
  Sender sender;
  Destination destination = Destination::User;
  std::string content;
};

// Whether the hash covers what texts for people say: the fields `error`, `reason` and `troubles` of a response to
// a user or operator, also while a replica forwards it, and the reason in a digest of jobs. Everything else is hashed
// either way, and so is whether such a field is there.
enum class TextContents : std::uint8_t { Hashed, LeftOut };

class EffectsHash {
public:
  // `observer` is called with each message, in order: for finding the first that differs between two versions.
  explicit EffectsHash(TextContents texts = TextContents::Hashed,
                       std::function<void(const SentMessage &)> observer = {})
      : texts_(texts), observer_(std::move(observer)) {}
  void add(const Sender &sender, double time, const core::Effects &effects);
  std::uint64_t value() const { return hash_.value(); }
  std::uint64_t messages() const { return messages_; }

private:
  void add(SentMessage message);

  TextContents texts_;
  std::function<void(const SentMessage &)> observer_;
  Hash hash_;
  std::uint64_t messages_ = 0;
};

} // namespace loftrouter::fingerprint
