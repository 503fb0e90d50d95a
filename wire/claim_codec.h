#pragma once

#include "ledger/claim_service.h"
#include "wire/celeryspread.capnp.h"

namespace celeryspread {

/// Fills a wire claim request. @pre none. @thread any.
void WriteClaimRequest(const ClaimRequest& aRequest,
                       wire::ClaimRequest::Builder aOut);
/// Reads a wire claim request. @pre none. @thread any.
ClaimRequest ReadClaimRequest(wire::ClaimRequest::Reader aIn);
/// Fills a wire stored response. @pre none. @thread any.
void WriteStoredAnswer(const StoredAnswer& aAnswer,
                       wire::StoredAnswer::Builder aOut);
/// Reads a wire stored response. @pre none. @thread any.
StoredAnswer ReadStoredAnswer(wire::StoredAnswer::Reader aIn);
/// Reads a claim outcome; a value without a meaning here is read as Unknown.
/// @pre none. @thread any.
ClaimOutcome ReadClaimOutcome(uint8_t aValue);

} // namespace celeryspread
