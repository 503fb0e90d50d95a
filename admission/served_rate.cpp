#include "admission/served_rate.h"

#include <algorithm>

namespace celeryspread {

void ServedRate::Record(double aAmount, TimePoint aNow)
{
  const int64_t number = aNow.time_since_epoch() / kBin;
  Bin& bin = m_bins[static_cast<size_t>(number % kBins)];
  if (bin.m_number != number) {
    bin = { number, 0 };
  }
  bin.m_amount += aAmount;
}

std::optional<double> ServedRate::PerSecond(TimePoint aNow) const
{
  const int64_t last = aNow.time_since_epoch() / kBin;
  const auto amount = [this](int64_t aNumber) {
    if (aNumber < 0) {
      return 0.0;
    }
    const Bin& bin = m_bins[static_cast<size_t>(aNumber % kBins)];
    return bin.m_number == aNumber ? bin.m_amount : 0.0;
  };
  double best = 0;
  double sum = 0;
  for (int64_t number = last - kBins + 1; number <= last; ++number) {
    sum += amount(number);
    if (number - kBinsPerSecond > last - kBins) {
      sum -= amount(number - kBinsPerSecond);
    }
    best = std::max(best, sum);
  }
  return best > 0 ? std::optional<double>(best) : std::nullopt;
}

} // namespace celeryspread
