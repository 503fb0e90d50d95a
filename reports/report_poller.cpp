#include "reports/report_poller.h"
#include "http/http_status.h"

namespace celeryspread {

namespace {

constexpr Duration kReportTimeout = std::chrono::seconds(2);
constexpr size_t kMaxReportBytes = 1'048'576;

} // namespace

/// The repeated question to one engine.
class ReportPoller::Poll : public UpstreamObserver
{
public:
  Poll(ReportPoller& aPoller, UpstreamId aId)
    : m_poller(aPoller)
    , m_id(std::move(aId))
  {
  }

  void Ask(const UpstreamAddress& aAddress)
  {
    if (m_call != nullptr && !m_isOver) {
      return;
    }
    m_isOver = false;
    m_body.clear();
    m_askedAt = m_poller.m_parts.m_clock.Now();
    UpstreamRequest request;
    request.m_address = aAddress;
    request.m_method = "GET";
    request.m_path = "/metrics";
    request.m_firstByteTimeout = kReportTimeout;
    request.m_progressTimeout = kReportTimeout;
    m_call = m_poller.m_parts.m_client.Start(std::move(request), *this);
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
    m_isOver = true;
    const std::optional<LoadReport> report =
      m_status == HttpStatus::kOk ? ParseLoadReport(m_body, m_askedAt)
                                  : std::nullopt;
    if (!report) {
      NoteLost("the page is not a load report");
      return;
    }
    m_isLost = false;
    m_poller.m_listener(m_id, *report);
  }

  void OnUpstreamFailed(const UpstreamFailure& aFailure) override
  {
    m_isOver = true;
    NoteLost(aFailure.m_reason);
  }

private:
  void NoteLost(const std::string& aReason)
  {
    if (!m_isLost) {
      m_poller.m_parts.m_log.Write(EventId::UpstreamReportLost,
                                   "upstream=" + m_id.Value() +
                                     " reason=" + aReason);
    }
    m_isLost = true;
  }

  ReportPoller& m_poller;
  UpstreamId m_id;
  std::unique_ptr<UpstreamCall> m_call;
  TimePoint m_askedAt;
  std::string m_body;
  int m_status = 0;
  bool m_isOver = true;
  bool m_isLost = false;
};

ReportPoller::ReportPoller(Parts aParts,
                           Duration aPeriod,
                           Sources aSources,
                           Listener aListener)
  : m_parts(aParts)
  , m_sources(std::move(aSources))
  , m_listener(std::move(aListener))
  , m_timer(aParts.m_timers.Every(aPeriod, [this] { PollAll(); }))
{
}

ReportPoller::~ReportPoller() = default;

void ReportPoller::PollAll()
{
  const std::vector<Source> sources = m_sources();
  std::map<UpstreamId, std::unique_ptr<Poll>> kept;
  for (const Source& source : sources) {
    std::unique_ptr<Poll> poll;
    if (const auto found = m_polls.find(source.m_id); found != m_polls.end()) {
      poll = std::move(found->second);
    } else {
      poll = std::make_unique<Poll>(*this, source.m_id);
    }
    poll->Ask(source.m_address);
    kept[source.m_id] = std::move(poll);
  }
  m_polls = std::move(kept);
}

} // namespace celeryspread
