#include "loftrouter/core/autoscaling/catalog_loader.hpp"

#include <utility>

namespace loftrouter::core {

namespace {
constexpr double kReloadIntervalS = 60.0;
constexpr double kRetryIntervalS = 1.0; // until the first types are loaded
constexpr double kProbeIntervalS = 5.0;
constexpr double kCloudDeadlineS = 3.0;
constexpr double kReadDeadlineS = 1.0;
constexpr double kWriteDeadlineS = 2.0;
const char *const kTypesKey = "conf/types";
} // namespace

void CatalogLoader::tick() {
  if (loading_ || context_.runtime.now() < next_load_) return;
  if (!context_.catalog.known() || context_.leadership.leading()) load();
}

void CatalogLoader::probe() {
  if (loading_ || !context_.catalog.known() || context_.runtime.now() < next_probe_) return;
  next_probe_ = context_.runtime.now() + kProbeIntervalS * (0.8 + 0.4 * context_.runtime.random()); // with jitter
  load();
}

void CatalogLoader::load() {
  loading_ = true;
  next_load_ = context_.runtime.now() + (context_.catalog.known() ? kReloadIntervalS : kRetryIntervalS);
  if (context_.catalog.known())
    load_from_cloud();
  else
    load_from_state_service();
}

void CatalogLoader::load_from_state_service() {
  context_.runtime.store(StoreGet{kTypesKey}, kReadDeadlineS, [this](const wire::StoreReply &reply) {
    const bool found = reply.status == 200 && reply.entries.size() == 1;
    auto types = found ? wire::types_from_json(reply.entries[0].value) : std::nullopt;
    if (!types) return load_from_cloud();
    context_.catalog.update(std::move(*types));
    loading_ = false;
  });
}

void CatalogLoader::load_from_cloud() {
  if (!call_limiter_.take(context_.runtime.now())) {
    loading_ = false;
    return;
  }
  context_.runtime.cloud(CloudTypes{}, kCloudDeadlineS, [this](const wire::CloudReply &reply) {
    loading_ = false;
    on_cloud_types(reply);
  });
}

void CatalogLoader::on_cloud_types(const wire::CloudReply &reply) {
  if (reply.status != 200 || reply.types.empty()) return;
  const bool first_load = !context_.catalog.known();
  context_.catalog.update(reply.types);
  if (!first_load || context_.leadership.role() != Role::Follower) return;
  // Stores the types unless another node has done so.
  context_.runtime.store(StoreCommit{{{kTypesKey, 0}}, {{kTypesKey, wire::to_json(context_.catalog.types()), 0}}},
                         kWriteDeadlineS, [](const wire::StoreReply &) {});
}

} // namespace loftrouter::core
