#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace celeryspread {

/// One HTTP header.
struct HttpHeader
{
  std::string m_name;
  std::string m_value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Hears what happens to the caller's side of a call.
class CallerObserver
{
public:
  virtual ~CallerObserver() = default;
  /// The caller closed its connection; the call accepts no more replies.
  virtual void OnCallerGone() = 0;
  /// The bytes not yet sent to the caller fell to nothing.
  virtual void OnCallerDrained() = 0;
};

/// One request of a caller and the means to answer it. The whole request has
/// arrived before the call is handed over.
/// @thread loop thread only.
class CallerCall
{
public:
  virtual ~CallerCall() = default;
  /// Returns the HTTP method. @pre none.
  [[nodiscard]] virtual std::string_view Method() const = 0;
  /// Returns the path without query. @pre none.
  [[nodiscard]] virtual std::string_view Path() const = 0;
  /// Returns the query without '?'. @pre none.
  [[nodiscard]] virtual std::string_view Query() const = 0;
  /// Returns a header's value. @pre none. @error empty when absent.
  [[nodiscard]] virtual std::optional<std::string_view> Header(
    const char* aName) const = 0;
  /// Returns every header. @pre none.
  [[nodiscard]] virtual HttpHeaders AllHeaders() const = 0;
  /// Returns the body. @pre none.
  [[nodiscard]] virtual std::string_view Body() = 0;
  /// Registers the observer, null to stop. @pre none.
  virtual void SetObserver(CallerObserver* aObserver) = 0;
  /// Sends a whole answer and ends the call. @pre nothing was sent yet.
  virtual void Reply(int aStatus,
                     const HttpHeaders& aHeaders,
                     std::string_view aBody) = 0;
  /// Starts a streamed answer. @pre nothing was sent yet.
  virtual void StartStream(int aStatus, const HttpHeaders& aHeaders) = 0;
  /// Appends to a streamed answer. @pre StartStream() was called.
  virtual void SendChunk(std::string_view aBytes) = 0;
  /// Ends a streamed answer. @pre StartStream() was called.
  virtual void EndStream() = 0;
  /// Cuts the connection, so that the caller sees the answer is not whole.
  /// @pre none.
  virtual void Abort() = 0;
  /// Returns the bytes that wait for the caller to read. @pre none.
  [[nodiscard]] virtual size_t PendingBytes() const = 0;
};

} // namespace celeryspread
