#include "entry/entry_app.h"
#include "core/json_text.h"
#include "http/http_status.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace celeryspread {

namespace {

using nlohmann::json;

constexpr Duration kDeadlineCheckPeriod = std::chrono::milliseconds(20);

void ReplyJson(CallerCall& aCall, int aStatus, const json& aBody)
{
  aCall.Reply(
    aStatus, { { "Content-Type", "application/json" } }, FormatJson(aBody));
}

ErrorReply MakeRequestError(int aStatus,
                            std::string aCode,
                            std::string aMessage)
{
  ErrorReply error;
  error.m_status = aStatus;
  error.m_type = "invalid_request_error";
  error.m_code = std::move(aCode);
  error.m_message = std::move(aMessage);
  return error;
}

} // namespace

EntryApp::EntryApp(EntryContext& aContext,
                   FailureDomainId aOwnDomain,
                   AdminForwarder* aAdmin)
  : m_context(aContext)
  , m_preparer(std::move(aOwnDomain))
  , m_admin(aAdmin)
{
}

EntryApp::~EntryApp() = default;

void EntryApp::SetCatalog(std::shared_ptr<const Catalog> aCatalog)
{
  const bool isOlder = m_catalog != nullptr && aCatalog->CurrentRevision() <=
                                                 m_catalog->CurrentRevision();
  if (isOlder) {
    return;
  }
  m_catalog = std::move(aCatalog);
  m_context.m_upstreamTable.SetCatalog(*m_catalog);
  m_context.m_metrics.SetGauge(
    "celeryspread_config_revision",
    static_cast<double>(m_catalog->CurrentRevision().Value()));
  m_context.m_log.Write(EventId::ConfigInForce,
                        "revision=" +
                          std::to_string(m_catalog->CurrentRevision().Value()));
}

const EntryApp::Endpoint* EntryApp::FindEndpoint(std::string_view aPath)
{
  static constexpr Endpoint kEndpoints[] = {
    { "/v1/chat/completions", false, &EntryApp::HandleCompletion },
    { "/v1/completions", false, &EntryApp::HandleCompletion },
    { "/v1/models", false, &EntryApp::HandleModels },
    { "/services/", true, &EntryApp::HandlePlainService },
    { "/healthz", false, &EntryApp::HandleHealth },
    { "/readyz", false, &EntryApp::HandleReady },
    { "/metrics", false, &EntryApp::HandleMetrics },
    { "/status", false, &EntryApp::HandleStatus },
    { "/admin/", true, &EntryApp::HandleAdmin },
  };
  for (const Endpoint& endpoint : kEndpoints) {
    const bool matches = endpoint.m_isPrefix
                           ? aPath.starts_with(endpoint.m_path)
                           : aPath == endpoint.m_path;
    if (matches) {
      return &endpoint;
    }
  }
  return nullptr;
}

void EntryApp::OnCall(std::unique_ptr<CallerCall> aCall)
{
  const Endpoint* endpoint = FindEndpoint(aCall->Path());
  if (endpoint == nullptr) {
    ReplyError(*aCall,
               MakeRequestError(
                 HttpStatus::kNotFound, "path_not_found", "no such path"));
    return;
  }
  (this->*endpoint->m_handler)(std::move(aCall));
}

void EntryApp::ReplyError(CallerCall& aCall, const ErrorReply& aError)
{
  m_context.m_metrics.CountOutcome({ "", aError.m_status });
  aCall.Reply(aError.m_status, ErrorHeaders(aError), ErrorBody(aError));
}

void EntryApp::HandleCompletion(std::unique_ptr<CallerCall> aCall)
{
  if (aCall->Method() != "POST") {
    ReplyError(*aCall,
               MakeRequestError(HttpStatus::kMethodNotAllowed,
                                "method_not_allowed",
                                "use POST here"));
    return;
  }
  if (m_catalog == nullptr) {
    ReplyError(*aCall,
               MakeRequestError(HttpStatus::kUnavailable,
                                "not_ready",
                                "no settings are in force yet"));
    return;
  }
  std::optional<PreparedCall> prepared =
    m_preparer.PrepareCompletion(*aCall, m_catalog, m_context.m_clock.Now());
  if (!prepared) {
    ReplyError(*aCall, m_preparer.LastError());
    return;
  }
  StartSession(std::move(aCall), std::move(*prepared));
}

void EntryApp::HandlePlainService(std::unique_ptr<CallerCall> aCall)
{
  if (m_catalog == nullptr) {
    ReplyError(*aCall,
               MakeRequestError(HttpStatus::kUnavailable,
                                "not_ready",
                                "no settings are in force yet"));
    return;
  }
  std::optional<PreparedCall> prepared =
    m_preparer.PreparePlainService(*aCall, m_catalog, m_context.m_clock.Now());
  if (!prepared) {
    ReplyError(*aCall, m_preparer.LastError());
    return;
  }
  StartSession(std::move(aCall), std::move(*prepared));
}

void EntryApp::StartSession(std::unique_ptr<CallerCall> aCall,
                            PreparedCall aPrepared)
{
  const ServiceLimit limit{
    aPrepared.m_settings.Get(SettingKey::MaxConcurrentCalls),
    aPrepared.m_settings.Get(SettingKey::MaxRequestsPerSecond)
  };
  if (!m_context.m_limits.TryAdmit(
        aPrepared.m_service, limit, m_context.m_clock.Now())) {
    ErrorReply error = MakeRequestError(HttpStatus::kTooManyRequests,
                                        "rate_limit_exceeded",
                                        "the limit of this key is reached");
    error.m_type = "rate_limit_error";
    error.m_retryAfterSeconds = 1;
    ReplyError(*aCall, error);
    return;
  }
  Span span = m_context.m_tracer.StartRoot(
    "entry",
    aCall->Header("traceparent"),
    aPrepared.m_settings.Get(SettingKey::TraceSamplePercent));
  auto session = std::make_unique<CallSession>(
    m_context,
    std::move(aCall),
    std::move(aPrepared),
    std::move(span),
    [this](CallSession& aSession) { RemoveSession(aSession); });
  CallSession* key = session.get();
  m_deadlines.emplace(key->Deadline(), key);
  StartDeadlineTimer();
  m_sessions.emplace(key, std::move(session));
  key->Start();
}

void EntryApp::RemoveSession(CallSession& aSession)
{
  const auto [first, last] = m_deadlines.equal_range(aSession.Deadline());
  const auto entry = std::find_if(first, last, [&](const auto& aEntry) {
    return aEntry.second == &aSession;
  });
  if (entry != last) {
    m_deadlines.erase(entry);
  }
  const auto found = m_sessions.find(&aSession);
  // A method of the session is still running, so a later loop event destroys
  // it.
  m_finishedSessions.push_back(std::move(found->second));
  m_sessions.erase(found);
  if (m_destroyTimer == nullptr) {
    m_destroyTimer = m_context.m_timers.After(Duration::zero(), [this] {
      m_destroyTimer.reset();
      m_finishedSessions.clear();
    });
  }
}

void EntryApp::StartDeadlineTimer()
{
  if (m_deadlineTimer == nullptr) {
    m_deadlineTimer = m_context.m_timers.Every(kDeadlineCheckPeriod,
                                               [this] { CheckDeadlines(); });
  }
}

void EntryApp::CheckDeadlines()
{
  const TimePoint now = m_context.m_clock.Now();
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    CallSession* session = m_deadlines.begin()->second;
    m_deadlines.erase(m_deadlines.begin());
    session->HandleDeadline();
  }
  if (m_deadlines.empty()) {
    m_deadlineTimer.reset();
  }
}

void EntryApp::HandleModels(std::unique_ptr<CallerCall> aCall)
{
  if (m_catalog == nullptr) {
    ReplyError(*aCall,
               MakeRequestError(HttpStatus::kUnavailable,
                                "not_ready",
                                "no settings are in force yet"));
    return;
  }
  const auto service = m_preparer.Authenticate(*aCall, *m_catalog);
  if (!service) {
    ReplyError(*aCall, m_preparer.LastError());
    return;
  }
  const auto& allowed = m_catalog->Tree().m_services.at(*service).m_models;
  json list = json::array();
  for (const NameEntry& entry : m_catalog->Names().Entries()) {
    if (!allowed.empty() && !allowed.contains(entry.m_target.m_model)) {
      continue;
    }
    list.push_back({ { "id", entry.m_name },
                     { "object", "model" },
                     { "created", 0 },
                     { "owned_by", "celeryspread" },
                     { "naming_scheme", entry.m_scheme.Value() },
                     { "reaches", entry.m_target.EngineName() } });
  }
  ReplyJson(
    *aCall, HttpStatus::kOk, { { "object", "list" }, { "data", list } });
}

void EntryApp::HandleHealth(std::unique_ptr<CallerCall> aCall)
{
  ReplyJson(*aCall, HttpStatus::kOk, { { "status", "ok" } });
}

void EntryApp::HandleReady(std::unique_ptr<CallerCall> aCall)
{
  const bool isReady = !m_isDraining && m_catalog != nullptr;
  ReplyJson(*aCall,
            isReady ? HttpStatus::kOk : HttpStatus::kUnavailable,
            { { "ready", isReady } });
}

void EntryApp::HandleMetrics(std::unique_ptr<CallerCall> aCall)
{
  m_context.m_metrics.SetGauge("celeryspread_calls_in_progress",
                               static_cast<double>(m_sessions.size()));
  aCall->Reply(HttpStatus::kOk,
               { { "Content-Type", "text/plain; version=0.0.4" } },
               m_context.m_metrics.PrometheusText());
}

void EntryApp::HandleStatus(std::unique_ptr<CallerCall> aCall)
{
  json upstreams = json::object();
  for (const auto& [id, state] : m_context.m_upstreamTable.All()) {
    upstreams[id.Value()] = { { "load", state->EstimatedLoad() },
                              { "outstanding", state->m_outstanding },
                              { "leaving", state->IsLeaving() },
                              { "resident", state->m_resident } };
  }
  const uint64_t revision =
    m_catalog == nullptr ? 0 : m_catalog->CurrentRevision().Value();
  ReplyJson(*aCall,
            HttpStatus::kOk,
            { { "revision", revision },
              { "calls", m_sessions.size() },
              { "draining", m_isDraining },
              { "upstreams", upstreams } });
}

void EntryApp::HandleAdmin(std::unique_ptr<CallerCall> aCall)
{
  if (m_admin == nullptr) {
    ReplyError(*aCall,
               MakeRequestError(HttpStatus::kUnavailable,
                                "no_control",
                                "this instance knows no control instance"));
    return;
  }
  m_admin->Forward(std::move(aCall));
}

void EntryApp::BeginDrain()
{
  m_isDraining = true;
}

} // namespace celeryspread
