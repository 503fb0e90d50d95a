#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/timers.h"
#include "http/caller_server.h"

namespace cxxopts {
class Options;
class ParseResult;
}

namespace celeryspread {

/// Describes a program that serves a fake engine or service over HTTP: its
/// name, its own options, and how to create the handler of its calls.
struct FakeServerDescription
{
  std::string m_name;
  std::string m_description;
  std::function<void(cxxopts::Options&)> m_addOptions;
  std::function<std::unique_ptr<CallHandler>(const cxxopts::ParseResult&,
                                             Timers&)>
    m_makeHandler;
};

/// Serves calls until the process is killed; prints "listening PORT" when it is
/// ready. @pre called from main(). @thread main.
/// @return exit code: 1 when it cannot listen, 2 for a wrong command line.
int RunFakeServer(const FakeServerDescription& aServer,
                  int aArgumentCount,
                  char** aArguments);

} // namespace celeryspread
