#include "gateway/quota_link.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "wire/message_bytes.h"

namespace celeryspread {

namespace {

/// A call waits this long for the owner's answer; a round trip between regions
/// takes 70 ms.
constexpr Duration kAskTimeout = std::chrono::milliseconds(400);
/// The owner counts an entry as silent after one and a half seconds.
constexpr Duration kReportPeriod = std::chrono::milliseconds(500);
constexpr Duration kReportCheckPeriod = std::chrono::milliseconds(100);
/// Time after which a caller may return that was refused for want of an owner;
/// a change of the owner takes about as long.
constexpr Duration kUnknownRetryAfter = std::chrono::seconds(1);
constexpr std::string_view kDenied = "the owner denied the cost";
constexpr std::string_view kDeniedBefore =
  "the owner denied a cost like it a moment ago";

} // namespace

QuotaLink::QuotaLink(Dependencies aDependencies,
                     InstanceId aInstance,
                     uint64_t aProcess,
                     std::function<WireLink*()> aOwner)
  : m_deps(aDependencies)
  , m_instance(std::move(aInstance))
  , m_process(aProcess)
  , m_owner(std::move(aOwner))
  , m_leases(aDependencies.m_clock.Now())
{
}

QuotaLink::~QuotaLink()
{
  *m_isAlive = false;
}

void QuotaLink::SetTeams(const std::vector<Team>& aTeams)
{
  m_leases.SetTeams(aTeams);
  if (!m_leases.HasQuotas()) {
    m_reportTimer.reset();
  } else if (m_reportTimer == nullptr) {
    m_reportTimer = m_deps.m_timers.Every(kReportCheckPeriod, [this] {
      if (m_deps.m_clock.Now() >= m_askedAt + kReportPeriod) {
        Ask();
      }
    });
  }
}

void QuotaLink::Answer(WaitingCall& aCall, const Verdict& aVerdict)
{
  const std::string outcome =
    aVerdict.m_kind == Verdict::Kind::Admitted   ? "admitted"
    : aVerdict.m_kind == Verdict::Kind::Exceeded ? "limited"
                                                 : "unknown";
  m_deps.m_metrics.CountTeam({ aCall.m_team.Value(), outcome }, aCall.m_cost);
  aCall.m_done(aVerdict);
}

bool QuotaLink::TryTakeHeld(const WaitingCall& aCall, TimePoint aNow)
{
  const bool isLeftToOthers =
    aCall.m_rank != 0 && m_leases.IsScarce(aCall.m_team);
  return !isLeftToOthers && m_leases.TryTake(aCall.m_team, aCall.m_cost, aNow);
}

void QuotaLink::Take(const Team& aTeam,
                     uint64_t aCost,
                     uint32_t aRank,
                     Done aDone)
{
  const TimePoint now = m_deps.m_clock.Now();
  const TeamId& team = aTeam.m_id;
  WaitingCall call{ team, aCost, aRank, std::move(aDone) };
  m_leases.RecordCall(team, aCost, now);
  if (TryTakeHeld(call, now)) {
    Answer(call, { Verdict::Kind::Admitted, Duration::zero() });
    return;
  }
  if (const auto deniedFor = m_leases.DeniedFor(team, aCost, now, aRank)) {
    Answer(call, { Verdict::Kind::Exceeded, *deniedFor, kDeniedBefore });
    return;
  }
  m_waiting.push_back(std::move(call));
  Ask();
}

void QuotaLink::GiveBack(const TeamId& aTeam, uint64_t aCost)
{
  m_leases.GiveBack(aTeam, aCost);
}

void QuotaLink::Ask()
{
  if (m_isAsking) {
    return;
  }
  m_askedAt = m_deps.m_clock.Now();
  m_asked = std::exchange(m_waiting, {});
  // The owner grants in this order, and so must the answers.
  std::stable_sort(m_asked.begin(),
                   m_asked.end(),
                   [](const WaitingCall& aLeft, const WaitingCall& aRight) {
                     return aLeft.m_rank < aRight.m_rank;
                   });
  WireLink* owner = m_owner();
  if (owner == nullptr) {
    HandleFailure("no owner is known");
    return;
  }
  SendRequest(*owner);
}

void QuotaLink::WriteRequest(const QuotaRequest& aRequest,
                             wire::QuotaRequest::Builder aOut)
{
  aOut.setInstance(aRequest.m_entry.Value());
  aOut.setProcess(aRequest.m_process);
  aOut.setSequence(aRequest.m_sequence);
  aOut.setAnswered(aRequest.m_answered);
  aOut.setReportsUse(aRequest.m_reportsUse);
  auto teams = aOut.initTeams(static_cast<unsigned>(aRequest.m_demands.size()));
  for (unsigned i = 0; i < teams.size(); ++i) {
    const QuotaDemand& demand = aRequest.m_demands[i];
    teams[i].setTeam(demand.m_team.Value());
    teams[i].setWanted(static_cast<uint64_t>(demand.m_wanted));
    teams[i].setLeast(static_cast<uint64_t>(demand.m_least));
    teams[i].setHeld(static_cast<uint64_t>(std::ceil(demand.m_held)));
    teams[i].setReturned(static_cast<uint64_t>(demand.m_returned));
    teams[i].setUsed(static_cast<uint64_t>(std::ceil(demand.m_used)));
    teams[i].setUsedAlone(static_cast<uint64_t>(demand.m_usedAlone));
    auto needed =
      teams[i].initNeeded(static_cast<unsigned>(demand.m_needed.size()));
    for (unsigned j = 0; j < needed.size(); ++j) {
      needed.set(j, demand.m_needed[j]);
    }
    auto ranks =
      teams[i].initRanks(static_cast<unsigned>(demand.m_ranks.size()));
    for (unsigned j = 0; j < ranks.size(); ++j) {
      ranks.set(j, demand.m_ranks[j]);
    }
  }
}

void QuotaLink::SendRequest(WireLink& aOwner)
{
  m_isAsking = true;
  ++m_sequence;
  std::map<TeamId, std::vector<uint64_t>> needed;
  std::map<TeamId, std::vector<uint32_t>> ranks;
  for (const WaitingCall& call : m_asked) {
    needed[call.m_team].push_back(call.m_cost);
    ranks[call.m_team].push_back(call.m_rank);
  }
  const TimePoint sentAt = m_deps.m_clock.Now();
  QuotaRequest request;
  request.m_entry = m_instance;
  request.m_process = m_process;
  request.m_sequence = m_sequence;
  m_leases.MakeDemands(needed, sentAt, request);
  for (QuotaDemand& demand : request.m_demands) {
    demand.m_ranks = std::move(ranks[demand.m_team]);
  }
  auto call = aOwner.Node().takeQuotaRequest();
  WriteRequest(request, call.initRequest());
  auto reply =
    call.send().then([this, isAlive = m_isAlive, sentAt](auto&& aResponse) {
      if (*isAlive) {
        HandleReply(aResponse.getReply(), sentAt);
      }
    });
  aOwner.WithTimeout<void>(kj::mv(reply), kAskTimeout)
    .then([] {},
          [this, isAlive = m_isAlive](kj::Exception&&) {
            if (*isAlive) {
              HandleFailure("the owner did not answer");
            }
          })
    .then([this, isAlive = m_isAlive] {
      if (!*isAlive) {
        return;
      }
      m_isAsking = false;
      if (!m_waiting.empty()) {
        Ask();
      }
    })
    .detach([](kj::Exception&&) {});
}

void QuotaLink::HandleReply(wire::QuotaReply::Reader aReply, TimePoint aSentAt)
{
  QuotaAnswer answer;
  answer.m_entryCount = aReply.getEntryCount();
  answer.m_epoch = aReply.getEpoch();
  answer.m_window = Duration(aReply.getWindowMicros());
  for (const auto reader : aReply.getGrants()) {
    QuotaGrant grant;
    grant.m_team = TeamId(TextOf(reader.getTeam()));
    grant.m_granted = reader.getGranted();
    grant.m_isDenied = reader.getIsDenied();
    grant.m_retryAfter = Duration(reader.getRetryAfterMicros());
    grant.m_isScarce = reader.getIsScarce();
    grant.m_deniedRank = reader.getDeniedRank();
    answer.m_grants.push_back(std::move(grant));
  }
  m_leases.Apply(answer, aSentAt, m_deps.m_clock.Now());
  AnswerAsked({ Verdict::Kind::Unknown,
                kUnknownRetryAfter,
                "the owner does not know the quota" });
  AnswerWaiting();
}

void QuotaLink::AnswerAsked(const Verdict& aOtherwise)
{
  // A callback may add calls.
  auto asked = std::exchange(m_asked, {});
  for (WaitingCall& call : asked) {
    const TimePoint now = m_deps.m_clock.Now();
    if (m_leases.TryTake(call.m_team, call.m_cost, now)) {
      Answer(call, { Verdict::Kind::Admitted, Duration::zero() });
    } else if (const auto wait = m_leases.AvailableAfter(call.m_team, now)) {
      Answer(call, { Verdict::Kind::Exceeded, *wait, kDenied });
    } else {
      Answer(call, aOtherwise);
    }
  }
}

void QuotaLink::AnswerWaiting()
{
  // A callback may add calls.
  auto waiting = std::exchange(m_waiting, {});
  for (WaitingCall& call : waiting) {
    const TimePoint now = m_deps.m_clock.Now();
    if (TryTakeHeld(call, now)) {
      Answer(call, { Verdict::Kind::Admitted, Duration::zero() });
    } else if (const auto deniedFor = m_leases.DeniedFor(
                 call.m_team, call.m_cost, now, call.m_rank)) {
      Answer(call, { Verdict::Kind::Exceeded, *deniedFor, kDeniedBefore });
    } else {
      m_waiting.push_back(std::move(call));
    }
  }
}

void QuotaLink::HandleFailure(std::string_view aReason)
{
  auto asked = std::exchange(m_asked, {});
  for (WaitingCall& call : asked) {
    const TimePoint now = m_deps.m_clock.Now();
    const bool isTaken = m_leases.TryTake(call.m_team, call.m_cost, now) ||
                         m_leases.TryTakeAlone(call.m_team, call.m_cost, now);
    Answer(call,
           isTaken
             ? Verdict{ Verdict::Kind::Admitted, Duration::zero() }
             : Verdict{ Verdict::Kind::Unknown, kUnknownRetryAfter, aReason });
  }
}

} // namespace celeryspread
