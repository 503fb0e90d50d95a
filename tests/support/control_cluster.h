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
#include "tools/virtual_world.h"

namespace celeryspread::test {

/// Control instances under a virtual clock, with links that delay, lose and
/// double messages, and disks that lose what was not synced.
class ControlCluster
{
public:
  ControlCluster(size_t aCount, uint64_t aSeed);
  ~ControlCluster();

  /// Lets time pass.
  void RunFor(Duration aTime) { m_world.RunFor(aTime); }
  /// Loses this share of messages, in percent.
  void SetLoss(uint64_t aPercent) { m_lossPercent = aPercent; }
  /// Lets only instances of one group reach each other; empty heals.
  void SetGroups(std::vector<std::set<std::string>> aGroups)
  {
    m_groups = std::move(aGroups);
  }
  void Crash(const std::string& aName);
  void Start(const std::string& aName);
  void LoseDisk(const std::string& aName);
  /// Starts a further instance with an empty disk, which joins.
  void AddEmpty(const std::string& aName);
  /// Lets silent replicas be replaced on every instance.
  void SetToleratedLosses(uint32_t aCount);
  /// Stops an instance without its knowing, like SIGSTOP.
  void Freeze(const std::string& aName, bool aIsFrozen);
  /// Sends a change to an instance, as an operator would.
  void SendChange(const std::string& aName,
                  const std::string& aChangeId,
                  std::optional<Revision> aExpected = std::nullopt);
  /// Reads the revision at every instance that has a lease.
  void ReadEverywhere();
  /// Returns the instance with a lease, empty for none.
  [[nodiscard]] std::string Leader() const;
  [[nodiscard]] std::vector<std::string> Names() const;
  [[nodiscard]] bool IsRunning(const std::string& aName) const;
  [[nodiscard]] ReplicaHost& Host(const std::string& aName);
  [[nodiscard]] FakeFileSystem& Disk(const std::string& aName);
  [[nodiscard]] SettingsHistory& History() { return m_history; }
  /// Number of accepted answers an operator got for a change.
  [[nodiscard]] Revision AcceptedAs(const std::string& aChangeId) const;
  [[nodiscard]] size_t ConflictCount() const { return m_conflicts; }
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

  VirtualWorld m_world;
  VirtualTimers m_timers{ m_world };
  SeededRandomSource m_random;
  std::map<std::string, std::unique_ptr<Node>> m_nodes;
  std::vector<std::set<std::string>> m_groups;
  uint64_t m_lossPercent = 0;
  uint32_t m_toleratedLosses = 0;
  SettingsHistory m_history;
  std::map<std::string, Revision> m_accepted;
  size_t m_conflicts = 0;
  uint64_t m_generations = 0;
};

} // namespace celeryspread::test
