#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace celeryspread {

/// The settings that any level of the tree may override.
enum class SettingKey
{
  RequestDeadlineMs,
  FirstByteTimeoutMs,
  ProgressTimeoutMs,
  MaxBodyBytes,
  StreamBufferBytes,
  MaxAttempts,
  RetryBudgetPercent,
  MaxConcurrentCalls,
  MaxRequestsPerSecond,
  MaxQueuedCalls,
  Worth,
  RemoteDomainPenaltyMs,
  TraceSamplePercent,
  WorkMayRepeat,
  ClaimRetentionMs,
  WeightLoadsPerSecond,
  MaxWeightLoads,
  MaxAdapterLoads,
  Count
};

constexpr size_t kSettingCount = static_cast<size_t>(SettingKey::Count);

/// JSON type of a setting's value.
enum class SettingType
{
  Integer,
  Boolean
};

/// Describes one setting. The settings reference page is generated from these
/// rows.
struct SettingSpec
{
  SettingKey m_key;
  std::string_view m_name;
  SettingType m_type;
  int64_t m_minimum;
  int64_t m_maximum;
  int64_t m_default;
  std::string_view m_description;
};

/// Returns the table of all settings in key order.
/// @pre none. @thread safe from any thread.
const std::array<SettingSpec, kSettingCount>& AllSettingSpecs();

/// Returns the description of aKey. @pre aKey is not Count. @thread any.
const SettingSpec& SpecOf(SettingKey aKey);

/// Finds a setting by its JSON name. @pre none. @thread any.
/// @error empty when no setting has that name.
std::optional<SettingKey> FindSetting(std::string_view aName);

} // namespace celeryspread
