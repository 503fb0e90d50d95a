#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routes/route_config.h"

namespace celeryspread {

/// Keyed hash of a caller's key. Without the secret it tells nothing about the
/// key.
struct KeyDigest
{
  static constexpr size_t kBytes = 16;
  std::array<unsigned char, kBytes> m_bytes{};

  /// Compares the digests. @pre none. @thread any.
  bool operator==(const KeyDigest&) const = default;
};

/// Computes digests with a secret of its own, so that nobody outside can choose
/// keys with similar digests.
/// @thread immutable, safe to share.
class KeyHasher
{
public:
  /// Draws a random secret. @pre none.
  KeyHasher();
  /// Returns the digest of a key. @pre none.
  [[nodiscard]] KeyDigest Digest(std::string_view aKey) const;

private:
  static constexpr size_t kSecretBytes = 32;
  std::array<unsigned char, kSecretBytes> m_secret{};
};

/// Finds the team that holds a key by the key's digest. The time of a lookup
/// depends neither on the number of keys nor on how much of a key is right.
/// @thread immutable, safe to share.
class KeyIndex
{
public:
  /// Indexes the keys of all teams. @pre aTeams outlives the index.
  KeyIndex(const KeyHasher& aHasher, const std::vector<Team>& aTeams);

  /// Returns the team that holds a key, null for an unknown one. @pre the
  /// digest is of the same hasher.
  [[nodiscard]] const Team* Find(const KeyDigest& aDigest) const;

private:
  struct DigestHash
  {
    size_t operator()(const KeyDigest& aDigest) const;
  };
  std::unordered_map<KeyDigest, const Team*, DigestHash> m_teams;
};

} // namespace celeryspread
