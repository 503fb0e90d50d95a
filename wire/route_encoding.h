#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace celeryspread {

/// Compresses a route document for transport. A document that differs little
/// from aBase, which the receiver has, takes up little more than what differs.
/// The result is the same on every instance. @pre none; aBase is empty for
/// none. @thread any.
std::string EncodeRoutes(std::string_view aDocument, std::string_view aBase);

/// Restores a document that EncodeRoutes() compressed. @pre none. @thread any.
/// @error empty if aBase is another one than it was compressed against, the
/// bytes are damaged, or the document is larger than aMaxBytes.
std::optional<std::string> DecodeRoutes(std::string_view aBytes,
                                        std::string_view aBase,
                                        uint64_t aMaxBytes);

} // namespace celeryspread
