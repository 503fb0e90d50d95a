#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

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
  /// Longest silence before the first byte of the answer.
  Duration m_firstByteTimeout{};
  /// Longest silence inside the answer.
  Duration m_progressTimeout{};
  /// Whether an idle kept-alive connection may carry the request. Work that
  /// may not repeat needs a fresh one: a stale connection loses the proof
  /// that nothing was run.
  bool m_mayReuseConnection = true;
};

/// Why an upstream call failed.
enum class UpstreamFailureKind
{
  ConnectFailed,
  Timeout,
  ConnectionLost,
  BadAnswer
};

/// A failed upstream call.
struct UpstreamFailure
{
  UpstreamFailureKind m_kind = UpstreamFailureKind::ConnectionLost;
  /// Whether any byte of the request may have reached the upstream.
  bool m_maySent = true;
  std::string m_reason;
};

/// Hears the answer to one upstream call. Exactly one of OnUpstreamEnd() and
/// OnUpstreamFailed() ends the call, unless it is cancelled first.
class UpstreamObserver
{
public:
  virtual ~UpstreamObserver() = default;
  /// The status and headers arrived.
  virtual void OnUpstreamHeaders(int aStatus, const HttpHeaders& aHeaders) = 0;
  /// A part of the body arrived; the view is valid during the call only.
  virtual void OnUpstreamBody(std::string_view aBytes) = 0;
  /// The answer is whole.
  virtual void OnUpstreamEnd() = 0;
  /// The call failed; nothing more follows.
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
  /// Goes on reading. @pre none.
  virtual void Resume() = 0;
};

/// Starts calls to upstreams.
/// @thread loop thread only.
class UpstreamClient
{
public:
  virtual ~UpstreamClient() = default;
  /// Starts a call. @pre aObserver outlives the returned call. Never calls
  /// the observer before it returns.
  virtual std::unique_ptr<UpstreamCall> Start(UpstreamRequest aRequest,
                                              UpstreamObserver& aObserver) = 0;
};

} // namespace celeryspread
