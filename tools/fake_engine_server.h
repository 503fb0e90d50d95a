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

/// Configuration of a FakeEngine.
struct FakeEngineOptions
{
  /// Names of the models and adapters that are loaded at the start.
  std::set<std::string> m_resident;
  /// Memory for models and adapters; 0 is unlimited. @unit bytes.
  uint64_t m_memoryBytes = 0;
  /// Tokens of an answer whose prompt has no "tokens" directive.
  int m_defaultTokens = 8;
  Duration m_tokenInterval = std::chrono::milliseconds(2);
  Duration m_loadTime = std::chrono::milliseconds(20);
  /// Whether orders with an outdated fencing token are rejected.
  bool m_checksFencing = true;
};

/// Fake model engine: serves OpenAI-compatible completions, load and unload
/// orders, and a load report in the Prometheus text format.
///
/// A prompt may hold directives such as "tokens=5 interval_ms=1 stop_after=2"
/// that control its call:
/// - tokens, interval_ms: length of the answer and time per token; 0 ms sends
///   all tokens at once
/// - stop_after, short_after, garbage_after, silent_after: after so many tokens
///   abort the connection, end the stream early, send bytes that are no event,
///   or send nothing more
/// - always=1: inject these faults into continued answers as well
/// - status: reply with this HTTP status instead of running the call
/// @thread loop thread only.
class FakeEngine : public CallHandler
{
public:
  /// Creates an engine. @pre aTimers outlives it.
  FakeEngine(Timers& aTimers, FakeEngineOptions aOptions);
  ~FakeEngine() override;
  FakeEngine(const FakeEngine&) = delete;
  FakeEngine& operator=(const FakeEngine&) = delete;

  void OnCall(std::unique_ptr<CallerCall> aCall) override;
  /// Sets whether its load reports say that it is leaving. @pre none.
  void SetLeaving(bool aIsLeaving) { m_isLeaving = aIsLeaving; }
  /// Sets whether it accepts calls but sends no tokens. @pre none.
  void SetSilent(bool aIsSilent) { m_isSilent = aIsSilent; }
  /// Returns the number of completions started. @pre none.
  [[nodiscard]] uint64_t Started() const { return m_started; }
  /// Returns the number of completions whose caller disconnected. @pre none.
  [[nodiscard]] uint64_t Cancelled() const { return m_cancelled; }
  /// Returns the number of completions in progress. @pre none.
  [[nodiscard]] size_t Running() const { return m_streams.size(); }
  /// Returns the most memory that load orders have asked for at one time, the
  /// rejected ones included. @pre none. @unit bytes.
  [[nodiscard]] uint64_t PeakMemory() const { return m_peakMemory; }
  /// Returns the names of the loaded models and adapters. @pre none.
  [[nodiscard]] const std::set<std::string>& Resident() const
  {
    return m_options.m_resident;
  }

private:
  class Stream;

  void HandleCompletion(std::unique_ptr<CallerCall> aCall);
  void HandleMetrics(CallerCall& aCall) const;
  void HandleOrder(std::unique_ptr<CallerCall> aCall);
  void ApplyOrder(const std::string& aName, bool aIsLoad, uint64_t aBytes);
  void RetireStream(Stream* aStream);

  Timers& m_timers;
  FakeEngineOptions m_options;
  std::map<Stream*, std::unique_ptr<Stream>> m_streams;
  /// Streams that have ended. They are destroyed with the next call, since they
  /// end inside their own callbacks.
  std::vector<std::unique_ptr<Stream>> m_endedStreams;
  std::vector<std::unique_ptr<Timer>> m_orderTimers;
  /// Memory of the loaded and loading models and adapters. @unit bytes.
  std::map<std::string, uint64_t> m_memoryByName;
  /// Highest fencing token seen.
  uint64_t m_fencingToken = 0;
  uint64_t m_peakMemory = 0;
  uint64_t m_started = 0;
  uint64_t m_cancelled = 0;
  bool m_isLeaving = false;
  bool m_isSilent = false;
};

} // namespace celeryspread
