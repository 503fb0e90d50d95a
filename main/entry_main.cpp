#include <cxxopts.hpp>

#include "entry/entry_process.h"
#include "main/program.h"

int main(int argc, char** argv) // NOLINT(readability-identifier-naming)
{
  using namespace celeryspread;
  const ProgramDescription program{ "celeryspread-entry",
                                    "Entry instance of celeryspread",
                                    {},
                                    [](const InstanceSettings& aSettings,
                                       const cxxopts::ParseResult&) {
                                      return EntryProcess(aSettings).Run();
                                    } };
  return RunProgram(program, argc, argv);
}
