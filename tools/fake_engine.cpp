#include <csignal>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>
#include <event2/event.h>

#include "core/system_clock.h"
#include "http/event_timers.h"
#include "tools/fake_engine_server.h"

namespace {

std::set<std::string> SplitNames(const std::string& aList)
{
  std::set<std::string> names;
  std::istringstream stream(aList);
  for (std::string name; std::getline(stream, name, ',');) {
    names.insert(name);
  }
  return names;
}

} // namespace

int main(int argc, char** argv) // NOLINT(readability-identifier-naming)
{
  using namespace celeryspread;
  cxxopts::Options options("fake-engine", "Stand-in for a model engine");
  options.add_options()(
    "address",
    "Address",
    cxxopts::value<std::string>()->default_value("127.0.0.1"))(
    "port", "Port", cxxopts::value<uint16_t>()->default_value("0"))(
    "resident",
    "Engine names, comma separated",
    cxxopts::value<std::string>()->default_value(""))(
    "memory-bytes",
    "Memory for models",
    cxxopts::value<uint64_t>()->default_value("0"))(
    "tokens", "Tokens per answer", cxxopts::value<int>()->default_value("8"))(
    "token-us",
    "Time per token",
    cxxopts::value<int64_t>()->default_value("2000"))(
    "ignore-fencing", "Do not check fencing tokens")("help", "Show help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << "\n";
      return 0;
    }
    signal(SIGPIPE, SIG_IGN);
    event_base* base = event_base_new();
    const SystemClock clock;
    EventTimers timers(base);
    FakeEngineOptions engineOptions;
    engineOptions.m_resident = SplitNames(parsed["resident"].as<std::string>());
    engineOptions.m_memoryBytes = parsed["memory-bytes"].as<uint64_t>();
    engineOptions.m_defaultTokens = parsed["tokens"].as<int>();
    engineOptions.m_tokenInterval = Duration(parsed["token-us"].as<int64_t>());
    engineOptions.m_checksFencing = parsed.count("ignore-fencing") == 0;
    FakeEngine engine(timers, engineOptions);
    CallerServer server(base, clock, CallerServerLimits{}, engine);
    if (!server.Listen(parsed["address"].as<std::string>(),
                       parsed["port"].as<uint16_t>())) {
      std::cerr << "fake-engine: can't listen\n";
      return 1;
    }
    std::cout << "listening " << server.Port() << std::endl;
    event_base_dispatch(base);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "fake-engine: " << error.what() << "\n";
    return 2;
  }
  return 0;
}
