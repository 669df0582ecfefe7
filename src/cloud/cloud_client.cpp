#include "loftrouter/cloud/cloud_client.hpp"

#include <utility>

#include <fmt/format.h>

namespace loftrouter::cloud {

namespace {

const net::HttpClient::Options kOptions{.max_connections = 4, .max_queued = 32, .max_response = 2 << 20};
constexpr int kMachinesPerList = 500; // the most that the cloud lists at once

std::string list_target(const std::string &from) {
  const auto after = from.empty() ? std::string() : "from=" + from + "&";
  return fmt::format("/machines?{}most={}", after, kMachinesPerList);
}

} // namespace

CloudClient::CloudClient(net::Loop &loop, net::Address address, net::ReplyObserver &observer, Done done)
    : http_(loop, std::move(address), kOptions), observer_(observer), done_(std::move(done)) {}

void CloudClient::request(const core::CloudOp &operation, wire::CloudCall call, std::string_view method,
                          const std::string &target, const std::string &body) {
  const auto answered = [this, id = operation.op, call, name = std::string(method), target](int status,
                                                                                            std::string &&answer) {
    observer_.decoding(name, target, answer);
    auto reply = wire::decode_cloud_reply(call, status, answer);
    if (reply.undecodable) observer_.rejected(name, target, answer);
    done_(id, std::move(reply));
  };
  http_.request(method, target, body, operation.timeout_s, answered);
}

void CloudClient::send(const core::CloudOp &operation) {
  using wire::CloudCall;
  struct Visitor {
    CloudClient &client;
    const core::CloudOp &operation;
    void operator()(const core::CloudTypes &) const {
      client.request(operation, CloudCall::MachineTypes, "GET", "/machine_types");
    }
    void operator()(const core::CloudList &list) const {
      client.request(operation, CloudCall::ListMachines, "GET", list_target(list.from));
    }
    void operator()(const core::CloudScaleOut &scale_out) const {
      client.request(
          operation, CloudCall::ScaleOut, "POST", "/machines",
          wire::encode_scale_out(scale_out.request, scale_out.type, scale_out.zone, scale_out.spot, scale_out.count));
    }
    void operator()(const core::CloudScaleIn &scale_in) const {
      client.request(operation, CloudCall::ScaleIn, "POST", "/machines/return", wire::encode_scale_in(scale_in.names));
    }
  };
  std::visit(Visitor{*this, operation}, operation.request);
}

} // namespace loftrouter::cloud
