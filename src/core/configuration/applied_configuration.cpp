#include "loftrouter/core/configuration/applied_configuration.hpp"

#include "loftrouter/wire/configuration.hpp"

namespace loftrouter::core {

namespace {
constexpr double kPublishIntervalS = 2.0;
constexpr double kCommitTimeoutS = 1.0;
} // namespace

void AppliedConfiguration::tick() {
  if (!settings_.configuration) return;
  if (configuration_.revision() > applied_revision_) {
    applied_revision_ = configuration_.revision();
    applied_at_wall_ = runtime_.wall();
  }
  if (applied_revision_ <= published_revision_ || write_pending_ || runtime_.now() < next_write_at_ ||
      !state_limits_.take_write(runtime_.now()))
    return;
  next_write_at_ = runtime_.now() + kPublishIntervalS;
  write_pending_ = true;
  const auto key = std::string(wire::kConfigApplied) + settings_.node;
  const auto *stored = configuration_.find(key);
  const auto value = wire::to_json(wire::AppliedRecord{applied_revision_, applied_at_wall_});
  runtime_.store(StoreCommit{{{key, stored ? stored->revision : 0}}, {{key, value, 0}}}, kCommitTimeoutS,
                 [this, key, value, revision = applied_revision_](const wire::StoreReply &reply) {
                   write_pending_ = false;
                   if (reply.status != 200) return;
                   published_revision_ = revision;
                   configuration_.apply_committed(key, value, reply.revision);
                 });
}

} // namespace loftrouter::core
