#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admission/worth_gate.h"
#include "bench/policy/policy.h"
#include "bench/policy/sim_engine.h"
#include "bench/policy/workload.h"
#include "retry/retry_budget.h"
#include "routing/size_predictor.h"

namespace celeryspread::bench {

/// What became of one call.
struct CallRecord
{
  WorkloadCall m_call;
  bool m_isAnswered = false;
  bool m_isRefused = false;
  Duration m_firstToken{};
  Duration m_finished{};
  int m_completions = 0;
};

/// Faults and slowdowns of a run.
struct RunFaults
{
  /// Engines that become ten times slower for moments, unseen by reports.
  int m_slowEngines = 0;
  /// Time at which an engine dies with its queue; zero for never.
  Duration m_engineDiesAt{};
  /// Time from which reports stop; zero for never.
  Duration m_reportsStopAt{};
};

/// Runs one workload against fake engines under one policy: eight entries,
/// each with its own table, router, gate and predictor, and reports that lag.
/// @thread one thread.
class PolicyRun
{
public:
  /// Prepares a run. @pre aPolicy outlives it.
  PolicyRun(const WorkloadCase& aCase,
            const Policy& aPolicy,
            RunFaults aFaults,
            uint64_t aSeed);
  /// Runs to the end. @pre called once.
  void Run();
  /// Returns a record for each call. @pre Run() was called.
  [[nodiscard]] const std::vector<CallRecord>& Records() const
  {
    return m_records;
  }
  /// Returns promises that were broken. @pre Run() was called.
  [[nodiscard]] const std::vector<std::string>& Breaches() const
  {
    return m_breaches;
  }
  /// Returns steps that all engines together do in a second. @pre none.
  [[nodiscard]] double CapacityStepsPerSecond() const;
  /// Returns calls that were moved before their first token. @pre none.
  [[nodiscard]] uint64_t MovedCalls() const { return m_moved; }

private:
  struct Entry
  {
    explicit Entry(uint64_t aSeed)
      : m_random(aSeed)
    {
    }
    SeededRandomSource m_random;
    UpstreamTable m_table;
    WorthGate m_gate;
    SizePredictor m_sizes;
    RetryBudget m_budget;
    std::unique_ptr<RoutingStrategy> m_routing;
  };

  void BuildFleet();
  void ScheduleReports();
  void ScheduleFaults();
  void Arrive(size_t aIndex);
  bool PassGate(Entry& aEntry,
                const CallRecord& aRecord,
                const UpstreamId& aUpstream,
                double aRank);
  double RankOf(Entry& aEntry, const WorkloadCall& aCall);
  void Send(Entry& aEntry,
            CallRecord& aRecord,
            const UpstreamId& aUpstream,
            double aRank);
  void CheckPromises();
  [[nodiscard]] RouteQuery BuildQuery(const WorkloadCall& aCall) const;

  const WorkloadCase m_case;
  const Policy& m_policy;
  RunFaults m_faults;
  VirtualWorld m_world;
  SeededRandomSource m_random;
  SimEngineSpeed m_speed;
  std::vector<std::unique_ptr<SimEngine>> m_engines;
  std::vector<std::set<std::string>> m_resident;
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::vector<CallRecord> m_records;
  std::vector<std::string> m_breaches;
  TimePoint m_start;
  uint64_t m_moved = 0;
};

} // namespace celeryspread::bench
