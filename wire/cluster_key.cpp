#include "wire/cluster_key.h"

#include <array>

#include <sodium.h>

namespace celeryspread {

namespace {

constexpr size_t kNonceBytes = 32;
constexpr size_t kProofBytes = 32;

using Digest = std::array<unsigned char, kProofBytes>;

Digest Hash(std::string_view aBytes,
            const unsigned char* aKey,
            size_t aKeyLength)
{
  Digest digest{};
  crypto_generichash(digest.data(),
                     digest.size(),
                     reinterpret_cast<const unsigned char*>(aBytes.data()),
                     aBytes.size(),
                     aKey,
                     aKeyLength);
  return digest;
}

} // namespace

std::string ClusterKey::MakeProof(std::string_view aNonce) const
{
  // The secret may be longer than the key length that the hash accepts, so it
  // is hashed first.
  const Digest key = Hash(m_secret, nullptr, 0);
  const Digest proof = Hash(aNonce, key.data(), key.size());
  return { reinterpret_cast<const char*>(proof.data()), proof.size() };
}

bool ClusterKey::IsValidProof(std::string_view aNonce,
                              std::string_view aProof) const
{
  const std::string expected = MakeProof(aNonce);
  return aProof.size() == expected.size() &&
         sodium_memcmp(aProof.data(), expected.data(), expected.size()) == 0;
}

std::string ClusterKey::MakeNonce()
{
  std::string nonce(kNonceBytes, '\0');
  randombytes_buf(nonce.data(), nonce.size());
  return nonce;
}

} // namespace celeryspread
