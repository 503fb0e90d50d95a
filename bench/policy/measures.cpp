#include "bench/policy/measures.h"

#include <algorithm>
#include <chrono>

#include <nlohmann/json.hpp>

namespace celeryspread::bench {

namespace {

using nlohmann::json;

constexpr double kMicros = 1e6;
constexpr double kMillis = 1e3;

double Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto at =
    static_cast<ptrdiff_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + at, aValues.end());
  return aValues[static_cast<size_t>(at)];
}

double Seconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / kMicros;
}

/// Steps that a call takes: its tokens and its prompt's share.
double StepsOf(const WorkloadCall& aCall)
{
  const SimEngineSpeed speed;
  return aCall.m_outputTokens + aCall.m_promptTokens /
                                  speed.m_prefillTokensPerSecond /
                                  Seconds(speed.m_tokenTime);
}

/// Time to the first token; a call without one counts with its whole deadline,
/// so that refusing work never looks like speed.
double FirstTokenSeconds(const CallRecord& aRecord)
{
  return Seconds(aRecord.m_firstToken > Duration::zero()
                   ? aRecord.m_firstToken
                   : aRecord.m_call.m_deadline);
}

/// Worth that all engines together could answer, highest worth first.
double OfflineBound(const PolicyRun& aRun, const WorkloadCase& aCase)
{
  std::vector<const WorkloadCall*> calls;
  for (const CallRecord& record : aRun.Records()) {
    const bool isInCrest = record.m_call.m_at >= aCase.m_crestStart &&
                           record.m_call.m_at < aCase.m_crestEnd;
    if (isInCrest) {
      calls.push_back(&record.m_call);
    }
  }
  std::sort(
    calls.begin(), calls.end(), [](const auto* aLeft, const auto* aRight) {
      return static_cast<double>(aLeft->m_worth) / StepsOf(*aLeft) >
             static_cast<double>(aRight->m_worth) / StepsOf(*aRight);
    });
  const double seconds =
    Seconds(aCase.m_crestEnd - aCase.m_crestStart + aCase.m_deadline);
  double left = aRun.CapacityStepsPerSecond() * seconds;
  double worth = 0;
  for (const WorkloadCall* call : calls) {
    left -= StepsOf(*call);
    if (left < 0) {
      break;
    }
    worth += static_cast<double>(call->m_worth);
  }
  return worth;
}

double AnsweredShare(const PolicyRun& aRun, Duration aFrom, Duration aTo)
{
  double answered = 0;
  double all = 0;
  for (const CallRecord& record : aRun.Records()) {
    if (record.m_call.m_at >= aFrom && record.m_call.m_at < aTo) {
      ++all;
      answered += record.m_isAnswered ? 1 : 0;
    }
  }
  return all == 0 ? 0 : answered / all;
}

void Collect(const PolicyRun& aRun, MeasureResult& aResult)
{
  aResult.m_breaches.insert(
    aResult.m_breaches.end(), aRun.Breaches().begin(), aRun.Breaches().end());
}

void MeasureCrest(WorkloadCase aCase,
                  const Policy& aPolicy,
                  uint64_t aSeed,
                  MeasureResult& aResult)
{
  constexpr double kCrest = 10;
  constexpr double kShareTarget = 0.95;
  constexpr Duration kRecovery = std::chrono::seconds(5);
  aCase.m_crestFactor = kCrest;
  aCase.m_crestStart = std::chrono::seconds(30);
  aCase.m_crestEnd = std::chrono::seconds(60);
  PolicyRun run(aCase, aPolicy, {}, aSeed);
  run.Run();
  Collect(run, aResult);
  double worth = 0;
  double late = 0;
  double steps = 0;
  for (const CallRecord& record : run.Records()) {
    const bool isInCrest = record.m_call.m_at >= aCase.m_crestStart &&
                           record.m_call.m_at < aCase.m_crestEnd;
    if (isInCrest && record.m_isAnswered) {
      worth += static_cast<double>(record.m_call.m_worth);
      steps += StepsOf(record.m_call);
    }
    late += isInCrest && !record.m_isAnswered && !record.m_isRefused ? 1 : 0;
  }
  const double share = worth / OfflineBound(run, aCase);
  const double after =
    AnsweredShare(run, aCase.m_crestEnd + kRecovery, aCase.m_length);
  const double before =
    AnsweredShare(run, Duration::zero(), aCase.m_crestStart);
  json& figures = *aResult.m_figures;
  figures["crest_worth_share_of_bound"] = share;
  figures["crest_capacity_used"] =
    steps / (run.CapacityStepsPerSecond() *
             Seconds(aCase.m_crestEnd - aCase.m_crestStart));
  figures["crest_failed_late"] = late;
  figures["answered_before_crest"] = before;
  figures["answered_5s_after_crest"] = after;
  aResult.m_targets.push_back({ "worth answered in the crest, of the bound",
                                ">= 0.95",
                                share,
                                share >= kShareTarget });
  aResult.m_targets.push_back({ "answered 5 s after the crest, of before",
                                ">= 0.95",
                                after / before,
                                after / before >= kShareTarget });
}

/// Result of the straggler run of one policy.
struct LongResult
{
  double m_shortWaitP99 = 0;
  double m_stragglerRatioP50 = 0;
  double m_stragglersAnswered = 0;
};

LongResult RunStragglers(WorkloadCase aCase,
                         const Policy& aPolicy,
                         uint64_t aSeed,
                         MeasureResult& aResult)
{
  constexpr double kShare = 0.02;
  constexpr double kFactor = 50;
  constexpr double kHalf = 0.5;
  constexpr double kMost = 0.99;
  aCase.m_stragglerShare = kShare;
  aCase.m_stragglerFactor = kFactor;
  PolicyRun run(aCase, aPolicy, {}, aSeed);
  run.Run();
  Collect(run, aResult);
  const SimEngineSpeed speed;
  std::vector<double> waits;
  std::vector<double> ratios;
  double stragglers = 0;
  for (const CallRecord& record : run.Records()) {
    const WorkloadCall& call = record.m_call;
    stragglers += call.m_isStraggler ? 1 : 0;
    if (call.m_isStraggler && record.m_completions == 0) {
      continue;
    }
    if (call.m_isStraggler) {
      const double alone =
        StepsOf(call) * Seconds(speed.m_tokenTime) * (1 + speed.m_batchCost);
      ratios.push_back(Seconds(record.m_finished) / alone);
      continue;
    }
    const double prefill = call.m_promptTokens / speed.m_prefillTokensPerSecond;
    waits.push_back(std::max(0.0, Seconds(record.m_firstToken) - prefill));
  }
  return { Percentile(waits, kMost),
           Percentile(ratios, kHalf),
           stragglers == 0 ? 0
                           : static_cast<double>(ratios.size()) / stragglers };
}

void MeasureShortBehindLong(const WorkloadCase& aCase,
                            const Policy& aPolicy,
                            uint64_t aSeed,
                            MeasureResult& aResult)
{
  constexpr double kQuarter = 0.25;
  constexpr double kStraggler = 1.5;
  const LongResult own = RunStragglers(aCase, aPolicy, aSeed, aResult);
  double best = 0;
  for (const char* name : { "round_robin", "least_reported" }) {
    MeasureResult ignored;
    const LongResult baseline =
      RunStragglers(aCase, *FindPolicy(name), aSeed, ignored);
    (*aResult.m_figures)[std::string("short_wait_p99_ms_") + name] =
      baseline.m_shortWaitP99 * kMillis;
    best = best == 0 ? baseline.m_shortWaitP99
                     : std::min(best, baseline.m_shortWaitP99);
  }
  json& figures = *aResult.m_figures;
  figures["short_wait_p99_ms"] = own.m_shortWaitP99 * kMillis;
  figures["straggler_time_p50_of_undisturbed"] = own.m_stragglerRatioP50;
  figures["stragglers_answered"] = own.m_stragglersAnswered;
  const double ratio = own.m_shortWaitP99 / best;
  aResult.m_targets.push_back({ "p99 wait of short work, of the best baseline",
                                "<= 0.25",
                                ratio,
                                ratio <= kQuarter });
  aResult.m_targets.push_back({ "straggler time, of undisturbed",
                                "<= 1.5",
                                own.m_stragglerRatioP50,
                                own.m_stragglerRatioP50 <= kStraggler });
}

double FirstTokenP99(const WorkloadCase& aCase,
                     const Policy& aPolicy,
                     int aSlowEngines,
                     uint64_t aSeed,
                     MeasureResult& aResult)
{
  constexpr double kMost = 0.99;
  constexpr double kMovedTarget = 0.03;
  RunFaults faults;
  faults.m_slowEngines = aSlowEngines;
  PolicyRun run(aCase, aPolicy, faults, aSeed);
  run.Run();
  Collect(run, aResult);
  if (aSlowEngines > 0) {
    const double moved = static_cast<double>(run.MovedCalls()) /
                         static_cast<double>(run.Records().size());
    (*aResult.m_figures)["moved_share"] = moved;
    aResult.m_targets.push_back(
      { "extra work by moved calls", "<= 0.03", moved, moved <= kMovedTarget });
  }
  std::vector<double> times;
  for (const CallRecord& record : run.Records()) {
    times.push_back(FirstTokenSeconds(record));
  }
  return Percentile(times, kMost);
}

void MeasureSlowUpstreams(const WorkloadCase& aCase,
                          const Policy& aPolicy,
                          uint64_t aSeed,
                          MeasureResult& aResult)
{
  constexpr double kTarget = 1.3;
  constexpr int kSlowEngines = 2;
  const double quiet = FirstTokenP99(aCase, aPolicy, 0, aSeed, aResult);
  const double slowed =
    FirstTokenP99(aCase, aPolicy, kSlowEngines, aSeed, aResult);
  json& figures = *aResult.m_figures;
  figures["first_token_p99_ms"] = quiet * kMillis;
  figures["first_token_p99_ms_2_slowed"] = slowed * kMillis;
  aResult.m_targets.push_back(
    { "p99 of the first token with 2 slowed engines, of without",
      "<= 1.3",
      slowed / quiet,
      slowed / quiet <= kTarget });
}

void MeasureFaults(const WorkloadCase& aCase,
                   const Policy& aPolicy,
                   uint64_t aSeed,
                   MeasureResult& aResult)
{
  RunFaults faults;
  faults.m_reportsStopAt = std::chrono::seconds(40);
  faults.m_engineDiesAt = std::chrono::seconds(60);
  PolicyRun run(aCase, aPolicy, faults, aSeed);
  run.Run();
  Collect(run, aResult);
  (*aResult.m_figures)["answered_with_reports_lost_and_engine_dead"] =
    AnsweredShare(run, Duration::zero(), aCase.m_length);
}

/// Processor time of one routing decision with many engines known.
void MeasureDecision(uint64_t aSeed, MeasureResult& aResult)
{
  constexpr int kHolders = 40;
  constexpr int kDecisions = 20'000;
  constexpr double kTargetMicros = 20;
  double micros[2] = {};
  const int fleets[2] = { 440, 4'400 };
  for (int fleet = 0; fleet < 2; ++fleet) {
    json tree;
    tree["regions"]["r"]["failure_domains"]["d0"] = json::object();
    for (int i = 0; i < fleets[fleet]; ++i) {
      tree["upstreams"]["e" + std::to_string(i)] = {
        { "address", "127.0.0.1" }, { "port", 1 }, { "failure_domain", "d0" }
      };
    }
    SettingsError error;
    const auto catalog = Catalog::Load(tree.dump(), Revision(1), error);
    UpstreamTable table;
    table.SetCatalog(*catalog);
    LoadReport report;
    report.m_resident = { "m" };
    for (int i = 0; i < kHolders; ++i) {
      table.ApplyReport(UpstreamId("e" + std::to_string(i)), report);
    }
    SeededRandomSource random(aSeed);
    Router router(table, FailureDomainId("d0"), random);
    RouteQuery query;
    query.m_engineName = "m";
    query.m_maxQueued = 1;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kDecisions; ++i) {
      router.Choose(query, TimePoint(Duration(i)));
    }
    const auto passed = std::chrono::steady_clock::now() - start;
    micros[fleet] =
      std::chrono::duration<double, std::micro>(passed).count() / kDecisions;
  }
  json& figures = *aResult.m_figures;
  figures["decision_us_440_engines"] = micros[0];
  figures["decision_us_4400_engines"] = micros[1];
  aResult.m_targets.push_back({ "decision with 4,400 engines known, us",
                                "<= 20",
                                micros[1],
                                micros[1] <= kTargetMicros });
}

} // namespace

void RunMeasures(const WorkloadCase& aCase,
                 const Policy& aPolicy,
                 uint64_t aSeed,
                 MeasureResult& aResult)
{
  MeasureCrest(aCase, aPolicy, aSeed, aResult);
  MeasureShortBehindLong(aCase, aPolicy, aSeed, aResult);
  MeasureSlowUpstreams(aCase, aPolicy, aSeed, aResult);
  MeasureFaults(aCase, aPolicy, aSeed, aResult);
  MeasureDecision(aSeed, aResult);
}

} // namespace celeryspread::bench
