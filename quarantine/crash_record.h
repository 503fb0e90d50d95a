#pragma once

#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// What may end an engine: the parts of a prompt that other prompts may share,
/// in order, and then the name of the request as a whole.
using PromptParts = std::vector<PromptPartId>;

/// An engine that ended, and the calls that may be the reason.
struct CrashRecord
{
  UpstreamId m_engine;
  TimePoint m_at;
  /// Suspect parts of each call whose answer had begun a moment before and was
  /// not known to be sound yet. Parts that were sound a moment before are left
  /// out.
  std::vector<PromptParts> m_calls;
  /// The same for the calls without any byte of an answer. The engine may have
  /// ended before what it wrote had left; most of these calls only waited.
  std::vector<PromptParts> m_unansweredCalls{};

  /// Returns whether a part of a prompt is suspect, and not only requests as a
  /// whole. @pre none. @thread any.
  [[nodiscard]] bool HasPromptParts() const;
};

/// Time for which a part that was part of a sound answer is not suspected. A
/// part that ends each engine can't have had a sound answer just before.
constexpr Duration kSoundMemory = std::chrono::seconds(2);

} // namespace celeryspread
