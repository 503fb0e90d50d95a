#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "reports/report_poller.h"

namespace celeryspread {

/// Parses the platform's JSON list `{"leaving": ["id", ...], ...}` and returns
/// the leaving upstreams. @pre none. @thread any. @error empty when it is
/// malformed.
std::optional<std::set<UpstreamId>> ParsePlatformList(std::string_view aText);

/// Polls the platform's list of running and leaving instances. The list lags
/// and may revert to an older state, so the absence of an upstream means
/// nothing.
/// @thread loop thread only.
class PlatformList : public UpstreamObserver
{
public:
  using Listener = std::function<void(const UpstreamId&)>;

  /// Polls aPath at aAddress now and then once every aPeriod; each poll calls
  /// aListener with every leaving upstream. @pre aPeriod > 0, and everything in
  /// aDependencies outlives this object.
  PlatformList(ReportPoller::Dependencies aDependencies,
               UpstreamAddress aAddress,
               std::string aPath,
               Duration aPeriod,
               Listener aListener);

  void OnUpstreamHeaders(int aStatus, const HttpHeaders& aHeaders) override;
  void OnUpstreamBody(std::string_view aBytes) override;
  void OnUpstreamEnd() override;
  void OnUpstreamFailed(const UpstreamFailure& aFailure) override;

private:
  /// Requests the list unless a request is in progress.
  void Poll();

  ReportPoller::Dependencies m_deps;
  UpstreamAddress m_address;
  std::string m_path;
  Listener m_listener;
  std::unique_ptr<UpstreamCall> m_call;
  std::unique_ptr<Timer> m_timer;
  std::string m_body;
  bool m_isPolling = false;
};

} // namespace celeryspread
