#include <gtest/gtest.h>

#include "control/state_machine.h"

namespace celeryspread::test {

namespace {

const PoolId kPool("pool");
const PoolVersions kVersions = {
  { kPool, { SoftwareVersion("v10"), SoftwareVersion("v9") } },
  { PoolId("other"), { SoftwareVersion("") } }
};

StateMachine MakeState()
{
  StateMachine state;
  for (const auto& [pool, versions] : kVersions) {
    state.Apply(EncodeCommand({ {}, PoolVersionsChange{ pool, versions } }));
  }
  return state;
}

} // namespace

// Guards against a record of software versions that is lost with the processes:
// streams would then go on at whichever version is left.
TEST(StateMachineTest, RecordedVersionsSurviveASnapshot)
{
  const StateMachine state = MakeState();
  EXPECT_EQ(state.RecordedVersions(), kVersions);
  StateMachine restored;
  restored.Apply(EncodeCommand(
    { {}, PoolVersionsChange{ PoolId("stale"), { SoftwareVersion("v1") } } }));
  ASSERT_TRUE(restored.Restore(state.Save()));
  EXPECT_EQ(restored.RecordedVersions(), kVersions);
}

TEST(StateMachineTest, RecordOfAPoolIsReplaced)
{
  StateMachine state = MakeState();
  const std::set<SoftwareVersion> newest{ SoftwareVersion("v10") };
  state.Apply(EncodeCommand({ {}, PoolVersionsChange{ kPool, newest } }));
  EXPECT_EQ(state.RecordedVersions().at(kPool), newest);
  EXPECT_EQ(state.RecordedVersions().size(), kVersions.size());
}

} // namespace celeryspread::test
