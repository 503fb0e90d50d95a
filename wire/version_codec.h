#pragma once

#include <set>

#include "core/ids.h"
#include "wire/celeryspread.capnp.h"

namespace celeryspread {

/// Writes the software versions of a pool. @pre none. @thread any.
void WritePoolVersions(const PoolId& aPool,
                       const std::set<SoftwareVersion>& aVersions,
                       wire::PoolVersions::Builder aOut);
/// Reads software versions. @pre none. @thread any.
std::set<SoftwareVersion> ReadVersions(capnp::List<capnp::Text>::Reader aIn);

} // namespace celeryspread
