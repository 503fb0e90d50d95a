#pragma once

#include <string>
#include <string_view>

#include "core/ids.h"

namespace celeryspread {

/// What makes two requests the same one sent again. Headers that differ from
/// one sending to the next, as ids, deadlines and traces, don't count.
struct RequestIdentity
{
  std::string_view m_method;
  std::string_view m_host;
  /// Path and query.
  std::string_view m_target;
  /// Key of the caller, empty if it sent none.
  std::string_view m_callerKey;
  std::string_view m_body;
};

/// Names requests, so that one that is sent again is recognized by every
/// instance. A request is investigated like a part of a prompt, under an id
/// that no part can have.
/// @thread any.
class RequestNamer
{
public:
  /// Uses a key that all instances share, so that callers can't choose a
  /// request with the name of another one. @pre none.
  explicit RequestNamer(std::string_view aKey);

  /// Returns the name of a request. It shows nothing of its content. @pre none.
  [[nodiscard]] PromptPartId Name(const RequestIdentity& aRequest) const;
  /// Returns whether an id names a request, and not a part of a prompt.
  /// @pre none.
  [[nodiscard]] static bool IsRequest(const PromptPartId& aId);

private:
  std::string m_key;
};

} // namespace celeryspread
