#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "gateway/stream_origins.h"
#include "telemetry/metrics.h"
#include "wire/event_loop_port.h"
#include "wire/wire_link.h"

namespace celeryspread {

/// Tells control instances where this entry's streams begin, and asks them
/// where streams of other entries began.
/// @thread loop thread only.
class StreamOriginLink : public StreamOrigins
{
public:
  /// A stream is reported within this time after its first event, so that the
  /// loss of the entry leaves few streams of unknown origin.
  static constexpr Duration kReportDelay = std::chrono::milliseconds(50);
  /// A caller that asks for the rest of a stream waits this long until a
  /// control instance knows of it. Whatever broke the stream off may have
  /// broken the links as well, or delayed the report.
  static constexpr Duration kFindTimeout = std::chrono::milliseconds(600);

  /// Objects that the link uses. All of them outlive it.
  struct Dependencies
  {
    EventLoopPort& m_port;
    const Clock& m_clock;
    Metrics& m_metrics;
  };
  /// Where to report and whom to ask.
  struct ControlInstances
  {
    /// Returns the links that are up, the preferred ones first.
    std::function<std::vector<WireLink*>()> m_links;
    /// Returns whether several software versions serve some pool.
    std::function<bool()> m_hasSeveralVersions;
  };

  /// Starts without streams. @pre none.
  StreamOriginLink(Dependencies aDependencies, ControlInstances aControls);
  ~StreamOriginLink() noexcept override;
  KJ_DISALLOW_COPY(StreamOriginLink);

  void RecordBegin(StreamKey aStream, const SoftwareVersion& aVersion) override;
  void Find(const PoolId& aPool,
            std::optional<StreamKey> aStream,
            Found aFound) override;

private:
  struct Begun
  {
    StreamKey m_stream;
    SoftwareVersion m_version;
    TimePoint m_at;
  };
  /// A stream that is looked up, and the answers so far.
  struct Question
  {
    PoolId m_pool;
    StreamKey m_stream;
    Found m_found;
    TimePoint m_deadline;
    size_t m_openCalls = 0;
    bool m_isDone = false;
  };
  /// Streams that were reported, and the calls that may still succeed.
  struct Batch
  {
    std::deque<Begun> m_streams;
    size_t m_openCalls = 0;
    bool m_isConfirmed = false;
  };
  using SharedQuestion = std::shared_ptr<Question>;

  void ScheduleReport();
  void Report();
  static void WriteReport(const Batch& aBatch,
                          wire::StreamReport::Builder aOut);
  /// Records that a call with a report has ended. What no instance confirmed is
  /// reported again.
  void EndReport(Batch& aBatch, bool aIsConfirmed);
  /// Asks all instances that are in reach.
  void Ask(const SharedQuestion& aQuestion);
  static void HandleAnswer(Question& aQuestion,
                           wire::StreamAnswer::Reader aAnswer);
  /// Records that a call of a question has ended.
  void EndCall(const SharedQuestion& aQuestion);
  /// Asks again after a moment while there is time.
  void AskLater(const SharedQuestion& aQuestion);
  static void Finish(Question& aQuestion,
                     std::optional<SoftwareVersion> aVersion);

  Dependencies m_deps;
  ControlInstances m_controls;
  StreamVersions m_streams;
  /// Streams that no control instance was told of yet. They are told once a
  /// second version is in service.
  std::deque<Begun> m_unreported;
  bool m_isReportDue = false;
  kj::Promise<void> m_report;
  /// False once the link is destroyed; shared with calls in progress.
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace celeryspread
