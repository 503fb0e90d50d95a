#include "control/placement_runner.h"

#include <nlohmann/json.hpp>

#include "core/json_text.h"
#include "http/http_status.h"
#include "placement/problem_lines.h"

namespace celeryspread {

namespace {

constexpr Duration kDecidePeriod = std::chrono::milliseconds(100);
constexpr Duration kReportPeriod = std::chrono::milliseconds(300);
/// A load may take long. Until its answer arrives, its memory counts as taken.
constexpr Duration kAnswerTimeout = std::chrono::seconds(120);

const char* OrderName(OrderKind aKind)
{
  return aKind == OrderKind::Load ? "load" : "unload";
}

std::string PathOf(const PlacementOrder& aOrder)
{
  if (aOrder.m_isAdapter) {
    return std::string("/v1/") + OrderName(aOrder.m_kind) + "_lora_adapter";
  }
  return "/v2/repository/models/" + aOrder.m_name + "/" +
         OrderName(aOrder.m_kind);
}

std::string BodyOf(const PlacementOrder& aOrder)
{
  const nlohmann::json body = { { "lora_name", aOrder.m_name },
                                { "order_id",
                                  std::to_string(aOrder.m_token.Value()) + "-" +
                                    std::to_string(aOrder.m_id.Value()) },
                                { "fencing_token", aOrder.m_token.Value() },
                                { "expires_in_ms",
                                  aOrder.m_lifetime.count() / 1000 },
                                { "memory_bytes", aOrder.m_bytes.Value() } };
  return FormatJson(body);
}

} // namespace

/// The HTTP call that carries one order.
class PlacementRunner::OrderCall : public UpstreamObserver
{
public:
  OrderCall(PlacementRunner& aRunner, PlacementOrder aOrder)
    : m_runner(aRunner)
    , m_order(std::move(aOrder))
  {
  }

  void Start(const UpstreamAddress& aAddress)
  {
    UpstreamRequest request;
    request.m_address = aAddress;
    request.m_method = "POST";
    request.m_path = PathOf(m_order);
    request.m_headers = { { "Content-Type", "application/json" } };
    request.m_body = BodyOf(m_order);
    request.m_firstByteTimeout = kAnswerTimeout;
    request.m_progressTimeout = kAnswerTimeout;
    request.m_mayReuseConnection = false;
    m_call = m_runner.m_deps.m_client.Start(std::move(request), *this);
  }

  void OnUpstreamHeaders(int aStatus, const HttpHeaders& /*aHeaders*/) override
  {
    m_status = aStatus;
  }
  void OnUpstreamBody(std::string_view /*aBytes*/) override {}
  void OnUpstreamEnd() override
  {
    m_runner.m_owner.RecordAnswer(m_order, m_runner.m_deps.m_clock.Now());
    if (m_status != HttpStatus::kOk) {
      LogFailure("status=" + std::to_string(m_status));
    }
    m_isFinished = true;
  }
  void OnUpstreamFailed(const UpstreamFailure& aFailure) override
  {
    // Without an answer the order may still take effect until it expires.
    LogFailure("reason=\"" + aFailure.m_reason + "\"");
    m_isFinished = true;
  }
  [[nodiscard]] bool IsFinished() const { return m_isFinished; }

private:
  void LogFailure(const std::string& aDetail)
  {
    m_runner.m_deps.m_log.Write(EventId::OrderFailed,
                                "engine=" + m_order.m_engine.Value() +
                                  " target=" + m_order.m_name + " " + aDetail);
  }

  PlacementRunner& m_runner;
  PlacementOrder m_order;
  std::unique_ptr<UpstreamCall> m_call;
  int m_status = 0;
  bool m_isFinished = false;
};

PlacementRunner::PlacementRunner(ReplicaHost& aHost,
                                 ReportPoller::Dependencies aDeps,
                                 CatalogSource aCatalog)
  : m_host(aHost)
  , m_deps(aDeps)
  , m_catalogSource(std::move(aCatalog))
  , m_poller(
      aDeps,
      kReportPeriod,
      [this] { return Sources(); },
      [this](const UpstreamId& aId, const LoadReport& aReport) {
        m_owner.ApplyReport(aId, aReport);
      })
  , m_decideTimer(aDeps.m_timers.Every(kDecidePeriod, [this] { Tick(); }))
{
}

PlacementRunner::~PlacementRunner() = default;

std::vector<ReportPoller::Source> PlacementRunner::Sources() const
{
  std::vector<ReportPoller::Source> sources;
  if (!m_owner.IsOwner() || m_catalog == nullptr) {
    return sources;
  }
  for (const auto& [id, declared] : m_catalog->Tree().m_upstreams) {
    if (declared.m_kind == UpstreamKind::Engine) {
      sources.push_back({ id, { declared.m_address, declared.m_port } });
    }
  }
  return sources;
}

void PlacementRunner::UpdateCatalog()
{
  const Revision current = m_host.State().Settings().CurrentRevision();
  if (m_catalog != nullptr && m_catalog->CurrentRevision() == current) {
    return;
  }
  auto catalog = m_catalogSource();
  if (catalog != nullptr) {
    m_catalog = std::move(catalog);
    m_owner.SetCatalog(m_catalog);
  }
}

void PlacementRunner::UpdateOwnership()
{
  if (!m_host.HasLease()) {
    m_owner.LoseOwnership();
    return;
  }
  if (!m_owner.IsOwner()) {
    const Term term = m_host.Replica().CurrentTerm();
    m_owner.AcquireOwnership(FencingToken(term.Value()), m_deps.m_clock.Now());
  }
}

void PlacementRunner::Tick()
{
  std::erase_if(m_orderCalls,
                [](const auto& aEntry) { return aEntry.second->IsFinished(); });
  UpdateOwnership();
  if (!m_owner.IsOwner()) {
    return;
  }
  UpdateCatalog();
  for (const PlacementOrder& order : m_owner.Decide(m_deps.m_clock.Now())) {
    SendOrder(order);
  }
  LogProblems();
}

void PlacementRunner::SendOrder(const PlacementOrder& aOrder)
{
  const UpstreamDeclaration& engine =
    m_catalog->Tree().m_upstreams.at(aOrder.m_engine);
  m_deps.m_log.Write(EventId::OrderSent,
                     std::string("order=") + OrderName(aOrder.m_kind) +
                       " engine=" + aOrder.m_engine.Value() +
                       " target=" + aOrder.m_name);
  auto call = std::make_unique<OrderCall>(*this, aOrder);
  call->Start({ engine.m_address, engine.m_port });
  m_orderCalls[aOrder.m_id] = std::move(call);
}

void PlacementRunner::LogProblems()
{
  if (m_owner.Problems() == m_loggedProblems) {
    return;
  }
  m_loggedProblems = m_owner.Problems();
  for (const std::string& line : ProblemLines(m_loggedProblems)) {
    m_deps.m_log.Write(EventId::PlacementRefused, line);
  }
}

} // namespace celeryspread
