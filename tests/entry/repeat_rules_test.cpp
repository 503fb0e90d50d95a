#include "tests/support/entry_fixture.h"

namespace celeryspread::test {

using EntryRepeatTest = EntryFixture;

// Guards against work that runs twice after a lost answer because one property
// of a call permits it and another one that forbids it is not read.
TEST_F(EntryRepeatTest, MethodAndSettingBothHaveToPermitARepeat)
{
  struct Case
  {
    const char* m_method;
    bool m_isDeclaredIdempotent;
    bool m_workMayRepeat;
    int m_runs;
  };
  for (const Case& entry : { Case{ "GET", false, true, 2 },
                             Case{ "GET", false, false, 1 },
                             Case{ "GET", true, false, 1 },
                             Case{ "POST", false, true, 1 },
                             Case{ "POST", true, true, 2 },
                             Case{ "POST", true, false, 1 } }) {
    auto tree = DefaultTree();
    tree["settings"]["work_may_repeat"] = entry.m_workMayRepeat;
    tree["upstreams"]["p2"] = tree["upstreams"]["p1"];
    if (entry.m_isDeclaredIdempotent) {
      tree["plain_services"]["pay"]["idempotent_methods"] = { entry.m_method };
    }
    SetTree(tree);
    const auto runs = [this] {
      const auto& all = m_service.m_service.Executions();
      return all.contains("none") ? all.at("none") : 0;
    };
    const int before = runs();
    m_service.m_service.DropNextAnswer();
    SendAndWait(std::string(entry.m_method) +
                " /services/pay/transfer HTTP/1.1\r\nHost: x\r\n"
                "Authorization: Bearer desk.s1\r\n"
                "Content-Length: 2\r\n\r\n{}");
    EXPECT_EQ(runs() - before, entry.m_runs)
      << entry.m_method << ", declared " << entry.m_isDeclaredIdempotent
      << ", setting " << entry.m_workMayRepeat;
  }
}

} // namespace celeryspread::test
