#include "loftrouter/core/autoscaling/catalog_loader.hpp"

#include <utility>

namespace loftrouter::core {

namespace {
constexpr double kReloadInterval = 60.0; // s, once types are known
constexpr double kRetryInterval = 1.0;   // s, until then
constexpr double kProbeInterval = 5.0;   // s
constexpr double kCloudDeadline = 3.0;   // s
constexpr double kReadDeadline = 1.0;    // s
constexpr double kWriteDeadline = 2.0;   // s
const char *const kTypesKey = "conf/types";
} // namespace

void CatalogLoader::tick() {
  if (loading_ || context_.runtime.now() < next_load_) return;
  if (!context_.catalog.known() || context_.leadership.leading()) load();
}

void CatalogLoader::probe() {
  if (loading_ || !context_.catalog.known() || context_.runtime.now() < next_probe_) return;
  next_probe_ = context_.runtime.now() + kProbeInterval * (0.8 + 0.4 * context_.runtime.random());
  load();
}

void CatalogLoader::load() {
  loading_ = true;
  next_load_ = context_.runtime.now() + (context_.catalog.known() ? kReloadInterval : kRetryInterval);
  if (context_.catalog.known())
    load_from_cloud();
  else
    load_from_state_service();
}

void CatalogLoader::load_from_state_service() {
  context_.runtime.store(StoreGet{kTypesKey}, kReadDeadline, [this](const wire::StoreReply &reply) {
    const bool found = reply.status == 200 && reply.entries.size() == 1;
    auto types = found ? wire::types_from_json(reply.entries[0].value) : std::nullopt;
    if (!types) return load_from_cloud();
    context_.catalog.update(std::move(*types));
    loading_ = false;
  });
}

void CatalogLoader::load_from_cloud() {
  if (!calls_.take(context_.runtime.now())) {
    loading_ = false;
    return;
  }
  context_.runtime.cloud(CloudTypes{}, kCloudDeadline, [this](const wire::CloudReply &reply) {
    loading_ = false;
    take_from_cloud(reply);
  });
}

void CatalogLoader::take_from_cloud(const wire::CloudReply &reply) {
  if (reply.status != 200 || reply.types.empty()) return;
  const bool first = !context_.catalog.known();
  context_.catalog.update(reply.types);
  if (!first || context_.leadership.role() != Role::Follower) return;
  context_.runtime.store(StoreCommit{{{kTypesKey, 0}}, {{kTypesKey, wire::to_json(context_.catalog.types()), 0}}},
                         kWriteDeadline, [](const wire::StoreReply &) {});
}

} // namespace loftrouter::core
