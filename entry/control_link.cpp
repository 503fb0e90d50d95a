#include "entry/control_link.h"

#include <nlohmann/json.hpp>

#include "http/http_status.h"
#include "wire/claim_codec.h"
#include "wire/message_bytes.h"

namespace celeryspread {

namespace {

using nlohmann::json;

constexpr Duration kFetchDeadline = std::chrono::milliseconds(2500);
constexpr Duration kClaimDeadline = std::chrono::seconds(3);
constexpr Duration kCloseDeadline = std::chrono::seconds(2);
constexpr Duration kAdminDeadline = std::chrono::seconds(8);
constexpr int kCloseTries = 5;
constexpr int64_t kRetryDelayMicros = 200'000;
/// Without a provably latest revision for this long after the start, the
/// newest one that any control instance has is put in force.
constexpr Duration kLatestPatience = std::chrono::seconds(5);

ClaimReply ReadClaimReply(wire::ClaimReply::Reader aIn)
{
  constexpr auto kLast = static_cast<uint8_t>(ClaimVerdict::Unavailable);
  if (aIn.getVerdict() > kLast) {
    return {};
  }
  return { static_cast<ClaimVerdict>(aIn.getVerdict()),
           ReadAnswer(aIn.getAnswer()) };
}

} // namespace

ControlLink::ControlLink(LoopPort& aPort,
                         const ClusterKey& aKey,
                         const InstanceSettings& aSettings,
                         const Clock& aClock,
                         EventLog& aLog,
                         CatalogListener aListener)
  : m_port(aPort)
  , m_key(aKey)
  , m_settings(aSettings)
  , m_clock(aClock)
  , m_log(aLog)
  , m_listener(std::move(aListener))
  , m_tree(std::make_unique<json>(json::object()))
  , m_startedAt(aClock.Now())
  , m_follow(nullptr)
{
  for (const PeerAddress& peer : aSettings.m_control) {
    AddLink(peer);
  }
  m_follow = FollowLoop().eagerlyEvaluate(nullptr);
}

ControlLink::~ControlLink() noexcept = default;

void ControlLink::AddLink(const PeerAddress& aPeer)
{
  const std::string name = aPeer.m_instance.Value();
  m_links.push_back(std::make_unique<WireLink>(
    m_port,
    m_key,
    WireEndpoint{ aPeer.m_address, aPeer.m_port },
    [this, name](bool aIsUp) {
      m_log.Write(aIsUp ? EventId::ControlLinkUp : EventId::ControlLinkLost,
                  "control=" + name);
    }));
}

WireLink* ControlLink::WorkingLink()
{
  for (size_t i = 0; i < m_links.size(); ++i) {
    const size_t at = (m_preferred + i) % m_links.size();
    if (m_links[at]->IsUp()) {
      m_preferred = at;
      return m_links[at].get();
    }
  }
  return nullptr;
}

kj::Promise<void> ControlLink::FollowLoop()
{
  return FetchOnce()
    .catch_([this](kj::Exception&&) {
      // The next try asks another instance.
      ++m_preferred;
      return PromiseAfter(m_port.Base(), kRetryDelayMicros);
    })
    .then([this] { return FollowLoop(); });
}

kj::Promise<void> ControlLink::FetchOnce()
{
  WireLink* link = WorkingLink();
  if (link == nullptr) {
    return PromiseAfter(m_port.Base(), kRetryDelayMicros);
  }
  auto request = link->Node().fetchRequest();
  auto asked = request.initRequest();
  asked.setAfterRevision(m_revision.Value());
  asked.setMustBeLatest(m_revision == Revision());
  asked.setInstance(m_settings.m_instance.Value());
  asked.setFailureDomain(m_settings.m_failureDomain.Value());
  auto answered = request.send().then(
    [this](auto&& aReply) { HandleReply(aReply.getReply()); });
  return link->WithDeadline<void>(kj::mv(answered), kFetchDeadline);
}

void ControlLink::HandleReply(wire::FetchReply::Reader aReply)
{
  const Revision revision(aReply.getRevision());
  if (revision <= m_revision) {
    return;
  }
  // After a start the revision that was in force before is not known, so only
  // one that is provably the latest may be served, as long as there is hope.
  const bool isFirst = m_revision == Revision();
  const bool isPatient = m_clock.Now() < m_startedAt + kLatestPatience;
  if (isFirst && !aReply.getIsCurrent() && isPatient) {
    KJ_FAIL_REQUIRE("the revision is not known to be the latest");
  }
  if (ApplyReply(aReply)) {
    PutInForce(revision);
  }
}

bool ControlLink::ApplyReply(wire::FetchReply::Reader aReply)
{
  if (aReply.hasTree() && aReply.getTree().size() > 0) {
    *m_tree = json::parse(TextOf(aReply.getTree()), nullptr, false);
    return m_tree->is_object();
  }
  for (const auto change : aReply.getChanges()) {
    if (Revision(change.getRevision()) <= m_revision) {
      continue;
    }
    const json patch = json::parse(TextOf(change.getPatch()), nullptr, false);
    if (!patch.is_object()) {
      return false;
    }
    m_tree->merge_patch(patch);
  }
  return true;
}

void ControlLink::PutInForce(Revision aRevision)
{
  SettingsError error;
  auto catalog = Catalog::FromJson(*m_tree, aRevision, error);
  m_revision = aRevision;
  if (catalog == nullptr) {
    m_log.Write(EventId::ConfigRefused, error.Text());
    return;
  }
  m_listener(std::move(catalog));
}

uint64_t ControlLink::BytesMoved() const
{
  uint64_t bytes = 0;
  for (const auto& link : m_links) {
    bytes += link->BytesMoved();
  }
  return bytes;
}

void ControlLink::Claim(const ClaimRequest& aRequest,
                        std::function<void(ClaimReply)> aDone)
{
  WireLink* link = WorkingLink();
  if (link == nullptr) {
    aDone(ClaimReply{});
    return;
  }
  auto request = link->Node().claimRequest();
  WriteClaimRequest(aRequest, request.initRequest());
  auto reply = request.send().then(
    [](auto&& aReply) { return ReadClaimReply(aReply.getReply()); });
  link->WithDeadline<ClaimReply>(kj::mv(reply), kClaimDeadline)
    .then(
      [this, aRequest, aDone](const ClaimReply& aReply) {
        if (aReply.m_verdict == ClaimVerdict::Unavailable) {
          // The claim may still be committed later; nothing was sent for it.
          Close(aRequest, ClaimOutcome::NotRun, {}, [](bool) {});
        }
        aDone(aReply);
      },
      [this, aRequest, aDone](kj::Exception&&) {
        Close(aRequest, ClaimOutcome::NotRun, {}, [](bool) {});
        aDone(ClaimReply{});
      })
    .detach([](kj::Exception&&) {});
}

void ControlLink::Close(const ClaimRequest& aRequest,
                        ClaimOutcome aOutcome,
                        const StoredAnswer& aAnswer,
                        std::function<void(bool)> aDone)
{
  TryClose(aRequest, aOutcome, aAnswer, kCloseTries, aDone);
}

void ControlLink::TryClose(const ClaimRequest& aRequest,
                           ClaimOutcome aOutcome,
                           const StoredAnswer& aAnswer,
                           int aTriesLeft,
                           const std::function<void(bool)>& aDone)
{
  if (aTriesLeft == 0) {
    aDone(false);
    return;
  }
  const auto tryAgain = [=, this] {
    PromiseAfter(m_port.Base(), kRetryDelayMicros)
      .then([=, this] {
        TryClose(aRequest, aOutcome, aAnswer, aTriesLeft - 1, aDone);
      })
      .detach([](kj::Exception&&) {});
  };
  WireLink* link = WorkingLink();
  if (link == nullptr) {
    tryAgain();
    return;
  }
  auto request = link->Node().closeClaimRequest();
  auto close = request.initClose();
  WriteClaimRequest(aRequest, close.initRequest());
  close.setOutcome(static_cast<uint8_t>(aOutcome));
  WriteAnswer(aAnswer, close.initAnswer());
  auto reply =
    request.send().then([](auto&& aReply) { return aReply.getIsDurable(); });
  link->WithDeadline<bool>(kj::mv(reply), kCloseDeadline)
    .then(
      [aDone, tryAgain](bool aIsDurable) {
        if (aIsDurable) {
          aDone(true);
        } else {
          tryAgain();
        }
      },
      [this, tryAgain](kj::Exception&&) {
        ++m_preferred;
        tryAgain();
      })
    .detach([](kj::Exception&&) {});
}

void ControlLink::Forward(std::unique_ptr<CallerCall> aCall)
{
  std::shared_ptr<CallerCall> call = std::move(aCall);
  const HttpHeaders headers = { { "Content-Type", "application/json" } };
  const auto refuse = [call, headers] {
    call->Reply(HttpStatus::kUnavailable,
                headers,
                "{\"error\":{\"code\":\"no_control\",\"message\":\"no control "
                "instance answers; the outcome of a change is unknown, send "
                "it again under the same change_id\"}}");
  };
  WireLink* link = WorkingLink();
  if (link == nullptr) {
    refuse();
    return;
  }
  auto request = link->Node().adminRequest();
  auto asked = request.initRequest();
  asked.setMethod(std::string(call->Method()));
  asked.setPath(std::string(call->Path()));
  asked.setQuery(std::string(call->Query()));
  asked.setAuthorization(
    std::string(call->Header("Authorization").value_or("")));
  asked.setBody(DataOf(call->Body()));
  auto answered = request.send().then([call, headers](auto&& aReply) {
    const auto reply = aReply.getReply();
    call->Reply(reply.getStatus(), headers, BytesOf(reply.getBody()));
  });
  link->WithDeadline<void>(kj::mv(answered), kAdminDeadline)
    .detach([refuse](kj::Exception&&) { refuse(); });
}

} // namespace celeryspread
