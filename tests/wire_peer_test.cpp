#include <gtest/gtest.h>

#include <random>
#include <string>
#include <tuple>

#include "loftrouter/wire/peer.hpp"
#include "loftrouter/wire/worker.hpp"

using namespace loftrouter;
using namespace loftrouter::wire;

namespace {

FrameRead read_frame(std::string_view bytes, PeerMessage &out) {
  return read_peer(bytes, out);
}

PeerMessage heartbeat_message() {
  PeerMessage message;
  message.kind = PeerMessage::Kind::Heartbeat;
  message.heartbeat = {"n-1", "10.1.0.2:9000", "g8", "a", false, 1, 2, 3, {}, {{"j-1", 0, 1}}};
  return message;
}

PeerMessage commands_message() {
  PeerMessage message;
  message.kind = PeerMessage::Kind::Commands;
  message.commands = {{TaskCommand::Verb::Stop, "j-1", 0, 1, 2}};
  return message;
}

PeerMessage ping_with_cancellation() {
  PeerMessage message;
  message.cancelled = {"j-000001"};
  return message;
}

} // namespace

TEST(WirePeer, PongRoundTripsByteByByte) {
  PeerMessage sent;
  sent.kind = PeerMessage::Kind::Pong;
  sent.nonce = 0x1122334455667788;
  sent.term = 77;
  sent.cut_off = true;
  sent.forwards_heartbeats = true;
  sent.connectivity = {WorkerReachability::Unreachable, 700, 12.5, 3.5, ProviderHealth::Unhealthy};
  sent.uptime_ms = 123456;
  sent.store_reads = 345;
  sent.store_writes = 21;
  sent.cancelled = {"j-000001", "j-99"};
  const auto bytes = encode_peer(sent) + encode_peer(sent);
  std::string buffer;
  int frames = 0;
  for (char byte : bytes) {
    buffer.push_back(byte);
    PeerMessage received;
    std::string_view rest = buffer;
    const auto read = read_peer(rest, received);
    buffer.erase(0, buffer.size() - rest.size());
    ASSERT_NE(read, FrameRead::Garbage);
    if (read != FrameRead::Frame) continue;
    ++frames;
    EXPECT_EQ(received.nonce, sent.nonce);
    EXPECT_EQ(received.term, sent.term);
    EXPECT_EQ(received.uptime_ms, sent.uptime_ms);
    EXPECT_EQ(received.store_reads, sent.store_reads);
    EXPECT_EQ(received.store_writes, sent.store_writes);
    EXPECT_TRUE(received.cut_off && received.forwards_heartbeats);
    EXPECT_EQ(received.connectivity.workers, WorkerReachability::Unreachable);
    EXPECT_EQ(received.connectivity.machines, 700);
    EXPECT_EQ(received.connectivity.last_heartbeat_age_s, 12.5);
    EXPECT_EQ(received.connectivity.last_forwardable_heartbeat_age_s, 3.5);
    EXPECT_EQ(received.connectivity.cloud, ProviderHealth::Unhealthy);
    EXPECT_EQ(received.cancelled, sent.cancelled);
  }
  EXPECT_EQ(frames, 2);
  EXPECT_TRUE(buffer.empty());
}

TEST(WirePeer, DigestRoundTrips) {
  PeerMessage sent;
  sent.kind = PeerMessage::Kind::Digest;
  sent.term = 9;
  sent.jobs = {{"j-000001", 3, 4, true, "waiting: \u00e4"}, {"j-2", 0, 0, false, ""}};
  const auto bytes = encode_peer(sent);
  PeerMessage received;
  EXPECT_EQ(read_frame(bytes.substr(0, bytes.size() - 1), received), FrameRead::NeedMore);
  ASSERT_EQ(read_frame(bytes, received), FrameRead::Frame);
  ASSERT_EQ(received.jobs.size(), 2u);
  EXPECT_EQ(received.jobs[0].reason, sent.jobs[0].reason);
  EXPECT_EQ(received.jobs[0].done, 3u);
  EXPECT_EQ(received.jobs[0].running, 4u);
  EXPECT_TRUE(received.jobs[0].late);
  EXPECT_EQ(received.jobs[1].id, "j-2");
}

TEST(WirePeer, ForwardedHeartbeatRoundTrips) {
  PeerMessage sent;
  sent.kind = PeerMessage::Kind::Heartbeat;
  sent.nonce = 7;
  sent.term = 9;
  sent.sender = 2;
  sent.heartbeat = {"n-000231", "10.1.0.232:9000", "g8", "a", true, 3, 88, 41, 2.5, {}};
  sent.heartbeat.tasks = {{"j-000412", 3, 1ULL << 40, TaskPhase::Running, ExitCause::None, false},
                          {"j-000412", 4, 2, TaskPhase::Exited, ExitCause::Stopped, true},
                          {"j-77", 0, 3, TaskPhase::Exited, ExitCause::Unknown, false}};
  PeerMessage received;
  ASSERT_EQ(read_frame(encode_peer(sent), received), FrameRead::Frame);
  EXPECT_EQ(std::tuple(received.nonce, received.term, received.sender), std::tuple(7u, 9u, 2u));
  EXPECT_EQ(encode_heartbeat(received.heartbeat), encode_heartbeat(sent.heartbeat));
}

TEST(WirePeer, CommandsRoundTrip) {
  PeerMessage sent;
  sent.kind = PeerMessage::Kind::Commands;
  sent.status = 200;
  sent.commands = {{TaskCommand::Verb::Start, "j-77", 5, 6, 0}, {TaskCommand::Verb::Stop, "j-77", 6, 7, 3.5}};
  PeerMessage received;
  ASSERT_EQ(read_frame(encode_peer(sent), received), FrameRead::Frame);
  EXPECT_EQ(received.status, 200);
  EXPECT_EQ(encode_commands(1, received.commands), encode_commands(1, sent.commands));
}

TEST(WirePeer, UserRequestRoundTrips) {
  PeerMessage sent;
  sent.kind = PeerMessage::Kind::UserRequest;
  sent.verb = PeerMessage::Verb::Abort;
  sent.id = "j-000412";
  sent.body = std::string(5000, 'x');
  PeerMessage received;
  ASSERT_EQ(read_frame(encode_peer(sent), received), FrameRead::Frame);
  EXPECT_EQ(received.verb, sent.verb);
  EXPECT_EQ(received.id, sent.id);
  EXPECT_EQ(received.body, sent.body);
}

TEST(WirePeer, UserRequestWithInvalidJobIdIsRejected) {
  PeerMessage sent;
  sent.kind = PeerMessage::Kind::UserRequest;
  sent.id = "nonsense";
  PeerMessage received;
  EXPECT_EQ(read_frame(encode_peer(sent), received), FrameRead::Garbage);
}

TEST(WirePeer, UserResponseRoundTrips) {
  PeerMessage sent;
  sent.kind = PeerMessage::Kind::UserResponse;
  sent.status = 503;
  sent.retry_s = 2;
  sent.body = std::string(5000, 'x');
  PeerMessage received;
  ASSERT_EQ(read_frame(encode_peer(sent), received), FrameRead::Frame);
  EXPECT_EQ(received.status, 503);
  EXPECT_EQ(received.retry_s, 2);
  EXPECT_EQ(received.body, sent.body);
}

TEST(WirePeer, UserResponseWithInvalidHttpStatusIsRejected) {
  PeerMessage sent;
  sent.kind = PeerMessage::Kind::UserResponse;
  sent.status = 99;
  PeerMessage received;
  EXPECT_EQ(read_frame(encode_peer(sent), received), FrameRead::Garbage);
}

// Skips byte 8, the low byte of the body length: the corrupted length would be permitted.
TEST(WirePeer, CorruptHeaderIsRejected) {
  const auto valid_frame = encode_peer(ping_with_cancellation());
  PeerMessage received;
  for (std::size_t i : {0, 1, 2, 3, 4, 5, 6, 7, 9, 10, 11}) {
    auto bytes = valid_frame;
    bytes[i] = static_cast<char>(0xee);
    EXPECT_EQ(read_frame(bytes, received), FrameRead::Garbage) << i;
  }
}

TEST(WirePeer, PingWithInvalidJobIdIsRejected) {
  auto bytes = encode_peer(ping_with_cancellation());
  bytes[bytes.size() - 3] = '/';
  PeerMessage received;
  EXPECT_EQ(read_frame(bytes, received), FrameRead::Garbage);
}

TEST(WirePeer, HttpRequestIsRejected) {
  PeerMessage received;
  EXPECT_EQ(read_frame("GET /up HTTP/1.1\r\n\r\n", received), FrameRead::Garbage);
}

// Guards against crashes on malformed input from the network.
TEST(WirePeer, MutatedFramesDoNotThrow) {
  const std::string frames[] = {encode_peer(ping_with_cancellation()), encode_peer(heartbeat_message()),
                                encode_peer(commands_message())};
  std::mt19937 rng(1);
  for (std::size_t i = 0; i < 5000; ++i) {
    auto bytes = frames[i % 3];
    bytes[rng() % bytes.size()] = static_cast<char>(rng());
    bytes.resize(1 + rng() % bytes.size());
    PeerMessage received;
    EXPECT_NO_THROW((void)read_frame(bytes, received));
  }
}
