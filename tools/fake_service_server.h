#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/timers.h"
#include "http/caller_server.h"

namespace celeryspread {

/// Fake plain service: answers every call and counts the executions for each
/// Idempotency-Key. The path /executions returns these counts as JSON.
/// @thread loop thread only.
class FakeService : public CallHandler
{
public:
  /// Creates a service that answers each call after aDelay. @pre aTimers
  /// outlives it.
  FakeService(Timers& aTimers, Duration aDelay)
    : m_timers(aTimers)
    , m_delay(aDelay)
  {
  }
  void OnCall(std::unique_ptr<CallerCall> aCall) override;
  /// Returns the number of executions for each Idempotency-Key; calls without
  /// one count under "none". @pre none.
  [[nodiscard]] const std::map<std::string, int>& Executions() const
  {
    return m_executions;
  }
  /// Makes the next call count as executed, but close the connection without an
  /// answer. @pre none.
  void DropNextAnswer() { m_dropsNextAnswer = true; }

private:
  Timers& m_timers;
  Duration m_delay;
  std::map<std::string, int> m_executions;
  std::vector<std::unique_ptr<Timer>> m_answerTimers;
  bool m_dropsNextAnswer = false;
};

} // namespace celeryspread
