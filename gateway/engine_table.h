#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "gateway/call_fields.h"
#include "prediction/engine_history.h"
#include "routes/engine_record.h"

namespace celeryspread {

/// Outcome of an attempt, as it matters to the health of the upstream.
enum class AttemptOutcome
{
  Answered,
  /// The upstream answered with an error of its own.
  Erred,
  /// The upstream refused without running the request.
  Rejected,
  /// The upstream refused because the target is not loaded there.
  Misdirected,
  /// No complete answer arrived.
  Failed,
  /// The caller disconnected first.
  Cancelled
};

/// What the process of an upstream said of itself in its answers.
struct EngineStatements
{
  /// It is about to stop. Holds until its process is replaced, whatever the
  /// owner's records say.
  bool m_isLeaving = false;
  /// End of the back-off that it asked for; empty once it has answered a call
  /// after that end without asking for another one.
  std::optional<TimePoint> m_backOffUntil;
  /// While one call tries whether the back-off is over, the others wait.
  TimePoint m_trialUntil;
};

/// State of one upstream as one entry sees it.
struct EngineState
{
  EngineRecord m_record;
  /// Calls of this entry in progress on the upstream.
  uint32_t m_outstanding = 0;
  /// Attempts that this entry ever started on the upstream.
  uint64_t m_attempts = 0;
  LoadReading m_reading;
  TimePoint m_readingAt;
  /// Expected time to read the prompts of this entry's calls that have no first
  /// event yet.
  Duration m_pendingPrefill{};
  /// Calls that this entry started less those that ended, since the reading.
  int64_t m_changesSinceReading = 0;
  /// Time of the last byte from the upstream, or of the start of a call while
  /// it had no other call of this entry.
  TimePoint m_lastByteAt;
  uint32_t m_consecutiveFailures = 0;
  TimePoint m_avoidUntil;
  /// Limit in the owner's last record. The entry may know a newer one from an
  /// answer; that one stands in m_record.
  double m_listedRateLimit = 0;
  /// When an answer to this entry named the limit last.
  TimePoint m_rateLimitSeenAt;
  /// No request is granted before this.
  TimePoint m_rateDeniedUntil;
  EngineStatements m_said;
  /// Requests that were not granted since the last one that was, up to
  /// kMaxRateDenials.
  uint32_t m_rateDenials = 0;
  static constexpr uint32_t kMaxRateDenials = 4;

  /// Smoothed time between events of this entry's streams, as of m_eventGapAt.
  Duration m_eventGap{};
  TimePoint m_eventGapAt;

  /// Smoothed share of the attempts of this entry that were rejected or
  /// answered with an error, as of m_refusalShareAt.
  double m_refusalShare = 0;
  TimePoint m_refusalShareAt;

  /// How its process performed; kept by EngineLearning only.
  EngineHistory m_history;

  /// Returns the share of attempts that the upstream is expected to refuse now.
  /// It decays, so that the upstream is tried again. @pre none. @thread loop.
  [[nodiscard]] double RefusalShare(TimePoint aNow) const;
  /// Estimates the present time between events of its streams. Prompts of all
  /// entries lengthen it, also those that this entry can't see. @pre none.
  /// @thread loop.
  [[nodiscard]] Duration EventGap(TimePoint aNow) const;
  /// Estimates the number of calls that run or wait on the upstream now.
  /// @pre none. @thread loop.
  [[nodiscard]] uint32_t EstimatedLoad(TimePoint aNow) const;
  /// Returns whether the upstream takes no new calls because it is about to
  /// stop. @pre none. @thread loop.
  [[nodiscard]] bool IsLeaving() const
  {
    return m_record.m_isLeaving || m_said.m_isLeaving;
  }
  /// Returns when the upstream takes new calls after a back-off that it asked
  /// for; empty if it takes them now. @pre none. @thread loop.
  [[nodiscard]] std::optional<TimePoint> BackOffEnd(TimePoint aNow) const;
  /// Returns whether calls are in progress and no byte has arrived for a while.
  /// @pre none. @thread loop.
  [[nodiscard]] bool IsUnresponsive(TimePoint aNow) const;
};

/// Upstreams by pool, with what the control instances report and what this
/// entry observes in its own calls.
/// @thread loop thread only.
class EngineTable
{
public:
  using EnginePointers = std::vector<EngineState*>;
  /// Removed upstreams whose statements are kept, in case they come back.
  static constexpr size_t kMaxFormerEngines = 8'192;

  /// Applies a new record of an upstream; observed state is kept. @pre none.
  void Update(const EngineRecord& aRecord);
  /// Prepares for the first records of a new owner. A limit that its records
  /// don't name is one that it hasn't heard of yet, not one that has ended.
  /// @pre none.
  void BeginTerm();
  /// Removes an upstream. What it said in its answers is kept for the case that
  /// the same process is listed again. @pre none.
  void Remove(const UpstreamId& aId);
  /// Removes every upstream that is not in aKeep, as Remove() does. @pre none.
  void KeepOnly(const std::set<UpstreamId>& aKeep);

  /// Records the start of an attempt and the expected time to read its prompt.
  /// @pre none; unknown ids are ignored, as in the other Record methods.
  void RecordStart(const UpstreamId& aId, Duration aPrefill, TimePoint aNow);
  /// Records that a prompt was read or its attempt ended.
  /// @pre RecordStart() was called with the same duration.
  void RecordPrefillEnd(const UpstreamId& aId, Duration aPrefill);
  /// Records that bytes arrived from an upstream. @pre none.
  void RecordBytes(const UpstreamId& aId, TimePoint aNow);
  /// Records the time between two events of a stream. @pre none.
  void RecordEventGap(const UpstreamId& aId, Duration aGap, TimePoint aNow);
  /// Stores the load that an answer reported. @pre none.
  void RecordLoad(const UpstreamId& aId,
                  const LoadReading& aReading,
                  TimePoint aNow);
  /// Records the limit that an answer named, or that it named none.
  /// @pre none. @return whether a known limit has ended.
  bool RecordRateLimit(const UpstreamId& aId,
                       const std::optional<double>& aRequestsPerSecond,
                       TimePoint aNow);
  /// Records that an upstream said in an answer that it is about to stop.
  /// @pre none.
  void RecordLeaving(const UpstreamId& aId);
  /// Records that an upstream wants no call before aUntil. A longer back-off
  /// that it asked for before stays. @pre none.
  void RecordBackOff(const UpstreamId& aId, TimePoint aUntil);
  /// Records an answer without a back-off to a call that was sent at aSentAt.
  /// @pre none.
  void RecordBackOffOver(const UpstreamId& aId, TimePoint aSentAt);
  /// Records that no request to an upstream is granted before aUntil.
  /// @pre none.
  void RecordRateDenied(const UpstreamId& aId, TimePoint aUntil);
  /// Records that a request to an upstream was granted. @pre none.
  void RecordRateGranted(const UpstreamId& aId);
  /// Records that an upstream rejected a call because the target is not loaded.
  /// @pre none.
  void RecordMissing(const UpstreamId& aId, const ModelTarget& aTarget);
  /// Records that an adapter was loaded on request. @pre none.
  void RecordLoaded(const UpstreamId& aId, const ModelTarget& aTarget);
  /// Records the end of an attempt. @pre RecordStart() was called.
  void RecordEnd(const UpstreamId& aId,
                 AttemptOutcome aOutcome,
                 TimePoint aNow);

  /// Returns the history of an upstream, null if there is no such upstream.
  /// @pre none.
  [[nodiscard]] EngineHistory* History(const UpstreamId& aId);
  /// Returns the upstreams of a pool. @pre none.
  [[nodiscard]] const EnginePointers& InPool(const PoolId& aPool) const;
  /// Returns the upstream with an id, null if there is none. @pre none.
  [[nodiscard]] const EngineState* Find(const UpstreamId& aId) const;
  /// Returns the model engines on which the last attempts failed, and that were
  /// not tried with success since. @pre none.
  [[nodiscard]] std::vector<UpstreamId> FailingEngines() const;
  /// Returns the number of upstreams. @pre none.
  [[nodiscard]] size_t Size() const { return m_engines.size(); }
  /// Returns how often the index by pool was built anew. @pre none.
  [[nodiscard]] uint64_t ReindexCount() const { return m_reindexCount; }
  /// Returns the number of removed upstreams that are remembered. @pre none.
  [[nodiscard]] size_t FormerCount() const { return m_former.size(); }

private:
  /// What the process of a removed upstream said in its answers.
  struct FormerEngine
  {
    int64_t m_startedAt = 0;
    EngineStatements m_said;
    double m_rateLimit = 0;
  };

  EngineState* FindMutable(const UpstreamId& aId);
  /// Finds what an upstream said, also after its removal; null if it never was
  /// in the table.
  EngineStatements* FindStatements(const UpstreamId& aId);
  void RememberFormer(const EngineState& aState);
  /// Gives a new record what the same process said before its removal.
  void RestoreFormer(EngineState& aState);
  void Reindex();

  std::map<UpstreamId, std::unique_ptr<EngineState>> m_engines;
  std::map<PoolId, EnginePointers> m_byPool;
  EnginePointers m_noEngines;
  uint64_t m_reindexCount = 0;
  std::map<UpstreamId, FormerEngine> m_former;
  /// Keys of m_former, the oldest first.
  std::deque<UpstreamId> m_formerOrder;
};

} // namespace celeryspread
