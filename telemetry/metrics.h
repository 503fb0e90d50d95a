#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <string>

#include "core/clock.h"

namespace celeryspread {

/// Labels of a latency series.
struct LatencyKey
{
  std::string m_model;
  std::string m_hop;

  /// Orders by fields. @pre none. @thread any.
  auto operator<=>(const LatencyKey&) const = default;
};

/// Labels of a counter of answered calls.
struct OutcomeKey
{
  std::string m_service;
  int m_status = 0;

  /// Orders by fields. @pre none. @thread any.
  auto operator<=>(const OutcomeKey&) const = default;
};

/// Labels of the counters of calls that count against a team's quota.
struct TeamCallKey
{
  std::string m_team;
  /// "admitted", "limited" or "unknown".
  std::string m_outcome;
};

/// Counters, gauges and latency histograms of one process.
/// @thread loop thread only.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Records one latency. @pre aKey's labels come from the settings tree.
  void ObserveLatency(const LatencyKey& aKey, Duration aLatency);
  /// Counts one answered call. @pre aKey's service comes from the settings
  /// tree.
  void CountOutcome(const OutcomeKey& aKey);
  /// Counts a call against a team's quota. The teams that used most have series
  /// of their own, the others are summed up. @pre aKey's team comes from the
  /// configuration. @unit tokens or calls.
  void CountTeam(const TeamCallKey& aKey, uint64_t aUnits);
  /// Adds to a named counter. @pre aName is a metric name.
  void Count(const std::string& aName, uint64_t aAmount = 1);
  /// Sets a named gauge. @pre aName is a metric name.
  void SetGauge(const std::string& aName, double aValue);
  /// Returns all series in the Prometheus text format. @pre none. @unit
  /// seconds.
  [[nodiscard]] std::string PrometheusText() const;

private:
  struct LatencySeries;
  struct TeamCount
  {
    uint64_t m_calls = 0;
    uint64_t m_units = 0;
  };
  using TeamCounts = std::map<std::string, TeamCount>;

  void WriteTeams(std::ostream& aOut) const;

  std::map<LatencyKey, std::unique_ptr<LatencySeries>> m_latencies;
  std::map<OutcomeKey, uint64_t> m_outcomes;
  /// By team and outcome.
  std::map<std::string, TeamCounts> m_teams;
  std::map<std::string, uint64_t> m_counters;
  std::map<std::string, double> m_gauges;
};

} // namespace celeryspread
