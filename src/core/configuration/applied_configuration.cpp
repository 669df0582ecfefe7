#include "loftrouter/core/configuration/applied_configuration.hpp"

#include "loftrouter/wire/configuration.hpp"

namespace loftrouter::core {

namespace {
constexpr double kTellEvery = 2.0, kCommitWithin = 1.0; // s
} // namespace

void AppliedConfiguration::tick() {
  if (!settings_.configuration) return;
  if (configuration_.revision() > seen_) {
    seen_ = configuration_.revision();
    seen_wall_ = runtime_.wall();
  }
  if (seen_ <= told_ || writing_ || runtime_.now() < next_ || !state_limits_.take_write(runtime_.now())) return;
  next_ = runtime_.now() + kTellEvery;
  writing_ = true;
  const auto key = std::string(wire::kConfigApplied) + settings_.node;
  const auto *own = configuration_.find(key);
  const auto value = wire::to_json(wire::AppliedRecord{seen_, seen_wall_});
  runtime_.store(StoreCommit{{{key, own ? own->revision : 0}}, {{key, value, 0}}}, kCommitWithin,
                 [this, key, value, telling = seen_](const wire::StoreReply &reply) {
                   writing_ = false;
                   if (reply.status != 200) return;
                   told_ = telling;
                   configuration_.apply_committed(key, value, reply.revision);
                 });
}

} // namespace loftrouter::core
