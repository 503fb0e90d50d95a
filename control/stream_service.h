#pragma once

#include "control/replica_host.h"
#include "fleet/engine_directory.h"
#include "fleet/version_admission.h"
#include "streams/stream_versions.h"
#include "telemetry/event_log.h"
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
  StreamService(const Clock& aClock, ReplicaHost& aHost, EventLog& aLog);

  /// Begins a term as owner of the engines. @pre none.
  void Begin();
  /// Proposes what the platform's list adds to the recorded versions.
  /// @pre this instance owns the engines; called several times a second.
  void Tick(const VersionAdmission& aListed);
  /// Returns whether the followers of a directory have to report where streams
  /// begin. This instance's replica may be behind a directory that it got from
  /// the owner.
  /// @pre aDirectory may be null.
  [[nodiscard]] bool HasSeveralVersions(const EngineDirectory* aDirectory);
  /// Takes a report. @pre none. @error throws if it is malformed.
  void Record(wire::StreamReport::Reader aReport);
  /// Tells where a stream of a pool began. @pre none.
  void Find(const PoolId& aPool,
            StreamKey aStream,
            wire::StreamAnswer::Builder aOut) const;

private:
  const Clock& m_clock;
  ReplicaHost& m_host;
  EventLog& m_log;
  VersionCensus m_census;
  StreamVersions m_streams;
  TimePoint m_censusDue;
  /// Version of the list that the census has seen.
  uint64_t m_seenList = 0;
  /// Version of the directory of which m_servesSeveral says whether it shows
  /// several versions of a pool.
  std::optional<uint64_t> m_servedVersion;
  bool m_servesSeveral = false;
};

} // namespace celeryspread
