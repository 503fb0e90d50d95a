#include <cxxopts.hpp>

#include "tools/fake_service_server.h"
#include "tools/stand_in.h"

namespace {

using namespace celeryspread;

void AddOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()("delay-us",
                         "Time per call",
                         cxxopts::value<int64_t>()->default_value("1000"));
}

std::unique_ptr<CallHandler> Make(const cxxopts::ParseResult& aParsed,
                                  Timers& aTimers)
{
  return std::make_unique<FakeService>(
    aTimers, Duration(aParsed["delay-us"].as<int64_t>()));
}

} // namespace

int main(int argc, char** argv) // NOLINT(readability-identifier-naming)
{
  const StandInDescription service{
    "fake-service", "Stand-in for a plain service", AddOptions, Make
  };
  return RunStandIn(service, argc, argv);
}
