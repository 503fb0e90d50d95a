#pragma once

#include <functional>
#include <string>

#include "settings/instance_settings.h"

namespace cxxopts {
class Options;
class ParseResult;
}

namespace celeryspread {

/// Describes the command line of one daemon, beyond the options that all share.
struct ProgramDescription
{
  std::string m_name;
  std::string m_description;
  /// Adds the options that only this daemon has; may be empty.
  std::function<void(cxxopts::Options&)> m_addOptions;
  /// Runs the daemon until it stops and returns its exit code.
  std::function<int(const InstanceSettings&, const cxxopts::ParseResult&)>
    m_run;
};

/// Handles the options that all daemons share (--settings, --check-settings,
/// --version, --help) and, unless one of them ends the program, runs the
/// daemon.
/// @pre called from main(). @thread main.
/// @return exit code, see docs/OPERATING.md.
int RunProgram(const ProgramDescription& aProgram,
               int aArgumentCount,
               char** aArguments);

} // namespace celeryspread
