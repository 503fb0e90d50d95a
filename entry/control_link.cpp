#include "entry/control_link.h"

#include <nlohmann/json.hpp>

#include "http/http_status.h"
#include "wire/claim_codec.h"
#include "wire/message_bytes.h"
#include "wire/retry_loop.h"

namespace celeryspread {

namespace {

using nlohmann::json;

constexpr Duration kFetchTimeout = std::chrono::milliseconds(2500);
constexpr Duration kClaimTimeout = std::chrono::seconds(3);
constexpr Duration kCloseTimeout = std::chrono::seconds(2);
constexpr Duration kAdminTimeout = std::chrono::seconds(8);
constexpr int kMaxCloseAttempts = 5;
constexpr int64_t kRetryDelayMicros = 200'000;
/// An entry that starts waits this long for a revision that is confirmed to be
/// the latest. After that it applies any revision a control instance returns.
constexpr Duration kLatestRevisionTimeout = std::chrono::seconds(5);

ClaimReply ReadClaimReply(wire::ClaimReply::Reader aIn)
{
  constexpr auto kLast = static_cast<uint8_t>(ClaimVerdict::Unavailable);
  if (aIn.getVerdict() > kLast) {
    return {};
  }
  return { static_cast<ClaimVerdict>(aIn.getVerdict()),
           ReadStoredAnswer(aIn.getAnswer()) };
}

} // namespace

ControlLink::ControlLink(EventLoopPort& aPort,
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
  , m_fetchLoop(nullptr)
{
  for (const PeerAddress& peer : aSettings.m_control) {
    AddLink(peer);
  }
  m_fetchLoop = RepeatForever(m_port,
                              { [this] { return FetchOnce(); },
                                [this](const kj::Exception&) {
                                  // The next attempt starts with another
                                  // control instance.
                                  ++m_preferredLink;
                                },
                                Duration(kRetryDelayMicros) })
                  .eagerlyEvaluate(nullptr);
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

WireLink* ControlLink::ConnectedLink()
{
  for (size_t i = 0; i < m_links.size(); ++i) {
    const size_t index = (m_preferredLink + i) % m_links.size();
    if (m_links[index]->IsUp()) {
      m_preferredLink = index;
      return m_links[index].get();
    }
  }
  return nullptr;
}

kj::Promise<void> ControlLink::FetchOnce()
{
  WireLink* link = ConnectedLink();
  if (link == nullptr) {
    return PromiseAfter(m_port.Base(), kRetryDelayMicros);
  }
  auto request = link->Node().fetchRequest();
  auto params = request.initRequest();
  params.setAfterRevision(m_revision.Value());
  params.setMustBeLatest(m_revision == Revision());
  params.setInstance(m_settings.m_instance.Value());
  params.setFailureDomain(m_settings.m_failureDomain.Value());
  auto handled = request.send().then(
    [this](auto&& aReply) { HandleReply(aReply.getReply()); });
  return link->WithTimeout<void>(kj::mv(handled), kFetchTimeout);
}

void ControlLink::HandleReply(wire::FetchReply::Reader aReply)
{
  const Revision revision(aReply.getRevision());
  if (revision <= m_revision) {
    return;
  }
  // After a restart, the entry does not know which revision it applied before.
  // Until the timeout it accepts only a revision confirmed to be the latest,
  // so that it does not go back to an older one.
  const bool isFirstRevision = m_revision == Revision();
  const bool isBeforeTimeout =
    m_clock.Now() < m_startedAt + kLatestRevisionTimeout;
  if (isFirstRevision && !aReply.getIsCurrent() && isBeforeTimeout) {
    KJ_FAIL_REQUIRE("the revision is not known to be the latest");
  }
  if (UpdateTree(aReply)) {
    PublishCatalog(revision);
  }
}

bool ControlLink::UpdateTree(wire::FetchReply::Reader aReply)
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

void ControlLink::PublishCatalog(Revision aRevision)
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

uint64_t ControlLink::BytesTransferred() const
{
  uint64_t bytes = 0;
  for (const auto& link : m_links) {
    bytes += link->BytesTransferred();
  }
  return bytes;
}

void ControlLink::Claim(const ClaimRequest& aRequest,
                        std::function<void(ClaimReply)> aDone)
{
  WireLink* link = ConnectedLink();
  if (link == nullptr) {
    aDone(ClaimReply{});
    return;
  }
  auto request = link->Node().claimRequest();
  WriteClaimRequest(aRequest, request.initRequest());
  auto reply = request.send().then(
    [](auto&& aReply) { return ReadClaimReply(aReply.getReply()); });
  link->WithTimeout<ClaimReply>(kj::mv(reply), kClaimTimeout)
    .then(
      [this, aRequest, aDone](const ClaimReply& aReply) {
        if (aReply.m_verdict == ClaimVerdict::Unavailable) {
          // The claim may still be committed later although the work was never
          // sent, so it is closed as not run.
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
  TryClose(aRequest, aOutcome, aAnswer, kMaxCloseAttempts, aDone);
}

void ControlLink::TryClose(const ClaimRequest& aRequest,
                           ClaimOutcome aOutcome,
                           const StoredAnswer& aAnswer,
                           int aAttemptsLeft,
                           const std::function<void(bool)>& aDone)
{
  if (aAttemptsLeft == 0) {
    aDone(false);
    return;
  }
  const auto retryLater = [=, this] {
    PromiseAfter(m_port.Base(), kRetryDelayMicros)
      .then([=, this] {
        TryClose(aRequest, aOutcome, aAnswer, aAttemptsLeft - 1, aDone);
      })
      .detach([](kj::Exception&&) {});
  };
  WireLink* link = ConnectedLink();
  if (link == nullptr) {
    retryLater();
    return;
  }
  auto request = link->Node().closeClaimRequest();
  auto close = request.initClose();
  WriteClaimRequest(aRequest, close.initRequest());
  close.setOutcome(static_cast<uint8_t>(aOutcome));
  WriteStoredAnswer(aAnswer, close.initAnswer());
  auto reply =
    request.send().then([](auto&& aReply) { return aReply.getIsDurable(); });
  link->WithTimeout<bool>(kj::mv(reply), kCloseTimeout)
    .then(
      [aDone, retryLater](bool aIsDurable) {
        if (aIsDurable) {
          aDone(true);
        } else {
          retryLater();
        }
      },
      [this, retryLater](kj::Exception&&) {
        ++m_preferredLink;
        retryLater();
      })
    .detach([](kj::Exception&&) {});
}

void ControlLink::Forward(std::unique_ptr<CallerCall> aCall)
{
  std::shared_ptr<CallerCall> call = std::move(aCall);
  const HttpHeaders headers = { { "Content-Type", "application/json" } };
  const auto replyUnavailable = [call, headers] {
    call->Reply(HttpStatus::kUnavailable,
                headers,
                "{\"error\":{\"code\":\"no_control\",\"message\":\"no control "
                "instance answers; the outcome of a change is unknown, send "
                "it again under the same change_id\"}}");
  };
  WireLink* link = ConnectedLink();
  if (link == nullptr) {
    replyUnavailable();
    return;
  }
  auto request = link->Node().adminRequest();
  auto params = request.initRequest();
  params.setMethod(std::string(call->Method()));
  params.setPath(std::string(call->Path()));
  params.setQuery(std::string(call->Query()));
  params.setAuthorization(
    std::string(call->Header("Authorization").value_or("")));
  params.setBody(DataOf(call->Body()));
  auto handled = request.send().then([call, headers](auto&& aReply) {
    const auto reply = aReply.getReply();
    call->Reply(reply.getStatus(), headers, BytesOf(reply.getBody()));
  });
  link->WithTimeout<void>(kj::mv(handled), kAdminTimeout)
    .detach([replyUnavailable](kj::Exception&&) { replyUnavailable(); });
}

} // namespace celeryspread
