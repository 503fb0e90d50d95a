#pragma once

#include <list>
#include <map>
#include <memory>

#include "control/replica_host.h"
#include "fleet/fleet_owner.h"
#include "wire/celeryspread.capnp.h"
#include "wire/loop_port.h"

namespace celeryspread {

/// Answers entries that follow routes and engines, and starts and stops the
/// fleet owner with this instance's leadership.
/// @thread loop thread only.
class FleetService
{
public:
  /// What the service works with; all references outlive it.
  struct Parts
  {
    LoopPort& m_port;
    const Clock& m_clock;
    ReplicaHost& m_host;
    FleetOwner& m_owner;
    RouteDocumentReader& m_reader;
    EventLog& m_log;
  };

  /// Prepares the service. @pre none.
  explicit FleetService(Parts aParts);

  /// Lets time pass. @pre called several times a second.
  void Tick();
  /// Answers a follow call, at once with news, else after a while.
  /// @pre the reply is valid until the promise is done.
  kj::Promise<void> Follow(
    wire::FollowRequest::Reader aRequest,
    const std::function<wire::FollowReply::Builder()>& aReply);
  /// Answers an adapter request. @pre none.
  kj::Promise<std::string> LoadAdapter(wire::AdapterRequest::Reader aRequest);

private:
  struct Waiter
  {
    Revision m_routeVersion;
    uint64_t m_epoch = 0;
    uint64_t m_directoryVersion = 0;
    kj::Own<kj::PromiseFulfiller<void>> m_fulfiller;
  };

  void TakeRoutes();
  void NoteLeadership();
  [[nodiscard]] bool IsNews(Revision aRoutes,
                            uint64_t aEpoch,
                            uint64_t aDirectory) const;
  void WakeWaiters();
  void WriteReply(Revision aRoutes,
                  uint64_t aEpoch,
                  uint64_t aDirectory,
                  wire::FollowReply::Builder aOut);
  void WriteEngines(bool aIsWhole,
                    uint64_t aKnown,
                    wire::FollowReply::Builder aOut) const;
  void WriteControls(wire::FollowReply::Builder aOut) const;
  [[nodiscard]] uint32_t EntryCount(TimePoint aNow);

  Parts m_parts;
  Revision m_takenRoutes;
  TimePoint m_ownerSince;
  std::map<InstanceId, TimePoint> m_entries;
  std::list<Waiter> m_waiting;
};

} // namespace celeryspread
