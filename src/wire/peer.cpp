#include "loftrouter/wire/peer.hpp"

#include <algorithm>

#include "loftrouter/wire/messages.hpp"
#include "loftrouter/wire/packed.hpp"

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
bool get_task(Reader &r, std::string &job, std::string &before, std::uint32_t &index, std::uint64_t &attempt) {
  if (!r.text(job)) return false;
  if (job.empty()) job = before;
  if (!valid_job_id(job)) return r.ok = false;
  before = job;
  index = r.get<std::uint32_t>();
  attempt = r.get<std::uint64_t>();
  return r.ok;
}

void put_report(std::string &out, const Heartbeat &w) {
  for (const auto *text : {&w.machine, &w.address, &w.type, &w.zone})
    put_text(out, *text);
  put(out, static_cast<std::uint8_t>(w.spot | w.notice_s.has_value() << 1));
  put(out, w.incarnation);
  put(out, w.sequence);
  put(out, w.fencing_token);
  if (w.notice_s) put(out, static_cast<std::uint32_t>(std::min(4e9, *w.notice_s * 1000)));
  put(out, static_cast<std::uint16_t>(w.tasks.size()));
  std::string_view before;
  for (const auto &t : w.tasks) {
    put_task(out, t.job, before, t.index, t.attempt);
    put(out, static_cast<std::uint8_t>(static_cast<unsigned>(t.phase) | t.saved << 7));
    put(out, static_cast<std::uint8_t>(t.cause));
  }
}
bool get_report(Reader &r, Heartbeat &w) {
  for (auto *text : {&w.machine, &w.address, &w.type, &w.zone})
    if (!r.text(*text) || text->empty() || !valid_utf8(*text)) return false;
  const auto flags = r.get<std::uint8_t>();
  w.spot = flags & 1;
  w.incarnation = r.get<std::uint64_t>();
  w.sequence = r.get<std::uint64_t>();
  w.fencing_token = r.get<std::uint64_t>();
  if (flags & 2) w.notice_s = r.get<std::uint32_t>() / 1000.0;
  const auto count = r.get<std::uint16_t>();
  std::string before;
  for (unsigned i = 0; r.ok && i < count; ++i) {
    TaskStatus t;
    if (!get_task(r, t.job, before, t.index, t.attempt)) return false;
    const auto phase = r.get<std::uint8_t>(), cause = r.get<std::uint8_t>();
    if ((phase & 0x7f) > static_cast<unsigned>(TaskPhase::Exited) || cause > static_cast<unsigned>(ExitCause::Unknown))
      return false;
    t.phase = static_cast<TaskPhase>(phase & 0x7f);
    t.saved = phase >> 7;
    t.cause = static_cast<ExitCause>(cause);
    w.tasks.push_back(std::move(t));
  }
  return r.ok && flags < 4;
}

void put_orders(std::string &out, const PeerMessage &m) {
  put(out, m.status);
  put(out, static_cast<std::uint16_t>(m.orders.size()));
  std::string_view before;
  for (const auto &o : m.orders) {
    put_task(out, o.job, before, o.index, o.attempt);
    put(out, static_cast<std::uint8_t>(o.verb));
    put(out, static_cast<std::uint32_t>(std::min(4e9, o.grace_s * 1000)));
  }
}
bool get_orders(Reader &r, PeerMessage &m) {
  m.status = r.get<std::uint16_t>();
  const auto count = r.get<std::uint16_t>();
  std::string before;
  for (unsigned i = 0; r.ok && i < count; ++i) {
    TaskCommand o;
    if (!get_task(r, o.job, before, o.index, o.attempt)) return false;
    const auto verb = r.get<std::uint8_t>();
    if (verb > static_cast<unsigned>(TaskCommand::Verb::Forget)) return false;
    o.verb = static_cast<TaskCommand::Verb>(verb);
    o.grace_s = r.get<std::uint32_t>() / 1000.0;
    m.orders.push_back(std::move(o));
  }
  return r.ok;
}

void put_ask(std::string &out, const PeerMessage &m) {
  put(out, static_cast<std::uint8_t>(m.verb));
  put_text(out, m.id);
  put_body(out, m.body);
}
bool get_ask(Reader &r, PeerMessage &m) {
  const auto verb = r.get<std::uint8_t>();
  if (verb > static_cast<unsigned>(PeerMessage::Verb::Abort)) return false;
  m.verb = static_cast<PeerMessage::Verb>(verb);
  return r.text(m.id) && valid_job_id(m.id) && get_body(r, m.body);
}

void put_told(std::string &out, const PeerMessage &m) {
  put(out, m.status);
  put(out, m.retry_s);
  put_body(out, m.body);
}
bool get_told(Reader &r, PeerMessage &m) {
  m.status = r.get<std::uint16_t>();
  m.retry_s = r.get<std::uint16_t>();
  return r.ok && m.status >= 200 && m.status < 600 && get_body(r, m.body);
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

std::string encode_peer(const PeerMessage &m) {
  std::string body;
  put(body, m.nonce);
  put(body, m.term);
  put(body, m.sender);
  switch (m.kind) {
  case PeerMessage::Kind::Report:
    put_report(body, m.report);
    return frame(m.kind, body);
  case PeerMessage::Kind::Orders:
    put_orders(body, m);
    return frame(m.kind, body);
  case PeerMessage::Kind::Ask:
    put_ask(body, m);
    return frame(m.kind, body);
  case PeerMessage::Kind::Told:
    put_told(body, m);
    return frame(m.kind, body);
  case PeerMessage::Kind::CellAsk:
  case PeerMessage::Kind::CellTold:
    put_body(body, m.body);
    return frame(m.kind, body);
  default:
    break;
  }
  put(body, m.uptime_ms);
  put(body, m.reads);
  put(body, m.writes);
  put(body, static_cast<std::uint8_t>(m.cut_off | m.leads << 1 | m.spreads << 2 | m.passes << 3));
  put(body, static_cast<std::uint8_t>(static_cast<unsigned>(m.connectivity.workers) |
                                      static_cast<unsigned>(m.connectivity.cloud) << 2));
  put(body, m.connectivity.machines);
  for (double s : {m.connectivity.quiet_s, m.connectivity.carried_s})
    put(body, static_cast<std::uint16_t>(std::clamp(s, 0.0, ConnectivityRecord::kMaxQuiet) * 10));
  auto count = std::min(m.cancelled.size(), kPeerMaxCancelled);
  put(body, static_cast<std::uint8_t>(count));
  for (std::size_t i = 0; i < count; ++i)
    put_text(body, m.cancelled[i]);
  if (m.kind == PeerMessage::Kind::Digest) {
    put(body, static_cast<std::uint8_t>(m.news.size()));
    for (const auto &n : m.news) {
      put_text(body, n.id);
      put(body, n.done);
      put(body, n.running);
      put(body, static_cast<std::uint8_t>(n.late));
      put_text(body, std::string_view(n.reason).substr(0, kPeerMaxReason));
    }
  }
  return frame(m.kind, body);
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
  Reader r{buffer.substr(kPeerHeader, length)};
  out = {};
  out.kind = static_cast<PeerMessage::Kind>(kind);
  out.nonce = r.get<std::uint64_t>();
  out.term = r.get<std::uint64_t>();
  out.sender = r.get<std::uint8_t>();
  auto done = [&](bool good) {
    if (!good || !r.ok || !r.in.empty()) return PeerRead::Garbage;
    buffer.remove_prefix(kPeerHeader + length);
    return PeerRead::Frame;
  };
  switch (out.kind) {
  case PeerMessage::Kind::Report:
    return done(get_report(r, out.report));
  case PeerMessage::Kind::Orders:
    return done(get_orders(r, out));
  case PeerMessage::Kind::Ask:
    return done(get_ask(r, out));
  case PeerMessage::Kind::Told:
    return done(get_told(r, out));
  case PeerMessage::Kind::CellAsk:
  case PeerMessage::Kind::CellTold:
    return done(get_body(r, out.body));
  default:
    break;
  }
  out.uptime_ms = r.get<std::uint32_t>();
  out.reads = r.get<std::uint16_t>();
  out.writes = r.get<std::uint16_t>();
  auto flags = r.get<std::uint8_t>();
  if (flags > 15) return PeerRead::Garbage;
  out.cut_off = flags & 1;
  out.leads = flags & 2;
  out.spreads = flags & 4;
  out.passes = flags & 8;
  const auto connectivity = r.get<std::uint8_t>();
  if ((connectivity & 3) > static_cast<unsigned>(WorkerReachability::Unreachable) ||
      connectivity >> 2 > static_cast<unsigned>(ProviderHealth::Unhealthy))
    return PeerRead::Garbage;
  out.connectivity.workers = static_cast<WorkerReachability>(connectivity & 3);
  out.connectivity.cloud = static_cast<ProviderHealth>(connectivity >> 2);
  out.connectivity.machines = r.get<std::uint16_t>();
  for (double *s : {&out.connectivity.quiet_s, &out.connectivity.carried_s})
    *s = std::min(ConnectivityRecord::kMaxQuiet, r.get<std::uint16_t>() / 10.0);
  auto count = r.get<std::uint8_t>();
  for (unsigned i = 0; r.ok && i < count; ++i) {
    std::string id;
    if (!r.text(id) || !valid_job_id(id)) return PeerRead::Garbage;
    out.cancelled.push_back(std::move(id));
  }
  if (out.kind == PeerMessage::Kind::Digest) {
    auto news = r.get<std::uint8_t>();
    for (unsigned i = 0; r.ok && i < news && i < kPeerMaxNews; ++i) {
      PeerMessage::JobNews n;
      if (!r.text(n.id) || !valid_job_id(n.id)) return PeerRead::Garbage;
      n.done = r.get<std::uint32_t>();
      n.running = r.get<std::uint32_t>();
      n.late = r.get<std::uint8_t>();
      if (!r.text(n.reason) || !valid_utf8(n.reason)) return PeerRead::Garbage;
      out.news.push_back(std::move(n));
    }
  }
  return done(true);
}

} // namespace loftrouter::wire
