#include "ledger/claim_ledger.h"

namespace celeryspread {

namespace {

/// An expired key is refused for this many retention periods; then its record
/// is removed and the key may be claimed anew.
constexpr int kExpiredRetentionFactor = 10;
/// Largest number of other claims that one command expires; it bounds the run
/// time of a command.
constexpr int kMaxExpiredPerCommand = 100;

} // namespace

void ClaimLedger::ScheduleExpiry(const Key& aKey, const ClaimRecord& aRecord)
{
  m_expiryQueue.emplace(aRecord.m_expiresAt, aKey);
}

void ClaimLedger::ExpireKey(const Key& aKey, Duration aNow)
{
  auto found = m_claims.find(aKey);
  while (found != m_claims.end() && found->second.m_expiresAt <= aNow) {
    ClaimRecord& record = found->second;
    const bool isRemovable = record.m_state == ClaimState::Expired ||
                             record.m_state == ClaimState::NotRun;
    if (isRemovable) {
      m_claims.erase(found);
      return;
    }
    record.m_state = ClaimState::Expired;
    record.m_answer = StoredAnswer();
    // Counted from the previous expiry time and not from aNow, because replicas
    // may expire a claim at different commands and must get the same result.
    record.m_expiresAt +=
      record.m_request.m_retention * kExpiredRetentionFactor;
    ScheduleExpiry(aKey, record);
  }
}

void ClaimLedger::ExpireDueClaims(const Key& aKey, Duration aNow)
{
  // The command's own key is always expired first, so that the reply never
  // depends on how far the bounded sweep below has come.
  ExpireKey(aKey, aNow);
  for (int i = 0; i < kMaxExpiredPerCommand && !m_expiryQueue.empty(); ++i) {
    const auto due = m_expiryQueue.begin();
    if (due->first > aNow) {
      return;
    }
    const Key key = due->second;
    m_expiryQueue.erase(due);
    ExpireKey(key, aNow);
  }
}

void ClaimLedger::StartClaim(const Key& aKey,
                             const ClaimRequest& aRequest,
                             Duration aNow)
{
  ClaimRecord record;
  record.m_request = aRequest;
  record.m_expiresAt = aNow + aRequest.m_retention;
  ScheduleExpiry(aKey, record);
  m_claims[aKey] = std::move(record);
}

ClaimReply ClaimLedger::Claim(const ClaimRequest& aRequest, Duration aNow)
{
  const Key key{ aRequest.m_service, aRequest.m_key };
  ExpireDueClaims(key, aNow);
  const auto found = m_claims.find(key);
  if (found == m_claims.end()) {
    StartClaim(key, aRequest, aNow);
    return { ClaimVerdict::Granted, {} };
  }
  const ClaimRecord& record = found->second;
  const bool isSameAttempt =
    record.m_request.m_attemptId == aRequest.m_attemptId;
  if (record.m_state == ClaimState::Expired) {
    return { ClaimVerdict::Expired, {} };
  }
  if (record.m_request.m_requestHash != aRequest.m_requestHash) {
    return { ClaimVerdict::Conflict, {} };
  }
  switch (record.m_state) {
    case ClaimState::Answered:
      return { ClaimVerdict::Answered, record.m_answer };
    case ClaimState::NotRun:
      // The attempt was closed as not run before its delayed claim arrived, so
      // the claim must not be granted any more.
      if (isSameAttempt) {
        return { ClaimVerdict::Unavailable, {} };
      }
      StartClaim(key, aRequest, aNow);
      return { ClaimVerdict::Granted, {} };
    case ClaimState::Open:
      return { isSameAttempt ? ClaimVerdict::Granted : ClaimVerdict::Unknown,
               {} };
    case ClaimState::Unknown:
    case ClaimState::Expired:
      break;
  }
  return { ClaimVerdict::Unknown, {} };
}

void ClaimLedger::Close(const ClaimRequest& aRequest,
                        ClaimOutcome aOutcome,
                        const StoredAnswer& aAnswer,
                        Duration aNow)
{
  const Key key{ aRequest.m_service, aRequest.m_key };
  ExpireDueClaims(key, aNow);
  if (!m_claims.contains(key) && aOutcome == ClaimOutcome::NotRun) {
    // The attempt's claim may be delayed and arrive later. The record makes
    // sure that it is refused then.
    StartClaim(key, aRequest, aNow);
  }
  const auto found = m_claims.find(key);
  if (found == m_claims.end()) {
    return;
  }
  ClaimRecord& record = found->second;
  const bool isHolder = record.m_state == ClaimState::Open &&
                        record.m_request.m_attemptId == aRequest.m_attemptId;
  if (!isHolder) {
    return;
  }
  switch (aOutcome) {
    case ClaimOutcome::Answered:
      record.m_state = ClaimState::Answered;
      record.m_answer = aAnswer;
      return;
    case ClaimOutcome::NotRun:
      record.m_state = ClaimState::NotRun;
      return;
    case ClaimOutcome::Unknown:
      record.m_state = ClaimState::Unknown;
      return;
  }
}

bool ClaimLedger::Settle(const ClaimSettlement& aSettlement, Duration aNow)
{
  const Key key{ aSettlement.m_service, aSettlement.m_key };
  ExpireDueClaims(key, aNow);
  const auto found = m_claims.find(key);
  if (found == m_claims.end()) {
    return false;
  }
  ClaimRecord& record = found->second;
  const bool isUnresolved =
    record.m_state == ClaimState::Unknown || record.m_state == ClaimState::Open;
  if (!isUnresolved) {
    return false;
  }
  record.m_settledBy = aSettlement.m_operator;
  record.m_settledReason = aSettlement.m_reason;
  if (aSettlement.m_hasRun) {
    constexpr int kOk = 200;
    record.m_state = ClaimState::Answered;
    record.m_answer = { kOk,
                        "application/json",
                        "{\"outcome\":\"settled_as_run\"}" };
  } else {
    record.m_state = ClaimState::NotRun;
  }
  return true;
}

std::vector<ClaimRecord> ClaimLedger::Records() const
{
  std::vector<ClaimRecord> records;
  records.reserve(m_claims.size());
  for (const auto& [key, record] : m_claims) {
    records.push_back(record);
  }
  return records;
}

void ClaimLedger::Restore(std::vector<ClaimRecord> aRecords)
{
  m_claims.clear();
  m_expiryQueue.clear();
  for (ClaimRecord& record : aRecords) {
    const Key key{ record.m_request.m_service, record.m_request.m_key };
    ScheduleExpiry(key, record);
    m_claims.emplace(key, std::move(record));
  }
}

} // namespace celeryspread
