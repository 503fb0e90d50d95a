#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Identity of work that must run at most once.
struct ClaimRequest
{
  ServiceId m_service;
  ClaimKey m_key;
  /// Hash of method, path and body; another value under one key is refused.
  uint64_t m_bodyHash = 0;
  /// Names this one attempt, so that a resent claim is recognised.
  std::string m_attemptId;
  Duration m_retention{};
};

/// A stored answer.
struct StoredAnswer
{
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
};

/// What became of a claim.
enum class ClaimVerdict
{
  /// The caller of Claim() holds it and may send the work once.
  Granted,
  /// The work has run; the stored answer follows.
  Answered,
  /// The work is in progress or its outcome is not known.
  Unknown,
  /// The key was used with another body.
  Conflict,
  /// The key is older than its retention; it is never run again.
  Expired,
  /// No quorum answered in time; the work was not sent.
  Unavailable
};

/// Answer to a claim.
struct ClaimReply
{
  ClaimVerdict m_verdict = ClaimVerdict::Unavailable;
  StoredAnswer m_answer;
};

/// Outcome with which a claim is closed.
enum class ClaimOutcome
{
  Answered,
  /// Proved that nothing was run, so the key may be claimed again.
  NotRun,
  Unknown
};

/// Durable claims for work that must not repeat.
/// @thread loop thread only.
class ClaimService
{
public:
  virtual ~ClaimService() = default;
  /// Claims work before its first byte goes out. @pre ids are not empty.
  virtual void Claim(const ClaimRequest& aRequest,
                     std::function<void(ClaimReply)> aDone) = 0;
  /// Closes a granted claim; aDone hears whether that is durable.
  /// @pre Claim() granted this request.
  virtual void Close(const ClaimRequest& aRequest,
                     ClaimOutcome aOutcome,
                     const StoredAnswer& aAnswer,
                     std::function<void(bool)> aDone) = 0;
};

} // namespace celeryspread
