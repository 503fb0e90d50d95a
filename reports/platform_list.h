#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "reports/report_poller.h"

namespace celeryspread {

/// Reads the platform's JSON list `{"leaving": ["id", ...], ...}`.
/// @pre none. @thread any. @error empty when it is not well-formed.
std::optional<std::set<UpstreamId>> ParsePlatformList(std::string_view aText);

/// Polls the platform's list of live and leaving instances. The list lags and
/// may go back, so it only ever adds to what is known to be leaving.
/// @thread loop thread only.
class PlatformList : public UpstreamObserver
{
public:
  using Listener = std::function<void(const UpstreamId&)>;

  /// Polls aPath at aAddress. @pre all references outlive the list;
  /// aListener hears each leaving upstream at every poll.
  PlatformList(ReportPoller::Parts aParts,
               UpstreamAddress aAddress,
               std::string aPath,
               Duration aPeriod,
               Listener aListener);

  void OnUpstreamHeaders(int aStatus, const HttpHeaders& aHeaders) override;
  void OnUpstreamBody(std::string_view aBytes) override;
  void OnUpstreamEnd() override;
  void OnUpstreamFailed(const UpstreamFailure& aFailure) override;

private:
  void Ask();

  ReportPoller::Parts m_parts;
  UpstreamAddress m_address;
  std::string m_path;
  Listener m_listener;
  std::unique_ptr<UpstreamCall> m_call;
  std::unique_ptr<Timer> m_timer;
  std::string m_body;
  bool m_isAsking = false;
};

} // namespace celeryspread
