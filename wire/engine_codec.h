#pragma once

#include "routes/engine_record.h"
#include "wire/celeryspread.capnp.h"

namespace celeryspread {

/// Fills a wire engine entry. @pre none. @thread any.
void WriteEngine(const EngineRecord& aRecord, wire::EngineEntry::Builder aOut);
/// Reads a wire engine entry. @pre none. @thread any.
EngineRecord ReadEngine(wire::EngineEntry::Reader aIn);

} // namespace celeryspread
