#include <csignal>
#include <iostream>

#include <cxxopts.hpp>
#include <event2/event.h>

#include "core/system_clock.h"
#include "http/event_timers.h"
#include "tools/fake_service_server.h"

int main(int argc, char** argv) // NOLINT(readability-identifier-naming)
{
  using namespace celeryspread;
  cxxopts::Options options("fake-service", "Stand-in for a plain service");
  options.add_options()(
    "address",
    "Address",
    cxxopts::value<std::string>()->default_value("127.0.0.1"))(
    "port", "Port", cxxopts::value<uint16_t>()->default_value("0"))(
    "delay-us",
    "Time per call",
    cxxopts::value<int64_t>()->default_value("1000"))("help", "Show help");
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
    FakeService service(timers, Duration(parsed["delay-us"].as<int64_t>()));
    CallerServer server(base, clock, CallerServerLimits{}, service);
    if (!server.Listen(parsed["address"].as<std::string>(),
                       parsed["port"].as<uint16_t>())) {
      std::cerr << "fake-service: can't listen\n";
      return 1;
    }
    std::cout << "listening " << server.Port() << std::endl;
    event_base_dispatch(base);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "fake-service: " << error.what() << "\n";
    return 2;
  }
  return 0;
}
