#include <gtest/gtest.h>

#include "loftrouter/wire/configuration.hpp"

using namespace loftrouter::wire;

TEST(WireConfiguration, ForwardedChangeRoundTripsThroughJson) {
  ForwardedChange forwarded;
  forwarded.change.team = "red";
  forwarded.change.max_cpus = 4.5;
  forwarded.node = "node-1";
  forwarded.status = 409;
  forwarded.text = "conflict";
  const auto decoded = forwarded_from_json(to_json(forwarded));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->change.team, "red");
  EXPECT_EQ(decoded->change.max_cpus, 4.5);
  EXPECT_EQ(decoded->node, "node-1");
  EXPECT_EQ(decoded->status, 409);
  EXPECT_EQ(decoded->text, "conflict");
}

// The record comes from another cell: a field of the wrong type must not crash the process.
TEST(WireConfiguration, MalformedForwardedChangeDoesNotThrow) {
  const Json change = {{"cpus", 3}};
  for (const char *field : {"team", "node", "status", "text"})
    for (const Json &wrong_type : {Json(Json::array()), Json(Json::object()), Json(true), Json()}) {
      Json json = {{"team", "red"}, {"change", change}, {"node", "a"}, {"status", 200}, {"text", "done"}};
      json[field] = wrong_type;
      EXPECT_NO_THROW((void)forwarded_from_json(json)) << field << " " << wrong_type;
    }
}
