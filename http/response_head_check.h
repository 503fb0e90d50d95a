#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "http/caller_call.h"

namespace celeryspread {

/// Checks that the head of a response is valid HTTP. evhttp takes a status for
/// the number that its text begins with, so "20x" counts as 20 and "-200" is a
/// status, and it reads only some of the header fields that say where the body
/// ends. An answer of an upstream in trouble must not be passed on as if it had
/// been understood.
/// @thread loop thread only.
class ResponseHeadCheck
{
public:
  /// Reads bytes in the order in which they arrive, up to the end of the head;
  /// more bytes are ignored. @pre none.
  void Feed(std::string_view aBytes);
  /// Returns whether the bytes so far can begin a valid head: each status line
  /// has a status of three digits, of an interim or a final answer, and no line
  /// has control characters. @pre none.
  [[nodiscard]] bool IsValid() const { return m_isValid; }

  /// Returns whether the names of header fields are tokens and at most one
  /// length or transfer coding is stated, in a form with one meaning.
  /// @pre none. @thread any.
  static bool AreValidFields(const HttpHeaders& aHeaders);

private:
  enum class Position
  {
    StatusLine,
    Fields,
    Body
  };

  void EndLine();

  Position m_position = Position::StatusLine;
  /// The beginning of the line that is read, as much as a status needs.
  std::string m_line;
  size_t m_lineBytes = 0;
  bool m_isInterim = false;
  bool m_isValid = true;
};

} // namespace celeryspread
