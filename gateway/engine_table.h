#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "gateway/call_facts.h"
#include "routes/engine_record.h"

namespace celeryspread {

/// How an attempt at an upstream ended, as far as its health goes.
enum class AttemptEnd
{
  /// The upstream answered, be it with a failure of its own.
  Answered,
  /// The upstream refused without running the request.
  Rejected,
  /// No whole answer came.
  Failed,
  /// The client left or the call was ended here.
  Cancelled
};

/// What one entry knows of one upstream.
struct EngineState
{
  EngineRecord m_record;
  /// Calls of this entry in progress there.
  uint32_t m_outstanding = 0;
  LoadReading m_reading;
  TimePoint m_readingAt;
  /// Expected reading time of own prompts that wait for their first event.
  Duration m_unreadPrompts{};
  /// Own starts less own ends since the reading.
  int64_t m_changesSinceReading = 0;
  /// Last byte from the upstream, or the first start after being idle.
  TimePoint m_lastHeard;
  uint32_t m_consecutiveFailures = 0;
  TimePoint m_avoidUntil;

  /// Smoothed time between events of own streams, as of m_eventGapAt.
  Duration m_eventGap{};
  TimePoint m_eventGapAt;

  /// Estimates the time between events of streams there now. Prompts of all
  /// entries stretch it, also those that this entry can't know of. @pre none.
  /// @thread loop.
  [[nodiscard]] Duration EventGap(TimePoint aNow) const;
  /// Estimates calls that run or wait there now. @pre none. @thread loop.
  [[nodiscard]] uint32_t EstimatedLoad(TimePoint aNow) const;
  /// Tells whether calls are in progress and nothing is heard of any.
  /// @pre none. @thread loop.
  [[nodiscard]] bool IsSilent(TimePoint aNow) const;
};

/// Upstreams by pool, as the control instances tell and own calls show.
/// @thread loop thread only.
class EngineTable
{
public:
  using EnginePointers = std::vector<EngineState*>;

  /// Takes news of one upstream; state of a known one is kept. @pre none.
  void Update(const EngineRecord& aRecord);
  /// Forgets an upstream. @pre none.
  void Remove(const UpstreamId& aId);
  /// Forgets every upstream that aKeep does not name. @pre none.
  void KeepOnly(const std::set<UpstreamId>& aKeep);

  /// Notes that an attempt starts, and how long its prompt is expected to be
  /// read. @pre none; unknown ids are ignored.
  void NoteStart(const UpstreamId& aId, Duration aPrompt, TimePoint aNow);
  /// Notes that a prompt was read, or is given up. @pre as much was started.
  void NotePromptDone(const UpstreamId& aId, Duration aPrompt);
  /// Notes bytes from an upstream. @pre none.
  void NoteHeard(const UpstreamId& aId, TimePoint aNow);
  /// Notes the time between two events of a stream. @pre none.
  void NoteEventGap(const UpstreamId& aId, Duration aGap, TimePoint aNow);
  /// Takes the load that an answer told. @pre none.
  void NoteLoad(const UpstreamId& aId,
                const LoadReading& aReading,
                TimePoint aNow);
  /// Notes that an upstream refused because the target is not loaded.
  /// @pre none.
  void NoteMissing(const UpstreamId& aId, const ModelTarget& aTarget);
  /// Notes that an adapter was loaded on request. @pre none.
  void NoteLoaded(const UpstreamId& aId, const ModelTarget& aTarget);
  /// Notes the end of an attempt. @pre NoteStart() came before.
  void NoteEnd(const UpstreamId& aId, AttemptEnd aEnd, TimePoint aNow);

  /// Returns the upstreams of a pool. @pre none.
  [[nodiscard]] const EnginePointers& InPool(const PoolId& aPool) const;
  /// Finds an upstream; null for none. @pre none.
  [[nodiscard]] const EngineState* Find(const UpstreamId& aId) const;
  /// Returns the number of upstreams. @pre none.
  [[nodiscard]] size_t Size() const { return m_engines.size(); }

private:
  EngineState* FindMutable(const UpstreamId& aId);
  void Reindex();

  std::map<UpstreamId, std::unique_ptr<EngineState>> m_engines;
  std::map<PoolId, EnginePointers> m_byPool;
  EnginePointers m_none;
};

} // namespace celeryspread
