#pragma once

namespace celeryspread {

/// Exit codes of every program; documented in docs/OPERATING.md.
enum ExitCode
{
  Success = 0,
  Failure = 1,
  BadUsage = 2,
  BadSettings = 3,
  CannotListen = 4,
  CannotUseDisk = 5,
  Refused = 6
};

} // namespace celeryspread
