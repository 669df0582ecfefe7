#include "loftrouter/store/store_client.hpp"

#include <fmt/format.h>

namespace loftrouter::store {

StoreClient::StoreClient(net::Loop &loop, net::Address address, Done done)
    : requests_(loop, address, {8, 256, 4 << 20}), leases_(loop, address, {2, 8, 64 << 10}),
      follows_(loop, address, {2, 4, 8 << 20}), done_(std::move(done)) {}

void StoreClient::send(const core::StoreOp &op) {
  auto answer = [this, id = op.op](int status, std::string &&body) {
    done_(id, wire::decode_store_reply(status, body));
  };
  auto go = [&](net::HttpClient &c, std::string_view method, const std::string &target, const std::string &body = "") {
    c.request(method, target, body, op.deadline_s, answer);
  };
  struct Visitor {
    decltype(go) &call;
    StoreClient &c;
    void operator()(const core::StoreGet &x) { call(c.requests_, "GET", "/store/" + x.key); }
    void operator()(const core::StoreList &x) {
      call(c.requests_, "GET",
           fmt::format("/store?under={}{}&most={}", x.prefix, x.from.empty() ? "" : "&from=" + x.from, x.page));
    }
    void operator()(const core::StoreCommit &x) {
      call(c.requests_, "POST", "/commit", wire::encode_commit(x.preconditions, x.writes));
    }
    void operator()(const core::StoreLeaseGrant &x) {
      call(c.leases_, "POST", "/leases", wire::encode_lease_grant(x.ttl_s));
    }
    void operator()(const core::StoreLeaseRenew &x) {
      call(c.leases_, "POST", fmt::format("/leases/{}/touch", x.lease), wire::encode_lease_renew());
    }
    void operator()(const core::StoreLeaseRevoke &x) { call(c.leases_, "DELETE", fmt::format("/leases/{}", x.lease)); }
    void operator()(const core::StoreWatch &x) {
      call(c.follows_, "GET",
           fmt::format("/follow?under={}&from={}&hold_ms={}", x.prefix, x.from, static_cast<int>(x.hold_s * 1000)));
    }
  };
  std::visit(Visitor{go, *this}, op.what);
}

} // namespace loftrouter::store
