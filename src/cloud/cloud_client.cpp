#include "loftrouter/cloud/cloud_client.hpp"

#include <fmt/format.h>

namespace loftrouter::cloud {

CloudClient::CloudClient(net::Loop &loop, net::Address address, Done done)
    : http_(loop, std::move(address), {4, 32, 2 << 20}), done_(std::move(done)) {}

void CloudClient::send(const core::CloudOp &op) {
  auto go = [&](wire::CloudCall kind, std::string_view method, const std::string &target, const std::string &body) {
    http_.request(method, target, body, op.deadline_s, [this, id = op.op, kind](int status, std::string &&answer) {
      done_(id, wire::decode_cloud_reply(kind, status, answer));
    });
  };
  struct Visitor {
    decltype(go) &call;
    void operator()(const core::CloudTypes &) { call(wire::CloudCall::MachineTypes, "GET", "/machine_types", ""); }
    void operator()(const core::CloudList &x) {
      call(wire::CloudCall::ListMachines, "GET",
           fmt::format("/machines?{}most=500", x.from.empty() ? "" : "from=" + x.from + "&"), "");
    }
    void operator()(const core::CloudScaleOut &x) {
      call(wire::CloudCall::ScaleOut, "POST", "/machines",
           wire::encode_scale_out(x.request, x.type, x.zone, x.spot, x.count));
    }
    void operator()(const core::CloudScaleIn &x) {
      call(wire::CloudCall::ScaleIn, "POST", "/machines/return", wire::encode_scale_in(x.names));
    }
  };
  std::visit(Visitor{go}, op.what);
}

} // namespace loftrouter::cloud
