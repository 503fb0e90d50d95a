#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "control/settings_store.h"
#include "fleet/version_census.h"
#include "ledger/claim_ledger.h"

namespace celeryspread {

/// Result of an operator's decision on a claim of unknown outcome.
struct SettleResult
{
  /// False when there is no such claim.
  bool m_isSettled = false;
};

/// Result of closing a claim.
struct CloseResult
{};

/// Result of a route change: the version in force afterwards.
struct RouteResult
{
  Revision m_versionInForce;
};

/// Result of a change of the recorded software versions.
struct PoolVersionsResult
{};

/// Result of an applied command.
using CommandResult = std::variant<ChangeResult,
                                   ClaimReply,
                                   CloseResult,
                                   SettleResult,
                                   RouteResult,
                                   PoolVersionsResult>;

/// The replicated state: settings, claims and the route configuration.
/// @thread loop thread only.
class StateMachine
{
public:
  /// Applies a committed command. @pre aBytes came from EncodeCommand().
  CommandResult Apply(std::string_view aBytes);
  /// Encodes the whole state for a snapshot. @pre none.
  [[nodiscard]] std::string Save() const;
  /// Replaces the whole state by that of a snapshot. @pre none.
  /// @error false when malformed.
  bool Restore(std::string_view aBytes);
  /// Returns the settings. @pre none.
  [[nodiscard]] const SettingsStore& Settings() const { return m_settings; }
  /// Returns the claims. @pre none.
  [[nodiscard]] const ClaimLedger& Claims() const { return m_claims; }
  /// Returns the route configuration in force; version 0 before the first.
  /// @pre none.
  [[nodiscard]] const RouteChange& Routes() const { return m_routes; }
  /// Returns the software versions at which streams of each pool may have
  /// Returns whether a software version is in the record of a pool. @pre none.
  [[nodiscard]] bool HasRecorded(const PoolId& aPool,
                                 const SoftwareVersion& aVersion) const;
  /// begun. @pre none.
  [[nodiscard]] const PoolVersions& RecordedVersions() const
  {
    return m_poolVersions;
  }

private:
  SettingsStore m_settings;
  ClaimLedger m_claims;
  RouteChange m_routes;
  PoolVersions m_poolVersions;
};

} // namespace celeryspread
