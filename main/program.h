#pragma once

#include <functional>
#include <string>

#include "settings/instance_settings.h"

namespace cxxopts {
class Options;
class ParseResult;
}

namespace celeryspread {

/// What distinguishes one daemon's command line from another's.
struct ProgramDescription
{
  std::string m_name;
  std::string m_purpose;
  /// Adds options of its own; may be empty.
  std::function<void(cxxopts::Options&)> m_addOptions;
  /// Runs the daemon and returns its exit code.
  std::function<int(const InstanceSettings&, const cxxopts::ParseResult&)>
    m_run;
};

/// Handles the options that all daemons share (--settings, --check-settings,
/// --version, --help) and runs one. @pre called from main(). @thread main.
/// @return exit code, see docs/OPERATING.md.
int RunProgram(const ProgramDescription& aProgram, int aCount, char** aWords);

} // namespace celeryspread
