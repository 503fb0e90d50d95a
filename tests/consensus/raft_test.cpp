#include <gtest/gtest.h>

#include "consensus/raft.h"

namespace celeryspread::test {

namespace {

TimePoint At(int64_t aMilliseconds)
{
  return TimePoint(std::chrono::seconds(100) +
                   std::chrono::milliseconds(aMilliseconds));
}

RaftInitialState ThreeVoters(const std::string& aLearner = "")
{
  RaftInitialState state;
  state.m_snapshot.m_index = LogIndex(1);
  state.m_snapshot.m_term = Term(1);
  for (const char* name : { "a", "b", "c" }) {
    state.m_snapshot.m_replicas.m_voters[ReplicaId(name)] = { InstanceId(name),
                                                              "x",
                                                              1 };
  }
  if (!aLearner.empty()) {
    state.m_snapshot.m_replicas.m_learners[ReplicaId(aLearner)] = {
      InstanceId(aLearner), "x", 1
    };
  }
  state.m_hardState.m_term = Term(1);
  return state;
}

RaftMessage VoteFor(const std::string& aFrom,
                    const std::string& aTo,
                    uint64_t aTerm)
{
  RaftMessage vote;
  vote.m_kind = RaftMessageKind::Vote;
  vote.m_from = ReplicaId(aFrom);
  vote.m_to = ReplicaId(aTo);
  vote.m_term = Term(aTerm);
  vote.m_index = LogIndex(1);
  vote.m_indexTerm = Term(1);
  return vote;
}

RaftMessage HeartbeatFrom(const std::string& aFrom,
                          const std::string& aTo,
                          uint64_t aTerm)
{
  RaftMessage append = VoteFor(aFrom, aTo, aTerm);
  append.m_kind = RaftMessageKind::Append;
  append.m_commit = LogIndex(1);
  return append;
}

bool GrantsVote(Raft& aRaft, const RaftMessage& aVote, TimePoint aNow)
{
  aRaft.Step(aVote, aNow);
  for (const RaftMessage& reply : aRaft.TakeReady().m_messages) {
    if (reply.m_kind == RaftMessageKind::VoteReply && reply.m_isGranted) {
      return true;
    }
  }
  return false;
}

} // namespace

class RaftTest : public ::testing::Test
{
protected:
  std::unique_ptr<Raft> Make(const std::string& aSelf, RaftInitialState aState)
  {
    RaftOptions options;
    options.m_self = ReplicaId(aSelf);
    return std::make_unique<Raft>(options, m_random, std::move(aState), At(0));
  }
  SeededRandomSource m_random{ 3 };
};

TEST_F(RaftTest, VoterGrantsOneVoteInATerm)
{
  const auto raft = Make("a", ThreeVoters());
  EXPECT_TRUE(GrantsVote(*raft, VoteFor("b", "a", 2), At(1'100)));
  EXPECT_FALSE(GrantsVote(*raft, VoteFor("c", "a", 2), At(1'101)));
  EXPECT_TRUE(GrantsVote(*raft, VoteFor("b", "a", 2), At(1'102)));
}

TEST_F(RaftTest, NoVoteForOneElectionTimeoutAfterAStart)
{
  const auto raft = Make("a", ThreeVoters());
  EXPECT_FALSE(GrantsVote(*raft, VoteFor("b", "a", 2), At(900)));
  EXPECT_EQ(raft->CurrentTerm(), Term(1));
}

TEST_F(RaftTest, NoVoteWhileALeaderWasHeard)
{
  const auto raft = Make("a", ThreeVoters());
  raft->Step(HeartbeatFrom("c", "a", 1), At(1'100));
  EXPECT_FALSE(GrantsVote(*raft, VoteFor("b", "a", 2), At(1'900)));
  EXPECT_EQ(raft->CurrentTerm(), Term(1));
  EXPECT_TRUE(GrantsVote(*raft, VoteFor("b", "a", 2), At(2'200)));
}

TEST_F(RaftTest, LearnerNeverVotesOrCampaigns)
{
  const auto raft = Make("l", ThreeVoters("l"));
  EXPECT_FALSE(GrantsVote(*raft, VoteFor("b", "l", 2), At(5'000)));
  raft->Tick(At(60'000));
  EXPECT_EQ(raft->Role(), RaftRole::Follower);
}

TEST_F(RaftTest, NoVoteForAShorterLog)
{
  RaftInitialState state = ThreeVoters();
  state.m_entries = { { LogIndex(2), Term(1), EntryKind::Command, "x", {} } };
  const auto raft = Make("a", std::move(state));
  EXPECT_FALSE(GrantsVote(*raft, VoteFor("b", "a", 2), At(1'100)));
}

TEST_F(RaftTest, RemovedReplicaNeverComesBack)
{
  RaftInitialState state = ThreeVoters();
  auto& replicas = state.m_snapshot.m_replicas;
  replicas.m_voters.erase(ReplicaId("b"));
  replicas.m_voters.erase(ReplicaId("c"));
  replicas.m_removed.insert(ReplicaId("gone"));
  const auto raft = Make("a", std::move(state));
  raft->Tick(At(5'000));
  ASSERT_TRUE(raft->IsLeader());
  raft->TakeReady();
  raft->NotePersisted(At(5'001));
  EXPECT_FALSE(
    raft->ProposeLearner(ReplicaId("gone"), ReplicaAddress(), At(5'002)));
  EXPECT_EQ(raft->LastError(), ProposeError::ReplicaWasRemoved);
  EXPECT_TRUE(
    raft->ProposeLearner(ReplicaId("new"), ReplicaAddress(), At(5'003)));
  EXPECT_FALSE(
    raft->ProposeLearner(ReplicaId("newer"), ReplicaAddress(), At(5'004)));
  EXPECT_EQ(raft->LastError(), ProposeError::ConfigurationPending);
}

} // namespace celeryspread::test
