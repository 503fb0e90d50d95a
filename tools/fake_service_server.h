#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/timers.h"
#include "http/caller_server.h"

namespace celeryspread {

/// Stand-in for a plain service: runs what it is sent and counts executions
/// by the Idempotency-Key header.
/// @thread loop thread only.
class FakeService : public CallHandler
{
public:
  /// Answers after aDelay. @pre aTimers outlives it.
  FakeService(Timers& aTimers, Duration aDelay)
    : m_timers(aTimers)
    , m_delay(aDelay)
  {
  }
  void OnCall(std::unique_ptr<CallerCall> aCall) override;
  /// Returns executions by key. @pre none.
  [[nodiscard]] const std::map<std::string, int>& Executions() const
  {
    return m_executions;
  }
  /// Makes the next execution drop its connection without an answer.
  /// @pre none.
  void LoseNextAnswer() { m_losesNextAnswer = true; }

private:
  Timers& m_timers;
  Duration m_delay;
  std::map<std::string, int> m_executions;
  std::vector<std::unique_ptr<Timer>> m_pending;
  bool m_losesNextAnswer = false;
};

} // namespace celeryspread
