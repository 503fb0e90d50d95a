#pragma once

#include "control/replica_host.h"
#include "fleet/engine_directory.h"
#include "fleet/version_census.h"
#include "streams/stream_versions.h"
#include "wire/celeryspread.capnp.h"

namespace celeryspread {

/// Knows where the streams of all entries began, so that they can go on at the
/// same software after the loss of any number of entries.
///
/// Entries report streams to two control instances each while several software
/// versions serve a pool. The versions themselves are recorded in the
/// replicated state: if a pool has had only one of them, all its streams began
/// there, whatever was lost.
/// @thread loop thread only.
class StreamService
{
public:
  /// Streams that an instance remembers; more than a region's entries begin in
  /// kStreamMemory at the size to design for.
  static constexpr size_t kMaxStreams = 3'000'000;

  /// Creates the service of an instance. @pre all arguments outlive it.
  StreamService(const Clock& aClock, ReplicaHost& aHost);

  /// Begins a term as owner of the engines. @pre none.
  void Begin();
  /// Proposes what the owner's directory adds to the recorded versions.
  /// @pre this instance owns the engines; called several times a second.
  void Tick(const EngineDirectory& aDirectory);
  /// Returns whether entries have to report where streams begin. @pre none.
  [[nodiscard]] bool HasSeveralVersions() const;
  /// Takes a report. @pre none. @error throws if it is malformed.
  void Record(wire::StreamReport::Reader aReport);
  /// Tells where a stream of a pool began. @pre none.
  void Find(const PoolId& aPool,
            StreamKey aStream,
            wire::StreamAnswer::Builder aOut) const;

private:
  const Clock& m_clock;
  ReplicaHost& m_host;
  VersionCensus m_census;
  StreamVersions m_streams;
  TimePoint m_censusDue;
  /// Version of the directory that the census has seen.
  uint64_t m_seenDirectory = 0;
};

} // namespace celeryspread
