#pragma once

#include <string>
#include <string_view>

namespace celeryspread {

/// Returns the hex BLAKE2b hash under which a caller or operator key is
/// stored. Keys are long random texts, so no slow password hash is needed.
/// @pre none. @thread safe from any thread.
std::string HashKey(std::string_view aKey);

/// Compares two stored hashes in constant time.
/// @pre none. @thread safe from any thread.
bool KeyHashesEqual(std::string_view aLeft, std::string_view aRight);

/// Returns a fast 64-bit content hash, not fit for secrets.
/// @pre none. @thread safe from any thread.
uint64_t ContentHash(std::string_view aBytes);

} // namespace celeryspread
