#include "loftrouter/wire/cell.hpp"

#include <algorithm>
#include <cmath>

#include "frame.hpp"
#include "loftrouter/wire/cbor.hpp"
#include "packed.hpp"

namespace loftrouter::wire {

namespace {

using Kind = CellMessage::Kind;

constexpr FrameFormat kFormat{0x4c434c4c, 1, static_cast<std::uint16_t>(Kind::QuotaOutcome), // "LLCL"
                              [](std::uint16_t) { return kCellMaxBody; }};

constexpr std::size_t kPriorityCount = 4;
constexpr std::size_t kMaxTypes = 100;
constexpr std::uint32_t kMaxTasks = 100'000;
constexpr std::uint32_t kMaxRangeEnd = 1'000'000;
constexpr double kMaxAmount = 1e12;
constexpr std::uint64_t kMaxThousandths = 1'000'000'000'000'000;
constexpr std::uint64_t kUsageLimit = 1ULL << 53; // a double represents smaller integers exactly

// Encodes an amount in thousandths.
void write_amount(PackedWriter &writer, double amount) {
  const double thousandths = std::clamp(amount, 0.0, kMaxAmount) * 1000;
  writer.u64(static_cast<std::uint64_t>(std::floor(thousandths + 0.5)));
}

double read_amount(PackedReader &reader) {
  const auto thousandths = reader.u64();
  if (thousandths > kMaxThousandths) reader.fail();
  return static_cast<double>(thousandths) / 1000;
}

void write_resources(PackedWriter &writer, const Resources &resources) {
  write_amount(writer, resources.cpus);
  write_amount(writer, resources.gpus);
  write_amount(writer, resources.memory);
}

Resources read_resources(PackedReader &reader) {
  Resources resources;
  resources.cpus = read_amount(reader);
  resources.gpus = read_amount(reader);
  resources.memory = read_amount(reader);
  return resources;
}

// Reads a text that must be valid UTF-8.
bool read_utf8(PackedReader &reader, std::string &text) {
  if (!reader.text(text)) return false;
  return valid_utf8(text) || reader.fail();
}

void write_ranges(PackedWriter &writer, const Ranges &ranges) {
  const auto count = std::min(ranges.size(), kCellMaxRanges);
  writer.u16(static_cast<std::uint16_t>(count));
  for (std::size_t i = 0; i < count; ++i) {
    writer.u32(ranges[i].first);
    writer.u32(ranges[i].second);
  }
}

// Rejects unsorted or overlapping ranges, whose tasks would be counted twice.
bool read_ranges(PackedReader &reader, Ranges &ranges) {
  const auto count = reader.u16();
  if (count > kCellMaxRanges) return reader.fail();
  std::uint32_t previous_end = 0;
  for (unsigned i = 0; reader.ok() && i < count; ++i) {
    const auto begin = reader.u32();
    const auto end = reader.u32();
    if (begin >= end || end > kMaxRangeEnd || begin < previous_end) return reader.fail();
    ranges.emplace_back(begin, end);
    previous_end = end;
  }
  return reader.ok();
}

void write_generations(PackedWriter &writer, const std::vector<std::uint64_t> &generations) {
  const auto count = std::min(generations.size(), kCellMaxGenerations);
  writer.u16(static_cast<std::uint16_t>(count));
  for (std::size_t i = 0; i < count; ++i)
    writer.u64(generations[i]);
}

bool read_generations(PackedReader &reader, std::vector<std::uint64_t> &generations) {
  const auto count = reader.u16();
  if (count > kCellMaxGenerations) return reader.fail();
  for (unsigned i = 0; reader.ok() && i < count; ++i)
    generations.push_back(reader.u64());
  return reader.ok();
}

// ---- Summary, SummaryReply ----

constexpr unsigned kSpotFlag = 1;
constexpr unsigned kRefusedFlag = 2;   // CellKind only
constexpr unsigned kAllAtOnceFlag = 2; // CapacityRequest only
constexpr unsigned kKnownFlags = 3;

void write_kind(PackedWriter &writer, const CellKind &kind) {
  writer.text(kind.type);
  writer.text(kind.zone);
  writer.u8(static_cast<std::uint8_t>((kind.spot ? kSpotFlag : 0) | (kind.refused ? kRefusedFlag : 0)));
  writer.u32(kind.machines);
  writer.u32(kind.idle);
  write_resources(writer, kind.size);
  write_resources(writer, kind.free);
  write_amount(writer, kind.boot_s);
  write_amount(writer, kind.fetch_gb_per_s);
}

bool read_kind(PackedReader &reader, CellKind &kind) {
  if (!read_utf8(reader, kind.type) || !read_utf8(reader, kind.zone)) return false;
  const auto flags = reader.u8();
  if (flags > kKnownFlags) return reader.fail();
  kind.spot = flags & kSpotFlag;
  kind.refused = flags & kRefusedFlag;
  kind.machines = reader.u32();
  kind.idle = reader.u32();
  kind.size = read_resources(reader);
  kind.free = read_resources(reader);
  kind.boot_s = read_amount(reader);
  kind.fetch_gb_per_s = read_amount(reader);
  return reader.ok();
}

void write_summary(PackedWriter &writer, const CellMessage &message) {
  writer.text(message.address);
  write_amount(writer, message.lease_s);
  for (std::size_t i = 0; i < kPriorityCount; ++i)
    write_amount(writer, i < message.wait_s.size() ? message.wait_s[i] : 0);
  const auto count = std::min(message.kinds.size(), kCellMaxKinds);
  writer.u8(static_cast<std::uint8_t>(count));
  for (std::size_t i = 0; i < count; ++i)
    write_kind(writer, message.kinds[i]);
}

bool read_summary(PackedReader &reader, CellMessage &message) {
  if (!read_utf8(reader, message.address)) return false;
  message.lease_s = read_amount(reader);
  for (std::size_t i = 0; i < kPriorityCount; ++i)
    message.wait_s.push_back(read_amount(reader));
  const auto count = reader.u8();
  if (count > kCellMaxKinds) return reader.fail();
  for (unsigned i = 0; reader.ok() && i < count; ++i)
    if (!read_kind(reader, message.kinds.emplace_back())) return false;
  return reader.ok();
}

// ---- CapacityRequest ----

void write_capacity_request(PackedWriter &writer, const CellMessage &message) {
  write_resources(writer, message.need);
  writer.u32(message.tasks);
  writer.u8(static_cast<std::uint8_t>((message.spot ? kSpotFlag : 0) | (message.all_at_once ? kAllAtOnceFlag : 0)));
  const auto count = std::min(message.types.size(), kMaxTypes);
  writer.u8(static_cast<std::uint8_t>(count));
  for (std::size_t i = 0; i < count; ++i)
    writer.text(message.types[i]);
}

bool read_capacity_request(PackedReader &reader, CellMessage &message) {
  message.need = read_resources(reader);
  message.tasks = reader.u32();
  const auto flags = reader.u8();
  const auto count = reader.u8();
  if (flags > kKnownFlags || count > kMaxTypes || message.tasks > kMaxTasks) return reader.fail();
  message.spot = flags & kSpotFlag;
  message.all_at_once = flags & kAllAtOnceFlag;
  for (unsigned i = 0; reader.ok() && i < count; ++i)
    if (!read_utf8(reader, message.types.emplace_back())) return false;
  return reader.ok();
}

// ---- DelegationOffer, OfferReply, Progress ----

void write_offer(PackedWriter &writer, const CellMessage &message) {
  writer.u64(message.generation);
  write_ranges(writer, message.ranges);
  writer.body(message.body);
}

bool read_offer(PackedReader &reader, CellMessage &message) {
  message.generation = reader.u64();
  if (!read_ranges(reader, message.ranges) || message.ranges.empty()) return false;
  return reader.body(message.body);
}

void write_offer_reply(PackedWriter &writer, const CellMessage &message) {
  writer.u64(message.generation);
  writer.flag(message.accepted);
  writer.body(message.body);
}

bool read_offer_reply(PackedReader &reader, CellMessage &message) {
  message.generation = reader.u64();
  message.accepted = reader.flag();
  return reader.body(message.body) && valid_utf8(message.body);
}

void write_progress(PackedWriter &writer, const CellMessage &message) {
  writer.u64(message.generation);
  writer.u64(message.origin_term);
  writer.flag(message.ended);
  writer.u32(message.running);
  for (std::int64_t quantity : message.usage.values)
    writer.u64(static_cast<std::uint64_t>(std::max<std::int64_t>(0, quantity)));
  write_ranges(writer, message.ranges);
}

bool read_progress(PackedReader &reader, CellMessage &message) {
  message.generation = reader.u64();
  message.origin_term = reader.u64();
  message.ended = reader.flag();
  message.running = reader.u32();
  for (std::int64_t &quantity : message.usage.values) {
    const auto value = reader.u64();
    if (value >= kUsageLimit) return reader.fail();
    quantity = static_cast<std::int64_t>(value);
  }
  return read_ranges(reader, message.ranges);
}

// ---- Renewal, RenewalReply ----

void write_renewal(PackedWriter &writer, const CellMessage &message) {
  write_amount(writer, message.lease_s);
  write_generations(writer, message.generations);
}

bool read_renewal(PackedReader &reader, CellMessage &message) {
  message.lease_s = read_amount(reader);
  return read_generations(reader, message.generations);
}

void write_renewal_reply(PackedWriter &writer, const CellMessage &message) {
  write_amount(writer, message.grant_s);
  write_generations(writer, message.generations);
}

bool read_renewal_reply(PackedReader &reader, CellMessage &message) {
  message.grant_s = read_amount(reader);
  return read_generations(reader, message.generations);
}

// ---- Quota, QuotaApplied, QuotaChange, QuotaOutcome ----

void write_quota(PackedWriter &writer, const CellMessage &message) {
  writer.u64(message.version);
  writer.u32(message.status);
  writer.flag(message.within_cap);
  writer.body(message.body);
}

bool read_quota(PackedReader &reader, CellMessage &message) {
  message.version = reader.u64();
  message.status = reader.u32();
  message.within_cap = reader.flag();
  return reader.body(message.body);
}

// ---- Dispatch by message kind ----

void write_fields(PackedWriter &writer, const CellMessage &message) {
  switch (message.kind) {
  case Kind::Summary:
  case Kind::SummaryReply:
    return write_summary(writer, message);
  case Kind::CapacityRequest:
    return write_capacity_request(writer, message);
  case Kind::CapacityReply:
    return writer.u32(message.tasks);
  case Kind::DelegationOffer:
    return write_offer(writer, message);
  case Kind::OfferReply:
    return write_offer_reply(writer, message);
  case Kind::Renewal:
    return write_renewal(writer, message);
  case Kind::RenewalReply:
    return write_renewal_reply(writer, message);
  case Kind::Progress:
    return write_progress(writer, message);
  case Kind::ProgressAck:
  case Kind::Recall:
    return writer.u64(message.generation);
  case Kind::Quota:
  case Kind::QuotaApplied:
  case Kind::QuotaChange:
  case Kind::QuotaOutcome:
    return write_quota(writer, message);
  }
}

bool read_fields(PackedReader &reader, CellMessage &message) {
  switch (message.kind) {
  case Kind::Summary:
  case Kind::SummaryReply:
    return read_summary(reader, message);
  case Kind::CapacityRequest:
    return read_capacity_request(reader, message);
  case Kind::CapacityReply:
    message.tasks = reader.u32();
    return reader.ok();
  case Kind::DelegationOffer:
    return read_offer(reader, message);
  case Kind::OfferReply:
    return read_offer_reply(reader, message);
  case Kind::Renewal:
    return read_renewal(reader, message);
  case Kind::RenewalReply:
    return read_renewal_reply(reader, message);
  case Kind::Progress:
    return read_progress(reader, message);
  case Kind::ProgressAck:
  case Kind::Recall:
    message.generation = reader.u64();
    return reader.ok();
  case Kind::Quota:
  case Kind::QuotaApplied:
  case Kind::QuotaChange:
  case Kind::QuotaOutcome:
    return read_quota(reader, message);
  }
  return reader.fail();
}

} // namespace

std::string encode_cell(const CellMessage &message) {
  PackedWriter writer;
  writer.text(message.from);
  writer.text(message.to);
  writer.u64(message.term);
  writer.u64(message.number);
  write_fields(writer, message);
  return encode_frame(kFormat, static_cast<std::uint16_t>(message.kind), std::move(writer).take());
}

bool looks_like_cell(std::string_view buffer) {
  PackedReader reader(buffer);
  const auto magic = reader.u32();
  return reader.ok() && magic == kFormat.magic;
}

FrameRead read_cell(std::string_view &buffer, CellMessage &out) {
  FrameView frame;
  const auto result = find_frame(kFormat, buffer, frame);
  if (result != FrameRead::Frame) return result;
  out = {};
  out.kind = static_cast<Kind>(frame.kind);
  PackedReader reader(frame.body);
  if (!read_utf8(reader, out.from) || !read_utf8(reader, out.to)) return FrameRead::Garbage;
  if (out.from.empty() || out.to.empty()) return FrameRead::Garbage;
  out.term = reader.u64();
  out.number = reader.u64();
  if (!read_fields(reader, out) || !reader.complete()) return FrameRead::Garbage;
  buffer.remove_prefix(frame.size);
  return FrameRead::Frame;
}

} // namespace loftrouter::wire
