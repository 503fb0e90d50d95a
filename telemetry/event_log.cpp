#include "telemetry/event_log.h"

#define ELPP_NO_DEFAULT_LOG_FILE
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace celeryspread {

namespace {

/// Control characters from outside would let a caller forge log lines.
std::string Printable(std::string_view aText)
{
  std::string printable(aText);
  for (char& c : printable) {
    if (static_cast<unsigned char>(c) < ' ') {
      c = ' ';
    }
  }
  return printable;
}

} // namespace

EasyEventLog::EasyEventLog(std::string aInstance)
  : m_instance(std::move(aInstance))
{
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureLogger("default", configuration);
}

void EasyEventLog::Write(EventId aId, std::string_view aDetail)
{
  const EventSpec& spec = SpecOf(aId);
  const std::string line = "E" + std::to_string(static_cast<unsigned>(aId)) +
                           " " + std::string(spec.m_name) +
                           " instance=" + m_instance + " " + Printable(aDetail);
  switch (spec.m_level) {
    case EventLevel::Info:
      LOG(INFO) << line;
      break;
    case EventLevel::Warning:
      LOG(WARNING) << line;
      break;
    case EventLevel::Error:
      LOG(ERROR) << line;
      break;
  }
}

} // namespace celeryspread
