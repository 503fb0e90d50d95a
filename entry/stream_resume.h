#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace celeryspread {

/// Records the streamed text that was sent to the caller, so that another
/// engine can resume a broken stream exactly where it stopped.
///
/// Only the escaped text of each token event is extracted and stored: parsing
/// the JSON of each event would cost more than relaying it.
/// @thread loop thread only.
class StreamResume
{
public:
  /// Records complete events that were sent to the caller. @pre none.
  void Record(std::string_view aEvents);
  /// Returns whether a recorded event has a finish reason, so that nothing but
  /// the final [DONE] event is missing. @pre none.
  [[nodiscard]] bool IsAnswerComplete() const { return m_isAnswerComplete; }
  /// Builds the request body that continues after the recorded text.
  /// @pre aBody is the body of the first attempt, which was sent to aPath.
  /// @error empty if the stream can't be resumed: several choices, tools,
  /// functions, best_of, log probabilities, a prompt that is not a string, or
  /// too much text.
  [[nodiscard]] std::optional<std::string> BuildBody(
    const std::string& aBody,
    std::string_view aPath) const;

private:
  void RecordLine(std::string_view aLine);

  std::string m_escapedText;
  size_t m_tokens = 0;
  bool m_isAnswerComplete = false;
  /// Whether the text exceeded the size limit and was dropped.
  bool m_isTooLong = false;
};

} // namespace celeryspread
