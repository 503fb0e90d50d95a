#pragma once

#include <map>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Keeps the requests to engines within the rates that the engines named. One
/// object decides for all senders of requests, so that their sum is kept
/// however the requests are spread over them.
/// @thread loop thread only.
class EngineRates
{
public:
  /// Whether a request may be sent.
  struct Grant
  {
    bool m_isGranted = false;
    /// When it is worth to ask again; zero if it is granted.
    Duration m_retryAfter{};
  };

  /// Takes one request from the rate of an engine. The rate may change between
  /// calls. @pre aRequestsPerSecond > 0.
  Grant TryTake(const UpstreamId& aEngine,
                double aRequestsPerSecond,
                TimePoint aNow);
  /// Forgets an engine. @pre none.
  void Forget(const UpstreamId& aEngine) { m_buckets.erase(aEngine); }
  /// Forgets all engines. @pre none.
  void Clear() { m_buckets.clear(); }

private:
  /// Token bucket.
  struct Bucket
  {
    double m_tokens = 1;
    TimePoint m_updatedAt;
  };

  std::map<UpstreamId, Bucket> m_buckets;
};

} // namespace celeryspread
