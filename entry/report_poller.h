#pragma once

#include <map>
#include <memory>
#include <string>

#include "entry/entry_context.h"

namespace celeryspread {

/// Reads the load report of every engine once a period.
/// @thread loop thread only.
class ReportPoller
{
public:
  /// Starts polling. @pre aContext outlives the poller; aPeriod > 0.
  ReportPoller(EntryContext& aContext, Duration aPeriod);
  ~ReportPoller();
  ReportPoller(const ReportPoller&) = delete;
  ReportPoller& operator=(const ReportPoller&) = delete;

  /// Asks every engine that has no question open. @pre none.
  void PollAll();

private:
  class Poll;

  EntryContext& m_context;
  std::map<UpstreamId, std::unique_ptr<Poll>> m_polls;
  std::unique_ptr<Timer> m_timer;
};

} // namespace celeryspread
