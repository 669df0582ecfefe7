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
  const auto read = forwarded_from_json(to_json(forwarded));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->change.team, "red");
  EXPECT_EQ(read->change.max_cpus, 4.5);
  EXPECT_EQ(read->node, "node-1");
  EXPECT_EQ(read->status, 409);
  EXPECT_EQ(read->text, "conflict");
}

// The record comes from another cell: a field of the wrong type must not crash the process.
TEST(WireConfiguration, MalformedForwardedChangeDoesNotThrow) {
  const Json change = {{"cpus", 3}};
  for (const char *field : {"team", "node", "status", "text"})
    for (const Json &wrong : {Json(Json::array()), Json(Json::object()), Json(true), Json()}) {
      Json json = {{"team", "red"}, {"change", change}, {"node", "a"}, {"status", 200}, {"text", "done"}};
      json[field] = wrong;
      EXPECT_NO_THROW((void)forwarded_from_json(json)) << field << " " << wrong;
    }
}
