#include "reports/load_report.h"

#include <algorithm>
#include <charconv>

namespace celeryspread {

namespace {

constexpr std::string_view kRunningSeries = "engine_requests_running";
constexpr std::string_view kWaitingSeries = "engine_requests_waiting";
constexpr std::string_view kLeavingSeries = "engine_leaving";
constexpr std::string_view kResidentPrefix = "engine_resident{model=\"";
constexpr std::string_view kLoadingPrefix = "engine_loading{model=\"";
constexpr std::string_view kResidentBytesPrefix =
  "engine_resident_bytes{model=\"";

/// 2^53; a double represents every integer up to it exactly.
constexpr double kMaxExactDouble = 9007199254740992.0;

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
  const bool isValid = error == std::errc() && sample.m_value >= 0 &&
                       sample.m_value <= kMaxExactDouble;
  if (!isValid) {
    return std::nullopt;
  }
  return sample;
}

uint32_t ToCount(double aValue)
{
  constexpr auto kMaxCount = static_cast<double>(UINT32_MAX);
  return static_cast<uint32_t>(std::min(aValue, kMaxCount));
}

std::string LabelValue(std::string_view aSeries, std::string_view aPrefix)
{
  const std::string_view rest = aSeries.substr(aPrefix.size());
  const size_t quote = rest.find('"');
  return quote == std::string_view::npos ? std::string()
                                         : std::string(rest.substr(0, quote));
}

bool ApplySample(const Sample& aSample, LoadReport& aReport)
{
  if (aSample.m_series == kRunningSeries) {
    aReport.m_running = ToCount(aSample.m_value);
    return true;
  }
  if (aSample.m_series == kWaitingSeries) {
    aReport.m_waiting = ToCount(aSample.m_value);
    return true;
  }
  if (aSample.m_series == kLeavingSeries) {
    aReport.m_isLeaving = aSample.m_value != 0;
    return true;
  }
  if (aSample.m_series.starts_with(kResidentPrefix)) {
    const std::string name = LabelValue(aSample.m_series, kResidentPrefix);
    if (!name.empty() && aSample.m_value != 0) {
      aReport.m_resident.insert(name);
    }
    return true;
  }
  if (aSample.m_series.starts_with(kLoadingPrefix)) {
    const std::string name = LabelValue(aSample.m_series, kLoadingPrefix);
    if (!name.empty() && aSample.m_value != 0) {
      aReport.m_loading.insert(name);
    }
    return true;
  }
  if (aSample.m_series.starts_with(kResidentBytesPrefix)) {
    const std::string name = LabelValue(aSample.m_series, kResidentBytesPrefix);
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
  bool hasKnownSeries = false;
  while (!aText.empty()) {
    const size_t newline = aText.find('\n');
    const auto sample = ParseLine(aText.substr(0, newline));
    if (sample) {
      hasKnownSeries = ApplySample(*sample, report) || hasKnownSeries;
    }
    if (newline == std::string_view::npos) {
      break;
    }
    aText.remove_prefix(newline + 1);
  }
  if (!hasKnownSeries) {
    return std::nullopt;
  }
  return report;
}

} // namespace celeryspread
