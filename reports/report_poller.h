#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/timers.h"
#include "http/upstream_client.h"
#include "reports/load_report.h"
#include "telemetry/event_log.h"

namespace celeryspread {

/// Requests the load report of every engine periodically.
/// @thread loop thread only.
class ReportPoller
{
public:
  /// An engine to poll.
  struct Source
  {
    UpstreamId m_id;
    UpstreamAddress m_address;
  };
  /// Dependencies; all outlive the poller.
  struct Dependencies
  {
    const Clock& m_clock;
    Timers& m_timers;
    UpstreamClient& m_client;
    EventLog& m_log;
  };
  using Sources = std::function<std::vector<Source>()>;
  using Listener = std::function<void(const UpstreamId&, const LoadReport&)>;

  /// Polls the engines that aSources returns, once every aPeriod, and calls
  /// aListener with each valid report. @pre aPeriod > 0.
  ReportPoller(Dependencies aDependencies,
               Duration aPeriod,
               Sources aSources,
               Listener aListener);
  ~ReportPoller();
  ReportPoller(const ReportPoller&) = delete;
  ReportPoller& operator=(const ReportPoller&) = delete;

  /// Polls every engine that has no request in progress. @pre none.
  void PollAll();

private:
  class EnginePoll;

  Dependencies m_deps;
  Sources m_sources;
  Listener m_listener;
  std::map<UpstreamId, std::unique_ptr<EnginePoll>> m_polls;
  std::unique_ptr<Timer> m_timer;
};

} // namespace celeryspread
