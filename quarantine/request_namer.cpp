#include "quarantine/request_namer.h"

#include <array>

#include <sodium.h>

namespace celeryspread {

namespace {

/// Ids of prompt parts hold no colon: it separates them from their sizes.
constexpr std::string_view kPrefix = "request:";
constexpr size_t kDigestBytes = 16;

void AddField(crypto_generichash_state& aState, std::string_view aField)
{
  // The length keeps fields apart.
  const uint64_t length = aField.size();
  crypto_generichash_update(
    &aState, reinterpret_cast<const unsigned char*>(&length), sizeof(length));
  crypto_generichash_update(
    &aState,
    reinterpret_cast<const unsigned char*>(aField.data()),
    aField.size());
}

} // namespace

RequestNamer::RequestNamer(std::string_view aKey)
  : m_key(crypto_generichash_KEYBYTES, '\0')
{
  crypto_generichash(reinterpret_cast<unsigned char*>(m_key.data()),
                     m_key.size(),
                     reinterpret_cast<const unsigned char*>(aKey.data()),
                     aKey.size(),
                     nullptr,
                     0);
}

PromptPartId RequestNamer::Name(const RequestIdentity& aRequest) const
{
  crypto_generichash_state state;
  crypto_generichash_init(&state,
                          reinterpret_cast<const unsigned char*>(m_key.data()),
                          m_key.size(),
                          kDigestBytes);
  for (const std::string_view field : { aRequest.m_method,
                                        aRequest.m_host,
                                        aRequest.m_target,
                                        aRequest.m_callerKey,
                                        aRequest.m_body }) {
    AddField(state, field);
  }
  std::array<unsigned char, kDigestBytes> digest{};
  crypto_generichash_final(&state, digest.data(), digest.size());
  std::array<char, 2 * kDigestBytes + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
  return PromptPartId(std::string(kPrefix) + hex.data());
}

bool RequestNamer::IsRequest(const PromptPartId& aId)
{
  return aId.Value().starts_with(kPrefix);
}

} // namespace celeryspread
