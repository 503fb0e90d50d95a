#include "entry/report_poller.h"

namespace celeryspread {

namespace {

constexpr Duration kReportTimeout = std::chrono::seconds(2);
constexpr size_t kMaxReportBytes = 1'048'576;
constexpr int kOk = 200;

} // namespace

/// The repeated question to one engine.
class ReportPoller::Poll : public UpstreamObserver
{
public:
  Poll(EntryContext& aContext, UpstreamId aId)
    : m_context(aContext)
    , m_id(std::move(aId))
  {
  }

  void Ask(const UpstreamDeclaration& aDeclaration)
  {
    if (m_call != nullptr && !m_isOver) {
      return;
    }
    m_isOver = false;
    m_body.clear();
    m_askedAt = m_context.m_clock.Now();
    UpstreamRequest request;
    request.m_address = { aDeclaration.m_address, aDeclaration.m_port };
    request.m_method = "GET";
    request.m_path = "/metrics";
    request.m_firstByteTimeout = kReportTimeout;
    request.m_progressTimeout = kReportTimeout;
    m_call = m_context.m_client.Start(std::move(request), *this);
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
      m_status == kOk ? ParseLoadReport(m_body, m_askedAt) : std::nullopt;
    if (!report) {
      NoteLost("the page is not a load report");
      return;
    }
    m_isLost = false;
    m_context.m_table.ApplyReport(m_id, *report);
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
      m_context.m_log.Write(EventId::UpstreamReportLost,
                            "upstream=" + m_id.Value() + " reason=" + aReason);
    }
    m_isLost = true;
  }

  EntryContext& m_context;
  UpstreamId m_id;
  std::unique_ptr<UpstreamCall> m_call;
  TimePoint m_askedAt;
  std::string m_body;
  int m_status = 0;
  bool m_isOver = true;
  bool m_isLost = false;
};

ReportPoller::ReportPoller(EntryContext& aContext, Duration aPeriod)
  : m_context(aContext)
  , m_timer(aContext.m_timers.Every(aPeriod, [this] { PollAll(); }))
{
}

ReportPoller::~ReportPoller() = default;

void ReportPoller::PollAll()
{
  const auto& upstreams = m_context.m_table.All();
  std::erase_if(m_polls, [&](const auto& aEntry) {
    return !upstreams.contains(aEntry.first);
  });
  for (const auto& [id, state] : upstreams) {
    if (state->m_declaration.m_kind != UpstreamKind::Engine) {
      continue;
    }
    std::unique_ptr<Poll>& poll = m_polls[id];
    if (poll == nullptr) {
      poll = std::make_unique<Poll>(m_context, id);
    }
    poll->Ask(state->m_declaration);
  }
}

} // namespace celeryspread
