#include "ledger/claim_ledger.h"

namespace celeryspread {

namespace {

/// An expired key is refused for this many retentions before it is forgotten.
constexpr int kExpiredRetentions = 10;
/// Claims expired by one command, to bound the time of a command.
constexpr int kMaxExpiredPerCommand = 100;

} // namespace

void ClaimLedger::Schedule(const Key& aKey, const ClaimRecord& aRecord)
{
  m_expiry.emplace(aRecord.m_expiresAt, aKey);
}

void ClaimLedger::ExpireKey(const Key& aKey, Duration aNow)
{
  auto found = m_claims.find(aKey);
  while (found != m_claims.end() && found->second.m_expiresAt <= aNow) {
    ClaimRecord& record = found->second;
    const bool isForgotten = record.m_state == ClaimState::Expired ||
                             record.m_state == ClaimState::NotRun;
    if (isForgotten) {
      m_claims.erase(found);
      return;
    }
    record.m_state = ClaimState::Expired;
    record.m_answer = StoredAnswer();
    // Counted from its own end and not from now: replicas may get here at
    // different commands.
    record.m_expiresAt += record.m_request.m_retention * kExpiredRetentions;
    Schedule(aKey, record);
  }
}

void ClaimLedger::Expire(const Key& aKey, Duration aNow)
{
  // The key that is asked for is always brought up to date, so an answer never
  // depends on how far the sweep of the others has come.
  ExpireKey(aKey, aNow);
  for (int i = 0; i < kMaxExpiredPerCommand && !m_expiry.empty(); ++i) {
    const auto due = m_expiry.begin();
    if (due->first > aNow) {
      return;
    }
    const Key key = due->second;
    m_expiry.erase(due);
    ExpireKey(key, aNow);
  }
}

void ClaimLedger::Open(const Key& aKey,
                       const ClaimRequest& aRequest,
                       Duration aNow)
{
  ClaimRecord record;
  record.m_request = aRequest;
  record.m_expiresAt = aNow + aRequest.m_retention;
  Schedule(aKey, record);
  m_claims[aKey] = std::move(record);
}

ClaimReply ClaimLedger::Claim(const ClaimRequest& aRequest, Duration aNow)
{
  const Key key{ aRequest.m_service, aRequest.m_key };
  Expire(key, aNow);
  const auto found = m_claims.find(key);
  if (found == m_claims.end()) {
    Open(key, aRequest, aNow);
    return { ClaimVerdict::Granted, {} };
  }
  const ClaimRecord& record = found->second;
  const bool isOwn = record.m_request.m_attemptId == aRequest.m_attemptId;
  if (record.m_state == ClaimState::Expired) {
    return { ClaimVerdict::Expired, {} };
  }
  if (record.m_request.m_bodyHash != aRequest.m_bodyHash) {
    return { ClaimVerdict::Conflict, {} };
  }
  switch (record.m_state) {
    case ClaimState::Answered:
      return { ClaimVerdict::Answered, record.m_answer };
    case ClaimState::NotRun:
      // The attempt gave up before this late copy of its claim arrived.
      if (isOwn) {
        return { ClaimVerdict::Unavailable, {} };
      }
      Open(key, aRequest, aNow);
      return { ClaimVerdict::Granted, {} };
    case ClaimState::Open:
      return { isOwn ? ClaimVerdict::Granted : ClaimVerdict::Unknown, {} };
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
  Expire(key, aNow);
  if (!m_claims.contains(key) && aOutcome == ClaimOutcome::NotRun) {
    // Remembered so that a claim which arrives after its own end stays dead.
    Open(key, aRequest, aNow);
  }
  const auto found = m_claims.find(key);
  if (found == m_claims.end()) {
    return;
  }
  ClaimRecord& record = found->second;
  const bool isHeld = record.m_state == ClaimState::Open &&
                      record.m_request.m_attemptId == aRequest.m_attemptId;
  if (!isHeld) {
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
  Expire(key, aNow);
  const auto found = m_claims.find(key);
  if (found == m_claims.end()) {
    return false;
  }
  ClaimRecord& record = found->second;
  const bool isOpenEnded =
    record.m_state == ClaimState::Unknown || record.m_state == ClaimState::Open;
  if (!isOpenEnded) {
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
  m_expiry.clear();
  for (ClaimRecord& record : aRecords) {
    const Key key{ record.m_request.m_service, record.m_request.m_key };
    Schedule(key, record);
    m_claims.emplace(key, std::move(record));
  }
}

} // namespace celeryspread
