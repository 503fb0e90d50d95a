#pragma once

#include "routes/call_demand.h"
#include "wire/celeryspread.capnp.h"

namespace celeryspread {

/// Writes demand into a follow request. @pre none. @thread any.
void WriteDemand(const DemandReport& aReport,
                 wire::FollowRequest::Builder aOut);

/// Reads the demand of a follow request. @pre none. @thread any.
DemandReport ReadDemand(wire::FollowRequest::Reader aIn);

} // namespace celeryspread
