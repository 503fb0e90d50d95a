#include <gtest/gtest.h>

#include "entry/sse_scanner.h"
#include "gateway/event_splitter.h"

namespace celeryspread::test {

namespace {

/// Feeds bytes in pieces of one size and returns what came out.
template<typename Splitter>
std::string FeedInPieces(Splitter& aSplitter,
                         std::string_view aBytes,
                         size_t aPieceSize)
{
  std::string passed;
  for (size_t at = 0; at < aBytes.size(); at += aPieceSize) {
    passed += aSplitter.Feed(aBytes.substr(at, aPieceSize));
  }
  return passed;
}

/// Returns the bytes searched and copied for each byte of an event that goes on
/// and of a stream of whole events.
template<typename Splitter>
double WorkPerByte(std::string_view aBytes, size_t aPieceSize)
{
  Splitter splitter;
  FeedInPieces(splitter, aBytes, aPieceSize);
  return static_cast<double>(splitter.WorkBytes()) /
         static_cast<double>(aBytes.size());
}

constexpr size_t kPieceSizes[] = { 1, 2, 3, 16, 4096 };
/// Each byte is searched, kept, and kept once more with the event that follows;
/// up to two bytes before each piece are searched again.
constexpr double kMaxWorkPerByte = 6;

} // namespace

// Guards against a loop that is blocked by one event without end: each small
// chunk of it led to a search and a copy of all that had come before.
TEST(EventBufferTest, WorkForAnEventIsLinearHoweverSmallThePieces)
{
  std::string endless = "data: ";
  while (endless.size() < 200'000) {
    endless += "x\n";
  }
  std::string whole;
  while (whole.size() < 200'000) {
    whole += "data: token\n\n";
  }
  for (const size_t pieceSize : kPieceSizes) {
    for (const std::string_view bytes : { endless, whole }) {
      EXPECT_LE(WorkPerByte<EventSplitter>(bytes, pieceSize), kMaxWorkPerByte)
        << pieceSize;
      EXPECT_LE(WorkPerByte<SseScanner>(bytes, pieceSize), kMaxWorkPerByte)
        << pieceSize;
    }
  }
}

TEST(EventBufferTest, ReturnsTheSameEventsHoweverTheyAreSplit)
{
  const std::string stream =
    "data: a\n\ndata: b\r\n\r\nid: 7\r\ndata: c\r\n\n: d\n\r\ndata: e\n\n";
  for (const size_t pieceSize : kPieceSizes) {
    EventSplitter splitter;
    EXPECT_EQ(FeedInPieces(splitter, stream, pieceSize), stream) << pieceSize;
    EXPECT_EQ(splitter.LastId(), "7") << pieceSize;
    EXPECT_FALSE(splitter.HasPartialEvent()) << pieceSize;
    SseScanner scanner;
    EXPECT_EQ(FeedInPieces(scanner, stream, pieceSize), stream) << pieceSize;
    EXPECT_EQ(scanner.EventCount(), 5U) << pieceSize;
  }
}

} // namespace celeryspread::test
