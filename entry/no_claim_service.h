#pragma once

#include "ledger/claim_service.h"

namespace celeryspread {

/// ClaimService of an entry without control instances: every claim is
/// answered with ClaimVerdict::Unavailable.
/// @thread loop thread only.
class NoClaimService : public ClaimService
{
public:
  void Claim(const ClaimRequest& /*aRequest*/,
             std::function<void(ClaimReply)> aDone) override
  {
    aDone(ClaimReply{});
  }
  void Close(const ClaimRequest& /*aRequest*/,
             ClaimOutcome /*aOutcome*/,
             const StoredAnswer& /*aAnswer*/,
             std::function<void(bool)> aDone) override
  {
    aDone(false);
  }
};

} // namespace celeryspread
