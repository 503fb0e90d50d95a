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

/// Reads the load report of every engine once a period.
/// @thread loop thread only.
class ReportPoller
{
public:
  /// An engine to ask.
  struct Source
  {
    UpstreamId m_id;
    UpstreamAddress m_address;
  };
  /// What the poller works with; all outlive it.
  struct Parts
  {
    const Clock& m_clock;
    Timers& m_timers;
    UpstreamClient& m_client;
    EventLog& m_log;
  };
  using Sources = std::function<std::vector<Source>()>;
  using Listener = std::function<void(const UpstreamId&, const LoadReport&)>;

  /// Starts polling what aSources lists. @pre aPeriod > 0.
  ReportPoller(Parts aParts,
               Duration aPeriod,
               Sources aSources,
               Listener aListener);
  ~ReportPoller();
  ReportPoller(const ReportPoller&) = delete;
  ReportPoller& operator=(const ReportPoller&) = delete;

  /// Asks every engine that has no question open. @pre none.
  void PollAll();

private:
  class Poll;

  Parts m_parts;
  Sources m_sources;
  Listener m_listener;
  std::map<UpstreamId, std::unique_ptr<Poll>> m_polls;
  std::unique_ptr<Timer> m_timer;
};

} // namespace celeryspread
