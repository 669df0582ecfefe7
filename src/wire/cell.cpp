#include "loftrouter/wire/cell.hpp"

#include <algorithm>

#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/packed.hpp"

namespace loftrouter::wire {

using namespace packed;

namespace {

constexpr std::uint32_t kMagic = 0x4c434c4c; // "LLCL"
constexpr std::uint16_t kVersion = 1;
constexpr std::size_t kHeader = 12;
using Kind = CellMessage::Kind;

// Amounts, in thousandths.
void put_amount(std::string &out, double v) {
  put(out, static_cast<std::uint64_t>(std::clamp(v, 0.0, 1e12) * 1000 + 0.5));
}
double get_amount(Reader &r) {
  const auto v = r.get<std::uint64_t>();
  if (v > static_cast<std::uint64_t>(1e15)) r.ok = false;
  return static_cast<double>(v) / 1000;
}
void put_resources(std::string &out, const Resources &n) {
  for (double v : {n.cpus, n.gpus, n.memory})
    put_amount(out, v);
}
Resources get_resources(Reader &r) {
  Resources n;
  for (double *v : {&n.cpus, &n.gpus, &n.memory})
    *v = get_amount(r);
  return n;
}
bool get_name(Reader &r, std::string &to) {
  return r.text(to) && valid_utf8(to);
}

void put_ranges(std::string &out, const Ranges &ranges) {
  put(out, static_cast<std::uint16_t>(std::min(ranges.size(), kCellMaxRanges)));
  for (std::size_t i = 0; i < ranges.size() && i < kCellMaxRanges; ++i) {
    put(out, ranges[i].first);
    put(out, ranges[i].second);
  }
}
bool get_ranges(Reader &r, Ranges &to) {
  const auto n = r.get<std::uint16_t>();
  if (n > kCellMaxRanges) return r.ok = false;
  std::uint32_t last = 0;
  for (unsigned i = 0; r.ok && i < n; ++i) {
    const auto a = r.get<std::uint32_t>(), b = r.get<std::uint32_t>();
    if (a >= b || b > 1'000'000 || (i && a < last)) return r.ok = false;
    to.emplace_back(a, b);
    last = b;
  }
  return r.ok;
}

void put_kinds(std::string &out, const std::vector<CellKind> &kinds) {
  put(out, static_cast<std::uint8_t>(std::min(kinds.size(), kCellMaxKinds)));
  for (std::size_t i = 0; i < kinds.size() && i < kCellMaxKinds; ++i) {
    const auto &k = kinds[i];
    put_text(out, k.type);
    put_text(out, k.zone);
    put(out, static_cast<std::uint8_t>(k.spot | k.refused << 1));
    put(out, k.machines);
    put(out, k.idle);
    put_resources(out, k.size);
    put_resources(out, k.free);
    put_amount(out, k.boot_s);
    put_amount(out, k.fetch_gb_per_s);
  }
}
bool get_kinds(Reader &r, std::vector<CellKind> &to) {
  const auto n = r.get<std::uint8_t>();
  if (n > kCellMaxKinds) return r.ok = false;
  for (unsigned i = 0; r.ok && i < n; ++i) {
    CellKind k;
    if (!get_name(r, k.type) || !get_name(r, k.zone)) return r.ok = false;
    const auto flags = r.get<std::uint8_t>();
    if (flags > 3) return r.ok = false;
    k.spot = flags & 1;
    k.refused = flags & 2;
    k.machines = r.get<std::uint32_t>();
    k.idle = r.get<std::uint32_t>();
    k.size = get_resources(r);
    k.free = get_resources(r);
    k.boot_s = get_amount(r);
    k.fetch_gb_per_s = get_amount(r);
    to.push_back(std::move(k));
  }
  return r.ok;
}

void put_want(std::string &out, const CellMessage &m) {
  put_resources(out, m.need);
  put(out, m.tasks);
  put(out, static_cast<std::uint8_t>(m.spot | m.whole << 1));
  put(out, static_cast<std::uint8_t>(std::min<std::size_t>(m.types.size(), 100)));
  for (std::size_t i = 0; i < m.types.size() && i < 100; ++i)
    put_text(out, m.types[i]);
}
bool get_want(Reader &r, CellMessage &m) {
  m.need = get_resources(r);
  m.tasks = r.get<std::uint32_t>();
  const auto flags = r.get<std::uint8_t>();
  m.spot = flags & 1;
  m.whole = flags & 2;
  const auto n = r.get<std::uint8_t>();
  if (flags > 3 || n > 100 || m.tasks > 100'000) return r.ok = false;
  for (unsigned i = 0; r.ok && i < n; ++i)
    if (!get_name(r, m.types.emplace_back())) return r.ok = false;
  return r.ok;
}

void put_generations(std::string &out, const std::vector<std::uint64_t> &all) {
  put(out, static_cast<std::uint16_t>(std::min(all.size(), kCellMaxGenerations)));
  for (std::size_t i = 0; i < all.size() && i < kCellMaxGenerations; ++i)
    put(out, all[i]);
}
bool get_generations(Reader &r, std::vector<std::uint64_t> &to) {
  const auto n = r.get<std::uint16_t>();
  if (n > kCellMaxGenerations) return r.ok = false;
  for (unsigned i = 0; r.ok && i < n; ++i)
    to.push_back(r.get<std::uint64_t>());
  return r.ok;
}

void put_told(std::string &out, const CellMessage &m) {
  put(out, m.other_term);
  put(out, static_cast<std::uint8_t>(m.yes));
  put(out, m.running);
  for (auto v : m.usage.v)
    put(out, static_cast<std::uint64_t>(std::max<std::int64_t>(0, v)));
  put_ranges(out, m.ranges);
}
bool get_told(Reader &r, CellMessage &m) {
  m.other_term = r.get<std::uint64_t>();
  const auto yes = r.get<std::uint8_t>();
  m.yes = yes == 1;
  m.running = r.get<std::uint32_t>();
  for (auto &v : m.usage.v) {
    const auto n = r.get<std::uint64_t>();
    if (n >= 1ULL << 53) return r.ok = false;
    v = static_cast<std::int64_t>(n);
  }
  return yes < 2 && get_ranges(r, m.ranges);
}

} // namespace

std::string encode_cell(const CellMessage &m) {
  std::string body;
  put_text(body, m.from);
  put_text(body, m.to);
  put(body, m.term);
  put(body, m.number);
  switch (m.kind) {
  case Kind::Summary:
  case Kind::Summaries:
    put_text(body, m.address);
    put_amount(body, m.lease_s);
    for (std::size_t u = 0; u < 4; ++u)
      put_amount(body, u < m.wait_s.size() ? m.wait_s[u] : 0);
    put_kinds(body, m.kinds);
    break;
  case Kind::Want:
    put_want(body, m);
    break;
  case Kind::Room:
    put(body, m.tasks);
    break;
  case Kind::Offer:
    put(body, m.generation);
    put_ranges(body, m.ranges);
    put_body(body, m.body);
    break;
  case Kind::Taken:
    put(body, m.generation);
    put(body, static_cast<std::uint8_t>(m.yes));
    put_body(body, m.body);
    break;
  case Kind::Renew:
    put_amount(body, m.lease_s);
    put_generations(body, m.generations);
    break;
  case Kind::Renewed:
    put_amount(body, m.grant_s);
    put_generations(body, m.generations);
    break;
  case Kind::Told:
    put(body, m.generation);
    put_told(body, m);
    break;
  case Kind::Settled:
  case Kind::Recall:
    put(body, m.generation);
    break;
  case Kind::Quota:
  case Kind::QuotaApplied:
  case Kind::QuotaChange:
  case Kind::QuotaOutcome:
    put(body, m.generation);
    put(body, m.running);
    put(body, static_cast<std::uint8_t>(m.yes));
    put_body(body, m.body);
    break;
  }
  std::string out;
  put(out, kMagic);
  put(out, kVersion);
  put(out, static_cast<std::uint16_t>(m.kind));
  put(out, static_cast<std::uint32_t>(body.size()));
  return out += body;
}

bool looks_like_cell(std::string_view buffer) {
  Reader r{buffer};
  return r.get<std::uint32_t>() == kMagic && r.ok;
}

PeerRead read_cell(std::string_view &buffer, CellMessage &out) {
  Reader head{buffer};
  const auto magic = head.get<std::uint32_t>();
  const auto version = head.get<std::uint16_t>(), kind = head.get<std::uint16_t>();
  const auto length = head.get<std::uint32_t>();
  if (!head.ok) return PeerRead::NeedMore;
  if (magic != kMagic || version != kVersion || kind < 1 || kind > static_cast<unsigned>(Kind::QuotaOutcome) ||
      length > kCellMaxBody)
    return PeerRead::Garbage;
  if (buffer.size() < kHeader + length) return PeerRead::NeedMore;
  Reader r{buffer.substr(kHeader, length)};
  out = {};
  out.kind = static_cast<Kind>(kind);
  bool good = get_name(r, out.from) && get_name(r, out.to) && !out.from.empty() && !out.to.empty();
  out.term = r.get<std::uint64_t>();
  out.number = r.get<std::uint64_t>();
  switch (good ? out.kind : Kind::Recall) {
  case Kind::Summary:
  case Kind::Summaries:
    good &= get_name(r, out.address);
    out.lease_s = get_amount(r);
    for (int u = 0; u < 4; ++u)
      out.wait_s.push_back(get_amount(r));
    good &= get_kinds(r, out.kinds);
    break;
  case Kind::Want:
    good &= get_want(r, out);
    break;
  case Kind::Room:
    out.tasks = r.get<std::uint32_t>();
    break;
  case Kind::Offer:
    out.generation = r.get<std::uint64_t>();
    good &= get_ranges(r, out.ranges) && !out.ranges.empty() && get_body(r, out.body);
    break;
  case Kind::Taken: {
    out.generation = r.get<std::uint64_t>();
    const auto yes = r.get<std::uint8_t>();
    out.yes = yes == 1;
    good &= yes < 2 && get_body(r, out.body) && valid_utf8(out.body);
    break;
  }
  case Kind::Renew:
    out.lease_s = get_amount(r);
    good &= get_generations(r, out.generations);
    break;
  case Kind::Renewed:
    out.grant_s = get_amount(r);
    good &= get_generations(r, out.generations);
    break;
  case Kind::Told:
    out.generation = r.get<std::uint64_t>();
    good &= get_told(r, out);
    break;
  case Kind::Settled:
  case Kind::Recall:
    out.generation = r.get<std::uint64_t>();
    break;
  case Kind::Quota:
  case Kind::QuotaApplied:
  case Kind::QuotaChange:
  case Kind::QuotaOutcome: {
    out.generation = r.get<std::uint64_t>();
    out.running = r.get<std::uint32_t>();
    const auto yes = r.get<std::uint8_t>();
    out.yes = yes == 1;
    good &= yes < 2 && get_body(r, out.body);
    break;
  }
  }
  if (!good || !r.ok || !r.in.empty()) return PeerRead::Garbage;
  buffer.remove_prefix(kHeader + length);
  return PeerRead::Frame;
}

} // namespace loftrouter::wire
