#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace celeryspread {

/// Remembers the text of a stream that reached the caller, so that a broken
/// stream can go on at another engine exactly where it stopped.
///
/// It keeps the escaped text of each token event and no more: parsing events
/// as they pass would cost more than relaying them.
/// @thread loop thread only.
class StreamResume
{
public:
  /// Notes whole events that were handed to the caller. @pre none.
  void Note(std::string_view aEvents);
  /// Tells whether the last token event said why the answer ended, so that
  /// nothing but the end mark is missing. @pre none.
  [[nodiscard]] bool IsAnswerWhole() const { return m_isAnswerWhole; }
  /// Builds the request that goes on after the noted text. @pre aBody is the
  /// body first sent to aPath. @error empty when it can't be resumed: several
  /// choices, tools, log probabilities, or too much text.
  [[nodiscard]] std::optional<std::string> BuildBody(
    const std::string& aBody,
    std::string_view aPath) const;

private:
  void NoteEvent(std::string_view aEvent);

  std::string m_escapedText;
  size_t m_tokens = 0;
  bool m_isAnswerWhole = false;
  bool m_isLost = false;
};

} // namespace celeryspread
