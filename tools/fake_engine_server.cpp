#include "tools/fake_engine_server.h"
#include "http/http_status.h"

#include <algorithm>
#include <cstdlib>

#include <nlohmann/json.hpp>

namespace celeryspread {

namespace {

using nlohmann::json;

/// @unit microseconds.
constexpr Duration kMinTokenInterval(100);
constexpr std::string_view kRepositoryPrefix = "/v2/repository/models/";
/// Also the end of "unload_lora_adapter".
constexpr std::string_view kAdapterOrderSuffix = "load_lora_adapter";

/// Returns the number of a directive "name=number" in a prompt, or aDefault
/// without one.
int64_t ParseDirective(const std::string& aPrompt,
                       const std::string& aName,
                       int64_t aDefault)
{
  const size_t position = aPrompt.find(aName + "=");
  if (position == std::string::npos) {
    return aDefault;
  }
  return std::strtoll(
    aPrompt.c_str() + position + aName.size() + 1, nullptr, 10);
}

/// Returns whether a request asks to continue its last message, the partial
/// answer of an earlier attempt.
bool ContinuesLastMessage(const json& aBody)
{
  return aBody.value("continue_final_message", false) &&
         aBody["messages"].size() > 1;
}

/// Counts the tokens "tN " that the message to continue already holds.
int64_t CountContinuedTokens(const json& aBody)
{
  if (!ContinuesLastMessage(aBody)) {
    return 0;
  }
  const auto text = aBody["messages"].back().value("content", "");
  return std::count(text.begin(), text.end(), ' ');
}

std::string PromptOf(const json& aBody)
{
  if (aBody.contains("messages") && aBody["messages"].is_array() &&
      !aBody["messages"].empty()) {
    const json& messages = aBody["messages"];
    const size_t lastIndex =
      ContinuesLastMessage(aBody) ? messages.size() - 2 : messages.size() - 1;
    return messages[lastIndex].value("content", "");
  }
  return aBody.value("prompt", "");
}

void ReplyJson(CallerCall& aCall, int aStatus, const json& aBody)
{
  aCall.Reply(
    aStatus, { { "Content-Type", "application/json" } }, aBody.dump());
}

} // namespace

/// A completion in progress.
class FakeEngine::Stream : public CallerObserver
{
public:
  Stream(FakeEngine& aEngine,
         std::unique_ptr<CallerCall> aCall,
         const json& aBody)
    : m_engine(aEngine)
    , m_call(std::move(aCall))
    , m_model(aBody.value("model", ""))
    , m_prompt(PromptOf(aBody))
    , m_wantsStream(aBody.value("stream", false))
    , m_tokenCount(
        ParseDirective(m_prompt, "tokens", aEngine.m_options.m_defaultTokens))
    , m_firstToken(CountContinuedTokens(aBody))
  {
    m_call->SetObserver(this);
    m_nextToken = m_firstToken;
  }

  void Start()
  {
    if (m_wantsStream) {
      m_call->StartStream(HttpStatus::kOk,
                          { { "Content-Type", "text/event-stream" } });
    }
    const auto interval =
      ParseDirective(m_prompt,
                     "interval_ms",
                     m_engine.m_options.m_tokenInterval.count() / 1000);
    if (interval == 0) {
      SendAllAtOnce();
      return;
    }
    m_timer = m_engine.m_timers.Every(
      std::max<Duration>(std::chrono::milliseconds(interval),
                         kMinTokenInterval),
      [this] { SendNext(); });
  }

  /// Sends all tokens in one callback, since the resolution of timers is
  /// coarse.
  void SendAllAtOnce()
  {
    while (!m_hasEnded && !IsSilent()) {
      SendNext();
    }
  }

  void OnCallerDisconnected() override
  {
    ++m_engine.m_cancelled;
    End();
  }
  void OnOutputDrained() override {}

private:
  [[nodiscard]] std::string TokenText(int64_t aIndex) const
  {
    return "t" + std::to_string(aIndex) + " ";
  }

  bool InjectFault()
  {
    // Continued answers get no faults unless the prompt says "always=1", so
    // that a resumed stream can complete.
    const bool isContinued = m_firstToken > 0;
    if (isContinued && ParseDirective(m_prompt, "always", 0) == 0) {
      return false;
    }
    const int64_t sentTokens = m_nextToken - m_firstToken;
    if (sentTokens == ParseDirective(m_prompt, "stop_after", -1)) {
      m_call->Abort();
      End();
      return true;
    }
    if (sentTokens == ParseDirective(m_prompt, "garbage_after", -1)) {
      m_call->SendChunk("\x01garbage without framing\n\n");
      m_call->EndStream();
      End();
      return true;
    }
    if (sentTokens == ParseDirective(m_prompt, "short_after", -1)) {
      m_call->EndStream();
      End();
      return true;
    }
    return IsSilent();
  }

  [[nodiscard]] bool IsSilent() const
  {
    if (m_engine.m_isSilent) {
      return true;
    }
    if (m_firstToken > 0 && ParseDirective(m_prompt, "always", 0) == 0) {
      return false;
    }
    return m_nextToken - m_firstToken ==
           ParseDirective(m_prompt, "silent_after", -1);
  }

  void SendNext()
  {
    if (InjectFault()) {
      return;
    }
    if (m_nextToken < m_tokenCount) {
      SendToken();
      return;
    }
    if (m_wantsStream) {
      m_call->SendChunk("data: [DONE]\n\n");
      m_call->EndStream();
    } else {
      ReplyWhole();
    }
    End();
  }

  void SendToken()
  {
    const std::string text = TokenText(m_nextToken++);
    m_text += text;
    if (!m_wantsStream) {
      return;
    }
    const json delta = { { "content", text } };
    const json choice = { { "index", 0 },
                          { "delta", delta },
                          { "finish_reason", nullptr } };
    const json event = { { "object", "chat.completion.chunk" },
                         { "model", m_model },
                         { "choices", json::array({ choice }) } };
    m_call->SendChunk("data: " + event.dump() + "\n\n");
  }

  void ReplyWhole()
  {
    const json message = { { "role", "assistant" },
                           { "content", m_text + "for:" + m_prompt } };
    const json choice = { { "index", 0 },
                          { "message", message },
                          { "finish_reason", "stop" } };
    ReplyJson(*m_call,
              HttpStatus::kOk,
              { { "object", "chat.completion" },
                { "model", m_model },
                { "choices", json::array({ choice }) } });
  }

  void End()
  {
    m_hasEnded = true;
    m_timer.reset();
    m_engine.RetireStream(this);
  }

  FakeEngine& m_engine;
  std::unique_ptr<CallerCall> m_call;
  std::string m_model;
  std::string m_prompt;
  std::string m_text;
  bool m_wantsStream;
  int64_t m_tokenCount;
  int64_t m_firstToken;
  int64_t m_nextToken = 0;
  bool m_hasEnded = false;
  std::unique_ptr<Timer> m_timer;
};

FakeEngine::FakeEngine(Timers& aTimers, FakeEngineOptions aOptions)
  : m_timers(aTimers)
  , m_options(std::move(aOptions))
{
}

FakeEngine::~FakeEngine() = default;

void FakeEngine::OnCall(std::unique_ptr<CallerCall> aCall)
{
  m_endedStreams.clear();
  const std::string_view path = aCall->Path();
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    HandleCompletion(std::move(aCall));
  } else if (path == "/metrics") {
    HandleMetrics(*aCall);
  } else if (path.starts_with(kRepositoryPrefix) ||
             path.ends_with(kAdapterOrderSuffix)) {
    HandleOrder(std::move(aCall));
  } else {
    ReplyJson(*aCall, HttpStatus::kNotFound, { { "error", "no such path" } });
  }
}

void FakeEngine::HandleCompletion(std::unique_ptr<CallerCall> aCall)
{
  const json body = json::parse(aCall->Body(), nullptr, false);
  if (!body.is_object()) {
    ReplyJson(*aCall, HttpStatus::kBadRequest, { { "error", "no JSON" } });
    return;
  }
  if (!m_options.m_resident.contains(body.value("model", ""))) {
    ReplyJson(
      *aCall, HttpStatus::kNotFound, { { "error", "model is not resident" } });
    return;
  }
  const int64_t status =
    ParseDirective(PromptOf(body), "status", HttpStatus::kOk);
  if (status != HttpStatus::kOk) {
    aCall->Reply(static_cast<int>(status),
                 { { "X-Outcome", "not_run" } },
                 "{\"error\":\"refused\"}");
    return;
  }
  ++m_started;
  auto stream = std::make_unique<Stream>(*this, std::move(aCall), body);
  Stream* key = stream.get();
  m_streams.emplace(key, std::move(stream));
  key->Start();
}

void FakeEngine::RetireStream(Stream* aStream)
{
  const auto found = m_streams.find(aStream);
  if (found != m_streams.end()) {
    m_endedStreams.push_back(std::move(found->second));
    m_streams.erase(found);
  }
}

void FakeEngine::HandleMetrics(CallerCall& aCall) const
{
  std::string page;
  page += "# TYPE engine_requests_running gauge\n";
  page += "engine_requests_running " + std::to_string(m_streams.size()) + "\n";
  page += "engine_requests_waiting 0\n";
  page += std::string("engine_leaving ") + (m_isLeaving ? "1" : "0") + "\n";
  for (const std::string& model : m_options.m_resident) {
    page += "engine_resident{model=\"" + model + "\"} 1\n";
  }
  for (const auto& [name, bytes] : m_memoryByName) {
    page += "engine_resident_bytes{model=\"" + name + "\"} " +
            std::to_string(bytes) + "\n";
    if (!m_options.m_resident.contains(name)) {
      page += "engine_loading{model=\"" + name + "\"} 1\n";
    }
  }
  aCall.Reply(HttpStatus::kOk, { { "Content-Type", "text/plain" } }, page);
}

void FakeEngine::HandleOrder(std::unique_ptr<CallerCall> aCall)
{
  const json body = json::parse(aCall->Body(), nullptr, false);
  if (!body.is_object()) {
    ReplyJson(*aCall, HttpStatus::kBadRequest, { { "error", "no JSON" } });
    return;
  }
  const std::string path(aCall->Path());
  const bool isLoad = path.find("unload") == std::string::npos;
  std::string name = body.value("lora_name", "");
  if (path.starts_with(kRepositoryPrefix)) {
    const std::string rest = path.substr(kRepositoryPrefix.size());
    name = rest.substr(0, rest.rfind('/'));
  }
  const auto token = body.value("fencing_token", uint64_t{ 0 });
  if (m_options.m_checksFencing && token < m_fencingToken) {
    ReplyJson(
      *aCall, HttpStatus::kConflict, { { "error", "old fencing token" } });
    return;
  }
  m_fencingToken = std::max(m_fencingToken, token);
  const auto bytes = body.value("memory_bytes", uint64_t{ 0 });
  uint64_t usedBytes = 0;
  for (const auto& [resident, size] : m_memoryByName) {
    usedBytes += size;
  }
  const bool exceedsMemory = isLoad && m_options.m_memoryBytes != 0 &&
                             !m_memoryByName.contains(name) &&
                             usedBytes + bytes > m_options.m_memoryBytes;
  if (exceedsMemory) {
    m_peakMemory = std::max(m_peakMemory, usedBytes + bytes);
    ReplyJson(*aCall,
              HttpStatus::kInsufficientStorage,
              { { "error", "out of memory" } });
    return;
  }
  if (isLoad) {
    m_memoryByName[name] = bytes;
    m_peakMemory = std::max(m_peakMemory, usedBytes + bytes);
  }
  std::shared_ptr<CallerCall> call = std::move(aCall);
  m_orderTimers.push_back(
    m_timers.After(isLoad ? m_options.m_loadTime : Duration::zero(),
                   [this, call, name, isLoad, bytes] {
                     ApplyOrder(name, isLoad, bytes);
                     ReplyJson(*call, HttpStatus::kOk, json::object());
                   }));
}

void FakeEngine::ApplyOrder(const std::string& aName,
                            bool aIsLoad,
                            uint64_t aBytes)
{
  if (aIsLoad) {
    m_memoryByName[aName] = aBytes;
    m_options.m_resident.insert(aName);
    return;
  }
  m_memoryByName.erase(aName);
  m_options.m_resident.erase(aName);
}

} // namespace celeryspread
