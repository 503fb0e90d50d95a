#include <iostream>

#include <cxxopts.hpp>

#include "control/control_process.h"
#include "main/exit_code.h"

int main(int argc, char** argv) // NOLINT(readability-identifier-naming)
{
  using namespace celeryspread;
  cxxopts::Options options("celeryspread-control",
                           "Control instance of celeryspread");
  options.add_options()(
    "settings", "Settings file of this process", cxxopts::value<std::string>())(
    "bootstrap", "Found a new cluster; only ever once for each cluster")(
    "check-settings", "Check the settings and exit")(
    "version", "Show the version")("help", "Show this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << "\n";
      return ExitCode::Success;
    }
    if (parsed.count("version") != 0) {
      std::cout << "celeryspread-control " << CELERYSPREAD_VERSION << "\n";
      return ExitCode::Success;
    }
    if (parsed.count("settings") == 0) {
      std::cerr << "celeryspread-control: --settings is required\n";
      return ExitCode::BadUsage;
    }
    InstanceSettingsReader reader;
    const auto settings = reader.Load(parsed["settings"].as<std::string>());
    if (!settings) {
      for (const SettingsError& error : reader.Errors()) {
        std::cerr << "celeryspread-control: " << error.Text() << "\n";
      }
      return ExitCode::BadSettings;
    }
    if (parsed.count("check-settings") != 0) {
      std::cout << "settings are valid\n";
      return ExitCode::Success;
    }
    ControlProcess process(*settings,
                           parsed.count("bootstrap") != 0
                             ? ControlStart::Bootstrap
                             : ControlStart::Join);
    return process.Run();
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "celeryspread-control: " << error.what() << "\n";
    return ExitCode::BadUsage;
  }
}
