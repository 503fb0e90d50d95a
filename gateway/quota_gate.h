#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "core/clock.h"
#include "core/ids.h"
#include "routes/route_config.h"

namespace celeryspread {

/// Decides whether a call fits into the quota of its team, over all entries.
/// @thread loop thread only.
class QuotaGate
{
public:
  /// Result for one call.
  struct Verdict
  {
    enum class Kind
    {
      /// The cost is taken from the quota.
      Admitted,
      /// The team has used up its quota; the call fits after m_retryAfter.
      Exceeded,
      /// The use of the other entries is not known now.
      Unknown
    };
    Kind m_kind = Kind::Unknown;
    Duration m_retryAfter{};
    /// What decided, for the log; empty for admitted calls. A literal.
    std::string_view m_reason{};
  };
  using Done = std::function<void(const Verdict&)>;

  virtual ~QuotaGate() = default;
  /// Takes the cost of one call of a rank among the calls of its team, 0 for
  /// the most urgent. aDone is called exactly once, perhaps before the method
  /// returns. @pre aTeam has a limited quota. @thread loop.
  virtual void Take(const Team& aTeam,
                    uint64_t aCost,
                    uint32_t aRank,
                    Done aDone) = 0;
  /// Gives back the cost of a call that certainly did not run and will not run.
  /// @pre Take() admitted the call. @thread loop.
  virtual void GiveBack(const TeamId& aTeam, uint64_t aCost) = 0;
};

} // namespace celeryspread
