#include "tools/fake_service_server.h"

#include <nlohmann/json.hpp>

namespace celeryspread {

void FakeService::OnCall(std::unique_ptr<CallerCall> aCall)
{
  constexpr int kOk = 200;
  if (aCall->Path() == "/executions") {
    aCall->Reply(kOk,
                 { { "Content-Type", "application/json" } },
                 nlohmann::json(m_executions).dump());
    return;
  }
  const std::string key(aCall->Header("Idempotency-Key").value_or("none"));
  const int execution = ++m_executions[key];
  if (m_dropsNextAnswer) {
    m_dropsNextAnswer = false;
    aCall->Abort();
    return;
  }
  const nlohmann::json body = { { "path", aCall->Path() },
                                { "key", key },
                                { "run", execution },
                                { "echo", std::string(aCall->Body()) } };
  std::shared_ptr<CallerCall> call = std::move(aCall);
  m_answerTimers.push_back(m_timers.After(m_delay, [call, body] {
    call->Reply(kOk, { { "Content-Type", "application/json" } }, body.dump());
  }));
}

} // namespace celeryspread
