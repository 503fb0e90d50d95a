#include <iostream>

#include <cxxopts.hpp>

#include "entry/entry_process.h"
#include "main/exit_code.h"
#include "settings/instance_settings.h"

int main(int argc, char** argv) // NOLINT(readability-identifier-naming)
{
  using namespace celeryspread;
  cxxopts::Options options("celeryspread-entry",
                           "Entry instance of celeryspread");
  options.add_options()(
    "settings", "Settings file of this process", cxxopts::value<std::string>())(
    "check-settings", "Check the settings and exit")(
    "version", "Show the version")("help", "Show this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << "\n";
      return ExitCode::Success;
    }
    if (parsed.count("version") != 0) {
      std::cout << "celeryspread-entry " << CELERYSPREAD_VERSION << "\n";
      return ExitCode::Success;
    }
    if (parsed.count("settings") == 0) {
      std::cerr << "celeryspread-entry: --settings is required\n";
      return ExitCode::BadUsage;
    }
    InstanceSettingsReader reader;
    const auto settings = reader.Load(parsed["settings"].as<std::string>());
    if (!settings) {
      for (const SettingsError& error : reader.Errors()) {
        std::cerr << "celeryspread-entry: " << error.Text() << "\n";
      }
      return ExitCode::BadSettings;
    }
    if (parsed.count("check-settings") != 0) {
      std::cout << "settings are valid\n";
      return ExitCode::Success;
    }
    EntryProcess process(*settings);
    return process.Run();
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "celeryspread-entry: " << error.what() << "\n";
    return ExitCode::BadUsage;
  }
}
