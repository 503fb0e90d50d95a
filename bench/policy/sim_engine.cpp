#include "bench/policy/sim_engine.h"

#include <algorithm>
#include <vector>

namespace celeryspread::bench {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kNearlyNone = 1e-6;

} // namespace

SimEngine::SimEngine(VirtualWorld& aWorld, SimEngineSpeed aSpeed)
  : m_world(aWorld)
  , m_speed(aSpeed)
  , m_advancedAt(aWorld.Now())
{
}

double SimEngine::StepSeconds() const
{
  const double batch =
    1 + m_speed.m_batchCost * static_cast<double>(m_running.size());
  return static_cast<double>(m_speed.m_tokenTime.count()) / kMicrosPerSecond *
         batch * m_slowdown;
}

void SimEngine::Advance()
{
  const double seconds =
    static_cast<double>((m_world.Now() - m_advancedAt).count()) /
    kMicrosPerSecond;
  m_advancedAt = m_world.Now();
  if (m_running.empty()) {
    return;
  }
  const double steps = seconds / StepSeconds();
  for (Active& active : m_running) {
    active.m_left -= steps;
    active.m_untilFirst -= steps;
  }
}

void SimEngine::Submit(SimCall aCall)
{
  Advance();
  const auto place = std::find_if(
    m_waiting.begin(), m_waiting.end(), [&](const SimCall& aOther) {
      return aOther.m_priority < aCall.m_priority;
    });
  m_waiting.insert(place, std::move(aCall));
  Admit();
  Schedule();
}

void SimEngine::Admit()
{
  while (m_running.size() < m_speed.m_slots && !m_waiting.empty()) {
    Active active;
    active.m_call = std::move(m_waiting.front());
    m_waiting.pop_front();
    const double tokenSeconds =
      static_cast<double>(m_speed.m_tokenTime.count()) / kMicrosPerSecond;
    const double prefill = active.m_call.m_promptTokens /
                           m_speed.m_prefillTokensPerSecond / tokenSeconds;
    active.m_untilFirst = prefill + 1;
    active.m_left = prefill + active.m_call.m_outputTokens;
    m_running.push_back(std::move(active));
  }
  m_peakRunning = std::max(m_peakRunning, m_running.size());
}

void SimEngine::Schedule()
{
  const uint64_t generation = ++m_generation;
  if (m_running.empty()) {
    return;
  }
  double next = m_running.front().m_left;
  for (const Active& active : m_running) {
    next = std::min(next, active.m_left);
    if (!active.m_hasFirst) {
      next = std::min(next, active.m_untilFirst);
    }
  }
  const double seconds = std::max(next, 0.0) * StepSeconds();
  const Duration delay(static_cast<int64_t>(seconds * kMicrosPerSecond) + 1);
  m_world.At(m_world.Now() + delay, [this, generation] {
    if (generation != m_generation) {
      return;
    }
    Advance();
    std::vector<std::function<void()>> events;
    for (auto it = m_running.begin(); it != m_running.end();) {
      if (!it->m_hasFirst && it->m_untilFirst <= kNearlyNone) {
        it->m_hasFirst = true;
        events.push_back(it->m_call.m_onFirstToken);
      }
      if (it->m_left <= kNearlyNone) {
        events.push_back(it->m_call.m_onDone);
        it = m_running.erase(it);
      } else {
        ++it;
      }
    }
    Admit();
    Schedule();
    for (const auto& event : events) {
      event();
    }
  });
}

void SimEngine::Cancel(uint64_t aId)
{
  Advance();
  m_waiting.remove_if([&](const SimCall& aCall) { return aCall.m_id == aId; });
  m_running.remove_if(
    [&](const Active& aActive) { return aActive.m_call.m_id == aId; });
  Admit();
  Schedule();
}

void SimEngine::SetSlowdown(double aFactor)
{
  Advance();
  m_slowdown = aFactor;
  Schedule();
}

void SimEngine::Crash()
{
  m_running.clear();
  m_waiting.clear();
  ++m_generation;
}

LoadReport SimEngine::Report(const std::set<std::string>& aModels) const
{
  LoadReport report;
  report.m_takenAt = m_world.Now();
  report.m_running = static_cast<uint32_t>(m_running.size());
  report.m_waiting = static_cast<uint32_t>(m_waiting.size());
  report.m_resident = aModels;
  return report;
}

} // namespace celeryspread::bench
