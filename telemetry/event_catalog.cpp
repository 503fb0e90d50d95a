#include "telemetry/event_catalog.h"

#include <algorithm>

namespace celeryspread {

namespace {

// clang-format off
constexpr EventSpec kSpecs[] = {
  { EventId::Started,
    EventLevel::Info,
    "started",
    "The process started with the named settings." },
  { EventId::Listening,
    EventLevel::Info,
    "listening",
    "The process accepts connections at the named address." },
  { EventId::DrainStarted,
    EventLevel::Info,
    "drain_started",
    "A graceful shutdown began; calls in progress are completed first." },
  { EventId::Stopped,
    EventLevel::Info,
    "stopped",
    "The process ended after its last call." },
  { EventId::SettingsRefused,
    EventLevel::Error,
    "settings_refused",
    "The process settings are invalid. At start, the process exits; on a reload, the previous settings stay in force." },
  { EventId::ListenFailed,
    EventLevel::Error,
    "listen_failed",
    "The address can't be bound." },
  { EventId::SettingsReloaded,
    EventLevel::Info,
    "settings_reloaded",
    "The process settings were reloaded; changed seeds take effect." },
  { EventId::LogLinesDropped,
    EventLevel::Warning,
    "log_lines_dropped",
    "Log lines were dropped because of the rate limit or a full pipe." },
  { EventId::ConfigInForce,
    EventLevel::Info,
    "config_in_force",
    "A revision of the settings tree is in force at this instance." },
  { EventId::ConfigRefused,
    EventLevel::Error,
    "config_refused",
    "A revision of the settings tree could not be read; the previous one stays in force." },
  { EventId::ControlLinkUp,
    EventLevel::Info,
    "control_link_up",
    "A link to a control instance is up." },
  { EventId::ControlLinkLost,
    EventLevel::Warning,
    "control_link_lost",
    "A link to a control instance failed or timed out; it is replaced." },
  { EventId::RoutesInForce,
    EventLevel::Info,
    "routes_in_force",
    "A version of the route configuration is in force at this instance." },
  { EventId::RoutesRefused,
    EventLevel::Warning,
    "routes_refused",
    "A route configuration was rejected for the named reason." },
  { EventId::DirectoryFollowed,
    EventLevel::Info,
    "directory_followed",
    "This entry uses the engine directory of the named leader." },
  { EventId::UpstreamEjected,
    EventLevel::Warning,
    "upstream_ejected",
    "An upstream failed repeatedly and receives no new calls for a while." },
  { EventId::UpstreamReturned,
    EventLevel::Info,
    "upstream_returned",
    "An ejected upstream answered again." },
  { EventId::UpstreamLeaving,
    EventLevel::Info,
    "upstream_leaving",
    "An upstream is leaving and receives no new calls." },
  { EventId::UpstreamReportLost,
    EventLevel::Warning,
    "upstream_report_lost",
    "An upstream's load report could not be read." },
  { EventId::PlatformListLost, EventLevel::Warning, "platform_list_lost",
    "The platform's list of instances could not be read." },
  { EventId::EngineSeen,
    EventLevel::Info,
    "engine_seen",
    "An engine appeared, or returned after a restart." },
  { EventId::EngineGone,
    EventLevel::Info,
    "engine_gone",
    "An engine left the platform's list." },
  { EventId::PlatformEntryUnreadable,
    EventLevel::Warning,
    "platform_entry_unreadable",
    "Entries of the platform's list could not be read and were skipped." },
  { EventId::EngineReachability,
    EventLevel::Warning,
    "engine_reachability",
    "An engine on which calls failed did not answer a check, so its models do "
    "not count, or it answers again." },
  { EventId::CallFailed,
    EventLevel::Warning,
    "call_failed",
    "A call was answered with an error after it had reached an upstream." },
  { EventId::StreamBroken,
    EventLevel::Warning,
    "stream_broken",
    "A streamed answer ended early; the caller received an error event or its connection was aborted." },
  { EventId::CallRefused,
    EventLevel::Warning,
    "call_refused",
    "A call was rejected; it was not executed and never will be." },
  { EventId::CallEnded,
    EventLevel::Info,
    "call_ended",
    "A call ended; lists its attempts and the estimates behind them. Sampled under load unless the call failed." },
  { EventId::BecameLeader,
    EventLevel::Info,
    "became_leader",
    "This control instance became the leader of the replicated log." },
  { EventId::LostLeadership,
    EventLevel::Warning,
    "lost_leadership",
    "This control instance is no longer the leader." },
  { EventId::LogTailCut,
    EventLevel::Warning,
    "log_tail_cut",
    "An incomplete last record of the log was truncated at start." },
  { EventId::LogCorrupt,
    EventLevel::Error,
    "log_corrupt",
    "A record inside the log is damaged; the process does not start." },
  { EventId::StorageFailed,
    EventLevel::Error,
    "storage_failed",
    "A write or sync failed; this instance acknowledges nothing more." },
  { EventId::ReplicaNotVoting,
    EventLevel::Warning,
    "replica_not_voting",
    "This control instance has an empty disk and does not vote yet." },
  { EventId::ReplicaJoined,
    EventLevel::Info,
    "replica_joined",
    "A control instance joins the replica set or becomes a voter." },
  { EventId::ReplicaRemoved,
    EventLevel::Warning,
    "replica_removed",
    "A replica was permanently removed from the replica set." },
  { EventId::ElectionStalled,
    EventLevel::Warning,
    "election_stalled",
    "This replica requests votes but wins no election; the detail lists the voters and counts the votes granted." },
  { EventId::OrderSent,
    EventLevel::Info,
    "order_sent",
    "A load or unload order was sent to an engine." },
  { EventId::OrderFailed,
    EventLevel::Warning,
    "order_failed",
    "An engine did not confirm an order in time." },
  { EventId::PlacementRefused,
    EventLevel::Warning,
    "placement_refused",
    "A model or adapter could not be placed or loaded; the detail names the reason." },
  { EventId::PlacementPlanned,
    EventLevel::Info,
    "placement_planned",
    "A model is to be loaded or unloaded to match the named demand." },
  { EventId::ClaimSettled,
    EventLevel::Info,
    "claim_settled",
    "An operator settled a claim whose outcome was unknown." },
  { EventId::AdminRefused,
    EventLevel::Warning,
    "admin_refused",
    "An admin request had no valid key or its key lacked the required role." },
};
// clang-format on

} // namespace

const char* LevelName(EventLevel aLevel)
{
  switch (aLevel) {
    case EventLevel::Info:
      return "info";
    case EventLevel::Warning:
      return "warning";
    case EventLevel::Error:
      break;
  }
  return "error";
}

std::span<const EventSpec> AllEventSpecs()
{
  return kSpecs;
}

const EventSpec& SpecOf(EventId aId)
{
  return *std::find_if(
    std::begin(kSpecs), std::end(kSpecs), [&](const EventSpec& aSpec) {
      return aSpec.m_id == aId;
    });
}

} // namespace celeryspread
