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

/// One stand-in program: its options and how to make its handler.
struct StandInDescription
{
  std::string m_name;
  std::string m_purpose;
  std::function<void(cxxopts::Options&)> m_addOptions;
  std::function<std::unique_ptr<CallHandler>(const cxxopts::ParseResult&,
                                             Timers&)>
    m_make;
};

/// Serves a stand-in until the process is ended; prints "listening PORT".
/// @pre called from main(). @thread main. @return exit code.
int RunStandIn(const StandInDescription& aStandIn, int aCount, char** aWords);

} // namespace celeryspread
