#pragma once

#include <string>
#include <string_view>

#include "telemetry/event_catalog.h"

namespace celeryspread {

/// Receives numbered events.
/// @thread loop thread only.
class EventLog
{
public:
  virtual ~EventLog() = default;
  /// Writes one event. @pre aId is in the catalogue; aDetail holds no secret.
  virtual void Write(EventId aId, std::string_view aDetail) = 0;
};

/// EventLog on easylogging++, to standard error.
/// @thread loop thread only.
class EasyEventLog : public EventLog
{
public:
  /// Names the instance in every line. @pre one log per process.
  explicit EasyEventLog(std::string aInstance);
  void Write(EventId aId, std::string_view aDetail) override;

private:
  std::string m_instance;
};

} // namespace celeryspread
