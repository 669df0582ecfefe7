#include "loftrouter/store/store_client.hpp"

#include <utility>

#include <fmt/format.h>

namespace loftrouter::store {

namespace {

const net::HttpClient::Options kRequestOptions{.max_connections = 8, .max_queued = 256, .max_response = 4 << 20};
const net::HttpClient::Options kLeaseOptions{.max_connections = 2, .max_queued = 8, .max_response = 64 << 10};
// Two watches are held open, of the open records and of the configuration; the third connection reads changes at once.
const net::HttpClient::Options kWatchOptions{.max_connections = 3, .max_queued = 4, .max_response = 8 << 20};
constexpr double kMillisecondsPerSecond = 1000;

std::string list_target(const core::StoreList &list) {
  const auto after = list.from.empty() ? std::string() : "&from=" + list.from;
  return fmt::format("/store?under={}{}&most={}", list.prefix, after, list.page);
}

std::string watch_target(const core::StoreWatch &watch) {
  const int hold_ms = static_cast<int>(watch.hold_s * kMillisecondsPerSecond);
  return fmt::format("/follow?under={}&from={}&hold_ms={}", watch.prefix, watch.from, hold_ms);
}

} // namespace

StoreClient::StoreClient(net::Loop &loop, net::Address address, net::ReplyObserver &observer, Done done)
    : requests_(loop, address, kRequestOptions), leases_(loop, address, kLeaseOptions),
      watches_(loop, std::move(address), kWatchOptions), observer_(observer), done_(std::move(done)) {}

void StoreClient::request(net::HttpClient &client, const core::StoreOp &operation, std::string_view method,
                          const std::string &target, const std::string &body) {
  const auto answered = [this, id = operation.op, name = std::string(method), target](int status,
                                                                                      std::string &&answer) {
    observer_.decoding(name, target, answer);
    auto reply = wire::decode_store_reply(status, answer);
    if (reply.undecodable) observer_.rejected(name, target, answer);
    done_(id, std::move(reply));
  };
  client.request(method, target, body, operation.timeout_s, answered);
}

void StoreClient::send(const core::StoreOp &operation) {
  struct Visitor {
    StoreClient &client;
    const core::StoreOp &operation;
    void operator()(const core::StoreGet &get) const {
      client.request(client.requests_, operation, "GET", "/store/" + get.key);
    }
    void operator()(const core::StoreList &list) const {
      client.request(client.requests_, operation, "GET", list_target(list));
    }
    void operator()(const core::StoreCommit &commit) const {
      client.request(client.requests_, operation, "POST", "/commit",
                     wire::encode_commit(commit.preconditions, commit.writes));
    }
    void operator()(const core::StoreLeaseGrant &grant) const {
      client.request(client.leases_, operation, "POST", "/leases", wire::encode_lease_grant(grant.ttl_s));
    }
    void operator()(const core::StoreLeaseRenew &renew) const {
      client.request(client.leases_, operation, "POST", fmt::format("/leases/{}/touch", renew.lease),
                     wire::encode_lease_renew());
    }
    void operator()(const core::StoreLeaseRevoke &revoke) const {
      client.request(client.leases_, operation, "DELETE", fmt::format("/leases/{}", revoke.lease));
    }
    void operator()(const core::StoreWatch &watch) const {
      client.request(client.watches_, operation, "GET", watch_target(watch));
    }
  };
  std::visit(Visitor{*this, operation}, operation.request);
}

} // namespace loftrouter::store
