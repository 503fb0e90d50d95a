#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/timers.h"
#include "http/caller_server.h"

namespace celeryspread {

/// Behaviour of a FakeEngine.
struct FakeEngineOptions
{
  std::set<std::string> m_resident;
  uint64_t m_memoryBytes = 0;
  int m_defaultTokens = 8;
  Duration m_tokenInterval = std::chrono::milliseconds(2);
  Duration m_loadTime = std::chrono::milliseconds(20);
  bool m_checksFencing = true;
};

/// Stand-in for a model engine: OpenAI-compatible completions, repository
/// load and unload orders, and a Prometheus load report.
///
/// A prompt may hold directives such as "tokens=5 interval_ms=1 stop_after=2
/// garbage_after=2 silent_after=2 status=503" that make one call misbehave.
/// @thread loop thread only.
class FakeEngine : public CallHandler
{
public:
  /// Prepares an engine. @pre aTimers outlives it.
  FakeEngine(Timers& aTimers, FakeEngineOptions aOptions);
  ~FakeEngine() override;
  FakeEngine(const FakeEngine&) = delete;
  FakeEngine& operator=(const FakeEngine&) = delete;

  void OnCall(std::unique_ptr<CallerCall> aCall) override;
  /// Says in its reports whether it is leaving. @pre none.
  void SetLeaving(bool aIsLeaving) { m_isLeaving = aIsLeaving; }
  /// Makes it take calls and send nothing. @pre none.
  void SetSilent(bool aIsSilent) { m_isSilent = aIsSilent; }
  /// Returns completions begun. @pre none.
  [[nodiscard]] uint64_t Begun() const { return m_begun; }
  /// Returns completions whose caller left. @pre none.
  [[nodiscard]] uint64_t Cancelled() const { return m_cancelled; }
  /// Returns calls in progress. @pre none.
  [[nodiscard]] size_t Running() const { return m_streams.size(); }
  /// Returns the largest memory ever held resident. @pre none. @unit bytes.
  [[nodiscard]] uint64_t PeakMemory() const { return m_peakMemory; }
  /// Returns what is resident. @pre none.
  [[nodiscard]] const std::set<std::string>& Resident() const
  {
    return m_options.m_resident;
  }

private:
  class Stream;

  void HandleCompletion(std::unique_ptr<CallerCall> aCall);
  void HandleReport(CallerCall& aCall) const;
  void HandleOrder(std::unique_ptr<CallerCall> aCall);
  void ApplyOrder(const std::string& aName, bool aIsLoad, uint64_t aBytes);
  void Remove(Stream* aStream);

  Timers& m_timers;
  FakeEngineOptions m_options;
  std::map<Stream*, std::unique_ptr<Stream>> m_streams;
  std::vector<std::unique_ptr<Stream>> m_ended;
  std::vector<std::unique_ptr<Timer>> m_loads;
  std::map<std::string, uint64_t> m_memory;
  uint64_t m_fencingToken = 0;
  uint64_t m_peakMemory = 0;
  uint64_t m_begun = 0;
  uint64_t m_cancelled = 0;
  bool m_isLeaving = false;
  bool m_isSilent = false;
};

} // namespace celeryspread
