#include <sstream>

#include <cxxopts.hpp>

#include "tools/fake_engine_server.h"
#include "tools/fake_server.h"

namespace {

using namespace celeryspread;

std::set<std::string> SplitNames(const std::string& aList)
{
  std::set<std::string> names;
  std::istringstream stream(aList);
  for (std::string name; std::getline(stream, name, ',');) {
    names.insert(name);
  }
  return names;
}

void AddOptions(cxxopts::Options& aOptions)
{
  auto add = aOptions.add_options();
  add("resident",
      "Names of the models that are loaded at the start, comma separated",
      cxxopts::value<std::string>()->default_value(""));
  add("memory-bytes",
      "Memory for models, in bytes; 0 is unlimited",
      cxxopts::value<uint64_t>()->default_value("0"));
  add("tokens", "Tokens per answer", cxxopts::value<int>()->default_value("8"));
  add("token-us",
      "Time per token, in microseconds",
      cxxopts::value<int64_t>()->default_value("2000"));
  add("ignore-fencing", "Carry out orders with an outdated fencing token");
}

std::unique_ptr<CallHandler> MakeHandler(const cxxopts::ParseResult& aParsed,
                                         Timers& aTimers)
{
  FakeEngineOptions options;
  options.m_resident = SplitNames(aParsed["resident"].as<std::string>());
  options.m_memoryBytes = aParsed["memory-bytes"].as<uint64_t>();
  options.m_defaultTokens = aParsed["tokens"].as<int>();
  options.m_tokenInterval = Duration(aParsed["token-us"].as<int64_t>());
  options.m_checksFencing = aParsed.count("ignore-fencing") == 0;
  return std::make_unique<FakeEngine>(aTimers, options);
}

} // namespace

int main(int argc, char** argv) // NOLINT(readability-identifier-naming)
{
  const FakeServerDescription engine{
    "fake-engine",
    "Fake model engine for tests and benchmarks",
    AddOptions,
    MakeHandler
  };
  return RunFakeServer(engine, argc, argv);
}
