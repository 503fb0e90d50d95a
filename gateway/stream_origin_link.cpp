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
/// Time after which a stream that nobody knows is asked for again.
constexpr Duration kAskAgainDelay = std::chrono::milliseconds(100);

} // namespace

StreamOriginLink::StreamOriginLink(Dependencies aDependencies,
                                   ControlInstances aControls)
  : m_deps(aDependencies)
  , m_controls(std::move(aControls))
  , m_streams(kStreamMemory, kMaxStreams)
  , m_report(nullptr)
{
}

StreamOriginLink::~StreamOriginLink() noexcept
{
  *m_isAlive = false;
}

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
  const auto batch = std::make_shared<Batch>();
  batch->m_streams.swap(m_unreported);
  batch->m_openCalls = copies;
  for (size_t copy = 0; copy < copies; ++copy) {
    auto call = links[copy]->Node().recordStreamsRequest();
    WriteReport(*batch, call.initReport());
    links[copy]
      ->WithTimeout<void>(call.send().ignoreResult(), kReportTimeout)
      .then([] { return true; }, [](kj::Exception&&) { return false; })
      .then([this, batch, isAlive = m_isAlive](bool aIsConfirmed) {
        if (*isAlive) {
          EndReport(*batch, aIsConfirmed);
        }
      })
      .detach([](kj::Exception&&) {});
  }
}

void StreamOriginLink::WriteReport(const Batch& aBatch,
                                   wire::StreamReport::Builder aOut)
{
  std::vector<SoftwareVersion> versions;
  auto streams =
    aOut.initStreams(static_cast<unsigned>(aBatch.m_streams.size()));
  for (unsigned i = 0; i < streams.size(); ++i) {
    const Begun& begun = aBatch.m_streams[i];
    auto at = std::find(versions.begin(), versions.end(), begun.m_version);
    if (at == versions.end()) {
      at = versions.insert(versions.end(), begun.m_version);
    }
    streams[i].setStream(begun.m_stream.Value());
    streams[i].setVersion(static_cast<uint16_t>(at - versions.begin()));
  }
  auto names = aOut.initVersions(static_cast<unsigned>(versions.size()));
  for (unsigned i = 0; i < names.size(); ++i) {
    names.set(i, versions[i].Value());
  }
}

void StreamOriginLink::EndReport(Batch& aBatch, bool aIsConfirmed)
{
  aBatch.m_isConfirmed = aBatch.m_isConfirmed || aIsConfirmed;
  --aBatch.m_openCalls;
  if (!aIsConfirmed) {
    m_deps.m_metrics.Count("celeryspread_gateway_stream_reports_failed_total");
  }
  if (aBatch.m_openCalls == 0 && !aBatch.m_isConfirmed) {
    m_unreported.insert(
      m_unreported.begin(), aBatch.m_streams.begin(), aBatch.m_streams.end());
    ScheduleReport();
  }
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
  Ask(std::make_shared<Question>(
    Question{ aPool,
              aStream.value_or(StreamKey()),
              std::move(aFound),
              m_deps.m_clock.Now() + kFindTimeout }));
}

void StreamOriginLink::Ask(const SharedQuestion& aQuestion)
{
  const std::vector<WireLink*> links = m_controls.m_links();
  if (links.empty()) {
    AskLater(aQuestion);
    return;
  }
  aQuestion->m_openCalls = links.size();
  const Duration left =
    std::max(kAskAgainDelay, aQuestion->m_deadline - m_deps.m_clock.Now());
  // All are asked at once: any of them may be the one that was told, and the
  // caller waits.
  for (WireLink* link : links) {
    auto call = link->Node().findStreamRequest();
    call.setPool(aQuestion->m_pool.Value());
    call.setStream(aQuestion->m_stream.Value());
    auto reply = call.send().then([aQuestion](auto&& aResponse) {
      HandleAnswer(*aQuestion, aResponse.getAnswer());
    });
    link->WithTimeout<void>(kj::mv(reply), left)
      .catch_([](kj::Exception&&) {})
      .then([this, aQuestion, isAlive = m_isAlive] {
        if (*isAlive) {
          EndCall(aQuestion);
        }
      })
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
  const auto versions = ReadVersions(aAnswer.getPoolVersions());
  if (aAnswer.getHasPoolVersions() && versions.size() == 1) {
    // No stream of the pool can have begun elsewhere.
    Finish(aQuestion, *versions.begin());
  }
}

void StreamOriginLink::EndCall(const SharedQuestion& aQuestion)
{
  if (--aQuestion->m_openCalls == 0 && !aQuestion->m_isDone) {
    AskLater(aQuestion);
  }
}

void StreamOriginLink::AskLater(const SharedQuestion& aQuestion)
{
  const bool hasTime =
    m_deps.m_clock.Now() + kAskAgainDelay < aQuestion->m_deadline;
  if (!hasTime) {
    Finish(*aQuestion, std::nullopt);
    return;
  }
  PromiseAfter(m_deps.m_port.Base(), kAskAgainDelay.count())
    .then([this, aQuestion, isAlive = m_isAlive] {
      if (*isAlive) {
        Ask(aQuestion);
      }
    })
    .detach([](kj::Exception&&) {});
}

void StreamOriginLink::Finish(Question& aQuestion,
                              std::optional<SoftwareVersion> aVersion)
{
  if (!std::exchange(aQuestion.m_isDone, true)) {
    aQuestion.m_found(std::move(aVersion));
  }
}

} // namespace celeryspread
