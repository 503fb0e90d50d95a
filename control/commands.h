#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "core/clock.h"
#include "ledger/claim_ledger.h"

namespace celeryspread {

/// An operator's change of the settings tree, as a JSON merge patch. It is
/// accepted only while the tree is at the expected revision.
struct SettingsChange
{
  ChangeId m_changeId;
  OperatorId m_operator;
  Revision m_expectedRevision;
  std::string m_patch;
};

/// Closes a claim with the outcome of its call.
struct CloseClaim
{
  ClaimRequest m_request;
  ClaimOutcome m_outcome = ClaimOutcome::Unknown;
  StoredAnswer m_answer;
};

/// Replaces the whole route configuration; the highest version is in force.
struct RouteChange
{
  Revision m_version;
  std::string m_document;

  /// Compares all fields. @pre none. @thread any.
  bool operator==(const RouteChange&) const = default;
};

/// Replaces the software versions that are recorded for a pool.
struct PoolVersionsChange
{
  PoolId m_pool;
  std::set<SoftwareVersion> m_versions;
};

/// One command of the replicated log.
struct Command
{
  /// Wall time of the leader when it proposed the command. Replicas use it
  /// instead of their own clocks, so that all compute the same state.
  Duration m_now{};
  std::variant<SettingsChange,
               ClaimRequest,
               CloseClaim,
               ClaimSettlement,
               RouteChange,
               PoolVersionsChange>
    m_body;
};

/// Encodes a command. @pre none. @thread any.
std::string EncodeCommand(const Command& aCommand);
/// Decodes a command. @pre none. @thread any. @error empty when malformed.
std::optional<Command> DecodeCommand(std::string_view aBytes);

} // namespace celeryspread
