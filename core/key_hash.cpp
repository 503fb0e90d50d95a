#include "core/key_hash.h"

#include <array>

#include <sodium.h>
#include <xxhash.h>

namespace celeryspread {

std::string HashKey(std::string_view aKey)
{
  constexpr size_t kHashBytes = 32;
  constexpr size_t kHexChars = kHashBytes * 2 + 1;
  std::array<unsigned char, kHashBytes> hash{};
  crypto_generichash(hash.data(),
                     hash.size(),
                     reinterpret_cast<const unsigned char*>(aKey.data()),
                     aKey.size(),
                     nullptr,
                     0);
  std::array<char, kHexChars> hex{};
  sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
  return std::string(hex.data());
}

bool KeyHashesEqual(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  return sodium_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

uint64_t ContentHash(std::string_view aBytes)
{
  return XXH3_64bits(aBytes.data(), aBytes.size());
}

} // namespace celeryspread
