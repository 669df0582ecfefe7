#include "loftrouter/wire/peer.hpp"

#include <algorithm>

#include "frame.hpp"
#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/job.hpp"
#include "packed.hpp"

namespace loftrouter::wire {

namespace {

using Kind = PeerMessage::Kind;

// Returns the size limit of a body in bytes. Relies on the order of kinds: node state, then forwarded messages, then
// cell frames.
std::size_t max_body_bytes(std::uint16_t kind) {
  if (kind > static_cast<std::uint16_t>(Kind::UserResponse)) return kPeerMaxCellBody;
  if (kind > static_cast<std::uint16_t>(Kind::Digest)) return kPeerMaxForwardedBody;
  return kPeerMaxBody;
}

constexpr FrameFormat kFormat{0x5254464c, 4, static_cast<std::uint16_t>(Kind::CellResponse), max_body_bytes}; // "LFTR"

constexpr double kMillisecondsPerSecond = 1000;
constexpr double kTenthsPerSecond = 10;
constexpr double kMaxMilliseconds = 4e9; // fits into 32 bits

std::uint32_t to_milliseconds(double seconds) {
  return static_cast<std::uint32_t>(std::min(kMaxMilliseconds, seconds * kMillisecondsPerSecond));
}

// Encodes task IDs. To save space, an empty job ID stands for that of the previous task.
class TaskWriter {
public:
  explicit TaskWriter(PackedWriter &writer) : writer_(writer) {}

  void task(const std::string &job, std::uint32_t index, std::uint64_t attempt) {
    writer_.text(job == previous_job_ ? std::string_view() : std::string_view(job));
    writer_.u32(index);
    writer_.u64(attempt);
    previous_job_ = job;
  }

private:
  PackedWriter &writer_;
  std::string_view previous_job_;
};

// Decodes the task IDs written by TaskWriter.
class TaskReader {
public:
  explicit TaskReader(PackedReader &reader) : reader_(reader) {}

  bool task(std::string &job, std::uint32_t &index, std::uint64_t &attempt) {
    if (!reader_.text(job)) return false;
    if (job.empty()) job = previous_job_;
    if (!valid_job_id(job)) return reader_.fail();
    previous_job_ = job;
    index = reader_.u32();
    attempt = reader_.u64();
    return reader_.ok();
  }

private:
  PackedReader &reader_;
  std::string previous_job_;
};

// ---- Heartbeat ----

constexpr unsigned kSpotFlag = 1;
constexpr unsigned kTerminationNoticeFlag = 2;
constexpr unsigned kKnownHeartbeatFlags = kSpotFlag | kTerminationNoticeFlag;
// A byte holds the task's phase and, in its highest bit, whether it saved a checkpoint.
constexpr unsigned kSavedFlag = 0x80;
constexpr unsigned kPhaseMask = 0x7f;

void write_task_status(PackedWriter &writer, TaskWriter &tasks, const TaskStatus &task) {
  tasks.task(task.job, task.index, task.attempt);
  writer.u8(static_cast<std::uint8_t>(static_cast<unsigned>(task.phase) | (task.saved ? kSavedFlag : 0)));
  writer.u8(static_cast<std::uint8_t>(task.cause));
}

bool read_task_status(PackedReader &reader, TaskReader &tasks, TaskStatus &task) {
  if (!tasks.task(task.job, task.index, task.attempt)) return false;
  const auto phase_and_saved = reader.u8();
  const auto cause = reader.u8();
  const unsigned phase = phase_and_saved & kPhaseMask;
  if (phase > static_cast<unsigned>(TaskPhase::Exited)) return reader.fail();
  if (cause > static_cast<unsigned>(ExitCause::Unknown)) return reader.fail();
  task.phase = static_cast<TaskPhase>(phase);
  task.saved = phase_and_saved & kSavedFlag;
  task.cause = static_cast<ExitCause>(cause);
  return reader.ok();
}

void write_heartbeat(PackedWriter &writer, const Heartbeat &heartbeat) {
  for (const auto *text : {&heartbeat.machine, &heartbeat.address, &heartbeat.type, &heartbeat.zone})
    writer.text(*text);
  writer.u8(
      static_cast<std::uint8_t>((heartbeat.spot ? kSpotFlag : 0) | (heartbeat.notice_s ? kTerminationNoticeFlag : 0)));
  writer.u64(heartbeat.incarnation);
  writer.u64(heartbeat.sequence);
  writer.u64(heartbeat.fencing_token);
  if (heartbeat.notice_s) writer.u32(to_milliseconds(*heartbeat.notice_s));
  writer.u16(static_cast<std::uint16_t>(heartbeat.tasks.size()));
  TaskWriter tasks(writer);
  for (const auto &task : heartbeat.tasks)
    write_task_status(writer, tasks, task);
}

bool read_heartbeat(PackedReader &reader, Heartbeat &heartbeat) {
  for (auto *text : {&heartbeat.machine, &heartbeat.address, &heartbeat.type, &heartbeat.zone})
    if (!reader.text(*text) || text->empty() || !valid_utf8(*text)) return reader.fail();
  const auto flags = reader.u8();
  if (flags > kKnownHeartbeatFlags) return reader.fail();
  heartbeat.spot = flags & kSpotFlag;
  heartbeat.incarnation = reader.u64();
  heartbeat.sequence = reader.u64();
  heartbeat.fencing_token = reader.u64();
  if (flags & kTerminationNoticeFlag) heartbeat.notice_s = reader.u32() / kMillisecondsPerSecond;
  const auto count = reader.u16();
  TaskReader tasks(reader);
  for (unsigned i = 0; reader.ok() && i < count; ++i) {
    TaskStatus task;
    if (!read_task_status(reader, tasks, task)) return false;
    heartbeat.tasks.push_back(std::move(task));
  }
  return reader.ok();
}

// ---- Commands ----

void write_commands(PackedWriter &writer, const PeerMessage &message) {
  writer.u16(message.status);
  writer.u16(static_cast<std::uint16_t>(message.commands.size()));
  TaskWriter tasks(writer);
  for (const auto &command : message.commands) {
    tasks.task(command.job, command.index, command.attempt);
    writer.u8(static_cast<std::uint8_t>(command.verb));
    writer.u32(to_milliseconds(command.grace_s));
  }
}

bool read_command(PackedReader &reader, TaskReader &tasks, TaskCommand &command) {
  if (!tasks.task(command.job, command.index, command.attempt)) return false;
  const auto verb = reader.u8();
  if (verb > static_cast<unsigned>(TaskCommand::Verb::Forget)) return reader.fail();
  command.verb = static_cast<TaskCommand::Verb>(verb);
  command.grace_s = reader.u32() / kMillisecondsPerSecond;
  return reader.ok();
}

bool read_commands(PackedReader &reader, PeerMessage &message) {
  message.status = reader.u16();
  const auto count = reader.u16();
  TaskReader tasks(reader);
  for (unsigned i = 0; reader.ok() && i < count; ++i) {
    TaskCommand command;
    if (!read_command(reader, tasks, command)) return false;
    message.commands.push_back(std::move(command));
  }
  return reader.ok();
}

// ---- UserRequest, UserResponse ----

void write_user_request(PackedWriter &writer, const PeerMessage &message) {
  writer.u8(static_cast<std::uint8_t>(message.verb));
  writer.text(message.id);
  writer.body(message.body);
}

bool read_user_request(PackedReader &reader, PeerMessage &message) {
  const auto verb = reader.u8();
  if (verb > static_cast<unsigned>(PeerMessage::Verb::Abort)) return reader.fail();
  message.verb = static_cast<PeerMessage::Verb>(verb);
  return reader.text(message.id) && valid_job_id(message.id) && reader.body(message.body);
}

void write_user_response(PackedWriter &writer, const PeerMessage &message) {
  writer.u16(message.status);
  writer.u16(message.retry_s);
  writer.body(message.body);
}

bool read_user_response(PackedReader &reader, PeerMessage &message) {
  message.status = reader.u16();
  message.retry_s = reader.u16();
  if (message.status < 200 || message.status >= 600) return reader.fail();
  return reader.body(message.body);
}

// ---- Ping, Pong, Digest ----

constexpr unsigned kCutOffFlag = 1;
constexpr unsigned kLeadsFlag = 2;
constexpr unsigned kSpreadsFlag = 4;
constexpr unsigned kForwardsFlag = 8;
constexpr unsigned kKnownNodeFlags = kCutOffFlag | kLeadsFlag | kSpreadsFlag | kForwardsFlag;
// A byte holds the reachability of workers (low two bits) and the health of the cloud provider.
constexpr unsigned kWorkersMask = 3;
constexpr unsigned kCloudShift = 2;

void write_connectivity(PackedWriter &writer, const ConnectivityRecord &connectivity) {
  writer.u8(static_cast<std::uint8_t>(static_cast<unsigned>(connectivity.workers) |
                                      static_cast<unsigned>(connectivity.cloud) << kCloudShift));
  writer.u16(connectivity.machines);
  for (double seconds : {connectivity.last_heartbeat_age_s, connectivity.last_forwardable_heartbeat_age_s}) {
    const double capped = std::clamp(seconds, 0.0, ConnectivityRecord::kMaxAgeS);
    writer.u16(static_cast<std::uint16_t>(capped * kTenthsPerSecond));
  }
}

bool read_connectivity(PackedReader &reader, ConnectivityRecord &connectivity) {
  const auto packed_health = reader.u8();
  const unsigned workers = packed_health & kWorkersMask;
  const unsigned cloud = packed_health >> kCloudShift;
  if (workers > static_cast<unsigned>(WorkerReachability::Unreachable)) return reader.fail();
  if (cloud > static_cast<unsigned>(ProviderHealth::Unhealthy)) return reader.fail();
  connectivity.workers = static_cast<WorkerReachability>(workers);
  connectivity.cloud = static_cast<ProviderHealth>(cloud);
  connectivity.machines = reader.u16();
  for (double *seconds : {&connectivity.last_heartbeat_age_s, &connectivity.last_forwardable_heartbeat_age_s})
    *seconds = std::min(ConnectivityRecord::kMaxAgeS, reader.u16() / kTenthsPerSecond);
  return reader.ok();
}

void write_cancelled(PackedWriter &writer, const std::vector<std::string> &cancelled) {
  const auto count = std::min(cancelled.size(), kPeerMaxCancelled);
  writer.u8(static_cast<std::uint8_t>(count));
  for (std::size_t i = 0; i < count; ++i)
    writer.text(cancelled[i]);
}

bool read_cancelled(PackedReader &reader, std::vector<std::string> &cancelled) {
  const auto count = reader.u8();
  for (unsigned i = 0; reader.ok() && i < count; ++i) {
    std::string id;
    if (!reader.text(id) || !valid_job_id(id)) return reader.fail();
    cancelled.push_back(std::move(id));
  }
  return reader.ok();
}

void write_node_state(PackedWriter &writer, const PeerMessage &message) {
  writer.u32(message.uptime_ms);
  writer.u16(message.store_reads);
  writer.u16(message.store_writes);
  unsigned flags = 0;
  if (message.cut_off) flags |= kCutOffFlag;
  if (message.leads) flags |= kLeadsFlag;
  if (message.spreads) flags |= kSpreadsFlag;
  if (message.forwards_heartbeats) flags |= kForwardsFlag;
  writer.u8(static_cast<std::uint8_t>(flags));
  write_connectivity(writer, message.connectivity);
  write_cancelled(writer, message.cancelled);
}

bool read_node_state(PackedReader &reader, PeerMessage &message) {
  message.uptime_ms = reader.u32();
  message.store_reads = reader.u16();
  message.store_writes = reader.u16();
  const auto flags = reader.u8();
  if (flags > kKnownNodeFlags) return reader.fail();
  message.cut_off = flags & kCutOffFlag;
  message.leads = flags & kLeadsFlag;
  message.spreads = flags & kSpreadsFlag;
  message.forwards_heartbeats = flags & kForwardsFlag;
  return read_connectivity(reader, message.connectivity) && read_cancelled(reader, message.cancelled);
}

void write_job_digest(PackedWriter &writer, const PeerMessage::JobDigest &job) {
  writer.text(job.id);
  writer.u32(job.done);
  writer.u32(job.running);
  writer.flag(job.late);
  writer.text(std::string_view(job.reason).substr(0, kPeerMaxReason));
}

bool read_job_digest(PackedReader &reader, PeerMessage::JobDigest &job) {
  if (!reader.text(job.id) || !valid_job_id(job.id)) return reader.fail();
  job.done = reader.u32();
  job.running = reader.u32();
  job.late = reader.u8() != 0;
  return reader.text(job.reason) && valid_utf8(job.reason);
}

void write_digest(PackedWriter &writer, const PeerMessage &message) {
  write_node_state(writer, message);
  writer.u8(static_cast<std::uint8_t>(message.jobs.size()));
  for (const auto &job : message.jobs)
    write_job_digest(writer, job);
}

bool read_digest(PackedReader &reader, PeerMessage &message) {
  if (!read_node_state(reader, message)) return false;
  const auto count = std::min<std::size_t>(reader.u8(), kPeerMaxDigestJobs);
  for (std::size_t i = 0; reader.ok() && i < count; ++i) {
    PeerMessage::JobDigest job;
    if (!read_job_digest(reader, job)) return reader.fail();
    message.jobs.push_back(std::move(job));
  }
  return reader.ok();
}

// ---- Dispatch by message kind ----

void write_fields(PackedWriter &writer, const PeerMessage &message) {
  switch (message.kind) {
  case Kind::Ping:
  case Kind::Pong:
    return write_node_state(writer, message);
  case Kind::Digest:
    return write_digest(writer, message);
  case Kind::Heartbeat:
    return write_heartbeat(writer, message.heartbeat);
  case Kind::Commands:
    return write_commands(writer, message);
  case Kind::UserRequest:
    return write_user_request(writer, message);
  case Kind::UserResponse:
    return write_user_response(writer, message);
  case Kind::CellRequest:
  case Kind::CellResponse:
    return writer.body(message.body);
  }
}

bool read_fields(PackedReader &reader, PeerMessage &message) {
  switch (message.kind) {
  case Kind::Ping:
  case Kind::Pong:
    return read_node_state(reader, message);
  case Kind::Digest:
    return read_digest(reader, message);
  case Kind::Heartbeat:
    return read_heartbeat(reader, message.heartbeat);
  case Kind::Commands:
    return read_commands(reader, message);
  case Kind::UserRequest:
    return read_user_request(reader, message);
  case Kind::UserResponse:
    return read_user_response(reader, message);
  case Kind::CellRequest:
  case Kind::CellResponse:
    return reader.body(message.body);
  }
  return reader.fail();
}

} // namespace

std::size_t job_digest_size(const PeerMessage::JobDigest &job) {
  constexpr std::size_t fixed_bytes = 11; // two 32-bit numbers, a flag and two length bytes
  return fixed_bytes + job.id.size() + std::min(job.reason.size(), kPeerMaxReason);
}

std::string encode_peer(const PeerMessage &message) {
  PackedWriter writer;
  writer.u64(message.nonce);
  writer.u64(message.term);
  writer.u8(message.sender);
  write_fields(writer, message);
  return encode_frame(kFormat, static_cast<std::uint16_t>(message.kind), std::move(writer).take());
}

FrameRead read_peer(std::string_view &buffer, PeerMessage &out) {
  FrameView frame;
  const auto result = find_frame(kFormat, buffer, frame);
  if (result != FrameRead::Frame) return result;
  out = {};
  out.kind = static_cast<Kind>(frame.kind);
  PackedReader reader(frame.body);
  out.nonce = reader.u64();
  out.term = reader.u64();
  out.sender = reader.u8();
  if (!read_fields(reader, out) || !reader.complete()) return FrameRead::Garbage;
  buffer.remove_prefix(frame.size);
  return FrameRead::Frame;
}

} // namespace loftrouter::wire
