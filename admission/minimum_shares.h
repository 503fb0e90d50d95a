#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace celeryspread {

/// Keeps a minimum share for each class of calls while calls are refused by
/// rank, so that no class is starved. A call belongs to several classes: its
/// route, team, model, adapter and size.
///
/// All classes together have a tenth of what the pool serves; each one that has
/// called lately has an equal part of it. A class that is served otherwise uses
/// up its part by that.
/// @thread loop thread only.
class MinimumShares
{
public:
  /// Part of the served calls that is kept for classes that get nothing by
  /// rank.
  static constexpr double kReserved = 0.1;

  using Classes = std::vector<std::string>;

  /// Admits a call if one of its classes has not had its minimum share.
  /// @pre aServedPerSecond >= 0; aNow does not decrease.
  bool TryTake(const Classes& aClasses,
               double aServedPerSecond,
               TimePoint aNow);
  /// Records a call that was admitted by its rank. @pre as TryTake().
  void RecordAdmitted(const Classes& aClasses,
                      double aServedPerSecond,
                      TimePoint aNow);
  /// Returns the number of classes that are remembered. @pre none.
  [[nodiscard]] size_t Size() const { return m_classes.size(); }

private:
  /// Bounds the memory for names of adapters, which callers choose.
  static constexpr size_t kMaxClasses = 512;
  /// A class that has not called for this long is forgotten.
  static constexpr Duration kMemory = std::chrono::seconds(30);
  static constexpr Duration kForgetPeriod = std::chrono::seconds(1);
  struct Class
  {
    /// Calls that the class may have, up to one.
    double m_credit = 1;
    TimePoint m_updatedAt;
  };

  void Refill(double aServedPerSecond, TimePoint aNow);
  /// Returns a class with its credit of now, null if there are too many.
  Class* Find(const std::string& aName,
              double aServedPerSecond,
              TimePoint aNow);

  std::map<std::string, Class> m_classes;
  /// Calls that all classes together may have.
  double m_credit = 0;
  TimePoint m_updatedAt;
  TimePoint m_forgottenAt;
};

} // namespace celeryspread
