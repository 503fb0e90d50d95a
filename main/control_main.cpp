#include <cxxopts.hpp>

#include "control/control_process.h"
#include "main/program.h"

int main(int argc, char** argv) // NOLINT(readability-identifier-naming)
{
  using namespace celeryspread;
  const ProgramDescription program{
    "celeryspread-control",
    "Control instance of celeryspread",
    [](cxxopts::Options& aOptions) {
      aOptions.add_options()(
        "bootstrap",
        "Bootstrap a new cluster; do this only once in its lifetime");
    },
    [](const InstanceSettings& aSettings, const cxxopts::ParseResult& aParsed) {
      const bool isBootstrap = aParsed.count("bootstrap") != 0;
      return ControlProcess(aSettings,
                            isBootstrap ? ControlStart::Bootstrap
                                        : ControlStart::Join)
        .Run();
    }
  };
  return RunProgram(program, argc, argv);
}
