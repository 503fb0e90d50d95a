#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "telemetry/event_catalog.h"

namespace celeryspread {

/// Log of the events in the event catalogue.
/// @thread loop thread only.
class EventLog
{
public:
  virtual ~EventLog() = default;
  /// Writes one event. @pre aId is in the catalogue; aDetail holds no secret
  /// and lists key=value pairs, values with spaces in double quotes.
  virtual void Write(EventId aId, std::string_view aDetail) = 0;
};

/// EventLog on easylogging++ that writes one JSON object per line to standard
/// output. Info lines are rate-limited, warnings and errors are not. A slow
/// reader never blocks the process; lines are dropped and counted instead.
/// @thread loop thread only.
class EasyEventLog : public EventLog
{
public:
  /// Writes aInstance into every line. @pre no other log exists in this
  /// process.
  explicit EasyEventLog(std::string aInstance);
  ~EasyEventLog() override;
  EasyEventLog(const EasyEventLog&) = delete;
  EasyEventLog& operator=(const EasyEventLog&) = delete;

  void Write(EventId aId, std::string_view aDetail) override;

private:
  class Sink;

  std::string m_instance;
  std::unique_ptr<Sink> m_sink;
};

/// Formats one event as a JSON object. @pre none. @thread any.
std::string FormatEvent(EventId aId,
                        std::string_view aInstance,
                        std::string_view aTime,
                        std::string_view aDetail);

} // namespace celeryspread
