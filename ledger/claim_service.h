#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Claim on work that must run at most once. An attempt to claim it stands for
/// one call of a caller at one entry, which may dispatch the work to several
/// upstreams in turn as long as none of them may have run it.
struct ClaimRequest
{
  ServiceId m_service;
  ClaimKey m_key;
  /// Hash of method, path and body. A claim of the same key with another hash
  /// is a conflict.
  uint64_t m_requestHash = 0;
  /// Identifies the attempt, so that a claim that is sent again after its reply
  /// was lost is granted again.
  std::string m_attemptId;
  /// How long the outcome is kept.
  Duration m_retention{};
};

/// Stored answer of finished work.
struct StoredAnswer
{
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
};

/// Result of a claim.
enum class ClaimVerdict
{
  /// The attempt holds the claim and may run the work once.
  Granted,
  /// The work has run; its stored answer is returned.
  Answered,
  /// The work is in progress or its outcome is not known.
  Unknown,
  /// The key was used for another request.
  Conflict,
  /// The key is past its retention period; the work is not run.
  Expired,
  /// The claim was not granted, because no quorum answered in time or the
  /// attempt was closed already; the work must not be sent.
  Unavailable
};

/// Reply to a claim.
struct ClaimReply
{
  ClaimVerdict m_verdict = ClaimVerdict::Unavailable;
  StoredAnswer m_answer;
};

/// Outcome with which a claim is closed.
enum class ClaimOutcome
{
  Answered,
  /// Proven not to have run, so another attempt may claim the key.
  NotRun,
  Unknown
};

/// Durable claims for work that must run at most once.
/// @thread loop thread only.
class ClaimService
{
public:
  virtual ~ClaimService() = default;
  /// Claims work; called before its first byte is sent to an upstream. aDone is
  /// called with the result. @pre the ids are not empty.
  virtual void Claim(const ClaimRequest& aRequest,
                     std::function<void(ClaimReply)> aDone) = 0;
  /// Closes a claim; with NotRun also one that may be granted later because its
  /// reply was lost or late. aDone is called with whether the outcome is
  /// durable.
  /// @pre Claim() was called with this request; it granted the claim unless
  /// aOutcome is NotRun.
  virtual void Close(const ClaimRequest& aRequest,
                     ClaimOutcome aOutcome,
                     const StoredAnswer& aAnswer,
                     std::function<void(bool)> aDone) = 0;
};

} // namespace celeryspread
