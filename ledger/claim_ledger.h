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
  /// Proved not run; another attempt may claim the key.
  NotRun,
  /// Past its retention; refused for good.
  Expired
};

/// One claim as stored.
struct ClaimRecord
{
  ClaimRequest m_request;
  ClaimState m_state = ClaimState::Open;
  StoredAnswer m_answer;
  /// Wall time at which the outcome is forgotten.
  Duration m_expiresAt{};
  OperatorId m_settledBy;
  std::string m_settledReason;
};

/// What an operator found out about a claim with unknown outcome.
struct ClaimSettlement
{
  ServiceId m_service;
  ClaimKey m_key;
  OperatorId m_operator;
  std::string m_reason;
  bool m_hasRun = true;
};

/// Deterministic state of all claims; every replica applies the same commands
/// in the same order.
/// @thread loop thread only.
class ClaimLedger
{
public:
  /// Claims a key. @pre aNow is the command's wall time.
  ClaimReply Claim(const ClaimRequest& aRequest, Duration aNow);
  /// Closes a claim; only the attempt that holds it can. @pre as above.
  void Close(const ClaimRequest& aRequest,
             ClaimOutcome aOutcome,
             const StoredAnswer& aAnswer,
             Duration aNow);
  /// Settles a claim whose outcome is not known. @pre as above.
  /// @error false when there is no such claim.
  bool Settle(const ClaimSettlement& aSettlement, Duration aNow);
  /// Returns every claim, for snapshots and lists. @pre none.
  [[nodiscard]] std::vector<ClaimRecord> Records() const;
  /// Replaces the state by that of a snapshot. @pre none.
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

  void ExpireKey(const Key& aKey, Duration aNow);
  void Expire(const Key& aKey, Duration aNow);
  void Open(const Key& aKey, const ClaimRequest& aRequest, Duration aNow);
  void Schedule(const Key& aKey, const ClaimRecord& aRecord);

  std::map<Key, ClaimRecord> m_claims;
  std::multimap<Duration, Key> m_expiry;
};

} // namespace celeryspread
