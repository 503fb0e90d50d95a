#include "reports/load_report.h"

#include <algorithm>
#include <charconv>

namespace celeryspread {

namespace {

constexpr std::string_view kRunning = "engine_requests_running";
constexpr std::string_view kWaiting = "engine_requests_waiting";
constexpr std::string_view kLeaving = "engine_leaving";
constexpr std::string_view kResident = "engine_resident{model=\"";
constexpr std::string_view kLoading = "engine_loading{model=\"";
constexpr std::string_view kResidentBytes = "engine_resident_bytes{model=\"";

/// Largest value that a double holds without loss.
constexpr double kLargestValue = 9007199254740992.0;

struct Sample
{
  std::string_view m_series;
  double m_value = 0;
};

std::optional<Sample> ParseLine(std::string_view aLine)
{
  const size_t space = aLine.rfind(' ');
  if (aLine.empty() || aLine[0] == '#' || space == std::string_view::npos) {
    return std::nullopt;
  }
  Sample sample{ aLine.substr(0, space), 0 };
  const std::string_view number = aLine.substr(space + 1);
  const auto [end, error] = std::from_chars(
    number.data(), number.data() + number.size(), sample.m_value);
  const bool fits = error == std::errc() && sample.m_value >= 0 &&
                    sample.m_value <= kLargestValue;
  if (!fits) {
    return std::nullopt;
  }
  return sample;
}

uint32_t ToCount(double aValue)
{
  constexpr auto kMost = static_cast<double>(UINT32_MAX);
  return static_cast<uint32_t>(std::min(aValue, kMost));
}

std::string LabelValue(std::string_view aSeries, std::string_view aPrefix)
{
  const std::string_view rest = aSeries.substr(aPrefix.size());
  const size_t quote = rest.find('"');
  return quote == std::string_view::npos ? std::string()
                                         : std::string(rest.substr(0, quote));
}

bool Apply(const Sample& aSample, LoadReport& aReport)
{
  if (aSample.m_series == kRunning) {
    aReport.m_running = ToCount(aSample.m_value);
    return true;
  }
  if (aSample.m_series == kWaiting) {
    aReport.m_waiting = ToCount(aSample.m_value);
    return true;
  }
  if (aSample.m_series == kLeaving) {
    aReport.m_isLeaving = aSample.m_value != 0;
    return true;
  }
  if (aSample.m_series.starts_with(kResident)) {
    const std::string name = LabelValue(aSample.m_series, kResident);
    if (!name.empty() && aSample.m_value != 0) {
      aReport.m_resident.insert(name);
    }
    return true;
  }
  if (aSample.m_series.starts_with(kLoading)) {
    const std::string name = LabelValue(aSample.m_series, kLoading);
    if (!name.empty() && aSample.m_value != 0) {
      aReport.m_loading.insert(name);
    }
    return true;
  }
  if (aSample.m_series.starts_with(kResidentBytes)) {
    const std::string name = LabelValue(aSample.m_series, kResidentBytes);
    aReport.m_residentBytes[name] =
      ByteCount(static_cast<uint64_t>(aSample.m_value));
    return true;
  }
  return false;
}

} // namespace

std::optional<LoadReport> ParseLoadReport(std::string_view aText,
                                          TimePoint aTakenAt)
{
  LoadReport report;
  report.m_takenAt = aTakenAt;
  bool isKnown = false;
  while (!aText.empty()) {
    const size_t newline = aText.find('\n');
    const auto sample = ParseLine(aText.substr(0, newline));
    if (sample) {
      isKnown = Apply(*sample, report) || isKnown;
    }
    if (newline == std::string_view::npos) {
      break;
    }
    aText.remove_prefix(newline + 1);
  }
  if (!isKnown) {
    return std::nullopt;
  }
  return report;
}

} // namespace celeryspread
