#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace celeryspread {

/// Severity of an event.
enum class EventLevel
{
  Info,
  Warning,
  Error
};

/// Number of an event. A number is never reused, also after its event is gone.
enum class EventId : uint16_t
{
  Started = 100,
  Listening = 101,
  DrainStarted = 102,
  Stopped = 103,
  SettingsRefused = 104,
  ListenFailed = 105,
  SettingsReloaded = 106,
  LogLinesDropped = 107,
  LoopTurnLong = 108,
  ConfigInForce = 200,
  ConfigRefused = 201,
  ControlLinkUp = 202,
  ControlLinkLost = 203,
  RoutesInForce = 206,
  RoutesRefused = 207,
  DirectoryFollowed = 208,
  FollowFailed = 209,
  DirectoryOutdated = 210,
  RoutesOutdated = 211,
  ReplicaRoutesOutdated = 212,
  RoutesReceived = 213,
  UpstreamEjected = 300,
  UpstreamReturned = 301,
  UpstreamLeaving = 302,
  UpstreamReportLost = 303,
  PlatformListLost = 304,
  EngineSeen = 305,
  EngineGone = 306,
  PlatformEntryUnreadable = 307,
  EngineReachability = 308,
  EngineEnded = 309,
  EngineLimited = 310,
  PoolReach = 311,
  CallFailed = 400,
  StreamBroken = 401,
  CallRefused = 402,
  CallEnded = 403,
  PartHeld = 404,
  PartReleased = 405,
  PartTrial = 406,
  ClientLimited = 407,
  BecameLeader = 500,
  LostLeadership = 501,
  LogTailCut = 502,
  LogCorrupt = 503,
  StorageFailed = 504,
  ReplicaNotVoting = 505,
  ReplicaJoined = 506,
  ReplicaRemoved = 507,
  ElectionStalled = 508,
  JoinPending = 509,
  ReplicaSetDegraded = 510,
  StorageRecovered = 511,
  SnapshotPostponed = 512,
  OrderSent = 600,
  OrderFailed = 601,
  PlacementRefused = 602,
  PlacementPlanned = 603,
  PoolVersionsProposed = 604,
  ClaimSettled = 700,
  AdminRefused = 701
};

/// One row of the catalogue; a test checks docs/EVENTS.md against these rows.
struct EventSpec
{
  EventId m_id;
  EventLevel m_level;
  std::string_view m_name;
  std::string_view m_description;
};

/// Returns the name of a level as it is logged. @pre none. @thread any.
const char* LevelName(EventLevel aLevel);

/// Returns all events, ordered by number. @pre none. @thread any.
std::span<const EventSpec> AllEventSpecs();

/// Returns the catalogue row of aId. @pre aId is in the catalogue. @thread any.
const EventSpec& SpecOf(EventId aId);

} // namespace celeryspread
