#pragma once

#include <memory>
#include <string>
#include <vector>

#include <capnp/message.h>
#include <gtest/gtest.h>

#include "control/fleet_service.h"
#include "control/peer_links.h"
#include "fleet/fleet_owner.h"
#include "storage/replica_store.h"
#include "tests/support/fake_file_system.h"
#include "tests/support/null_event_log.h"
#include "tests/support/test_loop.h"
#include "wire/message_bytes.h"
#include "wire/peer_codec.h"
#include "wire/wire_server.h"

namespace celeryspread::test {

using std::chrono::milliseconds;

inline constexpr const char* kOwnerAddress = "127.0.0.31";
inline constexpr const char* kSelfAddress = "127.0.0.32";
inline constexpr uint64_t kProvenVersion = 3;

/// What a fake owner answers to its relays.
struct OwnerScript
{
  bool m_hasDirectory = true;
  bool m_isSilent = false;
  /// Negative for no proof.
  milliseconds m_proofAge{ 0 };
  uint64_t m_version = kProvenVersion;
  /// Whether a reply has a whole directory, without which relays have none.
  bool m_isWhole = false;
  milliseconds m_answerTime{ 0 };
  uint32_t m_entryCount = 0;
  /// Entries that take forwarded calls, named in each reply.
  std::vector<EntryPeer> m_peers;
  /// What the relay reported last of its entries.
  std::vector<EntryPeer> m_reported;
};

class FakeOwnerNode : public wire::ControlNode::Server
{
public:
  FakeOwnerNode(EventLoopPort& aPort, OwnerScript& aScript)
    : m_port(aPort)
    , m_script(aScript)
  {
  }

protected:
  kj::Promise<void> follow(FollowContext aContext) override
  {
    if (m_script.m_isSilent) {
      return kj::NEVER_DONE;
    }
    const auto request = aContext.getParams().getRequest();
    if (request.hasPeers()) {
      m_script.m_reported =
        ReadPeers(request.getPeers(), PeerRoster::kMaxReported);
    }
    auto reply = aContext.getResults().initReply();
    reply.setEntryCount(m_script.m_entryCount);
    reply.setHasPeers(true);
    WritePeers(m_script.m_peers,
               reply.initPeers(static_cast<unsigned>(m_script.m_peers.size())));
    reply.setIsLeader(true);
    reply.setIsWhole(m_script.m_isWhole);
    reply.setHasDirectory(m_script.m_hasDirectory);
    reply.setEpoch(2);
    if (m_script.m_proofAge >= milliseconds::zero()) {
      reply.setProvenRouteVersion(m_script.m_version);
      reply.setRouteProofAgeMicros(Duration(m_script.m_proofAge).count());
    }
    if (m_script.m_answerTime > milliseconds::zero()) {
      return PromiseAfter(m_port.Base(),
                          Duration(m_script.m_answerTime).count());
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> readRoutes(ReadRoutesContext aContext) override
  {
    const std::string document =
      "document " + std::to_string(m_script.m_version);
    auto piece = aContext.getResults().initPiece();
    piece.setVersion(m_script.m_version);
    piece.setTotalBytes(document.size());
    piece.setBytes(DataOf(document));
    return kj::READY_NOW;
  }

private:
  EventLoopPort& m_port;
  OwnerScript& m_script;
};

/// Engines that are listed and answer nothing.
class ListedEngines : public EngineControl
{
public:
  void SendOrder(const EngineRecord& /*aEngine*/,
                 const EngineOrder& /*aOrder*/,
                 std::function<void(OrderReply)> aDone) override
  {
    aDone(OrderReply::NoAnswer);
  }
  void ReadReport(
    const EngineRecord& /*aEngine*/,
    std::function<void(std::optional<EngineReport>)> aDone) override
  {
    aDone(std::nullopt);
  }
  void ReadList(std::function<void(std::optional<std::vector<EngineRecord>>)>
                  aDone) override
  {
    aDone(m_list);
  }

  std::vector<EngineRecord> m_list;
};

class NoDocuments : public RouteDocumentReader
{
public:
  std::shared_ptr<const RouteConfig> Read(const std::string& /*aDocument*/,
                                          std::string& /*aReason*/) override
  {
    return nullptr;
  }
};

/// One real control instance, and the owner that it may follow.
class ControlInstanceFixture : public ::testing::Test
{
protected:
  ControlInstanceFixture()
  {
    EXPECT_TRUE(m_ownerServer.Listen(kOwnerAddress, 0));
    m_ownerPlace = { InstanceId("c1"), kOwnerAddress, m_ownerServer.Port() };
  }

  ~ControlInstanceFixture() noexcept override = default;

  /// Starts the instance as the only replica, or as one of two.
  void Start(bool aIsAlone)
  {
    const ReplicaAddress self{ InstanceId("c2"),
                               kSelfAddress,
                               m_ownerServer.Port() };
    ASSERT_TRUE(m_store.Open());
    Snapshot initial;
    initial.m_index = LogIndex(1);
    initial.m_term = Term(1);
    initial.m_replicas.m_voters[ReplicaId("c2.1")] = self;
    if (!aIsAlone) {
      initial.m_replicas.m_voters[ReplicaId("c1.1")] = m_ownerPlace;
    }
    ASSERT_TRUE(m_store.Format(ReplicaId("c2.1"), initial));
    m_peers = std::make_unique<PeerLinks>(m_port, m_key, self, m_log);
    RaftOptions options;
    options.m_self = m_store.Identity();
    m_host = std::make_unique<ReplicaHost>(
      ReplicaHost::Dependencies{
        m_clock, m_timers, m_random, m_store, *m_peers, m_log },
      options,
      kSnapshotEntries);
    m_fleetOwner = std::make_unique<FleetOwner>(
      FleetOwner::Dependencies{ m_clock, m_timers, m_engines, m_log },
      FleetOwner::Options{},
      FleetOwner::ReplicatedState{
        [this] { return m_host->HasLease(); },
        [this](const PoolId& aPool, const SoftwareVersion& aVersion) {
          return m_host->State().HasRecorded(aPool, aVersion);
        } });
    m_fleet =
      std::make_unique<FleetService>(FleetService::Dependencies{ m_port,
                                                                 m_clock,
                                                                 m_random,
                                                                 *m_host,
                                                                 *m_fleetOwner,
                                                                 m_documents,
                                                                 *m_peers,
                                                                 m_log },
                                     InstanceId("c2"),
                                     FailureDomainId("here"),
                                     QuotaBounds{});
    m_tick = m_timers.Every(milliseconds(10), [this, aIsAlone] {
      if (!aIsAlone) {
        SendHeartbeat();
      }
      m_host->Tick();
      m_fleet->Tick();
    });
  }

  /// Tells the instance that c1 leads.
  void SendHeartbeat()
  {
    RaftMessage message;
    message.m_from = ReplicaId("c1.1");
    message.m_to = ReplicaId("c2.1");
    message.m_term = m_term;
    message.m_index = LogIndex(1);
    message.m_indexTerm = Term(1);
    message.m_commit = LogIndex(1);
    message.m_sentAt = m_clock.Now();
    m_host->Step(message, m_ownerPlace);
  }

  /// Follows the instance once as an entry, and keeps its proof.
  void Follow()
  {
    capnp::MallocMessageBuilder request;
    capnp::MallocMessageBuilder reply;
    bool isDone = false;
    auto follow =
      m_fleet
        ->Follow(request.initRoot<wire::FollowRequest>(),
                 [&] { return reply.initRoot<wire::FollowReply>(); })
        .then([&] { isDone = true; })
        .eagerlyEvaluate(nullptr);
    ASSERT_TRUE(m_loop.RunUntil([&] { return isDone; }));
    const auto answer = reply.getRoot<wire::FollowReply>().asReader();
    m_version = answer.getProvenRouteVersion();
    m_offered = answer.getOfferedRouteVersion();
    m_document = BytesOf(answer.getRoutes().getDocument());
    m_age = Duration(answer.getRouteProofAgeMicros());
  }
  /// Follows the instance until it offers a version, within the time in which
  /// a change has to be in force.
  [[nodiscard]] bool FollowUntilOffered(uint64_t aVersion)
  {
    const TimePoint end = m_clock.Now() + milliseconds(3000);
    while (m_clock.Now() < end) {
      Follow();
      if (m_offered == aVersion) {
        return true;
      }
      m_loop.RunFor(milliseconds(20));
    }
    return false;
  }
  /// Follows the instance until it has a proof.
  [[nodiscard]] bool FollowUntilProven()
  {
    constexpr int kTries = 100;
    for (int i = 0; i < kTries; ++i) {
      Follow();
      if (m_age >= Duration::zero()) {
        return true;
      }
      m_loop.RunFor(milliseconds(20));
    }
    return false;
  }

  static constexpr uint64_t kSnapshotEntries = 1000;

  TestLoop m_loop;
  const Clock& m_clock = m_loop.GetClock();
  Timers& m_timers = m_loop.GetTimers();
  EventLoopPort m_port{ m_loop.Base() };
  const ClusterKey m_key{ "sixteen bytes and more" };
  NullEventLog m_log;
  OwnerScript m_script;
  WireServer m_ownerServer{ m_port,
                            m_key,
                            kj::heap<FakeOwnerNode>(m_port, m_script) };
  ReplicaAddress m_ownerPlace;
  SeededRandomSource m_random{ 1 };
  FakeFileSystem m_disk;
  ReplicaStore m_store{ m_disk };
  ListedEngines m_engines;
  NoDocuments m_documents;
  std::unique_ptr<PeerLinks> m_peers;
  std::unique_ptr<ReplicaHost> m_host;
  std::unique_ptr<FleetOwner> m_fleetOwner;
  std::unique_ptr<FleetService> m_fleet;
  std::unique_ptr<Timer> m_tick;
  /// Term of the leader's messages.
  Term m_term{ 2 };
  uint64_t m_version = 0;
  uint64_t m_offered = 0;
  std::string m_document;
  Duration m_age{};
};

} // namespace celeryspread::test
