#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include "routes/route_config.h"
#include "teams/config_proof.h"
#include "teams/key_index.h"

namespace celeryspread {

/// Which team a call belongs to, and how it showed that.
struct CallerIdentity
{
  /// Null if the caller's team is not known.
  const Team* m_team = nullptr;
  /// Set if the call may only run while its key is in force.
  std::optional<KeyDigest> m_requiredKey;
};

/// Decides whether a call may run for the key that its caller sent.
/// @thread loop thread only.
class AccessControl
{
public:
  struct Options
  {
    /// Whether calls with keys are refused once the configuration can't be
    /// proved to be newer than m_maxProofAge.
    bool m_failsClosed = false;
    Duration m_maxProofAge = std::chrono::seconds(5);
  };
  /// A caller may return after this time; a change of the owner takes about as
  /// long.
  static constexpr Duration kUnprovenRetryAfter = std::chrono::seconds(1);

  enum class Verdict
  {
    Allowed,
    /// The configuration may be outdated, so neither answer would be certain.
    Unproven,
    /// The key is unknown or missing.
    Denied
  };

  /// Starts without a configuration. @pre none.
  explicit AccessControl(Options aOptions);

  /// Applies a configuration. @pre not null.
  void SetConfig(std::shared_ptr<const RouteConfig> aConfig);
  /// Records that aVersion was the newest committed version at aProvenAt.
  /// @pre none.
  void RecordProof(Revision aVersion, TimePoint aProvenAt)
  {
    m_proof.Record(aVersion, aProvenAt);
  }
  /// Checks a call that has arrived and identifies its team. The team stays
  /// valid as long as the configuration. @pre SetConfig() was called with the
  /// configuration that aRoute belongs to.
  Verdict Identify(const Route& aRoute,
                   std::optional<std::string_view> aKey,
                   TimePoint aNow,
                   CallerIdentity& aIdentity) const;
  /// Checks whether an identified call may still be sent to an upstream.
  /// @pre none.
  [[nodiscard]] Verdict Recheck(const CallerIdentity& aIdentity,
                                TimePoint aNow) const;
  /// Returns the time for which the configuration is not proved to be the
  /// newest; empty if it never was. @pre none.
  [[nodiscard]] std::optional<Duration> ProofAge(TimePoint aNow) const;
  /// Returns whether a newer configuration is known to be committed and this
  /// one was last proved to be the newest longer ago than aMaxAge. @pre none.
  [[nodiscard]] bool IsOutdated(Duration aMaxAge, TimePoint aNow) const;

private:
  [[nodiscard]] bool IsProven(TimePoint aNow) const;

  Options m_options;
  KeyHasher m_hasher;
  ConfigProof m_proof;
  std::shared_ptr<const RouteConfig> m_config;
  std::unique_ptr<const KeyIndex> m_keys;
};

} // namespace celeryspread
