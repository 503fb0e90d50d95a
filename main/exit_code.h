#pragma once

namespace celeryspread {

/// Exit codes of the daemons and of celeryspreadctl; documented in
/// docs/OPERATING.md.
enum ExitCode
{
  Success = 0,
  Failure = 1,
  /// The command line is wrong.
  BadUsage = 2,
  /// A settings file or a settings patch is not valid.
  BadSettings = 3,
  CannotListen = 4,
  CannotUseDisk = 5,
  /// celeryspreadctl: the request was rejected.
  Refused = 6
};

} // namespace celeryspread
