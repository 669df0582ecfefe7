#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "loftrouter/wire/job.hpp"
#include "wire_fixtures.hpp"

using namespace loftrouter;
using namespace loftrouter::wire;

namespace {

bool accepted(const Json &json) {
  return std::holds_alternative<JobSpec>(decode_job(encode(json)));
}

} // namespace

TEST(WireJob, SpecRoundTripsThroughJson) {
  const auto decoded = decode_job(encode(valid_job()));
  ASSERT_TRUE(std::holds_alternative<JobSpec>(decoded));
  const auto &spec = std::get<JobSpec>(decoded);
  EXPECT_EQ(spec.tasks, 16u);
  EXPECT_EQ(spec.priority, Priority::High);
  EXPECT_FALSE(spec.zone);
  const auto decoded_again = job_from_json(to_json(spec));
  ASSERT_TRUE(std::holds_alternative<JobSpec>(decoded_again)) << std::get<FieldError>(decoded_again).message;
  EXPECT_EQ(to_json(std::get<JobSpec>(decoded_again)), to_json(spec));
}

TEST(WireJob, NullAndEmptyDependenciesEncodeLikeNone) {
  auto json = valid_job();
  const auto without_dependencies = to_json(std::get<JobSpec>(decode_job(encode(json)))).dump();
  for (Json no_dependencies : {Json(), Json(Json::array())}) {
    json["waits_on"] = no_dependencies;
    EXPECT_EQ(to_json(std::get<JobSpec>(decode_job(encode(json)))).dump(), without_dependencies);
  }
}

TEST(WireJob, DuplicateDependenciesAreRemoved) {
  auto json = valid_job();
  json["waits_on"] = {"j-000398", "j-000405", "j-000398"};
  const auto spec = std::get<JobSpec>(decode_job(encode(json)));
  EXPECT_EQ(spec.dependencies, (std::vector<std::string>{"j-000398", "j-000405"}));
}

TEST(WireJob, InvalidDependenciesAreRejected) {
  auto json = valid_job();
  Json too_many = Json::array();
  for (std::size_t i = 0; i <= kMaxDependencies; ++i)
    too_many.push_back("j-1" + std::to_string(1000 + i));
  for (Json invalid_value :
       {Json("j-000398"), Json({{"j-000398", 1}}), Json({"j-000412"}), Json({"x-1"}), Json({7}), too_many}) {
    json["waits_on"] = invalid_value;
    EXPECT_FALSE(accepted(json)) << invalid_value;
  }
}

TEST(WireJob, ErrorNamesMissingOrInvalidField) {
  for (const std::string field :
       {"id", "jobclass", "crew", "shape", "urgency", "pieces", "cores", "cards", "ram_gb", "bundle", "image_gb",
        "one_zone", "apart", "standby", "guess_s", "bookmark_s", "stash_s"}) {
    const bool accepts_any_text = field == "jobclass" || field == "crew" || field == "bundle";
    for (Json invalid_value : {Json(), Json(Json::array()), Json(-1), Json("?"), Json(1e300)}) {
      if (invalid_value.is_string() && accepts_any_text) continue;
      auto json = valid_job();
      json[field] = invalid_value;
      const auto decoded = decode_job(encode(json));
      ASSERT_TRUE(std::holds_alternative<FieldError>(decoded)) << field << " " << invalid_value;
      EXPECT_NE(std::get<FieldError>(decoded).message.find(field), std::string::npos);
    }
    auto json = valid_job();
    json.erase(field);
    EXPECT_FALSE(accepted(json)) << field;
  }
}

TEST(WireJob, NullableFieldsMayBeOmitted) {
  for (const char *nullable_field : {"hulls", "yard", "due_s"}) {
    auto json = valid_job();
    json.erase(nullable_field);
    EXPECT_TRUE(accepted(json)) << nullable_field;
  }
}

TEST(WireJob, TaskCountAboveLimitIsRejected) {
  auto json = valid_job();
  json["pieces"] = 100001;
  EXPECT_FALSE(accepted(json));
}
