// Tests how a leader watches and audits the open records of the state service.
#include <gtest/gtest.h>

#include "scenario.hpp"

using namespace loftrouter;
using namespace loftrouter::test;

// Guards against jobs, cancellations and ends that are lost because the watch omitted an event.
TEST(StateWatch, AuditFindsEventsOmittedByTheWatch) {
  World world(11, {});
  mixed_load(world, 10);
  world.run(1);
  world.lost_events = 0.5;
  for (int i = 0; i < 30; ++i)
    world.at(10 + i, [&] { world.submit(world.job(Shape::Array, 2, 1, 5)); });
  world.run(75 + 75);
  EXPECT_EQ(forgotten(world, 1, 40), "");
  world.run(260);
  EXPECT_TRUE(world.broken.empty()) << all(world);
  EXPECT_TRUE(world.all_over()) << world.finished_jobs << " of " << world.accepted_jobs;
}
