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

/// Is notified of events on the caller's connection.
class CallerObserver
{
public:
  virtual ~CallerObserver() = default;
  /// The caller closed its connection; nothing more can be sent.
  virtual void OnCallerDisconnected() = 0;
  /// All bytes queued for the caller were sent.
  virtual void OnOutputDrained() = 0;
};

/// One received HTTP request and the methods to respond to it. It is passed to
/// the handler after the whole request has arrived.
/// @thread loop thread only.
class CallerCall
{
public:
  virtual ~CallerCall() = default;
  /// Returns the HTTP method. @pre none.
  [[nodiscard]] virtual std::string_view Method() const = 0;
  /// Returns the path without query. @pre none.
  [[nodiscard]] virtual std::string_view Path() const = 0;
  /// Returns the query without '?'; empty when there is none. @pre none.
  [[nodiscard]] virtual std::string_view Query() const = 0;
  /// Returns the path with the query, as the caller sent them. @pre none.
  [[nodiscard]] virtual std::string Target() const = 0;
  /// Returns a header's value. @pre none. @error empty when absent.
  [[nodiscard]] virtual std::optional<std::string_view> Header(
    const char* aName) const = 0;
  /// Returns every header. @pre none.
  [[nodiscard]] virtual HttpHeaders AllHeaders() const = 0;
  /// Returns the body. @pre none.
  [[nodiscard]] virtual std::string_view Body() = 0;
  /// Sets the observer, which may be null. @pre none.
  virtual void SetObserver(CallerObserver* aObserver) = 0;
  /// Sends a complete response and ends the call. @pre nothing was sent yet.
  virtual void Reply(int aStatus,
                     const HttpHeaders& aHeaders,
                     std::string_view aBody) = 0;
  /// Starts a streamed response. @pre nothing was sent yet.
  virtual void StartStream(int aStatus, const HttpHeaders& aHeaders) = 0;
  /// Appends to a streamed response. @pre StartStream() was called.
  virtual void SendChunk(std::string_view aBytes) = 0;
  /// Ends a streamed response. @pre StartStream() was called.
  virtual void EndStream() = 0;
  /// Closes the connection, so that the caller sees an incomplete response.
  /// @pre none.
  virtual void Abort() = 0;
  /// Returns the bytes queued for the caller but not yet sent. @pre none.
  [[nodiscard]] virtual size_t PendingBytes() const = 0;
};

} // namespace celeryspread
