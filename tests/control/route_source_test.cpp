#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

#include "control/route_source.h"
#include "wire/route_encoding.h"

namespace celeryspread::test {

namespace {

constexpr Duration kOneMs = std::chrono::milliseconds(1);

TimePoint At(Duration aTime)
{
  return TimePoint(std::chrono::hours(1) + aTime);
}

RouteChange Routes(uint64_t aVersion, size_t aBytes)
{
  return { Revision(aVersion),
           std::string(aBytes, static_cast<char>('a' + aVersion % 26)) };
}

/// A document of a number of routes, the first ones of which were changed.
RouteChange Document(uint64_t aVersion, size_t aRoutes, size_t aChanged)
{
  std::string text;
  for (size_t i = 0; i < aRoutes; ++i) {
    const uint64_t name = i * 2654435761U % 99'999'989U;
    const uint64_t timeout = i < aChanged ? 12'000 + aVersion : 15'000;
    text += "{\"Name\":\"r-" + std::to_string(name) +
            "\",\"Hostname\":\"shop.example\",\"PathPrefix\":\"/p" +
            std::to_string(name * 7) +
            "/\",\"RouteKind\":\"streaming\",\"TimeoutMs\":" +
            std::to_string(timeout) + ",\"Service\":\"chat\"},";
  }
  return { Revision(aVersion), text };
}

/// What a reader without a document asks for that takes none compressed.
constexpr RouteTransfer kPlain{};

} // namespace

// Guards against a replica that lags and is served all the same.
TEST(RouteSourceTest, ServesTheNewestOfReplicaAndOwner)
{
  RouteSource source;
  source.SetReplicated(Routes(4, 10));
  source.RecordProven(Revision(5), At({}));
  EXPECT_FALSE(source.NeedsFetch(At(RouteSource::kMaxReplicaLag - kOneMs)));
  EXPECT_TRUE(source.NeedsFetch(At(RouteSource::kMaxReplicaLag)));
  source.SetFetched({ Revision(5), "five" });
  EXPECT_EQ(source.Version(), Revision(5));
  EXPECT_EQ(*source.Document(), "five");
  EXPECT_FALSE(source.NeedsFetch(At(std::chrono::hours(1))));
  // The replica catches up, one version after the other.
  source.SetReplicated(Routes(4, 10));
  EXPECT_EQ(source.Version(), Revision(5));
  source.SetReplicated(Routes(6, 10));
  EXPECT_EQ(source.Version(), Revision(6));
}

// Guards against documents that no entry can finish reading while changes come
// in quick succession.
TEST(RouteSourceTest, DocumentThatIsBeingReadStaysDuringChanges)
{
  constexpr size_t kPieces = 40;
  RouteSource source;
  source.SetReplicated(Routes(1, kPieces * RouteAssembly::kPieceBytes));
  RouteAssembly assembly;
  std::optional<std::string> document;
  for (size_t i = 0; i < kPieces; ++i) {
    ASSERT_FALSE(document);
    document = assembly.Add(
      source.Read(assembly.NextOffset() == 0 ? kPlain : assembly.Transfer(),
                  assembly.NextOffset()));
    source.SetReplicated(Routes(i + 2, 100));
  }
  ASSERT_TRUE(document);
  EXPECT_EQ(*document,
            Routes(1, kPieces * RouteAssembly::kPieceBytes).m_document);
}

// The size to design for: 83 entries follow one relay, and start at different
// moments while changes come in quick succession. Guards against entries that
// take the kept documents from each other, so that none ever finishes.
TEST(RouteSourceTest, EntriesOfADomainFinishReadingDuringChanges)
{
  constexpr size_t kEntries = 83;
  constexpr size_t kPieces = 32;
  constexpr size_t kSteps = 600;
  constexpr size_t kStepsPerChange = 5;
  std::vector<RouteAssembly> entries(kEntries);
  std::vector<size_t> finished(kEntries);
  RouteSource source;
  for (size_t step = 0; step < kSteps; ++step) {
    if (step % kStepsPerChange == 0) {
      source.SetReplicated(
        Routes(step + 1, kPieces * RouteAssembly::kPieceBytes));
    }
    for (size_t i = 0; i < std::min(step + 1, kEntries); ++i) {
      RouteAssembly& entry = entries[i];
      const auto document = entry.Add(
        source.Read(entry.NextOffset() == 0 ? kPlain : entry.Transfer(),
                    entry.NextOffset()));
      finished[i] += document ? 1 : 0;
    }
  }
  for (size_t i = 0; i < kEntries; ++i) {
    EXPECT_GE(finished[i], 1U) << "entry " << i;
  }
}

// Guards against slow readers that take the kept documents from everybody else:
// two of them, each in the middle of a former document, made all other entries
// begin anew at each change.
TEST(RouteSourceTest, SlowReadersDoNotDisturbOthers)
{
  constexpr size_t kBytes = 4 * RouteAssembly::kPieceBytes;
  RouteSource source;
  std::vector<RouteTransfer> slow;
  for (uint64_t version = 1; version <= 2; ++version) {
    source.SetReplicated(Routes(version, kBytes));
    slow.push_back(source.Read(kPlain, 0).m_transfer);
  }
  source.SetReplicated(Routes(3, kBytes));
  RouteAssembly assembly;
  std::optional<std::string> document;
  for (uint64_t version = 4; version <= 7; ++version) {
    for (const RouteTransfer& transfer : slow) {
      EXPECT_EQ(source.Read(transfer, 1).m_transfer, transfer);
    }
    document = assembly.Add(
      source.Read(assembly.NextOffset() == 0 ? kPlain : assembly.Transfer(),
                  assembly.NextOffset()));
    source.SetReplicated(Routes(version, kBytes));
  }
  EXPECT_TRUE(document);
}

// Former documents take up memory.
TEST(RouteSourceTest, FormerDocumentsAreForgotten)
{
  constexpr uint64_t kVersions = 3 * RouteSource::kMaxDocuments;
  constexpr size_t kLarge = 12'000'000;
  RouteSource source;
  const auto kept = [&source] {
    size_t count = 0;
    for (uint64_t version = 1; version <= source.Version().Value(); ++version) {
      const RouteTransfer transfer{ Revision(version), Revision(), false };
      count += source.Read(transfer, 1).m_offset == 1 ? 1 : 0;
    }
    return count;
  };
  for (uint64_t version = 1; version <= kVersions; ++version) {
    source.SetReplicated(Routes(version, 100));
  }
  EXPECT_EQ(kept(), RouteSource::kMaxDocuments);
  for (uint64_t version = 1; version <= kVersions; ++version) {
    source.SetReplicated(Routes(kVersions + version, kLarge));
  }
  EXPECT_EQ(kept(), 2U);
}

// An entry whose document is too old, or which has none, gets the whole one.
TEST(RouteSourceTest, CompressesAgainstTheDocumentOfTheEntry)
{
  RouteSource source;
  source.SetReplicated(Document(1, 500, 0));
  source.SetReplicated(Document(2, 500, 1));
  const std::string& newest = *source.Document();
  const auto delta = source.Encode(Revision(1));
  EXPECT_EQ(delta.m_transfer,
            (RouteTransfer{ Revision(2), Revision(1), true }));
  EXPECT_LT(delta.m_bytes->size(), 500U);
  EXPECT_EQ(DecodeRoutes(*delta.m_bytes,
                         Document(1, 500, 0).m_document,
                         RouteAssembly::kMaxBytes),
            newest);
  for (const uint64_t unknown : { 0, 2, 77 }) {
    const auto whole = source.Encode(Revision(unknown));
    EXPECT_EQ(whole.m_transfer,
              (RouteTransfer{ Revision(2), Revision(), true }));
    EXPECT_EQ(DecodeRoutes(*whole.m_bytes, "", RouteAssembly::kMaxBytes),
              newest);
  }
}

// Guards against a document that is put together from a base other than the one
// it was compressed against, from damaged bytes, or that is too large.
TEST(RouteSourceTest, DamagedDocumentsAreNotRestored)
{
  const std::string base = Document(1, 100, 0).m_document;
  const std::string document = Document(2, 100, 3).m_document;
  std::string bytes = EncodeRoutes(document, base);
  EXPECT_EQ(DecodeRoutes(bytes, base, document.size()), document);
  EXPECT_FALSE(DecodeRoutes(bytes, base, document.size() - 1));
  const std::string otherBase = Document(9, 100, 100).m_document;
  EXPECT_FALSE(DecodeRoutes(bytes, otherBase, document.size()));
  EXPECT_FALSE(DecodeRoutes(bytes, "", document.size()));
  EXPECT_FALSE(DecodeRoutes("", base, document.size()));
  EXPECT_FALSE(DecodeRoutes("no document", base, document.size()));
  bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
  EXPECT_FALSE(DecodeRoutes(bytes, base, document.size()));
}

// The size to design for: 83 entries follow one relay over links of 7 Mbit/s,
// half of which callers use. Guards against a time from a change until it is in
// force that grows with the number of routes, and against entries that fall
// behind and stay so while changes come in quick succession.
TEST(RouteSourceTest, EntriesHaveEachChangeInTimeWhateverTheSize)
{
  constexpr size_t kEntries = 83;
  constexpr size_t kRoutes = 5000;
  constexpr uint64_t kVersions = 24;
  constexpr Duration kChangePeriod = std::chrono::milliseconds(500);
  constexpr Duration kApplyTime = std::chrono::milliseconds(3000);
  constexpr Duration kRoundTrip = std::chrono::milliseconds(60);
  constexpr int64_t kBytesPerSecond = 7'000'000 / 8 / 2;
  struct Entry
  {
    Revision m_held;
    std::string m_document;
    RouteAssembly m_assembly;
    TimePoint m_free;
  };
  std::vector<Entry> entries(kEntries);
  RouteSource source;
  Duration longest{};
  for (uint64_t version = 1; version <= kVersions; ++version) {
    const TimePoint changedAt =
      At(kChangePeriod * static_cast<int64_t>(version));
    source.SetReplicated(Document(version, kRoutes, version));
    for (size_t i = 0; i < kEntries; ++i) {
      Entry& entry = entries[i];
      // A third of the entries was cut off during the first half.
      if (i % 3 == 0 && version <= kVersions / 2) {
        continue;
      }
      entry.m_free = std::max(entry.m_free, changedAt);
      while (entry.m_held < source.Version() &&
             entry.m_free < changedAt + kChangePeriod) {
        const bool hasBegun = entry.m_assembly.NextOffset() != 0;
        const RoutePiece piece = source.Read(
          hasBegun ? entry.m_assembly.Transfer()
                   : RouteTransfer{ Revision(), entry.m_held, true },
          entry.m_assembly.NextOffset());
        const RouteTransfer transfer = piece.m_transfer;
        entry.m_free +=
          kRoundTrip + Duration(static_cast<int64_t>(piece.m_bytes.size()) *
                                1'000'000 / kBytesPerSecond);
        const auto whole = entry.m_assembly.Add(piece);
        if (whole) {
          auto document =
            DecodeRoutes(*whole, entry.m_document, RouteAssembly::kMaxBytes);
          ASSERT_TRUE(document);
          entry.m_held = transfer.m_version;
          entry.m_document = std::move(*document);
          const Duration lag = entry.m_free - changedAt;
          longest = std::max(longest, lag);
        }
      }
    }
    // Whoever was in touch for the time of two changes has the newest version.
    for (size_t i = 0; i < kEntries && version > kVersions / 2 + 2; ++i) {
      EXPECT_EQ(entries[i].m_held, source.Version()) << "entry " << i;
    }
  }
  EXPECT_LE(longest, kApplyTime);
}

// Guards against pieces of two documents in one, and against lengths that a
// peer made up.
TEST(RouteSourceTest, AssemblyTakesOnlyPiecesThatFit)
{
  const auto plain = [](uint64_t aVersion) {
    return RouteTransfer{ Revision(aVersion), Revision(), false };
  };
  RouteAssembly assembly;
  EXPECT_FALSE(assembly.Add({ plain(2), 6, 0, "abc" }));
  EXPECT_FALSE(assembly.Add({ plain(2), 6, 0, "abc" }));
  EXPECT_FALSE(assembly.Add({ plain(1), 6, 3, "xyz" }));
  EXPECT_FALSE(assembly.Add({ plain(1), 6, 0, "xyz" }));
  EXPECT_FALSE(assembly.Add({ plain(3), 6, 3, "xyz" }));
  EXPECT_FALSE(assembly.Add({ plain(2), 6, 3, "defg" }));
  EXPECT_FALSE(assembly.Add({ plain(2), 7, 3, "def" }));
  EXPECT_FALSE(
    assembly.Add({ { Revision(2), Revision(1), true }, 6, 3, "def" }));
  EXPECT_EQ(assembly.NextOffset(), 3U);
  const auto document = assembly.Add({ plain(2), 6, 3, "def" });
  ASSERT_TRUE(document);
  EXPECT_EQ(*document, "abcdef");
  EXPECT_FALSE(
    assembly.Add({ plain(4), RouteAssembly::kMaxBytes + 1, 0, "a" }));
  EXPECT_EQ(assembly.NextOffset(), 0U);
}

} // namespace celeryspread::test
