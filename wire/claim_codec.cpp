#include "wire/claim_codec.h"

#include "wire/message_bytes.h"

namespace celeryspread {

void WriteClaimRequest(const ClaimRequest& aRequest,
                       wire::ClaimRequest::Builder aOut)
{
  aOut.setService(aRequest.m_service.Value());
  aOut.setKey(aRequest.m_key.Value());
  aOut.setBodyHash(aRequest.m_requestHash);
  aOut.setAttemptId(aRequest.m_attemptId);
  aOut.setRetentionMicros(aRequest.m_retention.count());
}

ClaimRequest ReadClaimRequest(wire::ClaimRequest::Reader aIn)
{
  return { ServiceId(TextOf(aIn.getService())),
           ClaimKey(TextOf(aIn.getKey())),
           aIn.getBodyHash(),
           TextOf(aIn.getAttemptId()),
           Duration(aIn.getRetentionMicros()) };
}

void WriteStoredAnswer(const StoredAnswer& aAnswer,
                       wire::StoredAnswer::Builder aOut)
{
  aOut.setStatus(static_cast<uint16_t>(aAnswer.m_status));
  aOut.setContentType(aAnswer.m_contentType);
  aOut.setBody(DataOf(aAnswer.m_body));
}

StoredAnswer ReadStoredAnswer(wire::StoredAnswer::Reader aIn)
{
  return { aIn.getStatus(),
           TextOf(aIn.getContentType()),
           BytesOf(aIn.getBody()) };
}

ClaimOutcome ReadClaimOutcome(uint8_t aValue)
{
  const auto outcome = static_cast<ClaimOutcome>(aValue);
  const bool isKnown =
    outcome == ClaimOutcome::Answered || outcome == ClaimOutcome::NotRun;
  return isKnown ? outcome : ClaimOutcome::Unknown;
}

} // namespace celeryspread
