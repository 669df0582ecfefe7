// The fingerprint of behaviour: the same for the same seed, another for another, and no part of a message is left out.
#include <gtest/gtest.h>

#include <set>

#include "fingerprint/scenarios.hpp"
#include "loftrouter/wire/cbor.hpp"

using namespace loftrouter;
using namespace loftrouter::fingerprint;

namespace {

constexpr Sender kSender{0, 1};
constexpr double kTime = 2.5;

std::uint64_t hash_of(const core::Effects &effects, const Sender &sender = kSender, double time = kTime,
                      TextContents texts = TextContents::Hashed) {
  EffectsHash hash(texts);
  hash.add(sender, time, effects);
  return hash.value();
}

core::Effects one_of_each() {
  core::Effects effects;
  effects.replies.push_back({1, 200, "body", {}, true});
  effects.cells.push_back({0, 0, {}});
  effects.store.push_back({1, 2.0, core::StoreGet{"key"}});
  effects.cloud.push_back({2, 3.0, core::CloudScaleOut{"request", "type", "zone", true, 2}});
  effects.workers.push_back({"10.0.0.1:1", 3, 4, "machine", {}});
  effects.peers.push_back({core::ReplicaIndex(0), 0, {}});
  return effects;
}

} // namespace

TEST(Fingerprint, IsTheSameForTheSameSeedAndAnotherForAnother) {
  const auto *scenario = find_scenario("faults");
  ASSERT_TRUE(scenario);
  const auto first = play_seed(*scenario, 1), again = play_seed(*scenario, 1), other = play_seed(*scenario, 2);
  EXPECT_EQ(first.hash, again.hash);
  EXPECT_EQ(first.messages, again.messages);
  EXPECT_GT(first.messages, 1000U);
  EXPECT_NE(first.hash, other.hash);
}

TEST(Fingerprint, SeesEachPartOfAMessage) {
  std::set<std::uint64_t> hashes{hash_of(one_of_each()), hash_of(one_of_each(), {1, 1}), hash_of(one_of_each(), {0, 2}),
                                 hash_of(one_of_each(), kSender, 2.6)};
  std::size_t expected = hashes.size();
  EXPECT_EQ(expected, 4U);
  const auto expect_new_hash = [&](void (*change)(core::Effects &)) {
    auto effects = one_of_each();
    change(effects);
    hashes.insert(hash_of(effects));
    EXPECT_EQ(hashes.size(), ++expected);
  };
  expect_new_hash([](core::Effects &e) { e.replies[0].body = "other"; });
  expect_new_hash([](core::Effects &e) { e.replies[0].status = 201; });
  expect_new_hash([](core::Effects &e) { e.replies[0].retry_after = 0; });
  expect_new_hash([](core::Effects &e) { e.cells[0].message.number = 1; });
  expect_new_hash([](core::Effects &e) { e.store[0].timeout_s = 4; });
  expect_new_hash([](core::Effects &e) { e.store[0].request = core::StoreList{"key", ""}; });
  expect_new_hash([](core::Effects &e) { e.store[0].request = core::StoreCommit{{{"key", 1}}, {}}; });
  expect_new_hash([](core::Effects &e) { e.cloud[0].request = core::CloudScaleIn{{"machine"}}; });
  expect_new_hash([](core::Effects &e) { e.workers[0].fencing_token = 5; });
  expect_new_hash([](core::Effects &e) { e.peers[0].message.nonce = 1; });
  expect_new_hash([](core::Effects &e) { e.peers.clear(); });
}

TEST(Fingerprint, LeavesLogLinesOut) {
  auto effects = one_of_each();
  effects.logs.push_back({core::LogLevel::Info, "event", {}});
  EXPECT_EQ(hash_of(effects), hash_of(one_of_each()));
}

// Versions that word a text differently are equal without texts, and differ with them.
TEST(Fingerprint, LeavesTextsOutOnRequest) {
  const auto without_texts = [](const core::Effects &effects) {
    return hash_of(effects, kSender, kTime, TextContents::LeftOut);
  };
  const auto effects_with = [](const nlohmann::json &body, const std::string &reason) {
    auto effects = one_of_each();
    effects.replies[0].body = body.dump();
    effects.replies.push_back({2, 422, wire::encode(body), {}, false});
    auto &message = effects.peers[0].message;
    message.kind = wire::PeerMessage::Kind::UserResponse;
    message.body = wire::encode(body);
    effects.peers.push_back(effects.peers[0]);
    effects.peers[1].message.kind = wire::PeerMessage::Kind::Digest;
    effects.peers[1].message.jobs.push_back({"job", 1, 2, false, reason});
    return effects;
  };
  const auto body_with = [](const std::string &id, const std::vector<std::string> &texts) {
    return nlohmann::json{{"jobs", {{{"id", id}, {"reason", texts[0]}}}}, {"error", texts[0]}, {"troubles", texts}};
  };
  const auto original = effects_with(body_with("a", {"one"}), "one");
  const auto reworded = effects_with(body_with("a", {"two"}), "two");
  const auto other_field = effects_with(body_with("b", {"one"}), "one");
  const auto more_texts = effects_with(body_with("a", {"one", "one"}), "one");
  const auto no_text = effects_with({{"jobs", {{{"id", "a"}, {"reason", "one"}}}}, {"troubles", {"one"}}}, "one");
  EXPECT_NE(hash_of(original), hash_of(reworded));
  EXPECT_EQ(without_texts(original), without_texts(reworded));
  EXPECT_NE(without_texts(original), without_texts(other_field));
  EXPECT_NE(without_texts(original), without_texts(more_texts));
  EXPECT_NE(without_texts(original), without_texts(no_text));
}
