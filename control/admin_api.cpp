#include "control/admin_api.h"

#include <cstdlib>

#include <nlohmann/json.hpp>

#include "core/json_text.h"
#include "core/key_hash.h"
#include "http/http_status.h"

namespace celeryspread {

namespace {

using nlohmann::json;

/// An entry instance that has not fetched settings for this long is left out of
/// the status.
constexpr Duration kMaxInstanceAge = std::chrono::seconds(10);
constexpr size_t kMaxListedClaims = 1'000;
constexpr size_t kMaxChangeIdChars = 128;
constexpr const char* kBootstrapOperator = "bootstrap";
constexpr std::string_view kBearerPrefix = "Bearer ";

AdminReply JsonReply(int aStatus, const json& aBody)
{
  return { aStatus, FormatJson(aBody) };
}

AdminReply MakeErrorReply(int aStatus,
                          const char* aCode,
                          const std::string& aMessage)
{
  return JsonReply(
    aStatus, { { "error", { { "code", aCode }, { "message", aMessage } } } });
}

json ErrorList(const std::vector<SettingsError>& aErrors)
{
  json list = json::array();
  for (const SettingsError& error : aErrors) {
    list.push_back({ { "path", error.m_path },
                     { "value", error.m_value },
                     { "expected", error.m_expected } });
  }
  return list;
}

json ChangeJson(const AcceptedChange& aChange)
{
  return { { "change_id", aChange.m_changeId.Value() },
           { "operator", aChange.m_operator.Value() },
           { "revision", aChange.m_revision.Value() },
           { "patch", json::parse(aChange.m_patch) },
           { "at_ms", aChange.m_at.count() / 1000 } };
}

/// Returns one parameter of a query string, empty when it is missing. Percent
/// escapes are not decoded.
std::string QueryValue(const std::string& aQuery, const std::string& aName)
{
  const std::string text = "&" + aQuery;
  const size_t at = text.find("&" + aName + "=");
  if (at == std::string::npos) {
    return {};
  }
  const size_t start = at + aName.size() + 2;
  return text.substr(start, text.find('&', start) - start);
}

const char* ClaimStateName(ClaimState aState)
{
  switch (aState) {
    case ClaimState::Open:
      return "open";
    case ClaimState::Answered:
      return "answered";
    case ClaimState::Unknown:
      return "unknown";
    case ClaimState::NotRun:
      return "not_run";
    case ClaimState::Expired:
      break;
  }
  return "expired";
}

const char* ResidencyStateName(ResidencyState aState)
{
  switch (aState) {
    case ResidencyState::Resident:
      return "resident";
    case ResidencyState::Loading:
      return "loading";
    case ResidencyState::Unloading:
      break;
  }
  return "unloading";
}

AdminReply ChangeReply(const ChangeResult& aResult)
{
  json body = { { "revision", aResult.m_revision.Value() } };
  if (aResult.m_verdict == ChangeVerdict::Accepted) {
    return JsonReply(HttpStatus::kOk, body);
  }
  if (aResult.m_verdict == ChangeVerdict::Conflict) {
    body["error"] = { { "code", "revision_conflict" },
                      { "message", "another change took this revision" } };
    if (!aResult.m_winner.m_changeId.IsEmpty()) {
      body["winner"] = ChangeJson(aResult.m_winner);
    }
    return JsonReply(HttpStatus::kConflict, body);
  }
  body["error"] = { { "code", "invalid_settings" },
                    { "message", "the tree would not be valid" } };
  body["errors"] = ErrorList(aResult.m_errors);
  return JsonReply(HttpStatus::kBadRequest, body);
}

} // namespace

AdminApi::AdminApi(ReplicaHost& aHost,
                   const InstanceRegistry& aInstances,
                   const Clock& aClock,
                   EventLog& aLog,
                   std::string aBootstrapKeyHash)
  : m_host(aHost)
  , m_instances(aInstances)
  , m_clock(aClock)
  , m_log(aLog)
  , m_bootstrapKeyHash(std::move(aBootstrapKeyHash))
{
}

const AdminApi::Endpoint* AdminApi::FindEndpoint(const AdminRequest& aRequest)
{
  // clang-format off
  static constexpr Endpoint kEndpoints[] = {
    { "GET", "/admin/tree", OperatorRole::Read, &AdminApi::HandleTree },
    { "POST", "/admin/changes", OperatorRole::Change, &AdminApi::HandleChange },
    { "GET", "/admin/changes", OperatorRole::Read, &AdminApi::HandleHistory },
    { "GET", "/admin/names", OperatorRole::Read, &AdminApi::HandleNames },
    { "GET", "/admin/upstreams", OperatorRole::Read, &AdminApi::HandleUpstreams },
    { "GET", "/admin/placement", OperatorRole::Read, &AdminApi::HandlePlacement },
    { "GET", "/admin/status", OperatorRole::Read, &AdminApi::HandleStatus },
    { "GET", "/admin/explain", OperatorRole::Read, &AdminApi::HandleExplain },
    { "GET", "/admin/claims", OperatorRole::Read, &AdminApi::HandleClaims },
    { "POST", "/admin/claims/settle", OperatorRole::Settle, &AdminApi::HandleSettle },
  };
  // clang-format on
  for (const Endpoint& endpoint : kEndpoints) {
    if (endpoint.m_method == aRequest.m_method &&
        endpoint.m_path == aRequest.m_path) {
      return &endpoint;
    }
  }
  return nullptr;
}

std::shared_ptr<const Catalog> AdminApi::CurrentCatalog()
{
  const SettingsStore& settings = m_host.State().Settings();
  const bool isStale = m_catalog == nullptr || m_catalog->CurrentRevision() !=
                                                 settings.CurrentRevision();
  if (isStale) {
    SettingsError error;
    m_catalog =
      Catalog::FromJson(settings.Tree(), settings.CurrentRevision(), error);
  }
  return m_catalog;
}

std::optional<AdminApi::AuthenticatedOperator> AdminApi::Authenticate(
  const AdminRequest& aRequest)
{
  if (!aRequest.m_authorization.starts_with(kBearerPrefix)) {
    return std::nullopt;
  }
  const std::string key = aRequest.m_authorization.substr(kBearerPrefix.size());
  const std::string hash = HashKey(key);
  if (!m_bootstrapKeyHash.empty() && KeyHashesEqual(hash, m_bootstrapKeyHash)) {
    return AuthenticatedOperator{ OperatorId(kBootstrapOperator),
                                  OperatorRole::Settle };
  }
  const auto catalog = CurrentCatalog();
  const OperatorId id(key.substr(0, key.find('.')));
  if (catalog == nullptr || !catalog->Tree().m_operators.contains(id)) {
    return std::nullopt;
  }
  const OperatorDeclaration& declared = catalog->Tree().m_operators.at(id);
  if (!KeyHashesEqual(hash, declared.m_keyHash)) {
    return std::nullopt;
  }
  return AuthenticatedOperator{ id, declared.m_role };
}

void AdminApi::Handle(const AdminRequest& aRequest, const AdminDone& aDone)
{
  if (!m_host.HasLease()) {
    aDone(
      MakeErrorReply(HttpStatus::kUnavailable,
                     "no_quorum",
                     "no quorum of control instances is reachable; settings "
                     "can't be read or changed, calls are still served"));
    return;
  }
  const std::optional<AuthenticatedOperator> authenticated =
    Authenticate(aRequest);
  if (!authenticated) {
    m_log.Write(EventId::AdminRefused, "path=" + aRequest.m_path);
    aDone(MakeErrorReply(
      HttpStatus::kUnauthorized, "invalid_key", "the key is not valid"));
    return;
  }
  const Endpoint* endpoint = FindEndpoint(aRequest);
  if (endpoint == nullptr) {
    aDone(MakeErrorReply(
      HttpStatus::kNotFound, "path_not_found", "no such admin path"));
    return;
  }
  if (authenticated->m_role < endpoint->m_role) {
    m_log.Write(EventId::AdminRefused,
                "path=" + aRequest.m_path +
                  " operator=" + authenticated->m_id.Value());
    aDone(MakeErrorReply(
      HttpStatus::kForbidden, "role_missing", "the key lacks the role"));
    return;
  }
  (this->*endpoint->m_handler)(aRequest, *authenticated, aDone);
}

void AdminApi::HandleTree(const AdminRequest& /*aRequest*/,
                          const AuthenticatedOperator& /*aOperator*/,
                          const AdminDone& aDone)
{
  const SettingsStore& settings = m_host.State().Settings();
  aDone(JsonReply(HttpStatus::kOk,
                  { { "revision", settings.CurrentRevision().Value() },
                    { "tree", settings.Tree() } }));
}

void AdminApi::HandleChange(const AdminRequest& aRequest,
                            const AuthenticatedOperator& aOperator,
                            const AdminDone& aDone)
{
  JsonReader reader(JsonLimits{});
  const std::optional<json> body = reader.Parse(aRequest.m_body);
  const bool isWellFormed =
    body && body->is_object() && body->contains("change_id") &&
    (*body)["change_id"].is_string() && body->contains("expected_revision") &&
    (*body)["expected_revision"].is_number_unsigned() &&
    body->contains("patch") && (*body)["patch"].is_object();
  if (!isWellFormed) {
    aDone(MakeErrorReply(HttpStatus::kBadRequest,
                         "malformed_change",
                         body ? "expected change_id (text), expected_revision "
                                "(number) and patch (object)"
                              : reader.LastReason()));
    return;
  }
  const auto changeId = (*body)["change_id"].get<std::string>();
  if (changeId.empty() || changeId.size() > kMaxChangeIdChars) {
    aDone(MakeErrorReply(HttpStatus::kBadRequest,
                         "malformed_change",
                         "change_id must have 1 to 128 characters"));
    return;
  }
  SettingsChange change{ ChangeId(changeId),
                         aOperator.m_id,
                         Revision((*body)["expected_revision"].get<uint64_t>()),
                         FormatJson((*body)["patch"]) };
  if (const auto answer = m_host.State().Settings().Check(change)) {
    aDone(ChangeReply(*answer));
    return;
  }
  const bool isProposed = m_host.Propose(
    { {}, change }, [aDone](const std::optional<CommandResult>& aResult) {
      const auto* result =
        aResult ? std::get_if<ChangeResult>(&*aResult) : nullptr;
      if (result == nullptr) {
        aDone(MakeErrorReply(HttpStatus::kUnavailable,
                             "outcome_unknown",
                             "the leader changed; send the change again under "
                             "the same change_id"));
        return;
      }
      aDone(ChangeReply(*result));
    });
  if (!isProposed) {
    aDone(MakeErrorReply(
      HttpStatus::kUnavailable, "no_quorum", "this instance stepped down"));
  }
}

void AdminApi::HandleHistory(const AdminRequest& aRequest,
                             const AuthenticatedOperator& /*aOperator*/,
                             const AdminDone& aDone)
{
  const uint64_t after =
    std::strtoull(QueryValue(aRequest.m_query, "after").c_str(), nullptr, 10);
  json list = json::array();
  for (const AcceptedChange& change : m_host.State().Settings().Changes()) {
    if (change.m_revision > Revision(after)) {
      list.push_back(ChangeJson(change));
    }
  }
  aDone(JsonReply(HttpStatus::kOk, { { "changes", list } }));
}

void AdminApi::HandleNames(const AdminRequest& /*aRequest*/,
                           const AuthenticatedOperator& /*aOperator*/,
                           const AdminDone& aDone)
{
  json list = json::array();
  const auto catalog = CurrentCatalog();
  for (const NameEntry& entry : catalog->Names().Entries()) {
    list.push_back({ { "naming_scheme", entry.m_scheme.Value() },
                     { "name", entry.m_name },
                     { "reaches", entry.m_target.EngineName() } });
  }
  aDone(JsonReply(HttpStatus::kOk, { { "names", list } }));
}

void AdminApi::HandleUpstreams(const AdminRequest& /*aRequest*/,
                               const AuthenticatedOperator& /*aOperator*/,
                               const AdminDone& aDone)
{
  const json& tree = m_host.State().Settings().Tree();
  aDone(
    JsonReply(HttpStatus::kOk,
              { { "upstreams", tree.value("upstreams", json::object()) } }));
}

void AdminApi::HandlePlacement(const AdminRequest& /*aRequest*/,
                               const AuthenticatedOperator& /*aOperator*/,
                               const AdminDone& aDone)
{
  json engines = json::object();
  json problems = json::array();
  if (m_placement != nullptr) {
    for (const auto& [id, declared] : CurrentCatalog()->Tree().m_upstreams) {
      const MemoryLedger* ledger = m_placement->LedgerOf(id);
      if (ledger == nullptr) {
        continue;
      }
      json contents = json::object();
      for (const auto& [name, residency] : ledger->Contents()) {
        contents[name] = { { "bytes", residency.m_bytes.Value() },
                           { "state", ResidencyStateName(residency.m_state) } };
      }
      engines[id.Value()] = { { "known", ledger->HasReport() },
                              { "taken_bytes", ledger->Taken().Value() },
                              { "free_bytes", ledger->Free().Value() },
                              { "contents", contents } };
    }
    for (const PlacementProblem& problem : m_placement->Problems()) {
      problems.push_back(
        { { "name", problem.m_name }, { "reason", problem.m_reason } });
    }
  }
  aDone(JsonReply(HttpStatus::kOk,
                  { { "engines", engines }, { "problems", problems } }));
}

void AdminApi::HandleStatus(const AdminRequest& /*aRequest*/,
                            const AuthenticatedOperator& /*aOperator*/,
                            const AdminDone& aDone)
{
  const Raft& raft = m_host.Replica();
  json voters = json::object();
  for (const auto& [id, address] : raft.Replicas().m_voters) {
    voters[id.Value()] = { { "instance", address.m_instance.Value() },
                           { "caught_up",
                             id == raft.Leader() || raft.IsCaughtUp(id) } };
  }
  json learners = json::array();
  for (const auto& [id, address] : raft.Replicas().m_learners) {
    learners.push_back(id.Value());
  }
  json instances = json::object();
  for (const auto& [id, known] :
       m_instances.SeenSince(m_clock.Now() - kMaxInstanceAge)) {
    instances[id.Value()] = { { "failure_domain",
                                known.m_failureDomain.Value() },
                              { "revision", known.m_revision.Value() } };
  }
  aDone(JsonReply(
    HttpStatus::kOk,
    { { "leader", raft.Leader().Value() },
      { "term", raft.CurrentTerm().Value() },
      { "commit_index", raft.CommitIndex().Value() },
      { "revision", m_host.State().Settings().CurrentRevision().Value() },
      { "claims", m_host.State().Claims().Size() },
      { "voters", voters },
      { "learners", learners },
      { "instances", instances } }));
}

void AdminApi::HandleExplain(const AdminRequest& aRequest,
                             const AuthenticatedOperator& /*aOperator*/,
                             const AdminDone& aDone)
{
  const auto catalog = CurrentCatalog();
  const std::string& query = aRequest.m_query;
  SettingsScope scope;
  scope.m_failureDomain = FailureDomainId(QueryValue(query, "failure_domain"));
  scope.m_plainService = PlainServiceId(QueryValue(query, "plain_service"));
  scope.m_service = ServiceId(QueryValue(query, "service"));
  const std::string name = QueryValue(query, "model");
  if (!name.empty()) {
    const auto target = catalog->Names().Resolve(
      name, SchemeId(QueryValue(query, "naming_scheme")));
    if (!target) {
      aDone(MakeErrorReply(HttpStatus::kNotFound,
                           "model_not_found",
                           catalog->Names().LastError().m_text));
      return;
    }
    scope.m_model = target->m_model;
    scope.m_adapter = target->m_adapter;
    scope.m_version = target->m_version;
  }
  json list = json::array();
  for (const ExplainedSetting& setting :
       SettingsChain(catalog->Tree(), scope).Explain()) {
    list.push_back({ { "setting", SpecOf(setting.m_key).m_name },
                     { "value", setting.m_value },
                     { "level", setting.m_level } });
  }
  aDone(JsonReply(HttpStatus::kOk, { { "settings", list } }));
}

void AdminApi::HandleClaims(const AdminRequest& aRequest,
                            const AuthenticatedOperator& /*aOperator*/,
                            const AdminDone& aDone)
{
  const std::string wantedState = QueryValue(aRequest.m_query, "state");
  json list = json::array();
  for (const ClaimRecord& record : m_host.State().Claims().Records()) {
    const std::string state = ClaimStateName(record.m_state);
    if ((!wantedState.empty() && wantedState != state) ||
        list.size() >= kMaxListedClaims) {
      continue;
    }
    list.push_back({ { "service", record.m_request.m_service.Value() },
                     { "key", record.m_request.m_key.Value() },
                     { "state", state },
                     { "settled_by", record.m_settledBy.Value() },
                     { "reason", record.m_settledReason } });
  }
  aDone(JsonReply(HttpStatus::kOk, { { "claims", list } }));
}

void AdminApi::HandleSettle(const AdminRequest& aRequest,
                            const AuthenticatedOperator& aOperator,
                            const AdminDone& aDone)
{
  JsonReader reader(JsonLimits{});
  const std::optional<json> body = reader.Parse(aRequest.m_body);
  const auto hasText = [&](const char* aName) {
    return body->contains(aName) && (*body)[aName].is_string() &&
           !(*body)[aName].get_ref<const std::string&>().empty();
  };
  const bool isWellFormed = body && body->is_object() && hasText("service") &&
                            hasText("key") && hasText("reason") &&
                            body->contains("has_run") &&
                            (*body)["has_run"].is_boolean();
  if (!isWellFormed) {
    aDone(MakeErrorReply(HttpStatus::kBadRequest,
                         "malformed_settlement",
                         "expected service, key, reason (texts) and has_run "
                         "(true or false)"));
    return;
  }
  const ClaimSettlement settlement{ ServiceId(
                                      (*body)["service"].get<std::string>()),
                                    ClaimKey((*body)["key"].get<std::string>()),
                                    aOperator.m_id,
                                    (*body)["reason"].get<std::string>(),
                                    (*body)["has_run"].get<bool>() };
  m_log.Write(EventId::ClaimSettled,
              "service=" + settlement.m_service.Value() +
                " operator=" + aOperator.m_id.Value());
  const bool isProposed = m_host.Propose(
    { {}, settlement }, [aDone](const std::optional<CommandResult>& aResult) {
      const auto* result =
        aResult ? std::get_if<SettleResult>(&*aResult) : nullptr;
      if (result == nullptr) {
        aDone(MakeErrorReply(HttpStatus::kUnavailable,
                             "outcome_unknown",
                             "the leader changed; ask again"));
      } else if (!result->m_isSettled) {
        aDone(MakeErrorReply(HttpStatus::kConflict,
                             "not_settled",
                             "there is no claim of unknown outcome"));
      } else {
        aDone(JsonReply(HttpStatus::kOk, { { "settled", true } }));
      }
    });
  if (!isProposed) {
    aDone(MakeErrorReply(
      HttpStatus::kUnavailable, "no_quorum", "this instance stepped down"));
  }
}

} // namespace celeryspread
