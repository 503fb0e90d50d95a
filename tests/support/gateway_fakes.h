#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway_context.h"
#include "tests/support/entry_fixture.h"
#include "tools/simulated_time.h"

namespace celeryspread::test {

/// The answer that a caller received.
struct CallerRecord
{
  int m_status = 0;
  HttpHeaders m_headers;
  std::string m_body;
  bool m_isEnded = false;
  bool m_isAborted = false;
  CallerObserver* m_observer = nullptr;
};

/// CallerCall that stores the answer in a CallerRecord.
class FakeCallerCall : public CallerCall
{
public:
  FakeCallerCall(CallerRecord& aRecord,
                 std::string aMethod,
                 std::string aPath,
                 HttpHeaders aHeaders,
                 std::string aBody = "body")
    : m_record(aRecord)
    , m_method(std::move(aMethod))
    , m_path(std::move(aPath))
    , m_headers(std::move(aHeaders))
    , m_body(std::move(aBody))
  {
  }
  [[nodiscard]] std::string_view Method() const override { return m_method; }
  [[nodiscard]] std::string_view Path() const override { return m_path; }
  [[nodiscard]] std::string_view Query() const override { return ""; }
  [[nodiscard]] std::string Target() const override { return m_path; }
  [[nodiscard]] std::optional<std::string_view> Header(
    const char* aName) const override
  {
    for (const HttpHeader& header : m_headers) {
      if (header.m_name == aName) {
        return header.m_value;
      }
    }
    return std::nullopt;
  }
  [[nodiscard]] HttpHeaders AllHeaders() const override { return m_headers; }
  [[nodiscard]] std::string_view Body() override { return m_body; }
  void SetObserver(CallerObserver* aObserver) override
  {
    m_record.m_observer = aObserver;
  }
  void Reply(int aStatus,
             const HttpHeaders& aHeaders,
             std::string_view aBody) override
  {
    m_record.m_status = aStatus;
    m_record.m_headers = aHeaders;
    m_record.m_body = aBody;
    m_record.m_isEnded = true;
  }
  void StartStream(int aStatus, const HttpHeaders& aHeaders) override
  {
    m_record.m_status = aStatus;
    m_record.m_headers = aHeaders;
  }
  void SendChunk(std::string_view aBytes) override
  {
    m_record.m_body += aBytes;
  }
  void EndStream() override { m_record.m_isEnded = true; }
  void Abort() override { m_record.m_isAborted = true; }
  [[nodiscard]] size_t PendingBytes() const override { return 0; }

private:
  CallerRecord& m_record;
  std::string m_method;
  std::string m_path;
  HttpHeaders m_headers;
  std::string m_body;
};

/// UpstreamClient that records its calls; the test notifies their observers.
class FakeUpstreamClient : public UpstreamClient
{
public:
  using UpstreamClient::UpstreamClient;

  struct StartedAttempt
  {
    UpstreamRequest m_request;
    UpstreamObserver* m_observer = nullptr;
    bool m_isCancelled = false;
    bool m_isConnectionReused = false;
    /// Ids of earlier calls of the connection.
    std::set<std::string, std::less<>> m_carried{};
    size_t m_discardedAnswers = 0;
  };

  std::unique_ptr<UpstreamCall> Start(UpstreamRequest aRequest,
                                      UpstreamObserver& aObserver) override
  {
    m_attempts.push_back(std::make_shared<StartedAttempt>(
      StartedAttempt{ std::move(aRequest), &aObserver }));
    return std::make_unique<Call>(m_attempts.back());
  }

  std::vector<std::shared_ptr<StartedAttempt>> m_attempts;

private:
  class Call : public UpstreamCall
  {
  public:
    explicit Call(std::shared_ptr<StartedAttempt> aAttempt)
      : m_attempt(std::move(aAttempt))
    {
    }
    ~Call() override { m_attempt->m_isCancelled = true; }
    void Pause() override {}
    void Resume() override {}
    [[nodiscard]] bool IsConnectionReused() const override
    {
      return m_attempt->m_isConnectionReused;
    }
    [[nodiscard]] bool HasCarried(std::string_view aExchange) const override
    {
      return m_attempt->m_carried.contains(aExchange);
    }
    bool DiscardAnswer() override
    {
      ++m_attempt->m_discardedAnswers;
      return true;
    }

  private:
    std::shared_ptr<StartedAttempt> m_attempt;
  };
};

/// CallCodec with plain headers: "id", "key", "model", "adapter", "parts" and
/// "left" (milliseconds until the deadline) of a call, "upstream" of an
/// attempt, and "id", "not-run", "signed", "leaving", "back-off", "limit" and
/// "load" (running requests) of an answer.
class FakeCodec : public CallCodec
{
public:
  std::optional<CallFields> ReadCall(const CallerCall& aCall) override
  {
    CallFields callFields;
    callFields.m_attempt =
      AttemptId(std::string(aCall.Header("id").value_or("")));
    callFields.m_isResumed = aCall.Header("last").has_value();
    callFields.m_resumedAttempt =
      AttemptId(std::string(aCall.Header("resumes").value_or("")));
    callFields.m_target.m_model = aCall.Header("model").value_or("");
    callFields.m_target.m_adapter = aCall.Header("adapter").value_or("");
    if (const auto left = aCall.Header("left")) {
      callFields.m_callerTimeout =
        std::chrono::milliseconds(std::stoi(std::string(*left)));
    }
    std::string_view parts = aCall.Header("parts").value_or("");
    for (size_t end = parts.find(','); end != std::string_view::npos;
         end = parts.find(',')) {
      callFields.m_sharedParts.emplace_back(std::string(parts.substr(0, end)));
      parts.remove_prefix(end + 1);
    }
    return callFields.m_attempt.IsEmpty()
             ? std::nullopt
             : std::optional<CallFields>(callFields);
  }
  std::optional<std::string_view> ReadKey(const CallerCall& aCall) override
  {
    return aCall.Header("key");
  }
  HttpHeaders AttemptHeaders(const CallerCall& aCall,
                             const AttemptFields& aFields) override
  {
    m_lastFields = aFields;
    HttpHeaders headers = aCall.AllHeaders();
    headers.push_back({ "upstream", aFields.m_upstream.Value() });
    return headers;
  }
  AnswerFields ReadAnswer(int /*aStatus*/, const HttpHeaders& aHeaders) override
  {
    AnswerFields answerFields;
    for (const HttpHeader& header : aHeaders) {
      if (header.m_name == "id") {
        answerFields.m_attempt = AttemptId(header.m_value);
      }
      answerFields.m_hasNotRun =
        answerFields.m_hasNotRun || header.m_name == "not-run";
      answerFields.m_isLeaving =
        answerFields.m_isLeaving || header.m_name == "leaving";
      if (header.m_name == "back-off") {
        answerFields.m_backOff =
          std::chrono::seconds(std::stoi(header.m_value));
      }
      if (header.m_name == "limit") {
        answerFields.m_rateLimit = std::stod(header.m_value);
      }
      if (header.m_name == "load") {
        answerFields.m_load = LoadReading{
          static_cast<uint32_t>(std::stoul(header.m_value)), 0, 4
        };
      }
      answerFields.m_isSigned =
        answerFields.m_isSigned || header.m_name == "signed";
    }
    return answerFields;
  }
  HttpHeaders AnswerHeaders(const HttpHeaders& aHeaders) override
  {
    return aHeaders;
  }
  HttpHeaders GatewayAnswerHeaders(const CallFields* /*aCallFields*/,
                                   std::optional<Duration> aRetryAfter) override
  {
    if (!aRetryAfter) {
      return {};
    }
    return { { "retry-after", std::to_string(aRetryAfter->count()) } };
  }

  AttemptFields m_lastFields;
};

/// AdapterLoader and DemandRecorder that record their calls; the test calls
/// m_onLoaded for the last requested adapter.
class FakeControlLink
  : public AdapterLoader
  , public DemandRecorder
{
public:
  void LoadAdapter(const PoolId& /*aPool*/,
                   const ModelTarget& aTarget,
                   const UpstreamId& /*aPreferred*/,
                   std::function<void(UpstreamId)> aDone) override
  {
    m_requested.push_back(aTarget);
    m_onLoaded = std::move(aDone);
  }
  void RecordDemand(const PoolId& /*aPool*/,
                    const ModelTarget& /*aTarget*/,
                    Duration /*aPrefill*/) override
  {
    ++m_calls;
  }
  void RecordRunning(const PoolId& /*aPool*/,
                     const ModelTarget& /*aTarget*/,
                     int aChange) override
  {
    m_running += aChange;
  }

  std::vector<ModelTarget> m_requested;
  std::function<void(UpstreamId)> m_onLoaded;
  int m_calls = 0;
  int m_running = 0;
};

/// QuotaGate that answers as the test says, at once unless it is told to wait.
class FakeQuotaGate : public QuotaGate
{
public:
  void Take(const Team& /*aTeam*/,
            uint64_t aCost,
            uint32_t /*aRank*/,
            Done aDone) override
  {
    m_taken.push_back(aCost);
    if (m_isWaiting) {
      m_waiting.push_back(std::move(aDone));
      return;
    }
    aDone(m_verdict);
  }
  void GiveBack(const TeamId& /*aTeam*/, uint64_t aCost) override
  {
    m_givenBack.push_back(aCost);
  }

  Verdict m_verdict{ Verdict::Kind::Admitted, Duration::zero() };
  bool m_isWaiting = false;
  std::vector<Done> m_waiting;
  std::vector<uint64_t> m_taken;
  std::vector<uint64_t> m_givenBack;
};

/// RateGranter that grants requests as the test says.
class FakeRateGranter : public RateGranter
{
public:
  void RequestRate(const UpstreamId& aEngine,
                   double /*aRequestsPerSecond*/,
                   Done aDone) override
  {
    m_requested.push_back(aEngine);
    aDone(m_denied.contains(aEngine)
            ? EngineRates::Grant{ false, std::chrono::seconds(2) }
            : EngineRates::Grant{ true, Duration::zero() });
  }
  void ReportRateLimitEnd(const UpstreamId& aEngine) override
  {
    m_ended.push_back(aEngine);
  }

  std::vector<UpstreamId> m_requested;
  std::vector<UpstreamId> m_ended;
  std::set<UpstreamId> m_denied;
};

/// CrashReporter that records what it is told; the test calls m_onTrial for the
/// last request.
class FakeCrashReporter : public CrashReporter
{
public:
  void ReportCrash(const CrashRecord& aRecord) override
  {
    m_crashes.push_back(aRecord);
  }
  void ReportSound(const PromptPartId& aPart, TimePoint aBegunAt) override
  {
    m_sound[aPart] = aBegunAt;
  }
  void RequestTrial(const PromptPartId& /*aPart*/,
                    std::function<void(bool)> aDone) override
  {
    m_onTrial = std::move(aDone);
  }

  std::vector<CrashRecord> m_crashes;
  std::map<PromptPartId, TimePoint> m_sound;
  std::function<void(bool)> m_onTrial;
};

/// Returns the record of an engine that has one model loaded, or none.
/// StreamOrigins whose answers come when the test says so.
class FakeStreamOrigins : public StreamOrigins
{
public:
  void RecordBegin(StreamKey aStream, const SoftwareVersion& aVersion) override
  {
    m_begun.emplace_back(aStream, aVersion);
  }
  void Find(const PoolId& /*aPool*/,
            std::optional<StreamKey> aStream,
            Found aFound) override
  {
    m_asked = aStream;
    m_found = std::move(aFound);
  }

  std::vector<std::pair<StreamKey, SoftwareVersion>> m_begun;
  std::optional<StreamKey> m_asked;
  Found m_found;
};

inline EngineRecord MakeEngine(const std::string& aId,
                               const std::string& aDomain,
                               const std::string& aModel = "")
{
  EngineRecord record;
  record.m_id = UpstreamId(aId);
  record.m_pool = PoolId("pool");
  record.m_address = { "10.0.0.1", 80 };
  record.m_domain = FailureDomainId(aDomain);
  record.m_slots = 4;
  if (!aModel.empty()) {
    record.m_models[aModel] = LoadedModel{ 1, {} };
  }
  return record;
}

} // namespace celeryspread::test
