#include "main/program.h"

#include <iostream>

#include <cxxopts.hpp>

#include "main/exit_code.h"

namespace celeryspread {

namespace {

int RunWithOptions(const ProgramDescription& aProgram,
                   const cxxopts::Options& aOptions,
                   const cxxopts::ParseResult& aParsed)
{
  if (aParsed.count("help") != 0) {
    std::cout << aOptions.help() << "\n";
    return ExitCode::Success;
  }
  if (aParsed.count("version") != 0) {
    std::cout << aProgram.m_name << " " << CELERYSPREAD_VERSION << "\n";
    return ExitCode::Success;
  }
  if (aParsed.count("settings") == 0) {
    std::cerr << aProgram.m_name << ": --settings is required\n";
    return ExitCode::BadUsage;
  }
  InstanceSettingsReader reader;
  const auto settings = reader.Load(aParsed["settings"].as<std::string>());
  if (!settings) {
    for (const SettingsError& error : reader.Errors()) {
      std::cerr << aProgram.m_name << ": " << error.Text() << "\n";
    }
    return ExitCode::BadSettings;
  }
  if (aParsed.count("check-settings") != 0) {
    std::cout << "settings are valid\n";
    return ExitCode::Success;
  }
  return aProgram.m_run(*settings, aParsed);
}

} // namespace

int RunProgram(const ProgramDescription& aProgram,
               int aArgumentCount,
               char** aArguments)
{
  cxxopts::Options options(aProgram.m_name, aProgram.m_description);
  auto add = options.add_options();
  add("settings",
      "Settings file of this instance",
      cxxopts::value<std::string>());
  add("check-settings", "Check the settings file and exit");
  add("version", "Show the version");
  add("help", "Show this help");
  if (aProgram.m_addOptions) {
    aProgram.m_addOptions(options);
  }
  try {
    return RunWithOptions(
      aProgram, options, options.parse(aArgumentCount, aArguments));
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << aProgram.m_name << ": " << error.what() << "\n";
    return ExitCode::BadUsage;
  }
}

} // namespace celeryspread
