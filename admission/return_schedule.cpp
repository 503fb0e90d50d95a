#include "admission/return_schedule.h"

#include <algorithm>
#include <cmath>

namespace celeryspread {

namespace {

/// Callers for which there is room in the first aBins bins. The differences of
/// two values add up to the rate, also if it is below one caller per bin.
int64_t RoomUpTo(int64_t aBins, double aCallersPerBin)
{
  return static_cast<int64_t>(
    std::floor(static_cast<double>(aBins) * aCallersPerBin));
}

} // namespace

ReturnSchedule::Bin& ReturnSchedule::At(int64_t aNumber)
{
  Bin& bin = m_bins[static_cast<size_t>(aNumber % kBins)];
  if (bin.m_number != aNumber) {
    bin = { aNumber, 0 };
  }
  return bin;
}

Duration ReturnSchedule::RandomBetween(Duration aFrom, Duration aTo)
{
  const int64_t width = (aTo - aFrom).count();
  if (width <= 0) {
    return aFrom;
  }
  return aFrom + Duration(static_cast<int64_t>(
                   m_random.Below(static_cast<uint64_t>(width))));
}

std::optional<Duration> ReturnSchedule::Assign(
  const Range& aRange,
  std::optional<double> aServedPerSecond,
  TimePoint aNow)
{
  if (aRange.m_latest < aRange.m_earliest) {
    return std::nullopt;
  }
  if (!aServedPerSecond) {
    return RandomBetween(aRange.m_earliest, aRange.m_latest);
  }
  const double perBin =
    *aServedPerSecond * std::chrono::duration<double>(kBin).count();
  const Duration now = aNow.time_since_epoch();
  const Duration earliest = now + aRange.m_earliest;
  const Duration latest = now + aRange.m_latest;
  const int64_t first = earliest / kBin;
  const int64_t last = std::min(latest / kBin, now / kBin + kBins - 1);
  for (int64_t number = first; number <= last; ++number) {
    const int64_t room =
      RoomUpTo(number + 1, perBin) - RoomUpTo(number, perBin);
    Bin& bin = At(number);
    if (bin.m_callers >= room) {
      continue;
    }
    ++bin.m_callers;
    return RandomBetween(std::max(earliest, number * kBin),
                         std::min(latest, (number + 1) * kBin)) -
           now;
  }
  return std::nullopt;
}

} // namespace celeryspread
