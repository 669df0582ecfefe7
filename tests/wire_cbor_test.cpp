#include <gtest/gtest.h>

#include <string>

#include "fuzz/structures.hpp"
#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/cloud_api.hpp"
#include "loftrouter/wire/state_service.hpp"
#include "loftrouter/wire/worker.hpp"
#include "wire_fixtures.hpp"

using namespace loftrouter::wire;

namespace {

using loftrouter::fuzz::kLargestBodyBytes;
constexpr char kIndefiniteText = '\x7f';
constexpr char kIndefiniteBytes = '\x5f';
constexpr char kBreak = '\xff';

// Returns the text "a", as the innermost piece of so many texts of indefinite length.
std::string nested_text(std::size_t depth) {
  return std::string(depth, kIndefiniteText) + "\x61\x61" + std::string(depth, kBreak);
}

// Returns a list that contains a list, and so on; `innermost` is in the last one.
std::string nested_lists(std::size_t depth, const std::string &innermost) {
  return std::string(depth, '\x81') + innermost;
}

} // namespace

// Guards against crashes and ambiguous values from untrusted input: deep nesting, lengths beyond the input, trailing
// bytes, byte strings, non-finite numbers, duplicate keys and invalid UTF-8.
TEST(WireCbor, RejectsMalformedInput) {
  const std::string infinity("\xa1\x61\x61\xf9\x7c\x00", 6);
  const std::string not_a_number("\xa1\x61\x61\xf9\x7e\x00", 6);
  const std::string bodies[] = {std::string(60000, '\x81'),                          // nested arrays
                                std::string(60000, '\xa1'),                          // nested maps
                                std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"), // huge array
                                std::string("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff"), // huge text
                                std::string("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff"), // huge map
                                encode(valid_job()) + "x",                           // trailing byte
                                std::string("\xa1\x61\x61\x41\x00", 5),              // byte string
                                infinity,
                                not_a_number,
                                std::string("\xa2\x61\x61\x01\x61\x61\x02"), // duplicate key
                                std::string("\xa1\x61\x61\x62\xc3\x28"),     // invalid UTF-8
                                std::string()};
  for (const std::string &body : bodies)
    EXPECT_FALSE(decode(body)) << body.substr(0, 12);
}

// Guards against the end of the process by a body of nested strings of indefinite length: stack overflow.
TEST(WireCbor, BodyOfOneRepeatedByteDoesNotExhaustTheStack) {
  for (int byte = 0; byte < 256; ++byte) {
    const std::string body(kLargestBodyBytes, static_cast<char>(byte));
    EXPECT_FALSE(decode(body)) << byte;
    EXPECT_FALSE(decode_heartbeat(body)) << byte;
  }
}

// Guards against the same by strings that are closed in order, also as keys and inside of other containers.
TEST(WireCbor, ClosedNestedTextsDoNotExhaustTheStack) {
  const std::string text = nested_text(kLargestBodyBytes / 2 - 8);
  for (const std::string &body :
       {text, "\xa1" + text + "\x00", "\xbf\x61\x61" + text + kBreak, "\x9f" + text + kBreak}) {
    EXPECT_FALSE(decode(body));
    EXPECT_FALSE(decode_heartbeat(body));
  }
}

TEST(WireCbor, TextInSeveralPiecesIsAccepted) {
  const std::string pieces = "\x7f\x61\x61\x60\x62\x62\x63\xff";
  EXPECT_EQ(decode(pieces), Json("abc"));
  EXPECT_EQ(decode("\xa1" + pieces + pieces), (Json{{"abc", "abc"}}));
  EXPECT_EQ(decode("\xbf" + pieces + pieces + kBreak), (Json{{"abc", "abc"}}));
  EXPECT_EQ(decode("\x7f\xff"), Json(""));
}

TEST(WireCbor, DepthIsThatOfTheCallersLimits) {
  for (const std::size_t depth : {std::size_t{1}, std::size_t{16}, std::size_t{32}}) {
    const DecodeLimits limits{depth, 100};
    EXPECT_TRUE(decode(nested_text(depth), limits));
    EXPECT_FALSE(decode(nested_text(depth + 1), limits));
    EXPECT_TRUE(decode(nested_lists(depth, "\x60"), limits));
    EXPECT_FALSE(decode(nested_lists(depth + 1, "\x60"), limits));
    EXPECT_TRUE(decode(nested_lists(depth, nested_text(depth)), limits));
  }
}

TEST(WireCbor, ItemsAreThoseOfTheCallersLimits) {
  const DecodeLimits limits{16, 3};
  EXPECT_TRUE(decode("\xa2\x61\x61\x01\x61\x62\x02", limits)); // keys do not count
  EXPECT_TRUE(decode("\x9f\x01\x02\xff", limits));
  EXPECT_FALSE(decode("\x9f\x01\x02\x03\xff", limits));
  EXPECT_FALSE(decode("\xa1\x61\x61\x82\x01\x02", limits));
}

// A reply that cannot be read is handled as a lost one.
TEST(WireCbor, NestedRepliesOfServicesCountAsLost) {
  for (const std::string &body :
       {std::string(kLargestBodyBytes, kIndefiniteBytes), nested_text(kLargestBodyBytes / 2)}) {
    EXPECT_EQ(decode_store_reply(200, body).status, 0);
    for (const auto call : {CloudCall::MachineTypes, CloudCall::ListMachines, CloudCall::ScaleOut})
      EXPECT_EQ(decode_cloud_reply(call, 200, body).status, 0);
    EXPECT_FALSE(decode_commands(body));
  }
}

// The library, which decodes without limits, is the reference for what is well-formed.
TEST(WireCbor, DrawnItemsAreReadAsByTheLibrary) {
  constexpr unsigned kSeeds = 20'000;
  std::size_t containers = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const std::string item = loftrouter::fuzz::draw_well_formed(seed, 5);
    const auto decoded = decode(item);
    ASSERT_TRUE(decoded) << "seed " << seed;
    EXPECT_EQ(*decoded, Json::from_cbor(item)) << "seed " << seed;
    EXPECT_FALSE(decode(item.substr(0, item.size() - 1))) << "seed " << seed;
    EXPECT_FALSE(decode(item + '\0')) << "seed " << seed;
    containers += decoded->is_structured();
  }
  EXPECT_GT(containers, kSeeds / 10);
}
