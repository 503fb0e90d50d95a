#include "tools/stand_in.h"

#include <csignal>
#include <iostream>

#include <cxxopts.hpp>
#include <event2/event.h>

#include "core/system_clock.h"
#include "http/event_timers.h"

namespace celeryspread {

namespace {

int Serve(const StandInDescription& aStandIn,
          const cxxopts::ParseResult& aParsed)
{
  signal(SIGPIPE, SIG_IGN);
  event_base* base = event_base_new();
  const SystemClock clock;
  EventTimers timers(base);
  const auto handler = aStandIn.m_make(aParsed, timers);
  CallerServer server(base, clock, CallerServerLimits{}, *handler);
  if (!server.Listen(aParsed["address"].as<std::string>(),
                     aParsed["port"].as<uint16_t>())) {
    std::cerr << aStandIn.m_name << ": can't listen\n";
    return 1;
  }
  std::cout << "listening " << server.Port() << std::endl;
  return event_base_dispatch(base) < 0 ? 1 : 0;
}

} // namespace

int RunStandIn(const StandInDescription& aStandIn, int aCount, char** aWords)
{
  cxxopts::Options options(aStandIn.m_name, aStandIn.m_purpose);
  auto add = options.add_options();
  add("address",
      "Address",
      cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("port", "Port", cxxopts::value<uint16_t>()->default_value("0"));
  add("help", "Show help");
  aStandIn.m_addOptions(options);
  try {
    const auto parsed = options.parse(aCount, aWords);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << "\n";
      return 0;
    }
    return Serve(aStandIn, parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << aStandIn.m_name << ": " << error.what() << "\n";
    return 2;
  }
}

} // namespace celeryspread
