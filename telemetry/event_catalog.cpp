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
    "A graceful shutdown began; calls in progress are finished first." },
  { EventId::Stopped,
    EventLevel::Info,
    "stopped",
    "The process ended after its last call." },
  { EventId::SettingsRefused,
    EventLevel::Error,
    "settings_refused",
    "The process settings are wrong; the process does not start." },
  { EventId::ListenFailed,
    EventLevel::Error,
    "listen_failed",
    "The address can't be bound." },
  { EventId::SettingsReloaded,
    EventLevel::Info,
    "settings_reloaded",
    "The process settings were read again; seeds take effect." },
  { EventId::LogLinesDropped,
    EventLevel::Warning,
    "log_lines_dropped",
    "Lines were left out because of the rate or a full pipe." },
  { EventId::ConfigInForce,
    EventLevel::Info,
    "config_in_force",
    "A revision of the settings tree is in force at this instance." },
  { EventId::ConfigRefused,
    EventLevel::Error,
    "config_refused",
    "A revision could not be read; the earlier one stays in force." },
  { EventId::ControlLinkUp,
    EventLevel::Info,
    "control_link_up",
    "A link to a control instance works." },
  { EventId::ControlLinkLost,
    EventLevel::Warning,
    "control_link_lost",
    "A link to a control instance failed or fell silent; it is replaced." },
  { EventId::RoutesInForce,
    EventLevel::Info,
    "routes_in_force",
    "A version of the route configuration is in force at this instance." },
  { EventId::RoutesRefused,
    EventLevel::Warning,
    "routes_refused",
    "A route configuration was refused with the named reason." },
  { EventId::DirectoryFollowed,
    EventLevel::Info,
    "directory_followed",
    "This entry follows the engine directory of the named leader." },
  { EventId::UpstreamEjected,
    EventLevel::Warning,
    "upstream_ejected",
    "An upstream failed repeatedly and gets no new work for a while." },
  { EventId::UpstreamReturned,
    EventLevel::Info,
    "upstream_returned",
    "An ejected upstream answered again." },
  { EventId::UpstreamLeaving,
    EventLevel::Info,
    "upstream_leaving",
    "An upstream is leaving and gets no new work." },
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
    "Entries of the platform's list could not be read and were left out." },
  { EventId::CallFailed,
    EventLevel::Warning,
    "call_failed",
    "A call was answered with an error after it had reached an upstream." },
  { EventId::StreamBroken,
    EventLevel::Warning,
    "stream_broken",
    "A streamed answer ended early and the caller was told." },
  { EventId::CallRefused,
    EventLevel::Warning,
    "call_refused",
    "A call was refused; it has not run and never will." },
  { EventId::CallEnded,
    EventLevel::Info,
    "call_ended",
    "A call was answered; shows the attempts and what decided them. Sampled under load unless it failed." },
  { EventId::BecameLeader,
    EventLevel::Info,
    "became_leader",
    "This control instance leads the log." },
  { EventId::LostLeadership,
    EventLevel::Warning,
    "lost_leadership",
    "This control instance stepped down." },
  { EventId::LogTailCut,
    EventLevel::Warning,
    "log_tail_cut",
    "An incomplete last record of the log was cut off at start." },
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
    "A replica was taken out of the replica set for good." },
  { EventId::ElectionStalled,
    EventLevel::Warning,
    "election_stalled",
    "This replica asks for votes in vain; the detail names who answered." },
  { EventId::OrderSent,
    EventLevel::Info,
    "order_sent",
    "An order was sent to an engine." },
  { EventId::OrderFailed,
    EventLevel::Warning,
    "order_failed",
    "An engine did not confirm an order in time." },
  { EventId::PlacementRefused,
    EventLevel::Warning,
    "placement_refused",
    "A model or adapter has no room on any engine." },
  { EventId::PlacementPlanned,
    EventLevel::Info,
    "placement_planned",
    "A model is to be loaded or unloaded for the demand that is named." },
  { EventId::ClaimSettled,
    EventLevel::Info,
    "claim_settled",
    "An operator settled a claim whose outcome was unknown." },
  { EventId::AdminRefused,
    EventLevel::Warning,
    "admin_refused",
    "An admin request had no valid key or lacked the role." },
};
// clang-format on

} // namespace

const char* LevelWord(EventLevel aLevel)
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
