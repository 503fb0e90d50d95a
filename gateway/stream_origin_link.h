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
  /// A caller that asks for the rest of a stream waits this long for the answers
  /// of control instances: a round trip to the farthest, and a lost packet.
  static constexpr Duration kFindTimeout = std::chrono::milliseconds(500);

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

  void RecordBegin(StreamKey aStream,
                   const SoftwareVersion& aVersion) override;
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
  /// Answers to one question.
  struct Question
  {
    Found m_found;
    std::set<SoftwareVersion> m_poolVersions;
    size_t m_openCalls = 0;
    bool m_isDone = false;
  };

  void ScheduleReport();
  void Report();
  static void HandleAnswer(Question& aQuestion,
                           wire::StreamAnswer::Reader aAnswer);
  static void Finish(Question& aQuestion,
                     std::optional<SoftwareVersion> aVersion);
  /// Records that one of the calls has ended.
  static void EndCall(Question& aQuestion);

  Dependencies m_deps;
  ControlInstances m_controls;
  StreamVersions m_streams;
  /// Streams that no control instance was told of yet. They are told once a
  /// second version is in service.
  std::deque<Begun> m_unreported;
  bool m_isReportDue = false;
  kj::Promise<void> m_report;
};

} // namespace celeryspread
