#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/byte_budget.h"
#include "core/clock.h"
#include "core/upstream_address.h"
#include "http/caller_call.h"

namespace celeryspread {

/// A request to an upstream.
struct UpstreamRequest
{
  UpstreamAddress m_address;
  std::string m_method;
  std::string m_path;
  HttpHeaders m_headers;
  std::string m_body;
  /// Longest wait for the first byte of the response.
  Duration m_firstByteTimeout{};
  /// Longest pause between bytes of the response.
  Duration m_progressTimeout{};
  /// Whether the request may use an idle keep-alive connection. A request that
  /// must not run twice needs a new one: that the upstream closed an idle
  /// connection may show only after the request was sent, and then nothing
  /// proves that it was not run.
  bool m_mayReuseConnection = true;
  /// Id that the upstream repeats in its answer; empty if it repeats none. No
  /// connection carries an id twice.
  std::string m_exchange;
};

/// Why an upstream call failed.
enum class UpstreamFailureKind
{
  ConnectFailed,
  Timeout,
  ConnectionLost,
  InvalidResponse
};

/// A failed upstream call.
struct UpstreamFailure
{
  UpstreamFailureKind m_kind = UpstreamFailureKind::ConnectionLost;
  /// Whether any byte of the request may have reached the upstream.
  bool m_mayHaveSentBytes = true;
  std::string m_reason;
  /// Whether any byte of the response arrived, even if its headers did not
  /// arrive in full.
  bool m_hasResponseBytes = false;
};

/// Receives the response to one upstream call. The call ends with exactly one
/// of OnUpstreamEnd() and OnUpstreamFailed(), unless it is cancelled first.
class UpstreamObserver
{
public:
  virtual ~UpstreamObserver() = default;
  /// The status and headers arrived; once more for each answer that the call
  /// was made to discard.
  virtual void OnUpstreamHeaders(int aStatus, const HttpHeaders& aHeaders) = 0;
  /// A part of the body arrived; the view is valid during this callback only.
  virtual void OnUpstreamBody(std::string_view aBytes) = 0;
  /// The response is complete.
  virtual void OnUpstreamEnd() = 0;
  /// The call failed; no further callback follows.
  virtual void OnUpstreamFailed(const UpstreamFailure& aFailure) = 0;
};

/// A call in progress; destroying it cancels it and closes its connection.
/// @thread loop thread only.
class UpstreamCall
{
public:
  virtual ~UpstreamCall() = default;
  /// Stops reading from the upstream. @pre none.
  virtual void Pause() = 0;
  /// Resumes reading. @pre none.
  virtual void Resume() = 0;
  /// Returns whether an earlier request was answered on the connection. Bytes
  /// that the upstream sends late may then belong to that one. @pre none.
  [[nodiscard]] virtual bool IsConnectionReused() const = 0;
  /// Returns whether the connection carried an earlier call with this id, so
  /// that an answer with it may be a late copy. @pre none.
  [[nodiscard]] virtual bool HasCarried(std::string_view aExchange) const = 0;
  /// Drops the answer whose headers have just arrived, and waits for the next
  /// one. @pre called from OnUpstreamHeaders(). @error false if it is not known
  /// where the answer ends, or many were discarded.
  virtual bool DiscardAnswer() = 0;
};

/// Starts calls to upstreams.
/// @thread loop thread only.
class UpstreamClient
{
public:
  /// Bounds the bytes of all responses that are held at once. @unit bytes.
  explicit UpstreamClient(size_t aMaxHeldBytes = SIZE_MAX)
    : m_heldBytes(aMaxHeldBytes)
  {
  }
  virtual ~UpstreamClient() = default;
  /// Starts a call. The observer is never called before this returns.
  /// @pre aObserver outlives the returned call.
  virtual std::unique_ptr<UpstreamCall> Start(UpstreamRequest aRequest,
                                              UpstreamObserver& aObserver) = 0;
  /// Returns the budget for bytes of responses. An observer that keeps them
  /// holds a part of it for as long. @pre none.
  ByteBudget& HeldBytes() { return m_heldBytes; }

private:
  ByteBudget m_heldBytes;
};

} // namespace celeryspread
