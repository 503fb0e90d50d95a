#include "entry/call_preparer.h"

#include <strings.h>

#include <algorithm>
#include <charconv>
#include <set>

#include "core/json_text.h"
#include "http/http_status.h"

namespace celeryspread {

namespace {

using nlohmann::json;

constexpr size_t kMaxClaimKeyChars = 255;
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kServicesPrefix = "/services/";

/// Returns whether a header of the caller goes to the upstream. Hop-by-hop
/// headers and headers that the entry sets itself or handles are dropped.
bool IsForwardedHeader(const std::string& aName)
{
  static constexpr const char* kDropped[] = {
    "Connection",     "Keep-Alive",           "Proxy-Connection", "TE",
    "Trailer",        "Transfer-Encoding",    "Upgrade",          "Host",
    "Content-Length", "Authorization",        "traceparent",      "Expect",
    "tracestate",     "X-Request-Deadline-Ms"
  };
  return std::none_of(
    std::begin(kDropped), std::end(kDropped), [&](const char* aDropped) {
      return strcasecmp(aDropped, aName.c_str()) == 0;
    });
}

std::optional<int64_t> ParseNonNegative(std::string_view aText)
{
  int64_t value = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  const bool isValid =
    error == std::errc() && value >= 0 && end == aText.data() + aText.size();
  return isValid ? std::optional<int64_t>(value) : std::nullopt;
}

bool IsIdempotentMethod(std::string_view aMethod)
{
  static const std::set<std::string_view> kIdempotent = {
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS"
  };
  return kIdempotent.contains(aMethod);
}

bool HasPrompt(const json& aBody, std::string_view aPath)
{
  if (aPath == "/v1/chat/completions") {
    return aBody.contains("messages") && aBody["messages"].is_array() &&
           !aBody["messages"].empty();
  }
  return aBody.contains("prompt") &&
         (aBody["prompt"].is_string() || aBody["prompt"].is_array());
}

} // namespace

CallPreparer::CallPreparer(FailureDomainId aOwnDomain)
  : m_ownDomain(std::move(aOwnDomain))
{
}

std::nullopt_t CallPreparer::Reject(int aStatus,
                                    std::string aCode,
                                    std::string aMessage)
{
  m_lastError = ErrorReply();
  m_lastError.m_status = aStatus;
  m_lastError.m_type = aStatus == HttpStatus::kGatewayTimeout
                         ? "timeout_error"
                         : "invalid_request_error";
  m_lastError.m_code = std::move(aCode);
  m_lastError.m_message = std::move(aMessage);
  return std::nullopt;
}

std::nullopt_t CallPreparer::RejectName(const NameError& aError)
{
  switch (aError.m_kind) {
    case NameErrorKind::Unknown:
      return Reject(HttpStatus::kNotFound, "model_not_found", aError.m_text);
    case NameErrorKind::Ambiguous:
      return Reject(
        HttpStatus::kBadRequest, "model_name_ambiguous", aError.m_text);
    case NameErrorKind::UnknownScheme:
      break;
  }
  return Reject(
    HttpStatus::kBadRequest, "naming_scheme_not_found", aError.m_text);
}

std::optional<ServiceId> CallPreparer::Authenticate(const CallerCall& aCall,
                                                    const Catalog& aCatalog)
{
  const auto header = aCall.Header("Authorization");
  if (!header || !header->starts_with(kBearerPrefix)) {
    return Reject(
      HttpStatus::kUnauthorized, "invalid_api_key", "a Bearer key is required");
  }
  std::optional<ServiceId> service =
    aCatalog.Authenticate(header->substr(kBearerPrefix.size()));
  if (!service) {
    return Reject(
      HttpStatus::kUnauthorized, "invalid_api_key", "the key is not valid");
  }
  return service;
}

SettingsScope CallPreparer::ScopeOf(const PreparedCall& aPrepared) const
{
  SettingsScope scope;
  scope.m_failureDomain = m_ownDomain;
  scope.m_model = aPrepared.m_target.m_model;
  scope.m_adapter = aPrepared.m_target.m_adapter;
  scope.m_version = aPrepared.m_target.m_version;
  scope.m_plainService = aPrepared.m_plainService;
  scope.m_service = aPrepared.m_service;
  return scope;
}

bool CallPreparer::CheckBodySize(CallerCall& aCall,
                                 const PreparedCall& aPrepared)
{
  const auto limit =
    static_cast<size_t>(aPrepared.m_settings.Get(SettingKey::MaxBodyBytes));
  if (aCall.Body().size() <= limit) {
    return true;
  }
  Reject(HttpStatus::kTooLarge,
         "body_too_large",
         "the body is larger than " + std::to_string(limit) + " bytes");
  return false;
}

bool CallPreparer::SetDeadline(const CallerCall& aCall,
                               TimePoint aNow,
                               PreparedCall& aPrepared)
{
  aPrepared.m_arrivedAt = aNow;
  int64_t remainingMs = aPrepared.m_settings.Get(SettingKey::RequestDeadlineMs);
  if (const auto header = aCall.Header("X-Request-Deadline-Ms")) {
    const std::optional<int64_t> requested = ParseNonNegative(*header);
    if (!requested) {
      Reject(HttpStatus::kBadRequest,
             "bad_deadline",
             "X-Request-Deadline-Ms is not a number of milliseconds");
      return false;
    }
    remainingMs = std::min(remainingMs, *requested);
  }
  if (remainingMs == 0) {
    Reject(HttpStatus::kGatewayTimeout,
           "deadline_passed",
           "the deadline has passed");
    return false;
  }
  aPrepared.m_deadline = aNow + std::chrono::milliseconds(remainingMs);
  return true;
}

bool CallPreparer::SetClaimKey(const CallerCall& aCall, PreparedCall& aPrepared)
{
  const auto key = aCall.Header("Idempotency-Key");
  if (!key) {
    return true;
  }
  if (key->empty() || key->size() > kMaxClaimKeyChars) {
    Reject(HttpStatus::kBadRequest,
           "bad_idempotency_key",
           "Idempotency-Key must have 1 to 255 characters");
    return false;
  }
  aPrepared.m_claimKey = ClaimKey(std::string(*key));
  return true;
}

bool CallPreparer::ParseCompletion(CallerCall& aCall,
                                   const Catalog& aCatalog,
                                   PreparedCall& aPrepared)
{
  JsonReader reader(JsonLimits{});
  std::optional<json> body = reader.Parse(aCall.Body());
  if (!body) {
    Reject(HttpStatus::kBadRequest, "malformed_json", reader.LastReason());
    return false;
  }
  if (!body->is_object() || !body->contains("model") ||
      !(*body)["model"].is_string()) {
    Reject(
      HttpStatus::kBadRequest, "missing_model", "\"model\" must be a text");
    return false;
  }
  if (body->contains("stream") && !(*body)["stream"].is_boolean()) {
    Reject(HttpStatus::kBadRequest,
           "bad_stream",
           "\"stream\" must be true or false");
    return false;
  }
  const std::string name = (*body)["model"].get<std::string>();
  const SchemeId scheme(
    std::string(aCall.Header("X-Naming-Scheme").value_or("")));
  const std::optional<Target> target = aCatalog.Names().Resolve(name, scheme);
  if (!target) {
    RejectName(aCatalog.Names().LastError());
    return false;
  }
  if (!HasPrompt(*body, aCall.Path())) {
    Reject(HttpStatus::kBadRequest,
           "missing_prompt",
           "the body has neither usable messages nor a prompt");
    return false;
  }
  aPrepared.m_target = *target;
  aPrepared.m_wantsStream = body->value("stream", false);
  for (const char* field : { "max_tokens", "max_completion_tokens" }) {
    if (body->contains(field) && (*body)[field].is_number_unsigned()) {
      aPrepared.m_maxTokens = (*body)[field].get<uint64_t>();
    }
  }
  (*body)["model"] = target->EngineName();
  aPrepared.m_body = body->dump(-1, ' ', false, json::error_handler_t::replace);
  return true;
}

std::optional<PreparedCall> CallPreparer::PrepareCompletion(
  CallerCall& aCall,
  const std::shared_ptr<const Catalog>& aCatalog,
  TimePoint aNow)
{
  const std::optional<ServiceId> service = Authenticate(aCall, *aCatalog);
  if (!service) {
    return std::nullopt;
  }
  PreparedCall prepared{
    aCatalog, *service,
    {},       {},
    {},       aCatalog->SettingsAt({ m_ownDomain, {}, {}, {}, {}, *service }),
    "POST",   std::string(aCall.Path()),
    {},       {},
    false,    {},
    false,    {},
    {},       {}
  };
  const ServiceDeclaration& caller = aCatalog->Tree().m_services.at(*service);
  prepared.m_member = caller.m_member;
  if (!CheckBodySize(aCall, prepared) ||
      !ParseCompletion(aCall, *aCatalog, prepared)) {
    return std::nullopt;
  }
  if (!caller.m_models.empty() &&
      !caller.m_models.contains(prepared.m_target.m_model)) {
    return Reject(HttpStatus::kForbidden,
                  "model_not_allowed",
                  "this key may not call the model");
  }
  prepared.m_settings = aCatalog->SettingsAt(ScopeOf(prepared));
  prepared.m_isIdempotent =
    prepared.m_settings.Get(SettingKey::WorkMayRepeat) != 0;
  prepared.m_headers = { { "Content-Type", "application/json" } };
  if (!CheckBodySize(aCall, prepared) || !SetDeadline(aCall, aNow, prepared) ||
      (!prepared.m_isIdempotent && !SetClaimKey(aCall, prepared))) {
    return std::nullopt;
  }
  return prepared;
}

std::optional<PreparedCall> CallPreparer::PreparePlainService(
  CallerCall& aCall,
  const std::shared_ptr<const Catalog>& aCatalog,
  TimePoint aNow)
{
  const std::optional<ServiceId> service = Authenticate(aCall, *aCatalog);
  if (!service) {
    return std::nullopt;
  }
  const std::string_view nameAndPath =
    aCall.Path().substr(kServicesPrefix.size());
  const size_t slash = nameAndPath.find('/');
  const PlainServiceId plain{ std::string(nameAndPath.substr(0, slash)) };
  const auto declaration = aCatalog->Tree().m_plainServices.find(plain);
  if (declaration == aCatalog->Tree().m_plainServices.end()) {
    return Reject(HttpStatus::kNotFound,
                  "service_not_found",
                  "plain service \"" + plain.Value() + "\" does not exist");
  }
  const ServiceDeclaration& caller = aCatalog->Tree().m_services.at(*service);
  if (!caller.m_plainServices.empty() &&
      !caller.m_plainServices.contains(plain)) {
    return Reject(HttpStatus::kForbidden,
                  "service_not_allowed",
                  "this key may not call the service");
  }
  SettingsScope scope;
  scope.m_failureDomain = m_ownDomain;
  scope.m_plainService = plain;
  scope.m_service = *service;
  PreparedCall prepared{ aCatalog,
                         *service,
                         caller.m_member,
                         {},
                         plain,
                         aCatalog->SettingsAt(scope),
                         std::string(aCall.Method()),
                         slash == std::string_view::npos
                           ? "/"
                           : std::string(nameAndPath.substr(slash)),
                         {},
                         std::string(aCall.Body()),
                         false,
                         {},
                         false,
                         {},
                         {},
                         {} };
  if (!aCall.Query().empty()) {
    prepared.m_path += "?" + std::string(aCall.Query());
  }
  for (HttpHeader& header : aCall.AllHeaders()) {
    if (IsForwardedHeader(header.m_name)) {
      prepared.m_headers.push_back(std::move(header));
    }
  }
  prepared.m_isIdempotent =
    IsIdempotentMethod(prepared.m_method) ||
    declaration->second.m_idempotentMethods.contains(prepared.m_method);
  if (prepared.m_settings.Get(SettingKey::WorkMayRepeat) == 0) {
    prepared.m_isIdempotent = false;
  }
  if (!CheckBodySize(aCall, prepared) || !SetDeadline(aCall, aNow, prepared) ||
      (!prepared.m_isIdempotent && !SetClaimKey(aCall, prepared))) {
    return std::nullopt;
  }
  return prepared;
}

} // namespace celeryspread
