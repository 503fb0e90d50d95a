#include "gateway/directory_link.h"
#include "tests/support/control_instance_fixture.h"
#include "tests/support/gateway_fakes.h"

namespace celeryspread::test {

namespace {

constexpr uint16_t kForwardPort = 9000;
/// An entry that stopped to take forwarded calls leaves the lists within this.
constexpr milliseconds kLeaveTime(3000);

/// Passes follow calls on to a control instance.
class FollowNode : public wire::ControlNode::Server
{
public:
  explicit FollowNode(std::unique_ptr<FleetService>& aFleet)
    : m_fleet(aFleet)
  {
  }

protected:
  kj::Promise<void> ping(PingContext /*aContext*/) override
  {
    return kj::READY_NOW;
  }
  kj::Promise<void> follow(FollowContext aContext) override
  {
    return m_fleet->Follow(
      aContext.getParams().getRequest(),
      [aContext]() mutable { return aContext.getResults().initReply(); });
  }

private:
  std::unique_ptr<FleetService>& m_fleet;
};

/// An entry that follows the control instance.
class FollowingEntry
{
public:
  FollowingEntry(EventLoopPort& aPort,
                 const Clock& aClock,
                 const ClusterKey& aKey,
                 const std::string& aName,
                 const UpstreamAddress& aControl)
    : m_link({ aPort,
               aClock,
               m_log,
               m_table,
               m_retries,
               m_quarantine,
               m_access,
               m_peers,
               [this] { return m_takesCalls; } },
             aKey,
             Settings(aName, aControl),
             [](Revision, const std::string&) { return true; })
  {
  }

  /// Returns whether it may forward calls to another entry.
  [[nodiscard]] bool Knows(const EntryPeer& aPeer)
  {
    std::set<InstanceId> seen;
    while (const auto peer = m_peers.Choose(seen, TimePoint())) {
      if (*peer == aPeer) {
        return true;
      }
      seen.insert(peer->m_instance);
    }
    return false;
  }
  [[nodiscard]] size_t PeerCount() const { return m_peers.Size(); }
  void SetTakesCalls(bool aTakesCalls) { m_takesCalls = aTakesCalls; }

private:
  static NodeSettings Settings(const std::string& aName,
                               const UpstreamAddress& aControl)
  {
    NodeSettings settings;
    settings.m_instance = InstanceId(aName);
    settings.m_failureDomain = FailureDomainId("here");
    settings.m_address = "10.0.0." + aName;
    settings.m_forwardPort = kForwardPort;
    settings.m_wirePort = aControl.m_port;
    settings.m_seeds = { aControl };
    return settings;
  }

  bool m_takesCalls = true;
  RecordingEventLog m_log;
  EngineTable m_table;
  RetryBudgetShare m_retries{ RetryBounds{}, TimePoint() };
  PartQuarantine m_quarantine;
  AccessControl m_access{ {} };
  SeededRandomSource m_random{ 1 };
  PeerList m_peers{ FailureDomainId("here"), {}, m_random };
  DirectoryLink m_link;
};

} // namespace

class PeerFollowingTest : public ControlInstanceFixture
{
protected:
  ~PeerFollowingTest() noexcept override = default;

  /// Starts the control instance and entries 1 and 2.
  void StartAll(bool aIsOwner)
  {
    m_engines.m_list = { MakeEngine("e1", "here", "m") };
    Start(aIsOwner);
    ASSERT_TRUE(m_server.Listen(kSelfAddress, m_ownerServer.Port()));
    for (const char* name : { "1", "2" }) {
      m_entries.push_back(std::make_unique<FollowingEntry>(
        m_port,
        m_clock,
        m_key,
        name,
        UpstreamAddress{ kSelfAddress, m_ownerServer.Port() }));
    }
  }
  static EntryPeer Entry(const std::string& aName)
  {
    return { InstanceId(aName),
             { "10.0.0." + aName, kForwardPort },
             FailureDomainId("here") };
  }
  /// Waits until both entries may forward calls to each other.
  [[nodiscard]] bool RunUntilAcquainted()
  {
    return m_loop.RunUntil([this] {
      return m_entries[0]->Knows(Entry("2")) && m_entries[1]->Knows(Entry("1"));
    });
  }
  /// Returns whether a condition comes to hold within kLeaveTime.
  [[nodiscard]] bool HoldsInTime(const std::function<bool()>& aCondition)
  {
    const TimePoint end = m_clock.Now() + kLeaveTime;
    return m_loop.RunUntil([&] {
      return aCondition() || m_clock.Now() >= end;
    }) && aCondition();
  }

  WireServer m_server{ m_port, m_key, kj::heap<FollowNode>(m_fleet) };
  std::vector<std::unique_ptr<FollowingEntry>> m_entries;
};

// Guards against an entry that knows nobody when it is cut off, and against
// calls that are forwarded to one that drains or is cut off itself.
TEST_F(PeerFollowingTest, EntriesLearnOfEachOtherByTheOwner)
{
  StartAll(true);
  ASSERT_TRUE(RunUntilAcquainted());
  EXPECT_EQ(m_entries[0]->PeerCount(), 1U);
  m_entries[1]->SetTakesCalls(false);
  EXPECT_TRUE(HoldsInTime([this] { return m_entries[0]->PeerCount() == 0; }));
  EXPECT_TRUE(m_entries[1]->Knows(Entry("1")));
  m_entries[1]->SetTakesCalls(true);
  EXPECT_TRUE(RunUntilAcquainted());
  // It ends without a word.
  m_entries.pop_back();
  EXPECT_TRUE(m_loop.RunUntil([this] { //
    return m_entries[0]->PeerCount() == 0;
  }));
}

// Guards against entries that know those of their own relay only, and against
// an owner that hears of nobody who follows a relay.
TEST_F(PeerFollowingTest, EntriesLearnOfOthersByARelay)
{
  const EntryPeer far{ InstanceId("far"),
                       { "10.0.1.1", kForwardPort },
                       FailureDomainId("there") };
  m_script.m_proofAge = milliseconds(-1);
  m_script.m_isWhole = true;
  m_script.m_answerTime = milliseconds(100);
  m_script.m_entryCount = 3;
  m_script.m_peers = { far };
  StartAll(false);
  ASSERT_TRUE(RunUntilAcquainted());
  EXPECT_TRUE(HoldsInTime([&] { return m_entries[0]->Knows(far); }));
  EXPECT_TRUE(HoldsInTime([&] { return m_script.m_reported.size() == 2; }));
  m_entries[1]->SetTakesCalls(false);
  EXPECT_TRUE(HoldsInTime([&] {
    return m_script.m_reported == std::vector{ Entry("1") } &&
           !m_entries[0]->Knows(Entry("2"));
  }));
  m_script.m_peers.clear();
  EXPECT_TRUE(HoldsInTime([&] { return m_entries[0]->PeerCount() == 0; }));
}

} // namespace celeryspread::test
