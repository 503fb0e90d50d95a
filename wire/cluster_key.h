#pragma once

#include <string>
#include <string_view>

namespace celeryspread {

/// Key of a deployment whose platform hands out no secret. It keeps links of
/// other clusters out by mistake, not by intent; see docs/design/platform.md.
constexpr const char* kDeploymentKey = "celeryspread inner protocol";

/// Secret shared by all processes of one cluster.
/// @thread immutable, safe to share.
class ClusterKey
{
public:
  /// Wraps the secret. @pre aSecret has at least 16 bytes.
  explicit ClusterKey(std::string aSecret)
    : m_secret(std::move(aSecret))
  {
  }
  /// Returns the proof of knowing the key for one nonce. @pre none.
  [[nodiscard]] std::string Prove(std::string_view aNonce) const;
  /// Checks a proof in constant time. @pre none.
  [[nodiscard]] bool IsProof(std::string_view aNonce,
                             std::string_view aProof) const;
  /// Returns a fresh random nonce. @pre none.
  [[nodiscard]] static std::string MakeNonce();

private:
  std::string m_secret;
};

} // namespace celeryspread
