#include "gateway/stream_origin_link.h"

#include <algorithm>
#include <utility>

#include "wire/message_bytes.h"
#include "wire/version_codec.h"

namespace celeryspread {

namespace {

/// Streams that an entry remembers, and has still to report.
constexpr size_t kMaxStreams = 65'536;
constexpr size_t kMaxUnreported = 16'384;
constexpr Duration kReportTimeout = std::chrono::milliseconds(1000);
/// Instances that are told of each stream, so that the loss of one leaves it
/// known.
constexpr size_t kReportCopies = 2;

} // namespace

StreamOriginLink::StreamOriginLink(Dependencies aDependencies,
                                   ControlInstances aControls)
  : m_deps(aDependencies)
  , m_controls(std::move(aControls))
  , m_streams(kStreamMemory, kMaxStreams)
  , m_report(nullptr)
{
}

StreamOriginLink::~StreamOriginLink() noexcept = default;

void StreamOriginLink::RecordBegin(StreamKey aStream,
                                   const SoftwareVersion& aVersion)
{
  const TimePoint now = m_deps.m_clock.Now();
  m_streams.Record(aStream, aVersion, now);
  m_unreported.push_back({ aStream, aVersion, now });
  while (m_unreported.size() > kMaxUnreported ||
         m_unreported.front().m_at + kStreamMemory <= now) {
    m_unreported.pop_front();
  }
  if (m_controls.m_hasSeveralVersions()) {
    ScheduleReport();
  }
}

void StreamOriginLink::ScheduleReport()
{
  if (m_isReportDue) {
    return;
  }
  m_isReportDue = true;
  m_report = PromiseAfter(m_deps.m_port.Base(), kReportDelay.count())
               .then([this] {
                 m_isReportDue = false;
                 Report();
               })
               .eagerlyEvaluate(nullptr);
}

void StreamOriginLink::Report()
{
  const std::vector<WireLink*> links = m_controls.m_links();
  const size_t copies = std::min(links.size(), kReportCopies);
  if (copies == 0) {
    ScheduleReport();
    return;
  }
  std::vector<SoftwareVersion> versions;
  std::vector<size_t> positions;
  for (const Begun& begun : m_unreported) {
    const auto at =
      std::find(versions.begin(), versions.end(), begun.m_version);
    positions.push_back(static_cast<size_t>(at - versions.begin()));
    if (at == versions.end()) {
      versions.push_back(begun.m_version);
    }
  }
  for (size_t copy = 0; copy < copies; ++copy) {
    WireLink* link = links[copy];
    auto call = link->Node().recordStreamsRequest();
    auto report = call.initReport();
    auto names = report.initVersions(static_cast<unsigned>(versions.size()));
    for (unsigned i = 0; i < names.size(); ++i) {
      names.set(i, versions[i].Value());
    }
    auto streams =
      report.initStreams(static_cast<unsigned>(m_unreported.size()));
    for (unsigned i = 0; i < streams.size(); ++i) {
      streams[i].setStream(m_unreported[i].m_stream.Value());
      streams[i].setVersion(static_cast<uint16_t>(positions[i]));
    }
    link->WithTimeout<void>(call.send().ignoreResult(), kReportTimeout)
      .detach([this](kj::Exception&&) {
        m_deps.m_metrics.Count(
          "celeryspread_gateway_stream_reports_failed_total");
      });
  }
  m_unreported.clear();
}

void StreamOriginLink::Find(const PoolId& aPool,
                            std::optional<StreamKey> aStream,
                            Found aFound)
{
  const auto own = aStream ? m_streams.Find(*aStream) : std::nullopt;
  if (own) {
    aFound(own);
    return;
  }
  const std::vector<WireLink*> links = m_controls.m_links();
  auto question = std::make_shared<Question>();
  question->m_found = std::move(aFound);
  question->m_openCalls = links.size();
  if (links.empty()) {
    Finish(*question, std::nullopt);
    return;
  }
  // All are asked at once: any of them may be the one that was told, and the
  // caller waits.
  for (WireLink* link : links) {
    auto call = link->Node().findStreamRequest();
    call.setPool(aPool.Value());
    call.setStream(aStream.value_or(StreamKey()).Value());
    auto reply = call.send().then([question](auto&& aResponse) {
      HandleAnswer(*question, aResponse.getAnswer());
    });
    link->WithTimeout<void>(kj::mv(reply), kFindTimeout)
      .then([question] { EndCall(*question); },
            [question](kj::Exception&&) { EndCall(*question); })
      .detach([](kj::Exception&&) {});
  }
}

void StreamOriginLink::HandleAnswer(Question& aQuestion,
                                    wire::StreamAnswer::Reader aAnswer)
{
  if (aAnswer.getIsKnown()) {
    Finish(aQuestion, SoftwareVersion(TextOf(aAnswer.getVersion())));
    return;
  }
  if (aAnswer.getHasPoolVersions()) {
    aQuestion.m_poolVersions.merge(ReadVersions(aAnswer.getPoolVersions()));
    // No stream of the pool can have begun elsewhere.
    if (aQuestion.m_poolVersions.size() == 1) {
      Finish(aQuestion, *aQuestion.m_poolVersions.begin());
    }
  }
}

void StreamOriginLink::EndCall(Question& aQuestion)
{
  if (--aQuestion.m_openCalls == 0) {
    Finish(aQuestion, std::nullopt);
  }
}

void StreamOriginLink::Finish(Question& aQuestion,
                              std::optional<SoftwareVersion> aVersion)
{
  if (!std::exchange(aQuestion.m_isDone, true)) {
    aQuestion.m_found(std::move(aVersion));
  }
}

} // namespace celeryspread
