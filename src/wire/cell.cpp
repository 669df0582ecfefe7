#include "loftrouter/wire/cell.hpp"

#include <algorithm>

#include "loftrouter/wire/cbor.hpp"
#include "packed.hpp"

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
double get_amount(Reader &reader) {
  const auto v = reader.get<std::uint64_t>();
  if (v > static_cast<std::uint64_t>(1e15)) reader.ok = false;
  return static_cast<double>(v) / 1000;
}
void put_resources(std::string &out, const Resources &resources) {
  for (double v : {resources.cpus, resources.gpus, resources.memory})
    put_amount(out, v);
}
Resources get_resources(Reader &reader) {
  Resources resources;
  for (double *v : {&resources.cpus, &resources.gpus, &resources.memory})
    *v = get_amount(reader);
  return resources;
}
bool get_name(Reader &reader, std::string &to) {
  return reader.text(to) && valid_utf8(to);
}

void put_ranges(std::string &out, const Ranges &ranges) {
  put(out, static_cast<std::uint16_t>(std::min(ranges.size(), kCellMaxRanges)));
  for (std::size_t i = 0; i < ranges.size() && i < kCellMaxRanges; ++i) {
    put(out, ranges[i].first);
    put(out, ranges[i].second);
  }
}
bool get_ranges(Reader &reader, Ranges &ranges) {
  const auto n = reader.get<std::uint16_t>();
  if (n > kCellMaxRanges) return reader.ok = false;
  std::uint32_t last = 0;
  for (unsigned i = 0; reader.ok && i < n; ++i) {
    const auto a = reader.get<std::uint32_t>(), b = reader.get<std::uint32_t>();
    if (a >= b || b > 1'000'000 || (i && a < last)) return reader.ok = false;
    ranges.emplace_back(a, b);
    last = b;
  }
  return reader.ok;
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
bool get_kinds(Reader &reader, std::vector<CellKind> &to) {
  const auto n = reader.get<std::uint8_t>();
  if (n > kCellMaxKinds) return reader.ok = false;
  for (unsigned i = 0; reader.ok && i < n; ++i) {
    CellKind k;
    if (!get_name(reader, k.type) || !get_name(reader, k.zone)) return reader.ok = false;
    const auto flags = reader.get<std::uint8_t>();
    if (flags > 3) return reader.ok = false;
    k.spot = flags & 1;
    k.refused = flags & 2;
    k.machines = reader.get<std::uint32_t>();
    k.idle = reader.get<std::uint32_t>();
    k.size = get_resources(reader);
    k.free = get_resources(reader);
    k.boot_s = get_amount(reader);
    k.fetch_gb_per_s = get_amount(reader);
    to.push_back(std::move(k));
  }
  return reader.ok;
}

void put_want(std::string &out, const CellMessage &message) {
  put_resources(out, message.need);
  put(out, message.tasks);
  put(out, static_cast<std::uint8_t>(message.spot | message.whole << 1));
  put(out, static_cast<std::uint8_t>(std::min<std::size_t>(message.types.size(), 100)));
  for (std::size_t i = 0; i < message.types.size() && i < 100; ++i)
    put_text(out, message.types[i]);
}
bool get_want(Reader &reader, CellMessage &message) {
  message.need = get_resources(reader);
  message.tasks = reader.get<std::uint32_t>();
  const auto flags = reader.get<std::uint8_t>();
  message.spot = flags & 1;
  message.whole = flags & 2;
  const auto n = reader.get<std::uint8_t>();
  if (flags > 3 || n > 100 || message.tasks > 100'000) return reader.ok = false;
  for (unsigned i = 0; reader.ok && i < n; ++i)
    if (!get_name(reader, message.types.emplace_back())) return reader.ok = false;
  return reader.ok;
}

void put_generations(std::string &out, const std::vector<std::uint64_t> &all) {
  put(out, static_cast<std::uint16_t>(std::min(all.size(), kCellMaxGenerations)));
  for (std::size_t i = 0; i < all.size() && i < kCellMaxGenerations; ++i)
    put(out, all[i]);
}
bool get_generations(Reader &reader, std::vector<std::uint64_t> &to) {
  const auto n = reader.get<std::uint16_t>();
  if (n > kCellMaxGenerations) return reader.ok = false;
  for (unsigned i = 0; reader.ok && i < n; ++i)
    to.push_back(reader.get<std::uint64_t>());
  return reader.ok;
}

void put_told(std::string &out, const CellMessage &message) {
  put(out, message.other_term);
  put(out, static_cast<std::uint8_t>(message.yes));
  put(out, message.running);
  for (auto v : message.usage.values)
    put(out, static_cast<std::uint64_t>(std::max<std::int64_t>(0, v)));
  put_ranges(out, message.ranges);
}
bool get_told(Reader &reader, CellMessage &message) {
  message.other_term = reader.get<std::uint64_t>();
  const auto yes = reader.get<std::uint8_t>();
  message.yes = yes == 1;
  message.running = reader.get<std::uint32_t>();
  for (auto &v : message.usage.values) {
    const auto n = reader.get<std::uint64_t>();
    if (n >= 1ULL << 53) return reader.ok = false;
    v = static_cast<std::int64_t>(n);
  }
  return yes < 2 && get_ranges(reader, message.ranges);
}

} // namespace

std::string encode_cell(const CellMessage &message) {
  std::string body;
  put_text(body, message.from);
  put_text(body, message.to);
  put(body, message.term);
  put(body, message.number);
  switch (message.kind) {
  case Kind::Summary:
  case Kind::Summaries:
    put_text(body, message.address);
    put_amount(body, message.lease_s);
    for (std::size_t u = 0; u < 4; ++u)
      put_amount(body, u < message.wait_s.size() ? message.wait_s[u] : 0);
    put_kinds(body, message.kinds);
    break;
  case Kind::Want:
    put_want(body, message);
    break;
  case Kind::Room:
    put(body, message.tasks);
    break;
  case Kind::Offer:
    put(body, message.generation);
    put_ranges(body, message.ranges);
    put_body(body, message.body);
    break;
  case Kind::Taken:
    put(body, message.generation);
    put(body, static_cast<std::uint8_t>(message.yes));
    put_body(body, message.body);
    break;
  case Kind::Renew:
    put_amount(body, message.lease_s);
    put_generations(body, message.generations);
    break;
  case Kind::Renewed:
    put_amount(body, message.grant_s);
    put_generations(body, message.generations);
    break;
  case Kind::Told:
    put(body, message.generation);
    put_told(body, message);
    break;
  case Kind::Settled:
  case Kind::Recall:
    put(body, message.generation);
    break;
  case Kind::Quota:
  case Kind::QuotaApplied:
  case Kind::QuotaChange:
  case Kind::QuotaOutcome:
    put(body, message.generation);
    put(body, message.running);
    put(body, static_cast<std::uint8_t>(message.yes));
    put_body(body, message.body);
    break;
  }
  std::string out;
  put(out, kMagic);
  put(out, kVersion);
  put(out, static_cast<std::uint16_t>(message.kind));
  put(out, static_cast<std::uint32_t>(body.size()));
  return out += body;
}

bool looks_like_cell(std::string_view buffer) {
  Reader reader{buffer};
  return reader.get<std::uint32_t>() == kMagic && reader.ok;
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
  Reader reader{buffer.substr(kHeader, length)};
  out = {};
  out.kind = static_cast<Kind>(kind);
  bool good = get_name(reader, out.from) && get_name(reader, out.to) && !out.from.empty() && !out.to.empty();
  out.term = reader.get<std::uint64_t>();
  out.number = reader.get<std::uint64_t>();
  switch (good ? out.kind : Kind::Recall) {
  case Kind::Summary:
  case Kind::Summaries:
    good &= get_name(reader, out.address);
    out.lease_s = get_amount(reader);
    for (int u = 0; u < 4; ++u)
      out.wait_s.push_back(get_amount(reader));
    good &= get_kinds(reader, out.kinds);
    break;
  case Kind::Want:
    good &= get_want(reader, out);
    break;
  case Kind::Room:
    out.tasks = reader.get<std::uint32_t>();
    break;
  case Kind::Offer:
    out.generation = reader.get<std::uint64_t>();
    good &= get_ranges(reader, out.ranges) && !out.ranges.empty() && get_body(reader, out.body);
    break;
  case Kind::Taken: {
    out.generation = reader.get<std::uint64_t>();
    const auto yes = reader.get<std::uint8_t>();
    out.yes = yes == 1;
    good &= yes < 2 && get_body(reader, out.body) && valid_utf8(out.body);
    break;
  }
  case Kind::Renew:
    out.lease_s = get_amount(reader);
    good &= get_generations(reader, out.generations);
    break;
  case Kind::Renewed:
    out.grant_s = get_amount(reader);
    good &= get_generations(reader, out.generations);
    break;
  case Kind::Told:
    out.generation = reader.get<std::uint64_t>();
    good &= get_told(reader, out);
    break;
  case Kind::Settled:
  case Kind::Recall:
    out.generation = reader.get<std::uint64_t>();
    break;
  case Kind::Quota:
  case Kind::QuotaApplied:
  case Kind::QuotaChange:
  case Kind::QuotaOutcome: {
    out.generation = reader.get<std::uint64_t>();
    out.running = reader.get<std::uint32_t>();
    const auto yes = reader.get<std::uint8_t>();
    out.yes = yes == 1;
    good &= yes < 2 && get_body(reader, out.body);
    break;
  }
  }
  if (!good || !reader.ok || !reader.in.empty()) return PeerRead::Garbage;
  buffer.remove_prefix(kHeader + length);
  return PeerRead::Frame;
}

} // namespace loftrouter::wire
