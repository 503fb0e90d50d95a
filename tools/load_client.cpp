#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <vector>

#include <cxxopts.hpp>
#include <event2/event.h>
#include <nlohmann/json.hpp>

#include "core/system_clock.h"
#include "http/event_timers.h"
#include "http/evhttp_upstream_client.h"

namespace {

using namespace celeryspread;

constexpr Duration kCallTimeout = std::chrono::seconds(60);
constexpr double kMicrosPerSecond = 1e6;

/// Options of one run.
struct LoadOptions
{
  UpstreamAddress m_address;
  std::string m_key;
  std::string m_path;
  std::string m_body;
  /// Whether each call has a unique Idempotency-Key header.
  bool m_hasIdempotencyKeys = false;
  size_t m_concurrency = 1;
  Duration m_duration{};
};

/// Results of all calls of a run.
struct LoadTotals
{
  /// Latencies of the finished calls. @unit microseconds.
  std::vector<int64_t> m_latencies;
  /// Server-sent events received.
  uint64_t m_events = 0;
  uint64_t m_finished = 0;
  uint64_t m_failed = 0;
};

/// Closed-loop caller: sends its next call as soon as the last has ended.
class Caller : public UpstreamObserver
{
public:
  Caller(const LoadOptions& aOptions,
         LoadTotals& aTotals,
         UpstreamClient& aClient,
         Timers& aTimers,
         const Clock& aClock)
    : m_options(aOptions)
    , m_totals(aTotals)
    , m_client(aClient)
    , m_timers(aTimers)
    , m_clock(aClock)
  {
  }

  void SendCall()
  {
    UpstreamRequest request;
    request.m_address = m_options.m_address;
    request.m_method = "POST";
    request.m_path = m_options.m_path;
    request.m_headers = { { "Content-Type", "application/json" },
                          { "Authorization", "Bearer " + m_options.m_key } };
    if (m_options.m_hasIdempotencyKeys) {
      request.m_headers.push_back(
        { "Idempotency-Key",
          std::to_string(m_clock.WallTime().count()) + "-" +
            std::to_string(reinterpret_cast<uintptr_t>(this)) });
    }
    request.m_body = m_options.m_body;
    request.m_firstByteTimeout = kCallTimeout;
    request.m_progressTimeout = kCallTimeout;
    m_start = m_clock.Now();
    m_call = m_client.Start(std::move(request), *this);
  }

  void OnUpstreamHeaders(int aStatus, const HttpHeaders& /*aHeaders*/) override
  {
    constexpr int kOk = 200;
    m_totals.m_failed += aStatus == kOk ? 0 : 1;
  }
  void OnUpstreamBody(std::string_view aBytes) override
  {
    constexpr std::string_view kEventEnd = "\n\n";
    size_t position = aBytes.find(kEventEnd);
    while (position != std::string_view::npos) {
      ++m_totals.m_events;
      position = aBytes.find(kEventEnd, position + kEventEnd.size());
    }
  }
  void OnUpstreamEnd() override
  {
    ++m_totals.m_finished;
    m_totals.m_latencies.push_back((m_clock.Now() - m_start).count());
    ScheduleNextCall();
  }
  void OnUpstreamFailed(const UpstreamFailure& /*aFailure*/) override
  {
    ++m_totals.m_failed;
    ScheduleNextCall();
  }

private:
  void ScheduleNextCall()
  {
    m_timer = m_timers.After(Duration::zero(), [this] { SendCall(); });
  }

  const LoadOptions& m_options;
  LoadTotals& m_totals;
  UpstreamClient& m_client;
  Timers& m_timers;
  const Clock& m_clock;
  std::unique_ptr<UpstreamCall> m_call;
  std::unique_ptr<Timer> m_timer;
  TimePoint m_start;
};

int64_t Percentile(const std::vector<int64_t>& aSorted, double aFraction)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto position =
    static_cast<size_t>(aFraction * static_cast<double>(aSorted.size() - 1));
  return aSorted[position];
}

nlohmann::json Summary(LoadTotals& aTotals, double aSeconds)
{
  constexpr double kMedian = 0.5;
  constexpr double kPercentile99 = 0.99;
  std::sort(aTotals.m_latencies.begin(), aTotals.m_latencies.end());
  return { { "seconds", aSeconds },
           { "finished", aTotals.m_finished },
           { "failed", aTotals.m_failed },
           { "events", aTotals.m_events },
           { "p50_us", Percentile(aTotals.m_latencies, kMedian) },
           { "p99_us", Percentile(aTotals.m_latencies, kPercentile99) } };
}

int Run(const LoadOptions& aOptions)
{
  event_base* base = event_base_new();
  const SystemClock clock;
  LoadTotals totals;
  {
    EventTimers timers(base);
    EvhttpUpstreamClient client(base, clock);
    std::vector<std::unique_ptr<Caller>> callers;
    for (size_t i = 0; i < aOptions.m_concurrency; ++i) {
      callers.push_back(
        std::make_unique<Caller>(aOptions, totals, client, timers, clock));
      callers.back()->SendCall();
    }
    const TimePoint start = clock.Now();
    const auto stopTimer =
      timers.After(aOptions.m_duration, [&] { event_base_loopbreak(base); });
    event_base_dispatch(base);
    const double seconds =
      static_cast<double>((clock.Now() - start).count()) / kMicrosPerSecond;
    std::cout << Summary(totals, seconds).dump() << std::endl;
  }
  event_base_free(base);
  return totals.m_finished == 0 && totals.m_events == 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv) // NOLINT(readability-identifier-naming)
{
  cxxopts::Options options(
    "load-client",
    "Sends completion calls and measures latency and throughput");
  options.add_options()(
    "address",
    "Address",
    cxxopts::value<std::string>()->default_value("127.0.0.1"))(
    "port", "Port", cxxopts::value<uint16_t>())(
    "key",
    "Key of the calling service",
    cxxopts::value<std::string>()->default_value(""))(
    "model", "Model name", cxxopts::value<std::string>()->default_value(""))(
    "path",
    "Path",
    cxxopts::value<std::string>()->default_value("/v1/chat/completions"))(
    "keyed", "Send a unique Idempotency-Key with each call")(
    "prompt", "Prompt", cxxopts::value<std::string>()->default_value("hello"))(
    "stream",
    "Request streamed answers")("concurrency",
                                "Number of concurrent calls",
                                cxxopts::value<size_t>()->default_value("1"))(
    "seconds",
    "Duration of the run, in seconds",
    cxxopts::value<double>()->default_value("3"))("help", "Show help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0 || parsed.count("port") == 0) {
      std::cout << options.help() << "\n";
      return parsed.count("help") != 0 ? 0 : 2;
    }
    signal(SIGPIPE, SIG_IGN);
    const nlohmann::json message = {
      { "role", "user" }, { "content", parsed["prompt"].as<std::string>() }
    };
    const nlohmann::json body = {
      { "model", parsed["model"].as<std::string>() },
      { "stream", parsed.count("stream") != 0 },
      { "messages", nlohmann::json::array({ message }) }
    };
    LoadOptions loadOptions;
    loadOptions.m_address = { parsed["address"].as<std::string>(),
                              parsed["port"].as<uint16_t>() };
    loadOptions.m_key = parsed["key"].as<std::string>();
    loadOptions.m_path = parsed["path"].as<std::string>();
    loadOptions.m_body = body.dump();
    loadOptions.m_hasIdempotencyKeys = parsed.count("keyed") != 0;
    loadOptions.m_concurrency = parsed["concurrency"].as<size_t>();
    loadOptions.m_duration = Duration(
      static_cast<int64_t>(parsed["seconds"].as<double>() * kMicrosPerSecond));
    return Run(loadOptions);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "load-client: " << error.what() << "\n";
    return 2;
  }
}
