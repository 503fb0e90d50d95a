#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Limits of one calling service at one entry instance.
struct ServiceLimit
{
  int64_t m_maxConcurrent = 1;
  int64_t m_maxPerSecond = 1;
};

/// Which limit a call exceeds.
enum class AdmissionError
{
  TooManyConcurrent,
  TooManyPerSecond
};

/// Limits the concurrent calls and the call rate of each calling service. The
/// rate is a token bucket that holds the calls of one second.
/// @thread loop thread only.
class ServiceLimits
{
public:
  /// Admits one call; Release() must follow when it ends. @pre none.
  /// @error false; LastError() returns the reason.
  bool TryAdmit(const ServiceId& aService,
                const ServiceLimit& aLimit,
                TimePoint aNow);
  /// Ends an admitted call. @pre TryAdmit() returned true for it.
  void Release(const ServiceId& aService);
  /// Returns why the last call was refused. @pre TryAdmit() returned false.
  [[nodiscard]] AdmissionError LastError() const { return m_lastError; }
  /// Returns the number of admitted calls in progress. @pre none.
  [[nodiscard]] int64_t Concurrent(const ServiceId& aService) const;

private:
  struct State
  {
    int64_t m_concurrent = 0;
    /// Content of the token bucket. @unit millionths of a call.
    int64_t m_tokens = 0;
    TimePoint m_refilledAt;
    bool m_isNew = true;
  };

  std::map<ServiceId, State> m_states;
  AdmissionError m_lastError = AdmissionError::TooManyConcurrent;
};

} // namespace celeryspread
