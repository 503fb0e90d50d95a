#pragma once

#include <memory>
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
  /// Writes one event. @pre aId is in the catalogue; aDetail holds no secret
  /// and lists key=value pairs, values with spaces in double quotes.
  virtual void Write(EventId aId, std::string_view aDetail) = 0;
};

/// EventLog on easylogging++: one JSON object a line, on standard output.
/// Lines of the level Info are kept within a rate; all others always go out,
/// and a reader that is too slow never holds the process up.
/// @thread loop thread only.
class EasyEventLog : public EventLog
{
public:
  /// Names the instance in every line. @pre one log per process.
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
