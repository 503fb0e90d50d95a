#pragma once

#include <istream>
#include <string>
#include <vector>

#include "tests/support/control_cluster.h"

namespace celeryspread::test {

/// Runs a scripted scenario: one step a line, '#' starts a comment.
///
///   run 3s | run 200ms | run 1h      let time pass
///   change ID [at NAME] [expect N]   send a settings change to the leader
///   crash|start|freeze|thaw|lose-disk NAME|leader|follower
///   cut A B / C                      only A with B, and C alone
///   heal                             all reach each other
///   loss N                           lose N percent of messages
///   assert leader|no-leader
///   assert accepted ID | assert not-accepted ID
///   assert revision N everywhere     on every running instance
///   assert voters N
///   assert conflicts N
///
/// The history of changes and lease reads is checked after every step.
class Scenario
{
public:
  Scenario(size_t aInstances, uint64_t aSeed)
    : m_cluster(aInstances, aSeed)
  {
  }
  /// Runs a script. Returns the first failure, empty when all held.
  std::string Run(std::istream& aScript);

private:
  using Words = std::vector<std::string>;
  using Step = std::string (Scenario::*)(const Words&);
  struct Row
  {
    const char* m_name;
    Step m_step;
  };

  std::string RunStep(const Words& aWords);
  std::string RunTime(const Words& aWords);
  std::string Change(const Words& aWords);
  std::string Crash(const Words& aWords);
  std::string Start(const Words& aWords);
  std::string Freeze(const Words& aWords);
  std::string Thaw(const Words& aWords);
  std::string LoseDisk(const Words& aWords);
  std::string Cut(const Words& aWords);
  std::string Heal(const Words& aWords);
  std::string Loss(const Words& aWords);
  std::string Assert(const Words& aWords);
  std::string Resolve(const std::string& aName);
  std::string AssertRevision(const Words& aWords);

  ControlCluster m_cluster;
  /// What "leader" and "follower" named last, for a later start or thaw.
  std::string m_lastNamed;
};

} // namespace celeryspread::test
