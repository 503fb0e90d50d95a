#include <gtest/gtest.h>

#include "control/join_policy.h"

namespace celeryspread::test {

namespace {

constexpr TimePoint kStart{ std::chrono::seconds(100) };

ReplicaAddress AddressOf(const std::string& aName)
{
  return { InstanceId(aName), aName, 1 };
}

/// A replica that knows the voters of its snapshot and has no leader.
class JoinPolicyTest : public ::testing::Test
{
protected:
  Raft MakeRaft(const std::string& aReplica,
                const std::vector<std::string>& aVoters)
  {
    RaftInitialState initial;
    initial.m_snapshot.m_index = LogIndex(1);
    initial.m_snapshot.m_term = Term(1);
    for (const std::string& name : aVoters) {
      initial.m_snapshot.m_replicas.m_voters[ReplicaId(name + ".1")] =
        AddressOf(name);
    }
    RaftOptions options;
    options.m_self = ReplicaId(aReplica);
    return { options, m_random, initial, kStart };
  }

  static std::vector<std::string> NamesOf(
    const std::vector<ReplicaAddress>& aInstances)
  {
    std::vector<std::string> names;
    for (const ReplicaAddress& instance : aInstances) {
      names.push_back(instance.m_instance.Value());
    }
    return names;
  }

  SeededRandomSource m_random{ 1 };
};

} // namespace

TEST_F(JoinPolicyTest, EmptyReplicaAsksTheSeedsAtOnce)
{
  const Raft raft = MakeRaft("c4.1", {});
  JoinPolicy policy(InstanceId("c4"), ReplicaId("c4.1"), kStart);
  const auto asked = policy.InstancesToAsk(
    raft, { AddressOf("c1"), AddressOf("c4"), AddressOf("c2") }, kStart);
  EXPECT_EQ(NamesOf(asked), (std::vector<std::string>{ "c1", "c2" }));
}

TEST_F(JoinPolicyTest, VoterAsksNobodyWhileItMayStillHearOfALeader)
{
  const Raft raft = MakeRaft("c1.1", { "c1", "c2", "c3" });
  JoinPolicy policy(InstanceId("c1"), ReplicaId("c1.1"), kStart);
  EXPECT_TRUE(policy.InstancesToAsk(raft, { AddressOf("c2") }, kStart).empty());
}

// Guards against a removed replica that never learns of its removal because
// each seed it was told of is gone or does not lead.
TEST_F(JoinPolicyTest, VoterWithoutALeaderAsksTheVotersThatItKnows)
{
  const Raft raft = MakeRaft("c1.1", { "c1", "c2", "c3" });
  JoinPolicy policy(InstanceId("c1"), ReplicaId("c1.1"), kStart);
  const auto asked = policy.InstancesToAsk(raft,
                                           { AddressOf("c3"), AddressOf("c9") },
                                           kStart + std::chrono::seconds(10));
  EXPECT_EQ(NamesOf(asked), (std::vector<std::string>{ "c3", "c9", "c2" }));
}

// A voter that lost its leader asks again before the next loss may follow.
TEST_F(JoinPolicyTest, VoterWithoutALeaderAsksWithinTwoSeconds)
{
  const Raft raft = MakeRaft("c1.1", { "c1", "c2", "c3" });
  JoinPolicy policy(InstanceId("c1"), ReplicaId("c1.1"), kStart);
  EXPECT_FALSE(policy
                 .InstancesToAsk(
                   raft, { AddressOf("c2") }, kStart + std::chrono::seconds(2))
                 .empty());
}

TEST(JoinAnswersTest, CountsAnswersUntilTheyAreTaken)
{
  JoinAnswers answers;
  EXPECT_EQ(answers.TakeText(), "");
  answers.RecordAsked();
  answers.RecordAsked();
  answers.RecordUnreachable();
  answers.RecordAnswer(false);
  EXPECT_EQ(answers.TakeText(),
            "asked=2 unreachable=1 accepted=0 not_leader=1");
  EXPECT_EQ(answers.TakeText(), "");
}

} // namespace celeryspread::test
