#include "tests/support/control_cluster.h"

#include "control/join_policy.h"
#include "tests/support/null_event_log.h"

namespace celeryspread::test {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr Duration kJoinPeriod = std::chrono::milliseconds(500);
constexpr uint64_t kSnapshotEntries = 40;

} // namespace

class ControlCluster::Transport : public PeerTransport
{
public:
  Transport(ControlCluster& aCluster, std::string aName)
    : m_cluster(aCluster)
    , m_name(std::move(aName))
  {
  }
  void Send(const RaftMessage& aMessage,
            const ReplicaAddress& aAddress) override
  {
    m_cluster.Deliver(aMessage, m_name, aAddress.m_instance.Value());
  }

private:
  ControlCluster& m_cluster;
  std::string m_name;
};

struct ControlCluster::Node
{
  Node(ControlCluster& aCluster, const std::string& aName, int64_t aSkewPercent)
    : m_clock(aCluster.m_time, aSkewPercent)
    , m_transport(aCluster, aName)
  {
  }
  SkewedClock m_clock;
  Transport m_transport;
  NullEventLog m_log;
  FakeFileSystem m_disk;
  std::unique_ptr<ReplicaStore> m_store;
  std::unique_ptr<ReplicaHost> m_host;
  std::unique_ptr<JoinPolicy> m_joinPolicy;
  TimePoint m_joinDue;
  std::vector<std::function<void()>> m_heldMessages;
  /// Changes with each start and crash, which ends the tick loop before.
  uint64_t m_generation = 0;
  /// Number of disks so far; part of the replica's ID.
  uint64_t m_diskCount = 0;
  bool m_isFrozen = false;
};

ControlCluster::ControlCluster(size_t aCount, uint64_t aSeed)
  : m_random(aSeed)
{
  // Clock rates differ by less than Raft::kClockRateBoundPercent.
  static constexpr int64_t kSkewPercents[] = { 0, 4, -4, 2, -2 };
  for (size_t i = 0; i < aCount; ++i) {
    const std::string name = "c" + std::to_string(i + 1);
    m_nodes[name] = std::make_unique<Node>(
      *this, name, kSkewPercents[i % std::size(kSkewPercents)]);
  }
  for (const std::string& name : Names()) {
    Start(name);
  }
}

ControlCluster::~ControlCluster() = default;

std::vector<std::string> ControlCluster::Names() const
{
  std::vector<std::string> names;
  for (const auto& [name, node] : m_nodes) {
    names.push_back(name);
  }
  return names;
}

bool ControlCluster::IsRunning(const std::string& aName) const
{
  return m_nodes.at(aName)->m_host != nullptr;
}

ReplicaHost& ControlCluster::Host(const std::string& aName)
{
  return *m_nodes.at(aName)->m_host;
}

FakeFileSystem& ControlCluster::Disk(const std::string& aName)
{
  return m_nodes.at(aName)->m_disk;
}

Revision ControlCluster::AcceptedRevision(const std::string& aChangeId) const
{
  const auto found = m_acceptedRevisions.find(aChangeId);
  return found == m_acceptedRevisions.end() ? Revision() : found->second;
}

void ControlCluster::Crash(const std::string& aName)
{
  Node& node = *m_nodes.at(aName);
  node.m_host.reset();
  node.m_store.reset();
  node.m_heldMessages.clear();
  node.m_isFrozen = false;
  node.m_disk.Crash(m_random);
  node.m_generation = ++m_generations;
}

void ControlCluster::LoseDisk(const std::string& aName)
{
  Crash(aName);
  m_nodes.at(aName)->m_disk.EraseAll();
}

void ControlCluster::AddInstance(const std::string& aName)
{
  auto node = std::make_unique<Node>(*this, aName, 0);
  // On its first disk an instance bootstraps the cluster; this one must join.
  node->m_diskCount = 1;
  m_nodes[aName] = std::move(node);
  Start(aName);
}

JoinVerdict ControlCluster::ForwardJoin(const std::string& aAsked,
                                        const std::string& aName,
                                        const ReplicaId& aReplica)
{
  ReplicaHost& asked = *m_nodes.at(aAsked)->m_host;
  const ReplicaAddress address{ InstanceId(aName), aName, 1 };
  const ReplicaAddress* leader = asked.LeaderAddress();
  if (asked.Replica().IsLeader() || leader == nullptr) {
    return asked.Join(aReplica, address);
  }
  const auto found = m_nodes.find(leader->m_address);
  const bool isReachable =
    found != m_nodes.end() && found->second->m_host != nullptr &&
    !found->second->m_isFrozen && CanReach(aAsked, leader->m_address);
  return isReachable ? found->second->m_host->Join(aReplica, address)
                     : JoinVerdict::NotLeader;
}

void ControlCluster::RemoveInstance(const std::string& aName)
{
  LoseDisk(aName);
  // Tasks that are scheduled for it still look it up.
  m_nodes.at(aName)->m_generation = ++m_generations;
}

void ControlCluster::SetToleratedLosses(uint32_t aCount)
{
  m_toleratedLosses = aCount;
  for (auto& [name, node] : m_nodes) {
    if (node->m_host != nullptr) {
      node->m_host->SetToleratedLosses(aCount);
    }
  }
}

void ControlCluster::Start(const std::string& aName)
{
  Node& node = *m_nodes.at(aName);
  node.m_store = std::make_unique<ReplicaStore>(node.m_disk);
  if (!node.m_store->Open()) {
    node.m_store.reset();
    return;
  }
  if (node.m_store->Identity().IsEmpty()) {
    const ReplicaId id(aName + "." + std::to_string(++node.m_diskCount));
    Snapshot initial;
    if (node.m_diskCount == 1) {
      initial.m_index = LogIndex(1);
      initial.m_term = Term(1);
      for (const std::string& name : Names()) {
        initial.m_replicas.m_voters[ReplicaId(name + ".1")] = {
          InstanceId(name), name, 1
        };
      }
    }
    node.m_store->Format(id, initial);
  }
  RaftOptions options;
  options.m_self = node.m_store->Identity();
  node.m_host =
    std::make_unique<ReplicaHost>(ReplicaHost::Dependencies{ node.m_clock,
                                                             m_timers,
                                                             m_random,
                                                             *node.m_store,
                                                             node.m_transport,
                                                             node.m_log },
                                  options,
                                  kSnapshotEntries);
  node.m_host->SetToleratedLosses(m_toleratedLosses);
  node.m_joinPolicy = std::make_unique<JoinPolicy>(
    InstanceId(aName), node.m_store->Identity(), node.m_clock.Now());
  node.m_joinDue = node.m_clock.Now() + kJoinPeriod;
  node.m_generation = ++m_generations;
  TickLoop(aName, node.m_generation);
}

void ControlCluster::TickLoop(const std::string& aName, uint64_t aGeneration)
{
  m_time.Schedule(m_time.Now() + kTickPeriod, [this, aName, aGeneration] {
    Node& node = *m_nodes.at(aName);
    if (node.m_generation != aGeneration || node.m_host == nullptr) {
      return;
    }
    if (!node.m_isFrozen) {
      node.m_host->Tick();
      JoinIfNeeded(aName);
    }
    // A removed replica makes place for another one, with a loop of its own.
    if (node.m_generation == aGeneration) {
      TickLoop(aName, aGeneration);
    }
  });
}

void ControlCluster::JoinIfNeeded(const std::string& aName)
{
  Node& node = *m_nodes.at(aName);
  const TimePoint now = node.m_clock.Now();
  if (now < node.m_joinDue || node.m_host->IsSuspended()) {
    return;
  }
  node.m_joinDue = now + kJoinPeriod;
  std::vector<ReplicaAddress> seeds;
  for (const std::string& name : m_seeds.empty() ? Names() : m_seeds) {
    seeds.push_back({ InstanceId(name), name, 1 });
  }
  const ReplicaId self = node.m_store->Identity();
  const auto asked =
    node.m_joinPolicy->InstancesToAsk(node.m_host->Replica(), seeds, now);
  for (const ReplicaAddress& instance : asked) {
    const std::string& name = instance.m_address;
    const auto other = m_nodes.find(name);
    if (other == m_nodes.end() || other->second->m_host == nullptr ||
        other->second->m_isFrozen || !CanReach(aName, name)) {
      continue;
    }
    const JoinVerdict verdict = ForwardJoin(name, aName, self);
    if (verdict == JoinVerdict::Removed) {
      if (node.m_store->Discard()) {
        Crash(aName);
        Start(aName);
      }
      return;
    }
  }
}

void ControlCluster::Freeze(const std::string& aName, bool aIsFrozen)
{
  Node& node = *m_nodes.at(aName);
  node.m_isFrozen = aIsFrozen;
  if (!aIsFrozen) {
    std::vector<std::function<void()>> held;
    held.swap(node.m_heldMessages);
    for (const auto& task : held) {
      task();
    }
  }
}

bool ControlCluster::CanReach(const std::string& aFrom,
                              const std::string& aTo) const
{
  if (m_groups.empty()) {
    return true;
  }
  for (const auto& group : m_groups) {
    if (group.contains(aFrom) && group.contains(aTo)) {
      return true;
    }
  }
  return false;
}

void ControlCluster::Deliver(const RaftMessage& aMessage,
                             const std::string& aFrom,
                             const std::string& aTo)
{
  constexpr uint64_t kHundredPercent = 100;
  constexpr uint64_t kDuplicatePercent = 5;
  constexpr uint64_t kMaxDelayMicros = 8'000;
  const int copies =
    m_random.Below(kHundredPercent) < kDuplicatePercent ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (m_random.Below(kHundredPercent) < m_lossPercent) {
      continue;
    }
    const Duration delay(
      static_cast<int64_t>(500 + m_random.Below(kMaxDelayMicros)));
    m_time.Schedule(m_time.Now() + delay, [this, aMessage, aFrom, aTo] {
      const auto found = m_nodes.find(aTo);
      if (found == m_nodes.end() || !CanReach(aFrom, aTo)) {
        return;
      }
      Node& node = *found->second;
      const auto step = [&node, aMessage, aFrom] {
        if (node.m_host != nullptr) {
          node.m_host->Step(aMessage, { InstanceId(aFrom), aFrom, 1 });
        }
      };
      if (node.m_isFrozen) {
        node.m_heldMessages.push_back(step);
      } else {
        step();
      }
    });
  }
}

void ControlCluster::SendChange(const std::string& aName,
                                const std::string& aChangeId,
                                std::optional<Revision> aExpected)
{
  Node& node = *m_nodes.at(aName);
  if (node.m_host == nullptr || node.m_isFrozen) {
    return;
  }
  const SettingsStore& settings = node.m_host->State().Settings();
  const nlohmann::json patch = {
    { "services",
      { { "s-" + aChangeId, { { "member", "m" }, { "key_hash", "h" } } } } }
  };
  SettingsChange change{ ChangeId(aChangeId),
                         OperatorId("op"),
                         aExpected.value_or(settings.CurrentRevision()),
                         patch.dump() };
  const TimePoint start = m_time.Now();
  m_history.RecordInvocation(change.m_changeId, start);
  const auto answer = [this, aChangeId, start](const ChangeResult& aResult) {
    if (aResult.m_verdict == ChangeVerdict::Accepted) {
      m_acceptedRevisions[aChangeId] = aResult.m_revision;
      m_history.Add(
        { start, m_time.Now(), aResult.m_revision, ChangeId(aChangeId) });
    } else {
      ++m_conflictCount;
    }
  };
  if (!node.m_host->HasLease()) {
    return;
  }
  if (const auto known = settings.Check(change)) {
    answer(*known);
    return;
  }
  node.m_host->Propose({ {}, change },
                       [answer](const std::optional<CommandResult>& aResult) {
                         if (aResult) {
                           answer(std::get<ChangeResult>(*aResult));
                         }
                       });
}

void ControlCluster::ReadEverywhere()
{
  size_t leases = 0;
  for (auto& [name, node] : m_nodes) {
    if (node->m_host != nullptr && !node->m_isFrozen &&
        node->m_host->HasLease()) {
      ++leases;
      m_history.Add({ m_time.Now(),
                      m_time.Now(),
                      node->m_host->State().Settings().CurrentRevision(),
                      {} });
    }
  }
  if (leases > 1) {
    m_history.RecordTwoLeases();
  }
}

std::string ControlCluster::Leader() const
{
  for (const auto& [name, node] : m_nodes) {
    if (node->m_host != nullptr && !node->m_isFrozen &&
        node->m_host->HasLease()) {
      return name;
    }
  }
  return {};
}

} // namespace celeryspread::test
