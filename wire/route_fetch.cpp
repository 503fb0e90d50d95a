#include "wire/route_fetch.h"

#include <algorithm>
#include <utility>

#include "wire/message_bytes.h"

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
  if (m_isReading || m_received >= m_wanted) {
    return;
  }
  m_isReading = true;
  m_reading = ReadAll().eagerlyEvaluate(nullptr);
}

void RouteFetch::RecordReceived(Revision aVersion)
{
  m_received = std::max(m_received, aVersion);
  m_wanted = std::max(m_wanted, m_received);
  if (m_assembly.Version() <= m_received) {
    m_assembly.Clear();
  }
}

void RouteFetch::Receive(const RouteDocument& aDocument)
{
  if (aDocument.m_version > m_received && !Accept(aDocument)) {
    Want(aDocument.m_version);
  }
}

bool RouteFetch::Accept(const RouteDocument& aDocument)
{
  bool isInForce = false;
  kj::runCatchingExceptions([&] { isInForce = m_listener(aDocument); });
  m_wasRefused = !isInForce;
  if (isInForce) {
    RecordReceived(aDocument.m_version);
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
      if (m_received >= m_wanted) {
        m_isReading = false;
        return kj::READY_NOW;
      }
      return ReadAll();
    });
}

kj::Promise<void> RouteFetch::ReadPiece()
{
  if (m_received >= m_wanted) {
    return kj::READY_NOW;
  }
  WireLink* link = m_links();
  KJ_REQUIRE(link != nullptr, "no control instance can be asked");
  auto call = link->Node().readRoutesRequest();
  call.setVersion(m_assembly.Version().Value());
  call.setOffset(m_assembly.NextOffset());
  auto reply =
    call.send().then([this](auto&& aResponse) { Apply(aResponse.getPiece()); });
  return link->WithTimeout<void>(kj::mv(reply), kPieceTimeout);
}

void RouteFetch::Apply(wire::RoutePiece::Reader aPiece)
{
  const auto bytes = aPiece.getBytes();
  const RoutePiece piece{ Revision(aPiece.getVersion()),
                          aPiece.getTotalBytes(),
                          aPiece.getOffset(),
                          { reinterpret_cast<const char*>(bytes.begin()),
                            bytes.size() } };
  // An instance that lags would be read again and again.
  KJ_REQUIRE(piece.m_version > m_received,
             "the instance has no newer document");
  const uint64_t before = m_assembly.NextOffset();
  const Revision versionBefore = m_assembly.Version();
  auto document = m_assembly.Add(piece);
  if (document) {
    KJ_REQUIRE(Accept(*document), "the document can't be put in force");
    return;
  }
  const bool hasProgress =
    m_assembly.NextOffset() > before || m_assembly.Version() != versionBefore;
  KJ_REQUIRE(hasProgress, "the piece does not fit");
}

} // namespace celeryspread
