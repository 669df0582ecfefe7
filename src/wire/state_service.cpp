#include "loftrouter/wire/state_service.hpp"

#include "json_fields.hpp"
#include "protocol_names.hpp"

namespace loftrouter::wire {

namespace {

constexpr DecodeLimits kReplyLimits{32, 2'000'000}; // depth, items; replies have no limit in bytes
constexpr double kMillisecondsPerSecond = 1000;

Json to_json(const Precondition &precondition) {
  return {{field::kKey, precondition.key}, {field::kModRevision, precondition.mod_revision}};
}

Json to_json(const Mutation &mutation) {
  if (!mutation.value) return {{field::kDelete, mutation.key}};
  Json json = {{field::kPut, mutation.key}, {field::kValue, *mutation.value}};
  if (mutation.lease) json[field::kLease] = mutation.lease;
  return json;
}

std::optional<KeyValue> key_value_from_json(const Json &json) {
  const auto key = read_text(member(json, field::kKey));
  const auto mod_revision = read_count(member(json, field::kModRevision));
  if (!key || !mod_revision) return std::nullopt;
  const auto lease = read_count(member(json, field::kLease)).value_or(0);
  return KeyValue{*key, member(json, field::kValue), *mod_revision, lease};
}

std::optional<WatchEvent> event_from_json(const Json &json) {
  const auto mod_revision = read_count(member(json, field::kModRevision)).value_or(0);
  if (const auto put = read_text(member(json, field::kPut)))
    return WatchEvent{*put, member(json, field::kValue), mod_revision};
  if (const auto deleted = read_text(member(json, field::kDelete)))
    return WatchEvent{*deleted, std::nullopt, mod_revision};
  return std::nullopt;
}

// Appends the valid elements of `list` to `out`; skips invalid ones.
template <class Element>
void read_list(const Json &list, std::optional<Element> (*read)(const Json &), std::vector<Element> &out) {
  if (!list.is_array()) return;
  for (const auto &json : list)
    if (auto element = read(json)) out.push_back(std::move(*element));
}

} // namespace

std::string encode_commit(const std::vector<Precondition> &preconditions, const std::vector<Mutation> &mutations) {
  Json encoded_preconditions = Json::array();
  for (const auto &precondition : preconditions)
    encoded_preconditions.push_back(to_json(precondition));
  Json encoded_mutations = Json::array();
  for (const auto &mutation : mutations)
    encoded_mutations.push_back(to_json(mutation));
  return encode(
      {{field::kPreconditions, std::move(encoded_preconditions)}, {field::kMutations, std::move(encoded_mutations)}});
}

std::string encode_lease_grant(double ttl_s) {
  return encode({{field::kTtlMs, static_cast<std::int64_t>(ttl_s * kMillisecondsPerSecond)}});
}

std::string encode_lease_renew() {
  return encode(Json::object());
}

StoreReply decode_store_reply(int status, std::string_view body) {
  StoreReply reply;
  reply.status = status;
  if (status == 0 || body.empty()) return reply;
  const auto json = decode(body, kReplyLimits);
  if (!json || !json->is_object()) {
    reply.undecodable = true;
    // With an invalid reply, it is unknown whether the request was executed.
    if (status == 200) reply.status = 0;
    return reply;
  }
  reply.revision = read_count(member(*json, field::kRevision)).value_or(0);
  reply.lease = read_count(member(*json, field::kLease)).value_or(0);
  reply.more = read_flag(member(*json, field::kMore));
  for (const auto &key : member(*json, field::kFailed))
    if (key.is_string()) reply.failed.push_back(key.get<std::string>());
  if (auto entry = key_value_from_json(*json)) reply.entries.push_back(std::move(*entry));
  read_list(member(*json, field::kEntries), key_value_from_json, reply.entries);
  read_list(member(*json, field::kEvents), event_from_json, reply.events);
  return reply;
}

} // namespace loftrouter::wire
