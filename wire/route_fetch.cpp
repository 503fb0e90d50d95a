#include "wire/route_fetch.h"

#include <algorithm>
#include <utility>

#include "wire/message_bytes.h"
#include "wire/route_encoding.h"

namespace celeryspread {

namespace {

/// Longer than one piece and a round trip between regions take on a slow link.
constexpr Duration kPieceTimeout = std::chrono::milliseconds(1400);
/// Delay before the next call after a failed one.
constexpr int64_t kRetryDelayMicros = 100'000;
/// Delay before a document is read again that could not be put in force.
constexpr int64_t kRefusedDelayMicros = 1'000'000;

} // namespace

RouteFetch::RouteFetch(EventLoopPort& aPort,
                       LinkSource aLinks,
                       Listener aListener)
  : m_port(aPort)
  , m_links(std::move(aLinks))
  , m_listener(std::move(aListener))
  , m_reading(nullptr)
{
}

void RouteFetch::Want(Revision aVersion)
{
  m_wanted = std::max(m_wanted, aVersion);
  if (m_isReading || m_held >= m_wanted) {
    return;
  }
  m_isReading = true;
  m_reading = ReadAll().eagerlyEvaluate(nullptr);
}

void RouteFetch::RecordHeld(Revision aVersion,
                            std::shared_ptr<const std::string> aDocument)
{
  if (aVersion <= m_held) {
    return;
  }
  m_held = aVersion;
  m_heldDocument = std::move(aDocument);
  m_canUseBase = true;
  m_wanted = std::max(m_wanted, m_held);
  const RouteTransfer& transfer = m_assembly.Transfer();
  const bool lostBase =
    transfer.m_base != Revision() && transfer.m_base != m_held;
  if (transfer.m_version <= m_held || lostBase) {
    m_assembly.Clear();
  }
}

void RouteFetch::Receive(const RouteTransfer& aTransfer, std::string aBytes)
{
  if (aTransfer.m_version <= m_held) {
    return;
  }
  const uint64_t size = aBytes.size();
  auto document = Decode(aTransfer, std::move(aBytes));
  m_canUseBase = document.has_value();
  const bool isAccepted =
    document &&
    Accept({ { aTransfer.m_version, std::move(*document) }, 0, size });
  if (!isAccepted) {
    Want(aTransfer.m_version);
  }
}

std::optional<std::string> RouteFetch::Decode(const RouteTransfer& aTransfer,
                                              std::string aBytes) const
{
  if (!aTransfer.m_isEncoded) {
    return aBytes;
  }
  const bool hasBase = aTransfer.m_base != Revision();
  if (hasBase && aTransfer.m_base != m_held) {
    return std::nullopt;
  }
  return DecodeRoutes(aBytes,
                      hasBase ? *m_heldDocument : std::string(),
                      RouteAssembly::kMaxBytes);
}

bool RouteFetch::Accept(RouteArrival aArrival)
{
  bool isInForce = false;
  kj::runCatchingExceptions([&] { isInForce = m_listener(aArrival); });
  m_wasRefused = !isInForce;
  if (isInForce) {
    RecordHeld(aArrival.m_document.m_version,
               std::make_shared<const std::string>(
                 std::move(aArrival.m_document.m_bytes)));
  }
  return isInForce;
}

kj::Promise<void> RouteFetch::ReadAll()
{
  const bool isRetry = std::exchange(m_wasRefused, false);
  auto begin = isRetry ? PromiseAfter(m_port.Base(), kRefusedDelayMicros)
                       : kj::Promise<void>(kj::READY_NOW);
  // Exceptions before the call is sent must not end the loop either.
  return begin.then([this] { return ReadPiece(); })
    .catch_([this](kj::Exception&&) {
      return PromiseAfter(m_port.Base(), kRetryDelayMicros);
    })
    .then([this]() -> kj::Promise<void> {
      if (m_held >= m_wanted) {
        m_isReading = false;
        return kj::READY_NOW;
      }
      return ReadAll();
    });
}

kj::Promise<void> RouteFetch::ReadPiece()
{
  if (m_held >= m_wanted) {
    return kj::READY_NOW;
  }
  WireLink* link = m_links();
  KJ_REQUIRE(link != nullptr, "no control instance can be asked");
  const RouteTransfer& transfer = m_assembly.Transfer();
  const bool hasBegun = m_assembly.NextOffset() != 0;
  auto call = link->Node().readRoutesRequest();
  call.setVersion(transfer.m_version.Value());
  call.setOffset(m_assembly.NextOffset());
  call.setBase((hasBegun ? transfer.m_base : Base()).Value());
  call.setIsEncoded(!hasBegun || transfer.m_isEncoded);
  auto reply =
    call.send().then([this](auto&& aResponse) { Apply(aResponse.getPiece()); });
  return link->WithTimeout<void>(kj::mv(reply), kPieceTimeout);
}

void RouteFetch::Apply(wire::RoutePiece::Reader aPiece)
{
  const auto bytes = aPiece.getBytes();
  const RoutePiece piece{ { Revision(aPiece.getVersion()),
                            Revision(aPiece.getBase()),
                            aPiece.getIsEncoded() },
                          aPiece.getTotalBytes(),
                          aPiece.getOffset(),
                          { reinterpret_cast<const char*>(bytes.begin()),
                            bytes.size() } };
  // An instance that lags would be read again and again.
  KJ_REQUIRE(piece.m_transfer.m_version > m_held,
             "the instance has no newer document");
  const uint64_t before = m_assembly.NextOffset();
  const RouteTransfer transferBefore = m_assembly.Transfer();
  auto whole = m_assembly.Add(piece);
  const bool isNewTransfer = piece.m_transfer != transferBefore;
  m_pieces = (isNewTransfer ? 0 : m_pieces) + 1;
  if (!whole) {
    KJ_REQUIRE(m_assembly.NextOffset() > before ||
                 m_assembly.Transfer() != transferBefore,
               "the piece does not fit");
    return;
  }
  auto document = Decode(piece.m_transfer, std::move(*whole));
  m_canUseBase = document.has_value();
  KJ_REQUIRE(document.has_value(), "the document can't be restored");
  KJ_REQUIRE(Accept({ { piece.m_transfer.m_version, std::move(*document) },
                      m_pieces,
                      piece.m_totalBytes }),
             "the document can't be put in force");
}

} // namespace celeryspread
