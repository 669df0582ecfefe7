#include "effects_hash.hpp"

#include <bit>
#include <cstdio>
#include <utility>

#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/cell.hpp"
#include "loftrouter/wire/peer.hpp"

namespace loftrouter::fingerprint {

namespace {

// Fields, one after the other, each with a length that is fixed or stands before it.
class FieldWriter {
public:
  FieldWriter &number(std::uint64_t value) {
    constexpr int kBitsOfByte = 8;
    for (std::size_t i = 0; i < sizeof value; ++i)
      out_.push_back(static_cast<char>(value >> (kBitsOfByte * i)));
    return *this;
  }
  FieldWriter &integer(std::int64_t value) { return number(static_cast<std::uint64_t>(value)); }
  FieldWriter &real(double value) { return number(std::bit_cast<std::uint64_t>(value)); }
  FieldWriter &text(std::string_view value) {
    number(value.size());
    out_ += value;
    return *this;
  }
  std::string take() { return std::move(out_); }

private:
  std::string out_;
};

// Keeps the order of a map's fields, which is hashed too.
using OrderedJson = nlohmann::ordered_json;

// Empties the texts for people below a value; `key` is the name of the field that holds it. Lists keep their length.
void empty_texts(std::string_view key, OrderedJson &value) {
  if (value.is_object()) {
    for (auto &item : value.items())
      empty_texts(item.key(), item.value());
  } else if (value.is_array()) {
    for (auto &element : value)
      empty_texts(key, element);
  } else if (value.is_string() && (key == "error" || key == "reason" || key == "troubles")) {
    value = "";
  }
}

// A body whose texts for people are empty; the body itself if it is neither a map nor a list.
std::string without_texts(const std::string &body, bool json) {
  auto value = json ? OrderedJson::parse(body, nullptr, false) : OrderedJson::from_cbor(body, true, false);
  if (!value.is_structured()) return body;
  empty_texts("", value);
  if (json) return value.dump();
  std::string bytes;
  OrderedJson::to_cbor(value, bytes);
  return bytes;
}

core::Reply without_texts(core::Reply reply) {
  reply.body = without_texts(reply.body, reply.json);
  return reply;
}

core::PeerSend without_texts(core::PeerSend frame) {
  auto &message = frame.message;
  for (auto &job : message.jobs)
    job.reason.clear();
  if (message.kind == wire::PeerMessage::Kind::UserResponse) message.body = without_texts(message.body, false);
  return frame;
}

// All other messages carry no texts for people.
template <class Message> const Message &without_texts(const Message &message) {
  return message;
}

std::string content_of(const core::Reply &reply) {
  constexpr int kNoRetryAfter = -1;
  return FieldWriter()
      .number(reply.req)
      .integer(reply.status)
      .integer(reply.retry_after.value_or(kNoRetryAfter))
      .number(reply.json)
      .text(reply.body)
      .take();
}

std::string content_of(const core::CellSend &frame) {
  return FieldWriter().integer(frame.node).number(frame.link).text(wire::encode_cell(frame.message)).take();
}

std::string content_of(const core::PeerSend &frame) {
  return FieldWriter()
      .integer(frame.replica.valid() ? static_cast<std::int64_t>(frame.replica.position()) : -1)
      .number(frame.link)
      .text(wire::encode_peer(frame.message))
      .take();
}

std::string content_of(const core::WorkerCall &call) {
  return FieldWriter()
      .text(call.address)
      .text(call.machine)
      .text(wire::encode_direct_commands(call.fencing_token, call.incarnation, call.commands))
      .take();
}

// The kinds of requests are told apart by a number.
enum class StateRequest : std::uint8_t { Get = 1, List, Commit, LeaseNew, LeaseTouch, LeaseDrop, Follow };
enum class CloudRequest : std::uint8_t { Types = 1, List, Rent, Return };

struct StateRequestWriter {
  FieldWriter &out;

  FieldWriter &begin(StateRequest kind) const { return out.number(static_cast<std::uint64_t>(kind)); }
  void operator()(const core::StoreGet &get) const { begin(StateRequest::Get).text(get.key); }
  void operator()(const core::StoreList &list) const { begin(StateRequest::List).text(list.prefix).text(list.from); }
  void operator()(const core::StoreCommit &commit) const {
    begin(StateRequest::Commit).text(wire::encode_commit(commit.preconditions, commit.writes));
  }
  void operator()(const core::StoreLeaseGrant &lease) const {
    begin(StateRequest::LeaseNew).text(wire::encode_lease_grant(lease.ttl_s));
  }
  void operator()(const core::StoreLeaseRenew &touch) const { begin(StateRequest::LeaseTouch).number(touch.lease); }
  void operator()(const core::StoreLeaseRevoke &drop) const { begin(StateRequest::LeaseDrop).number(drop.lease); }
  void operator()(const core::StoreWatch &follow) const {
    begin(StateRequest::Follow).text(follow.prefix).number(follow.from).real(follow.hold_s);
  }
};

struct CloudRequestWriter {
  FieldWriter &out;

  FieldWriter &begin(CloudRequest kind) const { return out.number(static_cast<std::uint64_t>(kind)); }
  void operator()(const core::CloudTypes &) const { begin(CloudRequest::Types); }
  void operator()(const core::CloudList &list) const { begin(CloudRequest::List).text(list.from); }
  void operator()(const core::CloudScaleOut &rent) const {
    begin(CloudRequest::Rent).text(wire::encode_scale_out(rent.request, rent.type, rent.zone, rent.spot, rent.count));
  }
  void operator()(const core::CloudScaleIn &back) const {
    begin(CloudRequest::Return).text(wire::encode_scale_in(back.names));
  }
};

std::string content_of(const core::StoreOp &operation) {
  FieldWriter out;
  out.real(operation.timeout_s);
  std::visit(StateRequestWriter{out}, operation.request);
  return out.take();
}

std::string content_of(const core::CloudOp &operation) {
  FieldWriter out;
  out.real(operation.timeout_s);
  std::visit(CloudRequestWriter{out}, operation.request);
  return out.take();
}

} // namespace

void Hash::add_bytes(std::string_view bytes) {
  for (const char byte : bytes)
    state_ = (state_ ^ static_cast<unsigned char>(byte)) * kPrime;
}

void Hash::add_number(std::uint64_t number) {
  add_bytes(FieldWriter().number(number).take());
}

std::string hash_text(std::uint64_t hash) {
  constexpr std::size_t kDigits = 16;
  char text[kDigits + 1];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(hash));
  return text;
}

std::string_view destination_name(Destination destination) {
  switch (destination) {
  case Destination::User:
    return "user";
  case Destination::OtherCell:
    return "cell";
  case Destination::StateService:
    return "state";
  case Destination::Cloud:
    return "cloud";
  case Destination::Worker:
    return "worker";
  case Destination::Replica:
    return "replica";
  }
  return "";
}

void EffectsHash::add(SentMessage message) {
  hash_.add_number(std::bit_cast<std::uint64_t>(message.time));
  hash_.add_number(static_cast<std::uint64_t>(message.sender.cell));
  hash_.add_number(static_cast<std::uint64_t>(message.sender.node));
  hash_.add_number(static_cast<std::uint64_t>(message.destination));
  hash_.add_number(message.content.size());
  hash_.add_bytes(message.content);
  ++messages_;
  if (observer_) observer_(message);
}

void EffectsHash::add(const Sender &sender, double time, const core::Effects &effects) {
  const bool leave_out = texts_ == TextContents::LeftOut;
  const auto add_all = [&](Destination destination, const auto &messages) {
    for (const auto &message : messages)
      add({time, sender, destination, leave_out ? content_of(without_texts(message)) : content_of(message)});
  };
  add_all(Destination::User, effects.replies);
  add_all(Destination::OtherCell, effects.cells);
  add_all(Destination::StateService, effects.store);
  add_all(Destination::Cloud, effects.cloud);
  add_all(Destination::Worker, effects.workers);
  add_all(Destination::Replica, effects.peers);
}

} // namespace loftrouter::fingerprint
