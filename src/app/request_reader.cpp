#include "loftrouter/app/request_reader.hpp"

#include <utility>

#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::app {

namespace {

using Result = std::variant<core::Command, RejectedRequest>;

constexpr std::string_view kHeartbeatPath = "/v1/report";
constexpr std::string_view kHealthPath = "/up";
constexpr std::string_view kJobsPath = "/api/jobs";
constexpr std::string_view kJobPath = "/api/jobs/"; // followed by the id
constexpr std::string_view kCancelSuffix = "/abort";
constexpr std::string_view kAdminPath = "/admin/";
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;

std::string_view path_of(std::string_view target) {
  return target.substr(0, target.find('?'));
}

RejectedRequest method_not_allowed() {
  return {.status = kMethodNotAllowed, .body = wire::encode_error("method not allowed"), .reason = {}};
}

// The body is decoded once more to say why: rejected ones are few.
RejectedRequest rejected_cbor(std::string_view text, std::string_view body) {
  const auto reason = wire::decode(body) ? RejectionReason::InvalidFields : RejectionReason::Undecodable;
  return {.status = kBadRequest, .body = wire::encode_error(text), .reason = reason};
}

Result read_heartbeat_request(core::RequestId id, const net::HttpMessage &message) {
  if (message.method != "POST") return method_not_allowed();
  auto heartbeat = wire::decode_heartbeat(message.body);
  if (!heartbeat) return rejected_cbor("malformed report", message.body);
  return core::HeartbeatCommand{id, std::move(*heartbeat)};
}

Result read_submission(core::RequestId id, const net::HttpMessage &message) {
  if (message.method != "POST") return method_not_allowed();
  auto spec = wire::decode_job(message.body);
  if (const auto *error = std::get_if<wire::FieldError>(&spec)) return rejected_cbor(error->message, message.body);
  return core::SubmitCommand{id, std::move(std::get<JobSpec>(spec))};
}

// Reads a query or a cancellation. `job_path` follows kJobPath.
Result read_job_request(core::RequestId id, const net::HttpMessage &message, std::string_view job_path) {
  if (job_path.size() > kCancelSuffix.size() && job_path.ends_with(kCancelSuffix)) {
    if (message.method != "POST") return method_not_allowed();
    job_path.remove_suffix(kCancelSuffix.size());
    return core::CancelCommand{id, std::string(job_path)};
  }
  if (message.method != "GET") return method_not_allowed();
  return core::LookupCommand{id, std::string(job_path)};
}

Result read_admin(core::RequestId id, const net::HttpMessage &message) {
  auto request = wire::read_admin_request(message.method, message.target, message.body);
  const auto *error = std::get_if<wire::AdminError>(&request);
  if (!error) return core::AdminCommand{id, std::move(std::get<wire::AdminRequest>(request))};
  RejectedRequest rejected{
      .status = error->status, .body = wire::encode_admin_error(error->text), .content_type = kJsonType, .reason = {}};
  if (error->status == kBadRequest && !message.body.empty())
    rejected.reason = error->undecodable ? RejectionReason::Undecodable : RejectionReason::InvalidFields;
  return rejected;
}

} // namespace

BodyInterface interface_of(std::string_view target) {
  const std::string_view path = path_of(target);
  if (path == kHeartbeatPath) return BodyInterface::Workers;
  return path.starts_with(kAdminPath) ? BodyInterface::Operators : BodyInterface::Users;
}

Result read_request(core::RequestId id, const net::HttpMessage &message) {
  const std::string_view path = path_of(message.target);
  if (path == kHeartbeatPath) return read_heartbeat_request(id, message);
  if (path == kHealthPath) {
    if (message.method != "GET") return method_not_allowed();
    return core::HealthCheckCommand{id};
  }
  if (path == kJobsPath) return read_submission(id, message);
  if (path.size() > kJobPath.size() && path.starts_with(kJobPath))
    return read_job_request(id, message, path.substr(kJobPath.size()));
  if (path.starts_with(kAdminPath)) return read_admin(id, message);
  return RejectedRequest{.status = kNotFound, .body = wire::encode_error("no such path"), .reason = {}};
}

} // namespace loftrouter::app
