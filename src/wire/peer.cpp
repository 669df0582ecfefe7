#include "loftrouter/wire/peer.hpp"

#include <cstring>

#include "loftrouter/wire/messages.hpp"

namespace loft::wire {

namespace {

constexpr std::uint32_t kMagic = 0x5254464c; // "LFTR"
constexpr std::uint16_t kVersion = 2;

template <class T> void put(std::string &out, T v) {
  for (std::size_t i = 0; i < sizeof v; ++i)
    out.push_back(static_cast<char>(v >> (8 * i)));
}

struct Reader {
  std::string_view in;
  bool ok = true;
  template <class T> T get() {
    T v = 0;
    if (in.size() < sizeof v) {
      ok = false;
      return 0;
    }
    for (std::size_t i = 0; i < sizeof v; ++i)
      v = static_cast<T>(v | static_cast<T>(static_cast<T>(static_cast<unsigned char>(in[i])) << (8 * i)));
    in.remove_prefix(sizeof v);
    return v;
  }
};

} // namespace

std::size_t peer_news_size(const PeerMessage::JobNews &n) {
  return 11 + n.id.size() + std::min(n.reason.size(), kPeerMaxReason);
}

std::string encode_peer(const PeerMessage &m) {
  std::string body;
  put(body, m.nonce);
  put(body, m.term);
  put(body, m.uptime_ms);
  put(body, m.reads);
  put(body, m.writes);
  put(body, static_cast<std::uint8_t>(m.cut_off | m.hears_workers << 1));
  auto count = std::min(m.cancelled.size(), kPeerMaxCancelled);
  put(body, static_cast<std::uint8_t>(count));
  for (std::size_t i = 0; i < count; ++i) {
    put(body, static_cast<std::uint8_t>(m.cancelled[i].size()));
    body += m.cancelled[i];
  }
  if (m.kind == PeerMessage::Kind::Digest) {
    put(body, static_cast<std::uint8_t>(m.news.size()));
    for (const auto &n : m.news) {
      put(body, static_cast<std::uint8_t>(n.id.size()));
      body += n.id;
      put(body, n.done);
      put(body, n.running);
      put(body, static_cast<std::uint8_t>(n.late));
      auto reason = std::string_view(n.reason).substr(0, kPeerMaxReason);
      put(body, static_cast<std::uint8_t>(reason.size()));
      body += reason;
    }
  }
  std::string out;
  put(out, kMagic);
  put(out, kVersion);
  put(out, static_cast<std::uint16_t>(m.kind));
  put(out, static_cast<std::uint32_t>(body.size()));
  return out + body;
}

PeerRead read_peer(std::string &buffer, PeerMessage &out) {
  Reader head{buffer};
  auto magic = head.get<std::uint32_t>();
  auto version = head.get<std::uint16_t>();
  auto kind = head.get<std::uint16_t>();
  auto length = head.get<std::uint32_t>();
  if (!head.ok) return PeerRead::NeedMore;
  if (magic != kMagic || version != kVersion || kind < 1 || kind > 3 || length > kPeerMaxBody) return PeerRead::Garbage;
  if (buffer.size() < kPeerHeader + length) return PeerRead::NeedMore;
  Reader r{std::string_view(buffer).substr(kPeerHeader, length)};
  out = {};
  out.kind = static_cast<PeerMessage::Kind>(kind);
  out.nonce = r.get<std::uint64_t>();
  out.term = r.get<std::uint64_t>();
  out.uptime_ms = r.get<std::uint32_t>();
  out.reads = r.get<std::uint16_t>();
  out.writes = r.get<std::uint16_t>();
  auto flags = r.get<std::uint8_t>();
  if (flags > 3) return PeerRead::Garbage;
  out.cut_off = flags & 1;
  out.hears_workers = flags & 2;
  auto count = r.get<std::uint8_t>();
  for (unsigned i = 0; r.ok && i < count; ++i) {
    auto n = r.get<std::uint8_t>();
    if (!r.ok || r.in.size() < n || !valid_job_id(r.in.substr(0, n))) return PeerRead::Garbage;
    out.cancelled.emplace_back(r.in.substr(0, n));
    r.in.remove_prefix(n);
  }
  auto text = [&](std::string &to) {
    auto n = r.get<std::uint8_t>();
    if (!r.ok || r.in.size() < n) return r.ok = false;
    to = r.in.substr(0, n);
    r.in.remove_prefix(n);
    return true;
  };
  if (out.kind == PeerMessage::Kind::Digest) {
    auto news = r.get<std::uint8_t>();
    for (unsigned i = 0; r.ok && i < news && i < kPeerMaxNews; ++i) {
      PeerMessage::JobNews n;
      if (!text(n.id) || !valid_job_id(n.id)) return PeerRead::Garbage;
      n.done = r.get<std::uint32_t>();
      n.running = r.get<std::uint32_t>();
      n.late = r.get<std::uint8_t>();
      if (!text(n.reason) || !valid_utf8(n.reason)) return PeerRead::Garbage;
      out.news.push_back(std::move(n));
    }
  }
  if (!r.ok || !r.in.empty()) return PeerRead::Garbage;
  buffer.erase(0, kPeerHeader + length);
  return PeerRead::Frame;
}

} // namespace loft::wire
