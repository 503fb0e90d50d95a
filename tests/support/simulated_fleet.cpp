#include "tests/support/simulated_fleet.h"

#include <algorithm>

namespace celeryspread::test {

namespace {

std::vector<std::string> SplitParts(const HttpHeaders& aHeaders)
{
  std::vector<std::string> parts;
  for (const HttpHeader& header : aHeaders) {
    if (header.m_name != "parts") {
      continue;
    }
    size_t start = 0;
    while (start < header.m_value.size()) {
      const size_t end =
        std::min(header.m_value.find(',', start), header.m_value.size());
      parts.push_back(header.m_value.substr(start, end - start));
      start = end + 1;
    }
  }
  return parts;
}

std::string IdOf(const HttpHeaders& aHeaders)
{
  for (const HttpHeader& header : aHeaders) {
    if (header.m_name == "id") {
      return header.m_value;
    }
  }
  return {};
}

Route MakeStreamRoute(const std::string& aPrefix, bool aIsResumable)
{
  Route route;
  route.m_id = RouteId("r" + aPrefix);
  route.m_host = "shop.example";
  route.m_pathPrefix = aPrefix;
  route.m_kind = CallKind::Stream;
  route.m_timeout = std::chrono::seconds(12);
  route.m_objective = std::chrono::milliseconds(500);
  route.m_maxEventGap = std::chrono::milliseconds(200);
  route.m_maxRuns = aIsResumable ? 2 : 1;
  route.m_isResumable = aIsResumable;
  route.m_pools = { { PoolId("pool"), 1 } };
  return route;
}

/// Returns a route whose calls have no prompt.
Route MakePlainRoute(const std::string& aPrefix, CallKind aKind)
{
  Route route;
  route.m_id = RouteId("r" + aPrefix);
  route.m_host = "shop.example";
  route.m_pathPrefix = aPrefix;
  route.m_kind = aKind;
  route.m_timeout = std::chrono::seconds(6);
  route.m_objective = std::chrono::milliseconds(400);
  route.m_maxRuns = aKind == CallKind::Idempotent ? 3 : 1;
  route.m_pools = { { PoolId("pool"), 1 } };
  return route;
}

constexpr uint32_t kSlots = 32;

} // namespace

struct SimulatedEngines::Request
{
  const UpstreamClient* m_client = nullptr;
  UpstreamObserver* m_observer = nullptr;
  std::string m_address;
  UpstreamId m_expected;
  std::string m_attempt;
  std::vector<std::string> m_parts;
  bool m_isCancelled = false;
  bool m_hasEnded = false;
  /// Whether any byte of the answer was sent.
  bool m_hasAnswerBytes = false;
  std::shared_ptr<Arrival> m_arrival;
};

class SimulatedEngines::Client : public UpstreamClient
{
public:
  explicit Client(SimulatedEngines& aEngines)
    : m_engines(aEngines)
  {
  }
  std::unique_ptr<UpstreamCall> Start(UpstreamRequest aRequest,
                                      UpstreamObserver& aObserver) override
  {
    auto request = std::make_shared<Request>();
    request->m_client = this;
    request->m_observer = &aObserver;
    request->m_address = aRequest.m_address.m_address;
    request->m_attempt = IdOf(aRequest.m_headers);
    request->m_parts = SplitParts(aRequest.m_headers);
    request->m_parts.push_back(aRequest.m_path);
    for (const HttpHeader& header : aRequest.m_headers) {
      if (header.m_name == "upstream") {
        request->m_expected = UpstreamId(header.m_value);
      }
    }
    m_engines.m_time.Schedule(
      m_engines.m_time.Now() + m_engines.m_options.m_networkDelay,
      [&engines = m_engines, request] { engines.Receive(request); });
    return std::make_unique<Call>(request);
  }

private:
  class Call : public UpstreamCall
  {
  public:
    explicit Call(std::shared_ptr<Request> aRequest)
      : m_request(std::move(aRequest))
    {
    }
    ~Call() override { m_request->m_isCancelled = true; }
    void Pause() override {}
    void Resume() override {}
    [[nodiscard]] bool IsConnectionReused() const override { return false; }
    [[nodiscard]] bool HasCarried(std::string_view) const override
    {
      return false;
    }
    bool DiscardAnswer() override { return false; }

  private:
    std::shared_ptr<Request> m_request;
  };

  SimulatedEngines& m_engines;
};

SimulatedEngines::SimulatedEngines(SimulatedTime& aTime, Options aOptions)
  : m_time(aTime)
  , m_options(std::move(aOptions))
{
  for (size_t i = 0; i < m_options.m_engines; ++i) {
    Engine engine;
    engine.m_record =
      MakeEngine("e" + std::to_string(i) + "-1",
                 m_options.m_domains[i % m_options.m_domains.size()],
                 "m");
    engine.m_record.m_address = { "10.0.0." + std::to_string(i), 80 };
    engine.m_record.m_slots = kSlots;
    m_engines.push_back(std::move(engine));
  }
}

void SimulatedEngines::AddListener(RecordListener aListener)
{
  for (const Engine& engine : m_engines) {
    aListener(engine.m_record, false);
  }
  m_listeners.push_back(std::move(aListener));
}

std::unique_ptr<UpstreamClient> SimulatedEngines::MakeClient()
{
  return std::make_unique<Client>(*this);
}

size_t SimulatedEngines::ArrivalsAfter(const std::string& aPart,
                                       TimePoint aAfter) const
{
  return static_cast<size_t>(std::count_if(
    m_arrivals.begin(), m_arrivals.end(), [&](const auto& aArrival) {
      const auto& parts = aArrival->m_parts;
      return aArrival->m_at > aAfter &&
             std::find(parts.begin(), parts.end(), aPart) != parts.end();
    }));
}

std::string SimulatedEngines::FirstPoison(
  const Request& aRequest,
  const std::set<std::string>& aPoisonParts)
{
  for (const std::string& part : aRequest.m_parts) {
    if (aPoisonParts.contains(part)) {
      return part;
    }
  }
  return {};
}

void SimulatedEngines::Notify(const std::shared_ptr<Request>& aRequest,
                              std::function<void(UpstreamObserver&)> aAction)
{
  m_time.Schedule(m_time.Now() + m_options.m_networkDelay,
                  [aRequest, action = std::move(aAction)] {
                    if (!aRequest->m_isCancelled) {
                      action(*aRequest->m_observer);
                    }
                  });
}

void SimulatedEngines::Receive(const std::shared_ptr<Request>& aRequest)
{
  const auto found = std::find_if(
    m_engines.begin(), m_engines.end(), [&](const Engine& aEngine) {
      return aEngine.m_record.m_address.m_address == aRequest->m_address;
    });
  if (aRequest->m_isCancelled) {
    return;
  }
  if (!found->m_isUp) {
    aRequest->m_hasEnded = true;
    Notify(aRequest, [](UpstreamObserver& aObserver) {
      aObserver.OnUpstreamFailed(
        { UpstreamFailureKind::ConnectFailed, false, "no connection" });
    });
    return;
  }
  if (found->m_record.m_id != aRequest->m_expected) {
    aRequest->m_hasEnded = true;
    Notify(aRequest, [aRequest](UpstreamObserver& aObserver) {
      aObserver.OnUpstreamHeaders(
        421, { { "id", aRequest->m_attempt }, { "not-run", "1" } });
      aObserver.OnUpstreamEnd();
    });
    return;
  }
  aRequest->m_arrival = std::make_shared<Arrival>(Arrival{ m_time.Now(),
                                                           found->m_record.m_id,
                                                           aRequest->m_attempt,
                                                           aRequest->m_parts });
  m_arrivals.push_back(aRequest->m_arrival);
  found->m_requests.push_back(aRequest);
  const auto index = static_cast<size_t>(found - m_engines.begin());
  m_time.Schedule(m_time.Now() + m_options.m_prefill,
                  [this, aRequest, index] { Begin(aRequest, index); });
}

void SimulatedEngines::Begin(const std::shared_ptr<Request>& aRequest,
                             size_t aIndex)
{
  if (aRequest->m_hasEnded || aRequest->m_isCancelled) {
    aRequest->m_hasEnded = true;
    return;
  }
  aRequest->m_arrival->m_hasBegun = true;
  const std::string poison = FirstPoison(*aRequest, m_poisonParts);
  if (!poison.empty()) {
    BeginPoisonous(aRequest, aIndex, poison);
    return;
  }
  HttpHeaders headers = { { "id", aRequest->m_attempt }, { "signed", "x" } };
  const auto limit = m_limits.find(aIndex);
  if (limit != m_limits.end()) {
    headers.push_back({ "limit", std::to_string(limit->second) });
  }
  aRequest->m_hasAnswerBytes = true;
  Notify(aRequest, [headers](UpstreamObserver& aObserver) {
    aObserver.OnUpstreamHeaders(200, headers);
  });
  SendEvent(aRequest, 1);
}

void SimulatedEngines::BeginPoisonous(const std::shared_ptr<Request>& aRequest,
                                      size_t aIndex,
                                      const std::string& aPoison)
{
  const bool isError = m_crashMoment == CrashMoment::HeadersOfAnError;
  aRequest->m_hasAnswerBytes = m_crashMoment != CrashMoment::Nothing;
  if (isError || m_crashMoment == CrashMoment::Headers) {
    Notify(aRequest, [aRequest, isError](UpstreamObserver& aObserver) {
      aObserver.OnUpstreamHeaders(
        isError ? 500 : 200,
        { { "id", aRequest->m_attempt }, { "signed", "x" } });
    });
  }
  m_time.Schedule(
    m_time.Now() + m_options.m_crashDelay,
    [this, aIndex, aRequest, aPoison, run = m_engines[aIndex].m_run] {
      if (m_engines[aIndex].m_run == run && m_engines[aIndex].m_isUp) {
        m_crashes[aPoison].push_back(m_time.Now());
        Crash(aIndex);
      }
    });
}

void SimulatedEngines::SendEvent(const std::shared_ptr<Request>& aRequest,
                                 uint32_t aNumber)
{
  if (aRequest->m_hasEnded || aRequest->m_isCancelled) {
    aRequest->m_hasEnded = true;
    return;
  }
  if (aNumber > m_options.m_events) {
    aRequest->m_hasEnded = true;
    Notify(aRequest,
           [](UpstreamObserver& aObserver) { aObserver.OnUpstreamEnd(); });
    return;
  }
  m_time.Schedule(m_time.Now() + m_options.m_eventGap,
                  [this, aRequest, aNumber] {
                    if (aRequest->m_hasEnded) {
                      return;
                    }
                    Notify(aRequest, [aNumber](UpstreamObserver& aObserver) {
                      aObserver.OnUpstreamBody(
                        "id: " + std::to_string(aNumber) + "\ndata: x\n\n");
                    });
                    SendEvent(aRequest, aNumber + 1);
                  });
}

void SimulatedEngines::BreakOff(const std::shared_ptr<Request>& aRequest)
{
  if (aRequest->m_hasEnded) {
    return;
  }
  aRequest->m_hasEnded = true;
  Notify(aRequest, [aRequest](UpstreamObserver& aObserver) {
    aObserver.OnUpstreamFailed({ UpstreamFailureKind::ConnectionLost,
                                 true,
                                 "lost",
                                 aRequest->m_hasAnswerBytes });
  });
}

bool SimulatedEngines::IsUp(const UpstreamId& aId) const
{
  return std::any_of(
    m_engines.begin(), m_engines.end(), [&](const Engine& aEngine) {
      return aEngine.m_isUp && aEngine.m_record.m_id == aId;
    });
}

void SimulatedEngines::Crash(size_t aIndex)
{
  Engine& engine = m_engines[aIndex];
  engine.m_isUp = false;
  for (const auto& request : engine.m_requests) {
    BreakOff(request);
  }
  engine.m_requests.clear();
  m_time.Schedule(m_time.Now() + m_options.m_restartDelay,
                  [this, aIndex] { Restart(aIndex); });
}

void SimulatedEngines::Restart(size_t aIndex)
{
  Engine& engine = m_engines[aIndex];
  const EngineRecord former = engine.m_record;
  ++engine.m_run;
  engine.m_record.m_id = UpstreamId("e" + std::to_string(aIndex) + "-" +
                                    std::to_string(engine.m_run));
  engine.m_isUp = true;
  for (const RecordListener& listener : m_listeners) {
    listener(former, true);
    listener(engine.m_record, false);
  }
}

double SimulatedEngines::WorstExcess(TimePoint aSince, Duration aWindow) const
{
  constexpr double kTolerance = 1.5;
  constexpr double kSlack = 5;
  constexpr double kMicrosPerSecond = 1e6;
  double worst = -kSlack;
  for (const auto& [index, limit] : m_limits) {
    const double allowed = kTolerance * limit *
                             static_cast<double>(aWindow.count()) /
                             kMicrosPerSecond +
                           kSlack;
    std::deque<TimePoint> window;
    for (const auto& arrival : m_arrivals) {
      if (arrival->m_engine != m_engines[index].m_record.m_id ||
          arrival->m_at < aSince) {
        continue;
      }
      window.push_back(arrival->m_at);
      while (window.front() <= arrival->m_at - aWindow) {
        window.pop_front();
      }
      worst = std::max(worst, static_cast<double>(window.size()) - allowed);
    }
  }
  return worst;
}

void SimulatedEngines::ResetConnections(const UpstreamClient* aClient)
{
  for (Engine& engine : m_engines) {
    for (const auto& request : engine.m_requests) {
      if (request->m_client == aClient) {
        BreakOff(request);
      }
    }
  }
}

SimulatedOwner::SimulatedOwner(SimulatedTime& aTime,
                               const SimulatedEngines& aEngines,
                               Duration aNetworkDelay)
  : m_time(aTime)
  , m_engines(aEngines)
  , m_timers(aTime)
  , m_networkDelay(aNetworkDelay)
  , m_timer(
      m_timers.Every(std::chrono::milliseconds(50), [this] { Publish(); }))
{
}

void SimulatedOwner::Publish()
{
  m_crashes.Tick(m_time.Now());
  const bool isNew = m_crashes.Version() != m_publishedVersion;
  m_publishedVersion = m_crashes.Version();
  for (SimulatedEntry* entry : m_entries) {
    if (!entry->IsCutOff()) {
      entry->RecordContact();
    }
    // Entries ask again all the time, so a list that was lost comes later.
    if (!isNew && !entry->IsBehind(m_epoch, m_publishedVersion)) {
      continue;
    }
    m_time.Schedule(m_time.Now() + m_networkDelay,
                    [entry = entry->WeakSelf(),
                     epoch = m_epoch,
                     version = m_publishedVersion,
                     parts = m_crashes.Suspects()] {
                      if (*entry != nullptr && !(*entry)->IsCutOff()) {
                        (*entry)->Apply(epoch, version, parts);
                      }
                    });
  }
}

void SimulatedOwner::RecordCrash(const CrashRecord& aRecord)
{
  m_crashes.RecordCrash(aRecord, m_time.Now());
  const TimePoint sentAt = m_time.Now();
  m_time.Schedule(sentAt + 2 * m_networkDelay,
                  [this, engine = aRecord.m_engine, sentAt, epoch = m_epoch] {
                    if (epoch == m_epoch && m_engines.IsUp(engine)) {
                      m_crashes.RecordAlive(engine, sentAt, m_time.Now());
                    }
                  });
}

void SimulatedOwner::Replace()
{
  ++m_epoch;
  m_crashes.Clear();
  m_rates.Clear();
}

void SimulatedOwner::Send(const SimulatedEntry& aEntry,
                          std::function<void(SimulatedOwner&)> aMessage)
{
  if (aEntry.IsCutOff()) {
    return;
  }
  m_time.Schedule(m_time.Now() + m_networkDelay,
                  [this, epoch = m_epoch, message = std::move(aMessage)] {
                    if (epoch == m_epoch) {
                      message(*this);
                    }
                  });
}

SimulatedEntry::SimulatedEntry(SimulatedTime& aTime,
                               SimulatedEngines& aEngines,
                               SimulatedOwner& aOwner,
                               const std::string& aDomain,
                               uint32_t aEntryCount,
                               uint64_t aSeed)
  : m_time(aTime)
  , m_clock(aTime, 0)
  , m_timers(aTime)
  , m_random(aSeed)
  , m_client(aEngines.MakeClient())
  , m_selector(m_table,
               FailureDomainId(aDomain),
               { { FailureDomainId("here"), RegionId("r1") },
                 { FailureDomainId("near"), RegionId("r1") },
                 { FailureDomainId("far"), RegionId("r2") } },
               m_random)
  , m_owner(aOwner)
  , m_entryCount(aEntryCount)
  , m_crashes(
      { m_clock, m_timers, m_table, m_quarantine, *this, m_metrics, m_log })
  , m_domain(aDomain)
  , m_context{ m_clock,    m_timers,   *m_client, m_codec,
               m_table,    m_selector, m_retries, m_prefill,
               m_control,  m_control,  m_crashes, *this,
               m_access,   m_quota,    m_domain,  m_metrics,
               m_log,      nullptr,    nullptr,   std::chrono::seconds(3),
               &m_requests }
  , m_gateway(std::make_unique<Gateway>(m_context))
{
  RouteConfigData data;
  data.m_version = Revision(1);
  data.m_pools = { Pool{ PoolId("pool"), "/healthz", 240, std::nullopt } };
  data.m_routes = { MakeStreamRoute("/chat/", false),
                    MakeStreamRoute("/report/", true),
                    MakePlainRoute("/status/", CallKind::Idempotent),
                    MakePlainRoute("/pay/", CallKind::NonIdempotent) };
  std::string reason;
  m_gateway->SetConfig(RouteConfig::Make(std::move(data), reason));
  m_access.RecordProof(Revision(1), m_clock.Now());
  m_retries.SetEntryCount(aEntryCount, m_clock.Now());
  aEngines.AddListener(
    [self = m_self](const EngineRecord& aRecord, bool aIsGone) {
      if (*self == nullptr) {
        return;
      }
      if (aIsGone) {
        (*self)->m_table.Remove(aRecord.m_id);
      } else {
        (*self)->m_table.Update(aRecord);
      }
    });
  m_owner.AddEntry(*this);
}

SimulatedEntry::~SimulatedEntry()
{
  m_owner.RemoveEntry(*this);
  *m_self = nullptr;
}

void SimulatedEntry::ReportCrash(const CrashRecord& aRecord)
{
  m_reported.push_back(aRecord);
  m_owner.Send(
    *this, [aRecord](SimulatedOwner& aOwner) { aOwner.RecordCrash(aRecord); });
}

void SimulatedEntry::ReportSound(const PromptPartId& aPart, TimePoint aBegunAt)
{
  m_owner.Send(*this, [=, &time = m_time](SimulatedOwner& aOwner) {
    aOwner.Crashes().RecordSound(aPart, aBegunAt, time.Now());
  });
}

void SimulatedEntry::RequestTrial(const PromptPartId& aPart,
                                  std::function<void(bool)> aDone)
{
  if (m_isCutOff) {
    aDone(false);
    return;
  }
  m_owner.Send(
    *this,
    [=, self = m_self, &time = m_time, delay = m_owner.NetworkDelay()](
      SimulatedOwner& aOwner) {
      const bool isPermitted =
        aOwner.Crashes().TryStartTrial(aPart, time.Now());
      time.Schedule(time.Now() + delay, [=] {
        if (*self != nullptr) {
          aDone(isPermitted);
        }
      });
    });
}

void SimulatedEntry::RequestRate(const UpstreamId& aEngine,
                                 double aRequestsPerSecond,
                                 Done aDone)
{
  if (m_isCutOff) {
    aDone(m_ownRates.TryTake(
      aEngine, aRequestsPerSecond / m_entryCount, m_time.Now()));
    return;
  }
  m_owner.Send(
    *this,
    [=, self = m_self, &time = m_time, delay = m_owner.NetworkDelay()](
      SimulatedOwner& aOwner) {
      const EngineRates::Grant grant =
        aOwner.Rates().TryTake(aEngine, aRequestsPerSecond, time.Now());
      time.Schedule(time.Now() + delay, [=] {
        if (*self != nullptr) {
          aDone(grant);
        }
      });
    });
}

void SimulatedEntry::ReportRateLimitEnd(const UpstreamId& aEngine)
{
  m_owner.Send(*this, [aEngine](SimulatedOwner& aOwner) {
    aOwner.Rates().Forget(aEngine);
  });
}

bool SimulatedEntry::IsBehind(uint64_t aEpoch, uint64_t aVersion) const
{
  return m_quarantine.Epoch() != aEpoch || m_quarantine.Version() < aVersion;
}

void SimulatedEntry::Apply(uint64_t aEpoch,
                           uint64_t aVersion,
                           const CrashInvestigation::Parts& aParts)
{
  const uint64_t former = m_quarantine.Epoch();
  m_quarantine.Apply(aEpoch, aVersion, aParts);
  if (m_quarantine.Epoch() == former) {
    return;
  }
  m_owner.Send(*this,
               [carried = m_quarantine.Carried(),
                crashes = m_reported,
                self = m_self,
                aEpoch,
                &time = m_time](SimulatedOwner& aOwner) {
                 for (const auto& [id, part] : carried) {
                   aOwner.Crashes().Restore(part, time.Now());
                 }
                 for (const CrashRecord& crash : crashes) {
                   aOwner.RecordCrash(crash);
                 }
                 if (*self != nullptr) {
                   (*self)->m_quarantine.ConfirmCarried(
                     aEpoch, aOwner.Crashes().Version());
                 }
               });
}

SimulatedEntry::Sent& SimulatedEntry::Call(
  const std::string& aPath,
  const std::vector<std::string>& aParts)
{
  // No two prompts are alike.
  return CallPrompt(
    aPath, aParts, m_domain.Value() + std::to_string(m_calls.size()));
}

SimulatedEntry::Sent& SimulatedEntry::CallPrompt(
  const std::string& aPath,
  const std::vector<std::string>& aParts,
  const std::string& aBody)
{
  std::string parts;
  for (const std::string& part : aParts) {
    parts += part + ",";
  }
  // The last part belongs to the call itself.
  return Send("POST",
              aPath,
              aParts,
              { { "model", "m" }, { "parts", parts + "own" + aBody } },
              aBody);
}

SimulatedEntry::Sent& SimulatedEntry::CallPlain(const std::string& aPath)
{
  return Send("GET", aPath, {}, {}, "");
}

SimulatedEntry::Sent& SimulatedEntry::Send(
  const std::string& aMethod,
  const std::string& aPath,
  const std::vector<std::string>& aParts,
  const HttpHeaders& aHeaders,
  const std::string& aBody)
{
  m_calls.emplace_back();
  Sent& sent = m_calls.back();
  sent.m_at = m_time.Now();
  sent.m_attempt =
    m_domain.Value() + std::to_string(reinterpret_cast<uintptr_t>(&sent));
  sent.m_parts = aParts;
  HttpHeaders headers = aHeaders;
  headers.push_back({ "Host", "shop.example" });
  headers.push_back({ "id", sent.m_attempt });
  m_gateway->OnCall(std::make_unique<FakeCallerCall>(
    sent.m_record, aMethod, aPath, std::move(headers), aBody));
  return sent;
}

} // namespace celeryspread::test
