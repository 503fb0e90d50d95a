#pragma once

#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Parts of a prompt that other prompts may share, in order.
using PromptParts = std::vector<PromptPartId>;

/// An engine that ended, and the calls that may be the reason: their answers
/// had begun a moment before and were not known to be sound yet.
struct CrashRecord
{
  UpstreamId m_engine;
  TimePoint m_at;
  /// Suspect parts of each such call; parts that were sound a moment before
  /// are left out.
  std::vector<PromptParts> m_calls;
};

/// Time for which a part that was part of a sound answer is not suspected. A
/// part that ends each engine can't have had a sound answer just before.
constexpr Duration kSoundMemory = std::chrono::seconds(2);

} // namespace celeryspread
