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

/// Where the lines of the one log of this process go.
LineSink* gSink = nullptr;

/// Hands easylogging's lines to the sink.
class SinkDispatch : public el::LogDispatchCallback
{
protected:
  // NOLINTNEXTLINE(readability-identifier-naming): easylogging names it.
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

/// A number where the text is one, so that readers can compare it.
nlohmann::ordered_json ValueOf(std::string_view aText)
{
  int64_t number = 0;
  const auto result =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  const bool isNumber = result.ec == std::errc() && !aText.empty() &&
                        result.ptr == aText.data() + aText.size();
  return isNumber ? nlohmann::ordered_json(number)
                  : nlohmann::ordered_json(std::string(aText));
}

/// Adds the pairs of a detail; what is no pair goes under "detail".
void AddPairs(std::string_view aDetail, nlohmann::ordered_json& aOut)
{
  std::string rest;
  size_t at = 0;
  while (at < aDetail.size()) {
    if (aDetail[at] == ' ') {
      ++at;
      continue;
    }
    const size_t equals = aDetail.find_first_of("= ", at);
    const bool isPair =
      equals != std::string_view::npos && aDetail[equals] == '=';
    if (!isPair) {
      const size_t end = std::min(aDetail.size(), equals);
      rest +=
        (rest.empty() ? "" : " ") + std::string(aDetail.substr(at, end - at));
      at = end;
      continue;
    }
    const std::string key(aDetail.substr(at, equals - at));
    at = equals + 1;
    const bool isQuoted = at < aDetail.size() && aDetail[at] == '"';
    at += isQuoted ? 1 : 0;
    const size_t end =
      std::min(aDetail.size(), aDetail.find(isQuoted ? '"' : ' ', at));
    aOut[key] = ValueOf(aDetail.substr(at, end - at));
    at = end + (isQuoted ? 1 : 0);
  }
  if (!rest.empty()) {
    aOut["detail"] = rest;
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
    { "level", LevelWord(spec.m_level) },
    { "event", "E" + std::to_string(static_cast<unsigned>(aId)) },
    { "name", std::string(spec.m_name) },
    { "instance", std::string(aInstance) }
  };
  AddPairs(aDetail, line);
  // Control characters and bytes that are no text can't forge a line.
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
  // A line that is left out is not worth formatting either.
  if (SpecOf(aId).m_level == EventLevel::Info && !m_sink->TryAdmit()) {
    return;
  }
  const uint64_t dropped = m_sink->TakeDropped();
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
