#include "control/control_service.h"

#include "wire/claim_codec.h"
#include "wire/codec.h"
#include "wire/message_bytes.h"

namespace celeryspread {

namespace {

/// A fetch that finds no update is answered after this time, which also shows
/// the entry that the link works.
constexpr int64_t kLongPollMicros = 1'000'000;
constexpr Duration kForwardTimeout = std::chrono::seconds(5);
/// Entries seen within this time are reported to the leader. A running entry
/// sends at least one fetch per long poll, so an older one has stopped.
constexpr Duration kMaxReportedAge = std::chrono::seconds(3);
/// Most changes sent one by one. A reader that is further behind gets the
/// whole tree, which is shorter.
constexpr size_t kMaxSentChanges = 1'000;

void WriteChange(const AcceptedChange& aChange,
                 wire::StoredChange::Builder aOut)
{
  aOut.setChangeId(aChange.m_changeId.Value());
  aOut.setOperator(aChange.m_operator.Value());
  aOut.setRevision(aChange.m_revision.Value());
  aOut.setPatch(aChange.m_patch);
  aOut.setAtMicros(aChange.m_at.count());
}

void WriteFetchReply(const SettingsStore& aSettings,
                     Revision aAfter,
                     wire::FetchReply::Builder aOut)
{
  aOut.setRevision(aSettings.CurrentRevision().Value());
  const auto changes = aSettings.ChangesAfter(aAfter);
  const bool sendsChanges =
    changes && changes->size() <= kMaxSentChanges && aAfter.Value() != 0;
  if (!sendsChanges) {
    aOut.setTree(aSettings.TreeText());
    return;
  }
  auto list = aOut.initChanges(static_cast<unsigned>(changes->size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    WriteChange((*changes)[i], list[i]);
  }
}

} // namespace

ControlService::ControlService(EventLoopPort& aPort,
                               const Clock& aClock,
                               ReplicaHost& aHost,
                               PeerLinks& aPeers,
                               AdminApi& aAdmin,
                               InstanceRegistry& aInstances)
  : m_port(aPort)
  , m_clock(aClock)
  , m_host(aHost)
  , m_peers(aPeers)
  , m_admin(aAdmin)
  , m_instances(aInstances)
{
}

WireLink* ControlService::LeaderLink()
{
  const ReplicaAddress* leader = m_host.LeaderAddress();
  if (leader == nullptr || m_host.Replica().IsLeader()) {
    return nullptr;
  }
  WireLink& link = m_peers.LinkTo(*leader);
  return link.IsUp() ? &link : nullptr;
}

kj::Promise<void> ControlService::ping(PingContext /*aContext*/)
{
  return kj::READY_NOW;
}

kj::Promise<void> ControlService::raft(RaftContext aContext)
{
  const auto message = ReadRaftMessage(aContext.getParams().getMessage());
  if (message) {
    const auto from = aContext.getParams().getFrom();
    m_host.Step(*message,
                { InstanceId(TextOf(from.getInstance())),
                  TextOf(from.getAddress()),
                  from.getPort() });
  }
  return kj::READY_NOW;
}

kj::Promise<void> ControlService::WaitForChange()
{
  auto paf = kj::newPromiseAndFulfiller<void>();
  std::erase_if(m_waitingFetches,
                [](auto& aWaiter) { return !aWaiter->isWaiting(); });
  m_waitingFetches.push_back(kj::mv(paf.fulfiller));
  return paf.promise.exclusiveJoin(
    PromiseAfter(m_port.Base(), kLongPollMicros));
}

void ControlService::NotifyRevision()
{
  std::list<kj::Own<kj::PromiseFulfiller<void>>> waiting;
  waiting.swap(m_waitingFetches);
  for (auto& waiter : waiting) {
    waiter->fulfill();
  }
}

kj::Promise<void> ControlService::AnswerFetch(FetchContext aContext,
                                              bool aIsCurrent)
{
  const auto request = aContext.getParams().getRequest();
  auto reply = aContext.getResults().initReply();
  reply.setIsCurrent(aIsCurrent);
  WriteFetchReply(
    m_host.State().Settings(), Revision(request.getAfterRevision()), reply);
  return kj::READY_NOW;
}

kj::Promise<void> ControlService::fetch(FetchContext aContext)
{
  const auto request = aContext.getParams().getRequest();
  const Revision after(request.getAfterRevision());
  if (!TextOf(request.getInstance()).empty()) {
    m_instances.Record(InstanceId(TextOf(request.getInstance())),
                       { FailureDomainId(TextOf(request.getFailureDomain())),
                         after,
                         m_clock.Now() });
  }
  const bool hasUpdate = m_host.State().Settings().CurrentRevision() > after;
  if (request.getMustBeLatest()) {
    return hasUpdate ? FetchLatest(aContext)
                     : WaitForChange().then([this, aContext]() mutable {
                         return FetchLatest(aContext);
                       });
  }
  // Without an update the fetch waits here; an immediate answer would make
  // the entry fetch again at once.
  if (hasUpdate) {
    return AnswerFetch(aContext, false);
  }
  return WaitForChange().then(
    [this, aContext]() mutable { return AnswerFetch(aContext, false); });
}

kj::Promise<void> ControlService::FetchLatest(FetchContext aContext)
{
  if (m_host.HasLease()) {
    return AnswerFetch(aContext, true);
  }
  WireLink* leader = LeaderLink();
  if (leader == nullptr) {
    return AnswerFetch(aContext, false);
  }
  auto forwarded = leader->Node().fetchRequest();
  forwarded.setRequest(aContext.getParams().getRequest());
  return leader
    ->WithTimeout<void>(
      forwarded.send().then([aContext](auto&& aReply) mutable {
        aContext.getResults().setReply(aReply.getReply());
      }),
      kForwardTimeout)
    .catch_([this, aContext](kj::Exception&&) mutable {
      return AnswerFetch(aContext, false);
    });
}

kj::Promise<void> ControlService::HandleAdminHere(AdminContext aContext)
{
  const auto request = aContext.getParams().getRequest();
  const AdminRequest adminRequest{ TextOf(request.getMethod()),
                                   TextOf(request.getPath()),
                                   TextOf(request.getQuery()),
                                   TextOf(request.getAuthorization()),
                                   BytesOf(request.getBody()) };
  auto paf = kj::newPromiseAndFulfiller<void>();
  auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
    kj::mv(paf.fulfiller));
  m_admin.Handle(adminRequest,
                 [aContext, fulfiller](const AdminReply& aReply) mutable {
                   if (!(*fulfiller)->isWaiting()) {
                     return;
                   }
                   auto reply = aContext.getResults().initReply();
                   reply.setStatus(static_cast<uint16_t>(aReply.m_status));
                   reply.setBody(DataOf(aReply.m_body));
                   (*fulfiller)->fulfill();
                 });
  return kj::mv(paf.promise);
}

kj::Promise<void> ControlService::admin(AdminContext aContext)
{
  const auto request = aContext.getParams().getRequest();
  WireLink* leader = request.getIsForwarded() ? nullptr : LeaderLink();
  if (leader == nullptr) {
    return HandleAdminHere(aContext);
  }
  auto forwarded = leader->Node().adminRequest();
  forwarded.setRequest(request);
  forwarded.getRequest().setIsForwarded(true);
  return leader->WithTimeout<void>(
    forwarded.send().then([aContext](auto&& aReply) mutable {
      aContext.getResults().setReply(aReply.getReply());
    }),
    kForwardTimeout);
}

kj::Promise<void> ControlService::claim(ClaimContext aContext)
{
  const auto params = aContext.getParams();
  WireLink* leader = params.getIsForwarded() ? nullptr : LeaderLink();
  if (leader != nullptr) {
    auto forwarded = leader->Node().claimRequest();
    forwarded.setRequest(params.getRequest());
    forwarded.setIsForwarded(true);
    return leader->WithTimeout<void>(
      forwarded.send().then([aContext](auto&& aReply) mutable {
        aContext.getResults().setReply(aReply.getReply());
      }),
      kForwardTimeout);
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
    kj::mv(paf.fulfiller));
  auto answer = [aContext, fulfiller](const ClaimReply& aReply) mutable {
    if (!(*fulfiller)->isWaiting()) {
      return;
    }
    auto reply = aContext.getResults().initReply();
    reply.setVerdict(static_cast<uint8_t>(aReply.m_verdict));
    WriteStoredAnswer(aReply.m_answer, reply.initAnswer());
    (*fulfiller)->fulfill();
  };
  const bool isProposed = m_host.Propose(
    { {}, ReadClaimRequest(params.getRequest()) },
    [answer](const std::optional<CommandResult>& aResult) mutable {
      const auto* reply =
        aResult ? std::get_if<ClaimReply>(&*aResult) : nullptr;
      answer(reply == nullptr ? ClaimReply{} : *reply);
    });
  if (!isProposed) {
    answer(ClaimReply{});
  }
  return kj::mv(paf.promise);
}

kj::Promise<void> ControlService::closeClaim(CloseClaimContext aContext)
{
  const auto params = aContext.getParams();
  WireLink* leader = params.getIsForwarded() ? nullptr : LeaderLink();
  if (leader != nullptr) {
    auto forwarded = leader->Node().closeClaimRequest();
    forwarded.setClose(params.getClose());
    forwarded.setIsForwarded(true);
    return leader->WithTimeout<void>(
      forwarded.send().then([aContext](auto&& aReply) mutable {
        aContext.getResults().setIsDurable(aReply.getIsDurable());
      }),
      kForwardTimeout);
  }
  const auto close = params.getClose();
  auto paf = kj::newPromiseAndFulfiller<void>();
  auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
    kj::mv(paf.fulfiller));
  const bool isProposed = m_host.Propose(
    { {},
      CloseClaim{ ReadClaimRequest(close.getRequest()),
                  ReadClaimOutcome(close.getOutcome()),
                  ReadStoredAnswer(close.getAnswer()) } },
    [aContext, fulfiller](const std::optional<CommandResult>& aResult) mutable {
      if ((*fulfiller)->isWaiting()) {
        aContext.getResults().setIsDurable(aResult.has_value());
        (*fulfiller)->fulfill();
      }
    });
  if (!isProposed) {
    aContext.getResults().setIsDurable(false);
    return kj::READY_NOW;
  }
  return kj::mv(paf.promise);
}

void ControlService::ReportInstances()
{
  WireLink* leader = LeaderLink();
  if (leader == nullptr) {
    return;
  }
  const auto seen = m_instances.SeenSince(m_clock.Now() - kMaxReportedAge);
  auto request = leader->Node().reportInstancesRequest();
  auto list = request.initInstances(static_cast<unsigned>(seen.size()));
  unsigned at = 0;
  for (const auto& [id, known] : seen) {
    list[at].setInstance(id.Value());
    list[at].setFailureDomain(known.m_failureDomain.Value());
    list[at].setRevision(known.m_revision.Value());
    ++at;
  }
  leader->WithTimeout<void>(request.send().ignoreResult(), kForwardTimeout)
    .detach([](kj::Exception&&) {});
}

kj::Promise<void> ControlService::reportInstances(
  ReportInstancesContext aContext)
{
  for (const auto known : aContext.getParams().getInstances()) {
    m_instances.Record(InstanceId(TextOf(known.getInstance())),
                       { FailureDomainId(TextOf(known.getFailureDomain())),
                         Revision(known.getRevision()),
                         m_clock.Now() });
  }
  return kj::READY_NOW;
}

kj::Promise<void> ControlService::follow(FollowContext aContext)
{
  KJ_REQUIRE(m_fleet != nullptr, "this instance looks after no engines");
  return m_fleet->Follow(
    aContext.getParams().getRequest(),
    [aContext]() mutable { return aContext.getResults().initReply(); });
}

kj::Promise<void> ControlService::loadAdapter(LoadAdapterContext aContext)
{
  KJ_REQUIRE(m_fleet != nullptr, "this instance looks after no engines");
  return m_fleet->LoadAdapter(aContext.getParams().getRequest())
    .then([aContext](std::string&& aEngine) mutable {
      aContext.getResults().setEngine(aEngine);
    });
}

kj::Promise<void> ControlService::reportCrashes(ReportCrashesContext aContext)
{
  KJ_REQUIRE(m_fleet != nullptr, "this instance looks after no engines");
  m_fleet->ReportCrashes(aContext.getParams().getReport(),
                         aContext.getResults());
  return kj::READY_NOW;
}

kj::Promise<void> ControlService::requestTrial(RequestTrialContext aContext)
{
  KJ_REQUIRE(m_fleet != nullptr, "this instance looks after no engines");
  aContext.getResults().setIsPermitted(m_fleet->RequestTrial(
    PromptPartId(TextOf(aContext.getParams().getPart()))));
  return kj::READY_NOW;
}

kj::Promise<void> ControlService::takeRate(TakeRateContext aContext)
{
  KJ_REQUIRE(m_fleet != nullptr, "this instance looks after no engines");
  const auto params = aContext.getParams();
  const EngineRates::Grant grant = m_fleet->TakeRate(
    UpstreamId(TextOf(params.getEngine())), params.getRateLimit());
  aContext.getResults().setIsGranted(grant.m_isGranted);
  aContext.getResults().setRetryAfterMicros(grant.m_retryAfter.count());
  return kj::READY_NOW;
}

kj::Promise<void> ControlService::endRateLimit(EndRateLimitContext aContext)
{
  KJ_REQUIRE(m_fleet != nullptr, "this instance looks after no engines");
  m_fleet->EndRateLimit(UpstreamId(TextOf(aContext.getParams().getEngine())));
  return kj::READY_NOW;
}

kj::Promise<void> ControlService::takeQuota(TakeQuotaContext aContext)
{
  KJ_REQUIRE(m_fleet != nullptr, "this instance looks after no engines");
  m_fleet->TakeQuota(aContext.getParams().getRequest(),
                     aContext.getResults().initReply());
  return kj::READY_NOW;
}

kj::Promise<void> ControlService::readRoutes(ReadRoutesContext aContext)
{
  KJ_REQUIRE(m_fleet != nullptr, "this instance looks after no engines");
  const auto params = aContext.getParams();
  m_fleet->ReadRoutes({ Revision(params.getVersion()),
                        Revision(params.getBase()),
                        params.getIsEncoded() },
                      params.getOffset(),
                      aContext.getResults().initPiece());
  return kj::READY_NOW;
}

kj::Promise<void> ControlService::recordStreams(RecordStreamsContext aContext)
{
  KJ_REQUIRE(m_fleet != nullptr, "this instance looks after no engines");
  m_fleet->Streams().Record(aContext.getParams().getReport());
  return kj::READY_NOW;
}

kj::Promise<void> ControlService::findStream(FindStreamContext aContext)
{
  KJ_REQUIRE(m_fleet != nullptr, "this instance looks after no engines");
  const auto params = aContext.getParams();
  m_fleet->Streams().Find(PoolId(TextOf(params.getPool())),
                          StreamKey(params.getStream()),
                          aContext.getResults().initAnswer());
  return kj::READY_NOW;
}

kj::Promise<void> ControlService::join(JoinContext aContext)
{
  const auto params = aContext.getParams();
  // A new replica knows the seeds only, and perhaps none of them leads.
  WireLink* leader = params.getIsForwarded() ? nullptr : LeaderLink();
  if (leader != nullptr) {
    auto forwarded = leader->Node().joinRequest();
    forwarded.setReplica(params.getReplica());
    forwarded.setIsForwarded(true);
    return leader->WithTimeout<void>(
      forwarded.send().then([aContext](auto&& aReply) mutable {
        aContext.getResults().setIsAccepted(aReply.getIsAccepted());
        aContext.getResults().setIsRemoved(aReply.getIsRemoved());
      }),
      kForwardTimeout);
  }
  const auto replica = params.getReplica();
  const JoinVerdict verdict =
    m_host.Join(ReplicaId(TextOf(replica.getReplica())),
                { InstanceId(TextOf(replica.getInstance())),
                  TextOf(replica.getAddress()),
                  replica.getPort() });
  aContext.getResults().setIsAccepted(verdict == JoinVerdict::Accepted);
  aContext.getResults().setIsRemoved(verdict == JoinVerdict::Removed);
  return kj::READY_NOW;
}

} // namespace celeryspread
