#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "control/replica_host.h"
#include "tests/support/fake_file_system.h"
#include "tests/support/settings_history.h"
#include "tools/simulated_time.h"

namespace celeryspread::test {

/// Control instances under a virtual clock, with links that delay, lose and
/// duplicate messages, and disks that lose what was not synced.
class ControlCluster
{
public:
  ControlCluster(size_t aCount, uint64_t aSeed);
  ~ControlCluster();

  /// Runs the virtual time for aTime.
  void RunFor(Duration aTime) { m_time.RunFor(aTime); }
  /// Sets the share of messages that get lost, in percent.
  void SetLoss(uint64_t aPercent) { m_lossPercent = aPercent; }
  /// Makes only instances within a group reach each other; no groups restore
  /// all links.
  void SetGroups(std::vector<std::set<std::string>> aGroups)
  {
    m_groups = std::move(aGroups);
  }
  /// Ends an instance; bytes that were not synced may be lost.
  void Crash(const std::string& aName);
  /// Starts an instance from its disk; it stays down if the disk is corrupt.
  void Start(const std::string& aName);
  /// Crashes an instance and empties its disk.
  void LoseDisk(const std::string& aName);
  /// Starts another instance with an empty disk, which joins the cluster.
  void AddInstance(const std::string& aName);
  /// Ends an instance for good.
  void RemoveInstance(const std::string& aName);
  /// Sets the instances that a replica is told of when it starts; without this,
  /// it is told of all.
  void SetSeeds(std::vector<std::string> aSeeds)
  {
    m_seeds = std::move(aSeeds);
  }
  /// Calls ReplicaHost::SetToleratedLosses() on every instance, also on those
  /// that start later.
  void SetToleratedLosses(uint32_t aCount);
  /// Suspends or resumes an instance, like SIGSTOP and SIGCONT. Messages to a
  /// frozen instance are delivered when it resumes.
  void Freeze(const std::string& aName, bool aIsFrozen);
  /// Sends a change to an instance, as an operator would.
  void SendChange(const std::string& aName,
                  const std::string& aChangeId,
                  std::optional<Revision> aExpected = std::nullopt);
  /// Adds a read of every instance that has a lease to the history.
  void ReadEverywhere();
  /// Returns the instance that has a lease, empty for none.
  [[nodiscard]] std::string Leader() const;
  [[nodiscard]] std::vector<std::string> Names() const;
  [[nodiscard]] bool IsRunning(const std::string& aName) const;
  [[nodiscard]] ReplicaHost& Host(const std::string& aName);
  [[nodiscard]] FakeFileSystem& Disk(const std::string& aName);
  [[nodiscard]] SettingsHistory& History() { return m_history; }
  /// Returns the revision that a change was accepted as, 0 if no answer said
  /// so.
  [[nodiscard]] Revision AcceptedRevision(const std::string& aChangeId) const;
  /// Returns how many changes were refused.
  [[nodiscard]] size_t ConflictCount() const { return m_conflictCount; }
  RandomSource& Random() { return m_random; }

private:
  struct Node;
  class Transport;

  void Deliver(const RaftMessage& aMessage,
               const std::string& aFrom,
               const std::string& aTo);
  [[nodiscard]] bool CanReach(const std::string& aFrom,
                              const std::string& aTo) const;
  void TickLoop(const std::string& aName, uint64_t aGeneration);
  /// Does what a control instance does periodically: asks to join where its
  /// replica has no place, and discards an identity that was removed.
  void JoinIfNeeded(const std::string& aName);
  /// Asks aAsked to add a replica, and the leader that it knows if it does not
  /// lead, as ControlService does.
  JoinVerdict ForwardJoin(const std::string& aAsked,
                          const std::string& aName,
                          const ReplicaId& aReplica);

  SimulatedTime m_time;
  SimulatedTimers m_timers{ m_time };
  SeededRandomSource m_random;
  std::map<std::string, std::unique_ptr<Node>> m_nodes;
  std::vector<std::set<std::string>> m_groups;
  uint64_t m_lossPercent = 0;
  uint32_t m_toleratedLosses = 0;
  std::vector<std::string> m_seeds;
  SettingsHistory m_history;
  std::map<std::string, Revision> m_acceptedRevisions;
  size_t m_conflictCount = 0;
  /// Number of starts and crashes so far.
  uint64_t m_generations = 0;
};

} // namespace celeryspread::test
