#include "tools/fake_server.h"

#include <csignal>
#include <iostream>

#include <cxxopts.hpp>
#include <event2/event.h>

#include "core/system_clock.h"
#include "http/event_timers.h"

namespace celeryspread {

namespace {

int Serve(const FakeServerDescription& aServer,
          const cxxopts::ParseResult& aParsed)
{
  signal(SIGPIPE, SIG_IGN);
  event_base* base = event_base_new();
  const SystemClock clock;
  EventTimers timers(base);
  const auto handler = aServer.m_makeHandler(aParsed, timers);
  CallerServer server(base, clock, CallerServerLimits{}, *handler);
  if (!server.Listen(aParsed["address"].as<std::string>(),
                     aParsed["port"].as<uint16_t>())) {
    std::cerr << aServer.m_name
              << ": cannot listen on the given address and port\n";
    return 1;
  }
  std::cout << "listening " << server.Port() << std::endl;
  return event_base_dispatch(base) < 0 ? 1 : 0;
}

} // namespace

int RunFakeServer(const FakeServerDescription& aServer,
                  int aArgumentCount,
                  char** aArguments)
{
  cxxopts::Options options(aServer.m_name, aServer.m_description);
  auto add = options.add_options();
  add("address",
      "Address",
      cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("port", "Port", cxxopts::value<uint16_t>()->default_value("0"));
  add("help", "Show help");
  aServer.m_addOptions(options);
  try {
    const auto parsed = options.parse(aArgumentCount, aArguments);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << "\n";
      return 0;
    }
    return Serve(aServer, parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << aServer.m_name << ": " << error.what() << "\n";
    return 2;
  }
}

} // namespace celeryspread
