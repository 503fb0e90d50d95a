#pragma once

#include "telemetry/event_log.h"

namespace celeryspread::test {

/// EventLog that drops everything.
class NullEventLog : public EventLog
{
public:
  void Write(EventId /*aId*/, std::string_view /*aDetail*/) override {}
};

} // namespace celeryspread::test
