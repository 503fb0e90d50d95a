#pragma once

#include <string>
#include <string_view>

namespace celeryspread {

/// Cluster key of a deployment whose platform provides no secret. It prevents
/// accidental connections between clusters, but no attacks; see
/// docs/design/platform.md.
constexpr const char* kDefaultClusterKey = "celeryspread inner protocol";

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
  /// Returns the proof of knowing the key: a keyed hash of a nonce.
  /// @pre none.
  [[nodiscard]] std::string MakeProof(std::string_view aNonce) const;
  /// Checks a proof in constant time. @pre none.
  [[nodiscard]] bool IsValidProof(std::string_view aNonce,
                                  std::string_view aProof) const;
  /// Returns a fresh random nonce. @pre none.
  [[nodiscard]] static std::string MakeNonce();

private:
  std::string m_secret;
};

} // namespace celeryspread
