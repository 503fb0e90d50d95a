#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "core/timers.h"
#include "gateway/quota_gate.h"
#include "teams/quota_lease.h"
#include "telemetry/metrics.h"
#include "wire/wire_link.h"

namespace celeryspread {

/// Takes the cost of calls from what this entry holds of the quotas, and asks
/// the owner for more.
/// @thread loop thread only.
class QuotaLink : public QuotaGate
{
public:
  /// Objects that the link uses. All of them outlive it.
  struct Dependencies
  {
    const Clock& m_clock;
    Timers& m_timers;
    Metrics& m_metrics;
  };

  /// Creates the link of an entry's process. @pre aOwner returns the link to
  /// the owner, null while there is none; aProcess is random.
  QuotaLink(Dependencies aDependencies,
            InstanceId aInstance,
            uint64_t aProcess,
            std::function<WireLink*()> aOwner);
  ~QuotaLink() override;
  QuotaLink(const QuotaLink&) = delete;
  QuotaLink& operator=(const QuotaLink&) = delete;

  /// Applies the quotas of a configuration. @pre none.
  void SetTeams(const std::vector<Team>& aTeams);
  void Take(const Team& aTeam,
            uint64_t aCost,
            uint32_t aRank,
            Done aDone) override;
  void GiveBack(const TeamId& aTeam, uint64_t aCost) override;
  /// Returns what is held of all teams. @pre none. @unit tokens or calls.
  [[nodiscard]] double TotalHeld() const { return m_leases.TotalHeld(); }

private:
  struct WaitingCall
  {
    TeamId m_team;
    uint64_t m_cost = 0;
    uint32_t m_rank = 0;
    Done m_done;
  };

  /// Takes the cost of a call from what is held. @return false if it doesn't
  /// fit, or is left to more urgent calls.
  bool TryTakeHeld(const WaitingCall& aCall, TimePoint aNow);
  /// Asks the owner if calls wait or it has not heard of this entry lately.
  void Ask();
  void SendRequest(WireLink& aOwner);
  static void WriteRequest(const QuotaRequest& aRequest,
                           wire::QuotaRequest::Builder aOut);
  void HandleReply(wire::QuotaReply::Reader aReply, TimePoint aSentAt);
  /// Answers the calls of a request that got no answer. @pre aReason is a
  /// literal.
  void HandleFailure(std::string_view aReason);
  /// Decides about the calls that were asked for.
  void AnswerAsked(const QuotaGate::Verdict& aOtherwise);
  /// Decides about the calls that came while the owner was asked, as far as its
  /// answer permits. Otherwise each of them would cause a request.
  void AnswerWaiting();
  /// Counts the verdict and answers the call.
  void Answer(WaitingCall& aCall, const Verdict& aVerdict);

  Dependencies m_deps;
  InstanceId m_instance;
  uint64_t m_process;
  std::function<WireLink*()> m_owner;
  QuotaLeases m_leases;
  /// Calls that wait for the request in flight, and for the next one.
  std::deque<WaitingCall> m_asked;
  std::deque<WaitingCall> m_waiting;
  uint64_t m_sequence = 0;
  bool m_isAsking = false;
  TimePoint m_askedAt;
  std::unique_ptr<Timer> m_reportTimer;
  /// False once the link is destroyed; shared with callbacks that may come
  /// later.
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace celeryspread
