#include "reports/report_poller.h"
#include "http/http_status.h"

namespace celeryspread {

namespace {

constexpr Duration kReportTimeout = std::chrono::seconds(2);
constexpr size_t kMaxReportBytes = 1'048'576;

} // namespace

/// Requests the load report of one engine, one request at a time.
class ReportPoller::EnginePoll : public UpstreamObserver
{
public:
  EnginePoll(ReportPoller& aPoller, UpstreamId aId)
    : m_poller(aPoller)
    , m_id(std::move(aId))
  {
  }

  void Start(const UpstreamAddress& aAddress)
  {
    if (m_call != nullptr && !m_isFinished) {
      return;
    }
    m_isFinished = false;
    m_body.clear();
    m_requestedAt = m_poller.m_deps.m_clock.Now();
    UpstreamRequest request;
    request.m_address = aAddress;
    request.m_method = "GET";
    request.m_path = "/metrics";
    request.m_firstByteTimeout = kReportTimeout;
    request.m_progressTimeout = kReportTimeout;
    m_call = m_poller.m_deps.m_client.Start(std::move(request), *this);
  }

  void OnUpstreamHeaders(int aStatus, const HttpHeaders& /*aHeaders*/) override
  {
    m_status = aStatus;
  }

  void OnUpstreamBody(std::string_view aBytes) override
  {
    if (m_body.size() + aBytes.size() <= kMaxReportBytes) {
      m_body += aBytes;
    }
  }

  void OnUpstreamEnd() override
  {
    m_isFinished = true;
    const std::optional<LoadReport> report =
      m_status == HttpStatus::kOk ? ParseLoadReport(m_body, m_requestedAt)
                                  : std::nullopt;
    if (!report) {
      RecordLostReport("the page is not a load report");
      return;
    }
    m_isReportLost = false;
    m_poller.m_listener(m_id, *report);
  }

  void OnUpstreamFailed(const UpstreamFailure& aFailure) override
  {
    m_isFinished = true;
    RecordLostReport(aFailure.m_reason);
  }

private:
  /// Logs the first of several failures in a row.
  void RecordLostReport(const std::string& aReason)
  {
    if (!m_isReportLost) {
      m_poller.m_deps.m_log.Write(EventId::UpstreamReportLost,
                                  "upstream=" + m_id.Value() +
                                    " reason=" + aReason);
    }
    m_isReportLost = true;
  }

  ReportPoller& m_poller;
  UpstreamId m_id;
  std::unique_ptr<UpstreamCall> m_call;
  TimePoint m_requestedAt;
  std::string m_body;
  int m_status = 0;
  bool m_isFinished = true;
  bool m_isReportLost = false;
};

ReportPoller::ReportPoller(Dependencies aDependencies,
                           Duration aPeriod,
                           Sources aSources,
                           Listener aListener)
  : m_deps(aDependencies)
  , m_sources(std::move(aSources))
  , m_listener(std::move(aListener))
  , m_timer(aDependencies.m_timers.Every(aPeriod, [this] { PollAll(); }))
{
}

ReportPoller::~ReportPoller() = default;

void ReportPoller::PollAll()
{
  const std::vector<Source> sources = m_sources();
  std::map<UpstreamId, std::unique_ptr<EnginePoll>> kept;
  for (const Source& source : sources) {
    std::unique_ptr<EnginePoll> enginePoll;
    if (const auto found = m_polls.find(source.m_id); found != m_polls.end()) {
      enginePoll = std::move(found->second);
    } else {
      enginePoll = std::make_unique<EnginePoll>(*this, source.m_id);
    }
    enginePoll->Start(source.m_address);
    kept[source.m_id] = std::move(enginePoll);
  }
  m_polls = std::move(kept);
}

} // namespace celeryspread
