#include "telemetry/event_log.h"

#include <unistd.h>

#include <charconv>
#include <chrono>

#define ELPP_NO_DEFAULT_LOG_FILE
#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include "telemetry/line_sink.h"

INITIALIZE_EASYLOGGINGPP

namespace celeryspread {

namespace {

constexpr const char* kDispatchName = "celeryspread-lines";
constexpr const char* kDefaultDispatchName = "DefaultLogDispatchCallback";

/// Sink of the only log of this process; null while there is no log.
LineSink* gSink = nullptr;

/// Passes the lines of easylogging++ to the sink.
class SinkDispatch : public el::LogDispatchCallback
{
protected:
  // NOLINTNEXTLINE(readability-identifier-naming): override of easylogging++.
  void handle(const el::LogDispatchData* aData) override
  {
    if (gSink != nullptr) {
      gSink->Write(aData->logMessage()->message());
    }
  }
};

double SteadySeconds()
{
  return std::chrono::duration<double>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

std::string WallTimeText()
{
  el::base::SubsecondPrecision precision(3);
  return el::base::utils::DateTime::getDateTime("%Y-%M-%dT%H:%m:%s.%g",
                                                &precision);
}

/// Returns a JSON number if the whole text is an integer, so that tools can
/// compare it, else a JSON string.
nlohmann::ordered_json ParseValue(std::string_view aText)
{
  int64_t number = 0;
  const auto result =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  const bool isNumber = result.ec == std::errc() && !aText.empty() &&
                        result.ptr == aText.data() + aText.size();
  return isNumber ? nlohmann::ordered_json(number)
                  : nlohmann::ordered_json(std::string(aText));
}

/// Adds the key=value pairs of a detail as fields; words that are not part of a
/// pair are joined in the field "detail".
void AddDetailFields(std::string_view aDetail, nlohmann::ordered_json& aLine)
{
  std::string unpaired;
  size_t position = 0;
  while (position < aDetail.size()) {
    if (aDetail[position] == ' ') {
      ++position;
      continue;
    }
    const size_t equals = aDetail.find_first_of("= ", position);
    const bool isPair =
      equals != std::string_view::npos && aDetail[equals] == '=';
    if (!isPair) {
      const size_t end = std::min(aDetail.size(), equals);
      unpaired += (unpaired.empty() ? "" : " ") +
                  std::string(aDetail.substr(position, end - position));
      position = end;
      continue;
    }
    const std::string key(aDetail.substr(position, equals - position));
    position = equals + 1;
    const bool isQuoted = position < aDetail.size() && aDetail[position] == '"';
    position += isQuoted ? 1 : 0;
    const size_t end =
      std::min(aDetail.size(), aDetail.find(isQuoted ? '"' : ' ', position));
    aLine[key] = ParseValue(aDetail.substr(position, end - position));
    position = end + (isQuoted ? 1 : 0);
  }
  if (!unpaired.empty()) {
    aLine["detail"] = unpaired;
  }
}

} // namespace

std::string FormatEvent(EventId aId,
                        std::string_view aInstance,
                        std::string_view aTime,
                        std::string_view aDetail)
{
  const EventSpec& spec = SpecOf(aId);
  nlohmann::ordered_json line = {
    { "time", std::string(aTime) },
    { "level", LevelName(spec.m_level) },
    { "event", "E" + std::to_string(static_cast<unsigned>(aId)) },
    { "name", std::string(spec.m_name) },
    { "instance", std::string(aInstance) }
  };
  AddDetailFields(aDetail, line);
  // Control characters are escaped and invalid UTF-8 is replaced, so untrusted
  // input cannot forge a log line.
  return line.dump(
    -1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
}

class EasyEventLog::Sink : public LineSink
{
public:
  using LineSink::LineSink;
};

EasyEventLog::EasyEventLog(std::string aInstance)
  : m_instance(std::move(aInstance))
  , m_sink(std::make_unique<Sink>(STDOUT_FILENO, SteadySeconds))
{
  gSink = m_sink.get();
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureLogger("default", configuration);
  el::Helpers::uninstallLogDispatchCallback<
    el::base::DefaultLogDispatchCallback>(kDefaultDispatchName);
  el::Helpers::installLogDispatchCallback<SinkDispatch>(kDispatchName);
}

EasyEventLog::~EasyEventLog()
{
  el::Helpers::uninstallLogDispatchCallback<SinkDispatch>(kDispatchName);
  gSink = nullptr;
}

void EasyEventLog::Write(EventId aId, std::string_view aDetail)
{
  // Checked first, because formatting a line that is dropped wastes time.
  if (SpecOf(aId).m_level == EventLevel::Info && !m_sink->TryAdmit()) {
    return;
  }
  const uint64_t dropped = m_sink->TakeDroppedCount();
  if (dropped > 0) {
    LOG(WARNING) << FormatEvent(EventId::LogLinesDropped,
                                m_instance,
                                WallTimeText(),
                                "lines=" + std::to_string(dropped));
  }
  const std::string line =
    FormatEvent(aId, m_instance, WallTimeText(), aDetail);
  switch (SpecOf(aId).m_level) {
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
