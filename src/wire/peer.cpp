#include "loftrouter/wire/peer.hpp"

#include <algorithm>

#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/job.hpp"
#include "packed.hpp"

namespace loftrouter::wire {

using namespace packed;

namespace {

constexpr std::uint32_t kMagic = 0x5254464c; // "LFTR"
constexpr std::uint16_t kVersion = 4;

// The tasks of one machine are mostly of a few jobs in a row: an empty name stands for the one before.
void put_task(std::string &out, const std::string &job, std::string_view &before, std::uint32_t index,
              std::uint64_t attempt) {
  put_text(out, job == before ? std::string_view() : std::string_view(job));
  before = job;
  put(out, index);
  put(out, attempt);
}
bool get_task(Reader &reader, std::string &job, std::string &before, std::uint32_t &index, std::uint64_t &attempt) {
  if (!reader.text(job)) return false;
  if (job.empty()) job = before;
  if (!valid_job_id(job)) return reader.ok = false;
  before = job;
  index = reader.get<std::uint32_t>();
  attempt = reader.get<std::uint64_t>();
  return reader.ok;
}

void put_report(std::string &out, const Heartbeat &heartbeat) {
  for (const auto *text : {&heartbeat.machine, &heartbeat.address, &heartbeat.type, &heartbeat.zone})
    put_text(out, *text);
  put(out, static_cast<std::uint8_t>(heartbeat.spot | heartbeat.notice_s.has_value() << 1));
  put(out, heartbeat.incarnation);
  put(out, heartbeat.sequence);
  put(out, heartbeat.fencing_token);
  if (heartbeat.notice_s) put(out, static_cast<std::uint32_t>(std::min(4e9, *heartbeat.notice_s * 1000)));
  put(out, static_cast<std::uint16_t>(heartbeat.tasks.size()));
  std::string_view before;
  for (const auto &t : heartbeat.tasks) {
    put_task(out, t.job, before, t.index, t.attempt);
    put(out, static_cast<std::uint8_t>(static_cast<unsigned>(t.phase) | t.saved << 7));
    put(out, static_cast<std::uint8_t>(t.cause));
  }
}
bool get_report(Reader &reader, Heartbeat &heartbeat) {
  for (auto *text : {&heartbeat.machine, &heartbeat.address, &heartbeat.type, &heartbeat.zone})
    if (!reader.text(*text) || text->empty() || !valid_utf8(*text)) return false;
  const auto flags = reader.get<std::uint8_t>();
  heartbeat.spot = flags & 1;
  heartbeat.incarnation = reader.get<std::uint64_t>();
  heartbeat.sequence = reader.get<std::uint64_t>();
  heartbeat.fencing_token = reader.get<std::uint64_t>();
  if (flags & 2) heartbeat.notice_s = reader.get<std::uint32_t>() / 1000.0;
  const auto count = reader.get<std::uint16_t>();
  std::string before;
  for (unsigned i = 0; reader.ok && i < count; ++i) {
    TaskStatus task;
    if (!get_task(reader, task.job, before, task.index, task.attempt)) return false;
    const auto phase = reader.get<std::uint8_t>(), cause = reader.get<std::uint8_t>();
    if ((phase & 0x7f) > static_cast<unsigned>(TaskPhase::Exited) || cause > static_cast<unsigned>(ExitCause::Unknown))
      return false;
    task.phase = static_cast<TaskPhase>(phase & 0x7f);
    task.saved = phase >> 7;
    task.cause = static_cast<ExitCause>(cause);
    heartbeat.tasks.push_back(std::move(task));
  }
  return reader.ok && flags < 4;
}

void put_orders(std::string &out, const PeerMessage &message) {
  put(out, message.status);
  put(out, static_cast<std::uint16_t>(message.orders.size()));
  std::string_view before;
  for (const auto &o : message.orders) {
    put_task(out, o.job, before, o.index, o.attempt);
    put(out, static_cast<std::uint8_t>(o.verb));
    put(out, static_cast<std::uint32_t>(std::min(4e9, o.grace_s * 1000)));
  }
}
bool get_orders(Reader &reader, PeerMessage &message) {
  message.status = reader.get<std::uint16_t>();
  const auto count = reader.get<std::uint16_t>();
  std::string before;
  for (unsigned i = 0; reader.ok && i < count; ++i) {
    TaskCommand command;
    if (!get_task(reader, command.job, before, command.index, command.attempt)) return false;
    const auto verb = reader.get<std::uint8_t>();
    if (verb > static_cast<unsigned>(TaskCommand::Verb::Forget)) return false;
    command.verb = static_cast<TaskCommand::Verb>(verb);
    command.grace_s = reader.get<std::uint32_t>() / 1000.0;
    message.orders.push_back(std::move(command));
  }
  return reader.ok;
}

void put_ask(std::string &out, const PeerMessage &message) {
  put(out, static_cast<std::uint8_t>(message.verb));
  put_text(out, message.id);
  put_body(out, message.body);
}
bool get_ask(Reader &reader, PeerMessage &message) {
  const auto verb = reader.get<std::uint8_t>();
  if (verb > static_cast<unsigned>(PeerMessage::Verb::Abort)) return false;
  message.verb = static_cast<PeerMessage::Verb>(verb);
  return reader.text(message.id) && valid_job_id(message.id) && get_body(reader, message.body);
}

void put_told(std::string &out, const PeerMessage &message) {
  put(out, message.status);
  put(out, message.retry_s);
  put_body(out, message.body);
}
bool get_told(Reader &reader, PeerMessage &message) {
  message.status = reader.get<std::uint16_t>();
  message.retry_s = reader.get<std::uint16_t>();
  return reader.ok && message.status >= 200 && message.status < 600 && get_body(reader, message.body);
}

std::string frame(PeerMessage::Kind kind, const std::string &body) {
  std::string out;
  out.reserve(kPeerHeader + body.size());
  put(out, kMagic);
  put(out, kVersion);
  put(out, static_cast<std::uint16_t>(kind));
  put(out, static_cast<std::uint32_t>(body.size()));
  return out += body;
}

} // namespace

std::size_t peer_news_size(const PeerMessage::JobNews &n) {
  return 11 + n.id.size() + std::min(n.reason.size(), kPeerMaxReason);
}

std::string encode_peer(const PeerMessage &message) {
  std::string body;
  put(body, message.nonce);
  put(body, message.term);
  put(body, message.sender);
  switch (message.kind) {
  case PeerMessage::Kind::Report:
    put_report(body, message.report);
    return frame(message.kind, body);
  case PeerMessage::Kind::Orders:
    put_orders(body, message);
    return frame(message.kind, body);
  case PeerMessage::Kind::Ask:
    put_ask(body, message);
    return frame(message.kind, body);
  case PeerMessage::Kind::Told:
    put_told(body, message);
    return frame(message.kind, body);
  case PeerMessage::Kind::CellAsk:
  case PeerMessage::Kind::CellTold:
    put_body(body, message.body);
    return frame(message.kind, body);
  default:
    break;
  }
  put(body, message.uptime_ms);
  put(body, message.reads);
  put(body, message.writes);
  put(body,
      static_cast<std::uint8_t>(message.cut_off | message.leads << 1 | message.spreads << 2 | message.passes << 3));
  put(body, static_cast<std::uint8_t>(static_cast<unsigned>(message.connectivity.workers) |
                                      static_cast<unsigned>(message.connectivity.cloud) << 2));
  put(body, message.connectivity.machines);
  for (double s : {message.connectivity.quiet_s, message.connectivity.carried_s})
    put(body, static_cast<std::uint16_t>(std::clamp(s, 0.0, ConnectivityRecord::kMaxQuiet) * 10));
  auto count = std::min(message.cancelled.size(), kPeerMaxCancelled);
  put(body, static_cast<std::uint8_t>(count));
  for (std::size_t i = 0; i < count; ++i)
    put_text(body, message.cancelled[i]);
  if (message.kind == PeerMessage::Kind::Digest) {
    put(body, static_cast<std::uint8_t>(message.news.size()));
    for (const auto &n : message.news) {
      put_text(body, n.id);
      put(body, n.done);
      put(body, n.running);
      put(body, static_cast<std::uint8_t>(n.late));
      put_text(body, std::string_view(n.reason).substr(0, kPeerMaxReason));
    }
  }
  return frame(message.kind, body);
}

PeerRead read_peer(std::string_view &buffer, PeerMessage &out) {
  Reader head{buffer};
  auto magic = head.get<std::uint32_t>();
  auto version = head.get<std::uint16_t>();
  auto kind = head.get<std::uint16_t>();
  auto length = head.get<std::uint32_t>();
  if (!head.ok) return PeerRead::NeedMore;
  if (magic != kMagic || version != kVersion || kind < 1 || kind > 9) return PeerRead::Garbage;
  if (length > (kind > 7 ? kPeerMaxPassed : kind > 3 ? kPeerMaxRelayed : kPeerMaxBody)) return PeerRead::Garbage;
  if (buffer.size() < kPeerHeader + length) return PeerRead::NeedMore;
  Reader reader{buffer.substr(kPeerHeader, length)};
  out = {};
  out.kind = static_cast<PeerMessage::Kind>(kind);
  out.nonce = reader.get<std::uint64_t>();
  out.term = reader.get<std::uint64_t>();
  out.sender = reader.get<std::uint8_t>();
  auto done = [&](bool good) {
    if (!good || !reader.ok || !reader.in.empty()) return PeerRead::Garbage;
    buffer.remove_prefix(kPeerHeader + length);
    return PeerRead::Frame;
  };
  switch (out.kind) {
  case PeerMessage::Kind::Report:
    return done(get_report(reader, out.report));
  case PeerMessage::Kind::Orders:
    return done(get_orders(reader, out));
  case PeerMessage::Kind::Ask:
    return done(get_ask(reader, out));
  case PeerMessage::Kind::Told:
    return done(get_told(reader, out));
  case PeerMessage::Kind::CellAsk:
  case PeerMessage::Kind::CellTold:
    return done(get_body(reader, out.body));
  default:
    break;
  }
  out.uptime_ms = reader.get<std::uint32_t>();
  out.reads = reader.get<std::uint16_t>();
  out.writes = reader.get<std::uint16_t>();
  auto flags = reader.get<std::uint8_t>();
  if (flags > 15) return PeerRead::Garbage;
  out.cut_off = flags & 1;
  out.leads = flags & 2;
  out.spreads = flags & 4;
  out.passes = flags & 8;
  const auto connectivity = reader.get<std::uint8_t>();
  if ((connectivity & 3) > static_cast<unsigned>(WorkerReachability::Unreachable) ||
      connectivity >> 2 > static_cast<unsigned>(ProviderHealth::Unhealthy))
    return PeerRead::Garbage;
  out.connectivity.workers = static_cast<WorkerReachability>(connectivity & 3);
  out.connectivity.cloud = static_cast<ProviderHealth>(connectivity >> 2);
  out.connectivity.machines = reader.get<std::uint16_t>();
  for (double *s : {&out.connectivity.quiet_s, &out.connectivity.carried_s})
    *s = std::min(ConnectivityRecord::kMaxQuiet, reader.get<std::uint16_t>() / 10.0);
  auto count = reader.get<std::uint8_t>();
  for (unsigned i = 0; reader.ok && i < count; ++i) {
    std::string id;
    if (!reader.text(id) || !valid_job_id(id)) return PeerRead::Garbage;
    out.cancelled.push_back(std::move(id));
  }
  if (out.kind == PeerMessage::Kind::Digest) {
    auto news = reader.get<std::uint8_t>();
    for (unsigned i = 0; reader.ok && i < news && i < kPeerMaxNews; ++i) {
      PeerMessage::JobNews n;
      if (!reader.text(n.id) || !valid_job_id(n.id)) return PeerRead::Garbage;
      n.done = reader.get<std::uint32_t>();
      n.running = reader.get<std::uint32_t>();
      n.late = reader.get<std::uint8_t>();
      if (!reader.text(n.reason) || !valid_utf8(n.reason)) return PeerRead::Garbage;
      out.news.push_back(std::move(n));
    }
  }
  return done(true);
}

} // namespace loftrouter::wire
