#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger/claim_service.h"

namespace celeryspread {

/// State of one claim.
enum class ClaimState
{
  /// Granted; the work may be running.
  Open,
  Answered,
  Unknown,
  /// Proven not to have run; another attempt may claim the key.
  NotRun,
  /// Past its retention period; every claim of the key is refused until the
  /// record is removed.
  Expired
};

/// Stored state of one claim.
struct ClaimRecord
{
  ClaimRequest m_request;
  ClaimState m_state = ClaimState::Open;
  StoredAnswer m_answer;
  /// Wall-clock time at which the claim expires or, once it has expired, at
  /// which the record is removed.
  Duration m_expiresAt{};
  OperatorId m_settledBy;
  std::string m_settledReason;
};

/// An operator's decision on a claim whose outcome is unknown.
struct ClaimSettlement
{
  ServiceId m_service;
  ClaimKey m_key;
  OperatorId m_operator;
  std::string m_reason;
  bool m_hasRun = true;
};

/// State of all claims. It is deterministic: replicas that apply the same
/// commands in the same order reach the same state.
/// @thread loop thread only.
class ClaimLedger
{
public:
  /// Claims a key. @pre aNow is the wall-clock time stored in the command.
  ClaimReply Claim(const ClaimRequest& aRequest, Duration aNow);
  /// Closes a claim. Ignored unless the attempt holds the claim; NotRun for an
  /// unknown key is stored, so that the delayed claim is refused.
  /// @pre as above.
  void Close(const ClaimRequest& aRequest,
             ClaimOutcome aOutcome,
             const StoredAnswer& aAnswer,
             Duration aNow);
  /// Sets the outcome of a claim that is open or unknown. @pre as above.
  /// @error false when there is no such claim.
  bool Settle(const ClaimSettlement& aSettlement, Duration aNow);
  /// Returns every claim, for snapshots and listings. @pre none.
  [[nodiscard]] std::vector<ClaimRecord> Records() const;
  /// Replaces the state by the records of a snapshot. @pre none.
  void Restore(std::vector<ClaimRecord> aRecords);
  /// Returns the number of stored claims. @pre none.
  [[nodiscard]] size_t Size() const { return m_claims.size(); }

private:
  struct Key
  {
    ServiceId m_service;
    ClaimKey m_key;
    auto operator<=>(const Key&) const = default;
  };

  /// Expires the claim of a key or removes its record, if that is due.
  void ExpireKey(const Key& aKey, Duration aNow);
  /// Runs ExpireKey() for aKey and for a bounded number of other due keys.
  void ExpireDueClaims(const Key& aKey, Duration aNow);
  void StartClaim(const Key& aKey, const ClaimRequest& aRequest, Duration aNow);
  void ScheduleExpiry(const Key& aKey, const ClaimRecord& aRecord);

  std::map<Key, ClaimRecord> m_claims;
  /// Keys by expiry time. An entry may be outdated; ExpireKey() checks the
  /// claim itself.
  std::multimap<Duration, Key> m_expiryQueue;
};

} // namespace celeryspread
