#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>

#include "reports/load_report.h"
#include "tools/virtual_world.h"

namespace celeryspread::bench {

/// One call as the fake engine sees it.
struct SimCall
{
  uint64_t m_id = 0;
  std::string m_model;
  double m_promptTokens = 0;
  double m_outputTokens = 0;
  /// Larger goes first.
  int m_priority = 0;
  std::function<void()> m_onFirstToken;
  std::function<void()> m_onDone;
};

/// Speeds of a SimEngine.
struct SimEngineSpeed
{
  uint32_t m_slots = 16;
  Duration m_tokenTime = std::chrono::milliseconds(20);
  /// Added share of the token time for each further call in the batch.
  double m_batchCost = 0.03;
  double m_prefillTokensPerSecond = 8'000;
};

/// Small fake engine in virtual time: continuous batching with slots,
/// priorities in its queue, slowdowns that its reports do not show.
/// @thread one thread.
class SimEngine
{
public:
  /// Starts idle. @pre aWorld outlives the engine.
  SimEngine(VirtualWorld& aWorld, SimEngineSpeed aSpeed);

  /// Takes a call. @pre none.
  void Submit(SimCall aCall);
  /// Drops a call that runs or waits. @pre none.
  void Cancel(uint64_t aId);
  /// Makes every step this many times slower. @pre aFactor >= 1.
  void SetSlowdown(double aFactor);
  /// Drops everything, as a crash does. @pre none.
  void Crash();
  /// Returns its load report, without any sign of a slowdown. @pre none.
  [[nodiscard]] LoadReport Report(const std::set<std::string>& aModels) const;
  /// Returns calls in the batch. @pre none.
  [[nodiscard]] size_t RunningCount() const { return m_running.size(); }
  /// Returns the most calls ever in the batch. @pre none.
  [[nodiscard]] size_t PeakRunning() const { return m_peakRunning; }

private:
  struct Active
  {
    SimCall m_call;
    /// Steps left, in tokens; the prompt counts as its share of them.
    double m_left = 0;
    double m_untilFirst = 0;
    bool m_hasFirst = false;
  };

  void Advance();
  void Schedule();
  void Admit();
  [[nodiscard]] double StepSeconds() const;

  VirtualWorld& m_world;
  SimEngineSpeed m_speed;
  std::list<Active> m_running;
  std::list<SimCall> m_waiting;
  TimePoint m_advancedAt;
  double m_slowdown = 1;
  uint64_t m_generation = 0;
  size_t m_peakRunning = 0;
};

} // namespace celeryspread::bench
