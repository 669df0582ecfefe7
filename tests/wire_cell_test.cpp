#include <gtest/gtest.h>

#include <string>

#include "loftrouter/wire/cell.hpp"

using namespace loftrouter;
using namespace loftrouter::wire;

namespace {

CellMessage make_message(CellMessage::Kind kind) {
  CellMessage message;
  message.kind = kind;
  message.from = "north";
  message.to = "south";
  return message;
}

FrameRead read_frame(std::string_view bytes, CellMessage &out) {
  return read_cell(bytes, out);
}

} // namespace

TEST(WireCell, EveryKindRoundTrips) {
  for (int kind = 1; kind <= static_cast<int>(CellMessage::Kind::QuotaOutcome); ++kind) {
    auto sent = make_message(static_cast<CellMessage::Kind>(kind));
    sent.term = 4;
    sent.number = 5;
    sent.address = "10.0.0.1:9000";
    sent.kinds = {{"big", "a", true, false, 3, 1, {4, 0, 16}, {9, 0, 30}, 40, 1}};
    sent.types = {"big"};
    sent.ranges = {{1, 5}, {7, 9}};
    sent.body = "body";
    sent.generations = {1, 2};
    sent.running = 3;
    sent.status = 200;
    sent.accepted = sent.ended = sent.within_cap = true;
    const auto bytes = encode_cell(sent);
    EXPECT_TRUE(looks_like_cell(bytes));
    CellMessage received;
    ASSERT_EQ(read_frame(bytes, received), FrameRead::Frame) << kind;
    EXPECT_EQ(encode_cell(received), bytes) << kind;
  }
}

TEST(WireCell, IncompleteFrameNeedsMoreBytes) {
  const auto bytes = encode_cell(make_message(CellMessage::Kind::Summary));
  CellMessage received;
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_EQ(read_frame(std::string_view(bytes).substr(0, size), received), FrameRead::NeedMore) << size;
}

TEST(WireCell, OverlappingRangesAreRejected) {
  auto offer = make_message(CellMessage::Kind::DelegationOffer);
  offer.ranges = {{1, 5}, {4, 9}};
  CellMessage received;
  EXPECT_EQ(read_frame(encode_cell(offer), received), FrameRead::Garbage);
}

TEST(WireCell, OfferWithoutTasksIsRejected) {
  CellMessage received;
  EXPECT_EQ(read_frame(encode_cell(make_message(CellMessage::Kind::DelegationOffer)), received), FrameRead::Garbage);
}

TEST(WireCell, FrameWithoutSenderCellIsRejected) {
  auto summary = make_message(CellMessage::Kind::Summary);
  summary.from.clear();
  CellMessage received;
  EXPECT_EQ(read_frame(encode_cell(summary), received), FrameRead::Garbage);
}
