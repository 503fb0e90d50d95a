#pragma once

#include <string>
#include <string_view>

namespace celeryspread {

/// Returns the BLAKE2b hash, in hex, that is stored in place of a caller's or
/// operator's key. Keys are long random strings, so they need no slow password
/// hash.
/// @pre none. @thread safe from any thread.
std::string HashKey(std::string_view aKey);

/// Compares two stored hashes in constant time.
/// @pre none. @thread safe from any thread.
bool KeyHashesEqual(std::string_view aLeft, std::string_view aRight);

/// Returns a fast 64-bit content hash (XXH3), which is not suitable for
/// secrets.
/// @pre none. @thread safe from any thread.
uint64_t ContentHash(std::string_view aBytes);

} // namespace celeryspread
