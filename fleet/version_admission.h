#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "fleet/version_census.h"
#include "routes/engine_record.h"

namespace celeryspread {

/// Keeps engines of the platform's list out of use until their software version
/// is in the replicated record of their pool. A stream can then begin only at a
/// version that every owner knows of, so that "the pool has one version" is
/// true of all streams that began before the answer.
/// @thread loop thread only.
class VersionAdmission
{
public:
  /// Returns whether a version is in the record of a pool.
  using IsRecorded = std::function<bool(const PoolId&, const SoftwareVersion&)>;

  /// Starts without a list. @pre aIsRecorded is not empty.
  explicit VersionAdmission(IsRecorded aIsRecorded);

  /// Forgets the list. @pre none.
  void Clear();
  /// Takes the engines that have to wait out of a new list. @pre aList holds
  /// all engines.
  void Filter(std::vector<EngineRecord>& aList);
  /// Returns true once after the versions that engines of a pool wait for have
  /// been recorded, so that the list should be read again. @pre none.
  [[nodiscard]] bool TakeAdmitted();
  /// Returns the versions of the last list, those that wait included.
  /// @pre none.
  [[nodiscard]] const PoolVersions& Listed() const { return m_listed; }
  /// Returns a number that grows when Listed() changes; 0 before the first
  /// list. @pre none.
  [[nodiscard]] uint64_t ListedVersion() const { return m_listedVersion; }

private:
  IsRecorded m_isRecorded;
  PoolVersions m_listed;
  PoolVersions m_waiting;
  uint64_t m_listedVersion = 0;
};

} // namespace celeryspread
