#include <cxxopts.hpp>

#include "tools/fake_server.h"
#include "tools/fake_service_server.h"

namespace {

using namespace celeryspread;

void AddOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()("delay-us",
                         "Delay before each answer, in microseconds",
                         cxxopts::value<int64_t>()->default_value("1000"));
}

std::unique_ptr<CallHandler> MakeHandler(const cxxopts::ParseResult& aParsed,
                                         Timers& aTimers)
{
  return std::make_unique<FakeService>(
    aTimers, Duration(aParsed["delay-us"].as<int64_t>()));
}

} // namespace

int main(int argc, char** argv) // NOLINT(readability-identifier-naming)
{
  const FakeServerDescription service{
    "fake-service",
    "Fake plain service for tests and benchmarks",
    AddOptions,
    MakeHandler
  };
  return RunFakeServer(service, argc, argv);
}
