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

/// Why a call was not admitted.
enum class AdmissionError
{
  TooManyConcurrent,
  TooManyPerSecond
};

/// Admits calls by concurrency and rate (a token bucket of one second).
/// @thread loop thread only.
class ServiceLimits
{
public:
  /// Admits one call; Release() must follow when it ends. @pre none.
  /// @error false; LastError() tells why.
  bool TryAdmit(const ServiceId& aService,
                const ServiceLimit& aLimit,
                TimePoint aNow);
  /// Ends an admitted call. @pre TryAdmit() returned true for it.
  void Release(const ServiceId& aService);
  /// Returns why the last call was refused. @pre it was.
  [[nodiscard]] AdmissionError LastError() const { return m_lastError; }
  /// Returns the calls of a service in progress. @pre none.
  [[nodiscard]] int64_t Concurrent(const ServiceId& aService) const;

private:
  struct State
  {
    int64_t m_concurrent = 0;
    /// Token bucket in millionths of a call.
    int64_t m_millionths = 0;
    TimePoint m_filledAt;
    bool m_isNew = true;
  };

  std::map<ServiceId, State> m_states;
  AdmissionError m_lastError = AdmissionError::TooManyConcurrent;
};

} // namespace celeryspread
