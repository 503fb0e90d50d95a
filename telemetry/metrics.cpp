#include "telemetry/metrics.h"

#include <algorithm>
#include <sstream>
#include <vector>

#include <boost/histogram.hpp>

namespace celeryspread {

namespace bh = boost::histogram;

namespace {

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = decltype(bh::make_histogram(std::declval<LogAxis>()));

constexpr int kSignificantDigits = 15;
constexpr unsigned kBucketCount = 24;
constexpr double kMinSeconds = 0.0001;
constexpr double kMaxSeconds = 400.0;
constexpr double kMicrosPerSecond = 1e6;
/// Teams with series of their own. With 1,000 teams and three outcomes, a
/// scrape of an entry would have 6,000 series.
constexpr size_t kMaxTeamSeries = 32;
/// Label of the sum of all other teams; no team has an empty name.
constexpr const char* kOtherTeams = "";

/// Escapes a label value for the Prometheus text format.
std::string Escape(const std::string& aText)
{
  std::string escaped;
  for (const char c : aText) {
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c == '\n' ? ' ' : c;
  }
  return escaped;
}

} // namespace

struct Metrics::LatencySeries
{
  LatencyHistogram m_histogram =
    bh::make_histogram(LogAxis(kBucketCount, kMinSeconds, kMaxSeconds));
  double m_sumSeconds = 0;
  uint64_t m_count = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::ObserveLatency(const LatencyKey& aKey, Duration aLatency)
{
  std::unique_ptr<LatencySeries>& series = m_latencies[aKey];
  if (series == nullptr) {
    series = std::make_unique<LatencySeries>();
  }
  const double seconds =
    static_cast<double>(aLatency.count()) / kMicrosPerSecond;
  series->m_histogram(seconds);
  series->m_sumSeconds += seconds;
  ++series->m_count;
}

void Metrics::CountOutcome(const OutcomeKey& aKey)
{
  ++m_outcomes[aKey];
}

void Metrics::CountTeam(const TeamCallKey& aKey, uint64_t aUnits)
{
  TeamCount& count = m_teams[aKey.m_team][aKey.m_outcome];
  ++count.m_calls;
  count.m_units += aUnits;
}

void Metrics::WriteTeams(std::ostream& aOut) const
{
  std::vector<std::pair<uint64_t, const std::string*>> byUse;
  for (const auto& [team, counts] : m_teams) {
    uint64_t units = 0;
    for (const auto& [outcome, count] : counts) {
      units += count.m_units;
    }
    byUse.emplace_back(units, &team);
  }
  const size_t shown = std::min(byUse.size(), kMaxTeamSeries);
  std::partial_sort(byUse.begin(),
                    byUse.begin() + static_cast<std::ptrdiff_t>(shown),
                    byUse.end(),
                    [](const auto& aOne, const auto& aOther) {
                      return aOne.first > aOther.first ||
                             (aOne.first == aOther.first &&
                              *aOne.second < *aOther.second);
                    });
  std::map<std::string, TeamCounts> series;
  for (size_t i = 0; i < byUse.size(); ++i) {
    const std::string& team = *byUse[i].second;
    for (const auto& [outcome, count] : m_teams.at(team)) {
      TeamCount& sum = series[i < shown ? team : kOtherTeams][outcome];
      sum.m_calls += count.m_calls;
      sum.m_units += count.m_units;
    }
  }
  const auto write = [&](const char* aName, uint64_t TeamCount::*aField) {
    aOut << "# TYPE " << aName << " counter\n";
    for (const auto& [team, counts] : series) {
      for (const auto& [outcome, count] : counts) {
        aOut << aName << "{team=\"" << Escape(team) << "\",outcome=\""
             << outcome << "\"} " << count.*aField << "\n";
      }
    }
  };
  write("celeryspread_team_calls_total", &TeamCount::m_calls);
  write("celeryspread_team_units_total", &TeamCount::m_units);
}

void Metrics::Count(const std::string& aName, uint64_t aAmount)
{
  m_counters[aName] += aAmount;
}

void Metrics::SetGauge(const std::string& aName, double aValue)
{
  m_gauges[aName] = aValue;
}

std::string Metrics::PrometheusText() const
{
  std::ostringstream out;
  // With the default of six digits, a large counter would seem to stand still.
  out.precision(kSignificantDigits);
  out << "# TYPE celeryspread_latency_seconds histogram\n";
  for (const auto& [key, series] : m_latencies) {
    const std::string labels =
      "model=\"" + Escape(key.m_model) + "\",hop=\"" + Escape(key.m_hop) + "\"";
    const auto& axis = series->m_histogram.axis();
    double cumulative = series->m_histogram.at(-1);
    for (int bin = 0; bin < axis.size(); ++bin) {
      cumulative += series->m_histogram.at(bin);
      out << "celeryspread_latency_seconds_bucket{" << labels << ",le=\""
          << axis.bin(bin).upper() << "\"} " << cumulative << "\n";
    }
    out << "celeryspread_latency_seconds_bucket{" << labels << ",le=\"+Inf\"} "
        << series->m_count << "\n";
    out << "celeryspread_latency_seconds_sum{" << labels << "} "
        << series->m_sumSeconds << "\n";
    out << "celeryspread_latency_seconds_count{" << labels << "} "
        << series->m_count << "\n";
  }
  out << "# TYPE celeryspread_calls_total counter\n";
  for (const auto& [key, count] : m_outcomes) {
    out << "celeryspread_calls_total{service=\"" << Escape(key.m_service)
        << "\",status=\"" << key.m_status << "\"} " << count << "\n";
  }
  if (!m_teams.empty()) {
    WriteTeams(out);
  }
  for (const auto& [name, count] : m_counters) {
    out << "# TYPE " << name << " counter\n" << name << " " << count << "\n";
  }
  for (const auto& [name, value] : m_gauges) {
    out << "# TYPE " << name << " gauge\n" << name << " " << value << "\n";
  }
  return out.str();
}

} // namespace celeryspread
