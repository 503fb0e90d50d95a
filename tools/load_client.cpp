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

constexpr Duration kTimeout = std::chrono::seconds(60);
constexpr double kMicrosPerSecond = 1e6;

/// What every call of one run sends.
struct LoadPlan
{
  UpstreamAddress m_address;
  std::string m_key;
  std::string m_path;
  std::string m_body;
  /// Whether each call carries an Idempotency-Key of its own.
  bool m_isKeyed = false;
  size_t m_concurrency = 1;
  Duration m_length{};
};

/// Sums over all calls of a run.
struct LoadTotals
{
  std::vector<int64_t> m_latencies;
  uint64_t m_events = 0;
  uint64_t m_finished = 0;
  uint64_t m_failed = 0;
};

/// One caller that sends its next call when the last has ended.
class Caller : public UpstreamObserver
{
public:
  Caller(const LoadPlan& aPlan,
         LoadTotals& aTotals,
         UpstreamClient& aClient,
         Timers& aTimers,
         const Clock& aClock)
    : m_plan(aPlan)
    , m_totals(aTotals)
    , m_client(aClient)
    , m_timers(aTimers)
    , m_clock(aClock)
  {
  }

  void Send()
  {
    UpstreamRequest request;
    request.m_address = m_plan.m_address;
    request.m_method = "POST";
    request.m_path = m_plan.m_path;
    request.m_headers = { { "Content-Type", "application/json" },
                          { "Authorization", "Bearer " + m_plan.m_key } };
    if (m_plan.m_isKeyed) {
      request.m_headers.push_back(
        { "Idempotency-Key",
          std::to_string(m_clock.WallTime().count()) + "-" +
            std::to_string(reinterpret_cast<uintptr_t>(this)) });
    }
    request.m_body = m_plan.m_body;
    request.m_firstByteTimeout = kTimeout;
    request.m_progressTimeout = kTimeout;
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
    size_t at = aBytes.find(kEventEnd);
    while (at != std::string_view::npos) {
      ++m_totals.m_events;
      at = aBytes.find(kEventEnd, at + kEventEnd.size());
    }
  }
  void OnUpstreamEnd() override
  {
    ++m_totals.m_finished;
    m_totals.m_latencies.push_back((m_clock.Now() - m_start).count());
    SendLater();
  }
  void OnUpstreamFailed(const UpstreamFailure& /*aFailure*/) override
  {
    ++m_totals.m_failed;
    SendLater();
  }

private:
  void SendLater()
  {
    m_timer = m_timers.After(Duration::zero(), [this] { Send(); });
  }

  const LoadPlan& m_plan;
  LoadTotals& m_totals;
  UpstreamClient& m_client;
  Timers& m_timers;
  const Clock& m_clock;
  std::unique_ptr<UpstreamCall> m_call;
  std::unique_ptr<Timer> m_timer;
  TimePoint m_start;
};

int64_t Percentile(const std::vector<int64_t>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto at =
    static_cast<size_t>(aShare * static_cast<double>(aSorted.size() - 1));
  return aSorted[at];
}

nlohmann::json Summary(LoadTotals& aTotals, double aSeconds)
{
  constexpr double kHalf = 0.5;
  constexpr double kMost = 0.99;
  std::sort(aTotals.m_latencies.begin(), aTotals.m_latencies.end());
  return { { "seconds", aSeconds },
           { "finished", aTotals.m_finished },
           { "failed", aTotals.m_failed },
           { "events", aTotals.m_events },
           { "p50_us", Percentile(aTotals.m_latencies, kHalf) },
           { "p99_us", Percentile(aTotals.m_latencies, kMost) } };
}

int Run(const LoadPlan& aPlan)
{
  event_base* base = event_base_new();
  const SystemClock clock;
  LoadTotals totals;
  {
    EventTimers timers(base);
    EvhttpUpstreamClient client(base, clock);
    std::vector<std::unique_ptr<Caller>> callers;
    for (size_t i = 0; i < aPlan.m_concurrency; ++i) {
      callers.push_back(
        std::make_unique<Caller>(aPlan, totals, client, timers, clock));
      callers.back()->Send();
    }
    const TimePoint start = clock.Now();
    const auto end =
      timers.After(aPlan.m_length, [&] { event_base_loopbreak(base); });
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
  cxxopts::Options options("load-client", "Sends completions and measures");
  options.add_options()(
    "address",
    "Address",
    cxxopts::value<std::string>()->default_value("127.0.0.1"))(
    "port", "Port", cxxopts::value<uint16_t>())(
    "key", "Caller key", cxxopts::value<std::string>()->default_value(""))(
    "model", "Model name", cxxopts::value<std::string>()->default_value(""))(
    "path",
    "Path",
    cxxopts::value<std::string>()->default_value("/v1/chat/completions"))(
    "keyed", "Give each call a key of its own")(
    "prompt", "Prompt", cxxopts::value<std::string>()->default_value("hello"))(
    "stream", "Ask for streams")("concurrency",
                                 "Calls at once",
                                 cxxopts::value<size_t>()->default_value("1"))(
    "seconds",
    "Length of the run",
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
    LoadPlan plan;
    plan.m_address = { parsed["address"].as<std::string>(),
                       parsed["port"].as<uint16_t>() };
    plan.m_key = parsed["key"].as<std::string>();
    plan.m_path = parsed["path"].as<std::string>();
    plan.m_body = body.dump();
    plan.m_isKeyed = parsed.count("keyed") != 0;
    plan.m_concurrency = parsed["concurrency"].as<size_t>();
    plan.m_length = Duration(
      static_cast<int64_t>(parsed["seconds"].as<double>() * kMicrosPerSecond));
    return Run(plan);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "load-client: " << error.what() << "\n";
    return 2;
  }
}
