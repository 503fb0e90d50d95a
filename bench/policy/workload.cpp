#include "bench/policy/workload.h"

#include <cmath>

namespace celeryspread::bench {

namespace {

constexpr uint64_t kGrain = 1'000'000;

double Uniform(RandomSource& aRandom)
{
  return (static_cast<double>(aRandom.Below(kGrain)) + 1) /
         static_cast<double>(kGrain);
}

double Exponential(RandomSource& aRandom, double aMean)
{
  return -aMean * std::log(Uniform(aRandom));
}

/// Picks a model with a skewed popularity, as a few models are hot.
std::string PickModel(RandomSource& aRandom, int aModels)
{
  const double skewed = std::pow(Uniform(aRandom), 2.0);
  const int index = std::min(aModels - 1, static_cast<int>(skewed * aModels));
  return "m" + std::to_string(index);
}

WorkloadCall MakeCall(const WorkloadCase& aCase,
                      RandomSource& aRandom,
                      uint64_t aId,
                      double aSeconds)
{
  constexpr double kMicros = 1e6;
  constexpr double kMeanPrompt = 400;
  constexpr uint64_t kWorths[] = { 1, 1, 1, 3, 10 };
  WorkloadCall call;
  call.m_id = aId;
  call.m_at = Duration(static_cast<int64_t>(aSeconds * kMicros));
  call.m_model = PickModel(aRandom, aCase.m_models);
  const uint64_t kind = aRandom.Below(std::size(kWorths));
  call.m_worth = static_cast<int64_t>(kWorths[kind]);
  call.m_service = ServiceId("s" + std::to_string(kind));
  call.m_promptTokens = Exponential(aRandom, kMeanPrompt);
  call.m_outputTokens = 1 + Exponential(aRandom, aCase.m_meanTokens);
  call.m_isStraggler = Uniform(aRandom) < aCase.m_stragglerShare;
  call.m_deadline = aCase.m_deadline;
  if (call.m_isStraggler) {
    call.m_outputTokens = aCase.m_meanTokens * aCase.m_stragglerFactor;
    call.m_deadline = aCase.m_deadline * 20;
  }
  // Callers set a limit well above what they get.
  constexpr double kSlack = 1.5;
  call.m_maxTokens = static_cast<uint64_t>(call.m_outputTokens * kSlack) + 16;
  return call;
}

} // namespace

std::vector<WorkloadCall> MakeWorkload(const WorkloadCase& aCase,
                                       RandomSource& aRandom)
{
  constexpr double kMicros = 1e6;
  std::vector<WorkloadCall> calls;
  double seconds = 0;
  uint64_t id = 1;
  const double length = static_cast<double>(aCase.m_length.count()) / kMicros;
  while (true) {
    const Duration now(static_cast<int64_t>(seconds * kMicros));
    const bool isCrest = now >= aCase.m_crestStart && now < aCase.m_crestEnd;
    const double rate = aCase.m_rate * (isCrest ? aCase.m_crestFactor : 1);
    seconds += Exponential(aRandom, 1 / rate);
    if (seconds >= length) {
      return calls;
    }
    calls.push_back(MakeCall(aCase, aRandom, id++, seconds));
  }
}

WorkloadCase FindCase(const std::string& aName)
{
  WorkloadCase found;
  found.m_name = aName;
  found.m_length = std::chrono::seconds(120);
  if (aName == "kilimo") {
    found.m_engines = 18;
    found.m_models = 35;
    found.m_copies = 4;
    found.m_rate = 60;
    found.m_meanTokens = 60;
    found.m_deadline = std::chrono::seconds(15);
    return found;
  }
  if (aName == "tapetex") {
    found.m_engines = 12;
    found.m_models = 20;
    found.m_copies = 4;
    found.m_rate = 40;
    found.m_meanTokens = 60;
    found.m_deadline = std::chrono::seconds(12);
    return found;
  }
  found.m_name.clear();
  return found;
}

} // namespace celeryspread::bench
