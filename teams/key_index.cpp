#include "teams/key_index.h"

#include <cstring>

#include <sodium.h>

namespace celeryspread {

KeyHasher::KeyHasher()
{
  randombytes_buf(m_secret.data(), m_secret.size());
}

KeyDigest KeyHasher::Digest(std::string_view aKey) const
{
  KeyDigest digest;
  crypto_generichash(digest.m_bytes.data(),
                     digest.m_bytes.size(),
                     reinterpret_cast<const unsigned char*>(aKey.data()),
                     aKey.size(),
                     m_secret.data(),
                     m_secret.size());
  return digest;
}

size_t KeyIndex::DigestHash::operator()(const KeyDigest& aDigest) const
{
  // The bytes of a digest are evenly spread already.
  size_t hash = 0;
  std::memcpy(&hash, aDigest.m_bytes.data(), sizeof(hash));
  return hash;
}

KeyIndex::KeyIndex(const KeyHasher& aHasher, const std::vector<Team>& aTeams)
{
  for (const Team& team : aTeams) {
    for (const std::string& key : team.m_keys) {
      m_teams.emplace(aHasher.Digest(key), &team);
    }
  }
}

const Team* KeyIndex::Find(const KeyDigest& aDigest) const
{
  const auto found = m_teams.find(aDigest);
  return found == m_teams.end() ? nullptr : found->second;
}

} // namespace celeryspread
