#include "loftrouter/app/rejected_bodies.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace loftrouter::app {

namespace {

constexpr std::size_t kLoggedBytes = 16; // of a body, in hex
constexpr std::size_t kLoggedPathBytes = 120;

constexpr std::array<std::string_view, 7> kInterfaceNames = {"users", "workers",       "operators", "replicas",
                                                             "cells", "state service", "cloud"};
constexpr std::array<std::string_view, 3> kReasonNames = {"undecodable", "invalid_fields", "invalid_request"};

std::string_view reason_name(RejectionReason reason) {
  return kReasonNames[static_cast<std::size_t>(reason)];
}

std::string first_bytes(std::string_view body) {
  std::string hex;
  for (const char byte : body.substr(0, kLoggedBytes))
    hex += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  return hex;
}

} // namespace

std::string_view interface_name(BodyInterface interface) {
  return kInterfaceNames[static_cast<std::size_t>(interface)];
}

std::optional<core::LogLine> RejectedBodies::add(const RejectedBody &rejected, double now_s) {
  ++counts_[static_cast<std::size_t>(rejected.interface)][static_cast<std::size_t>(rejected.reason)];
  if (!lines_.take(now_s)) {
    ++not_logged_;
    return std::nullopt;
  }
  return core::LogLine{core::LogLevel::Info,
                       "body_rejected",
                       {{"interface", interface_name(rejected.interface)},
                        {"reason", reason_name(rejected.reason)},
                        {"peer", rejected.peer},
                        {"method", rejected.method},
                        {"path", rejected.path.substr(0, kLoggedPathBytes)},
                        {"bytes", rejected.body.size()},
                        {"first_bytes", first_bytes(rejected.body)},
                        {"not_logged", std::exchange(not_logged_, 0)}}};
}

std::vector<wire::RejectedBodyCount> RejectedBodies::counts() const {
  std::vector<wire::RejectedBodyCount> listed;
  for (std::size_t interface = 0; interface < kInterfaces; ++interface)
    for (std::size_t reason = 0; reason < kReasons; ++reason)
      if (const auto count = counts_[interface][reason])
        listed.push_back({std::string(kInterfaceNames[interface]), std::string(kReasonNames[reason]), count});
  return listed;
}

} // namespace loftrouter::app
