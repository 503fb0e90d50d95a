#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "catalog/catalog.h"
#include "reports/report_poller.h"
#include "routing/upstream_state.h"

namespace celeryspread {

/// How a call at an upstream ended, as far as routing cares.
enum class AttemptResult
{
  Answered,
  Failed,
  Cancelled
};

/// What the end of a call changed about its upstream.
enum class HealthChange
{
  None,
  Ejected,
  Returned
};

/// State of every known upstream, indexed by what each can serve, so that a
/// decision costs nothing for upstreams that do not hold the model.
/// @thread loop thread only.
class UpstreamTable
{
public:
  using Candidates = std::vector<UpstreamState*>;

  /// Takes the upstreams of a new revision; state of those that stay is kept.
  /// @pre none.
  void SetCatalog(const Catalog& aCatalog);
  /// Takes an engine's report; an older one than the last is dropped.
  /// @pre none.
  void ApplyReport(const UpstreamId& aId, const LoadReport& aReport);
  /// Notes that the platform's list calls an upstream leaving. The list lags
  /// and may go back, so this is never taken back; an upstream that returns
  /// is declared anew with its new address. @pre none.
  /// @return true when that is news.
  bool NotePlatformLeaving(const UpstreamId& aId);
  /// Notes that a call started. @pre none.
  void NoteStart(const UpstreamId& aId, TimePoint aNow);
  /// Notes that a streamed call waits for its first token. @pre none.
  void NoteAwaiting(const UpstreamId& aId, TimePoint aStart);
  /// Notes the first token of a call, or that none will come.
  /// @pre NoteAwaiting(aId, aStart) came before, and this did not.
  void NoteFirstToken(const UpstreamId& aId, TimePoint aStart, TimePoint aNow);
  /// Notes that a call ended. @pre NoteStart() came before.
  HealthChange NoteEnd(const UpstreamId& aId,
                       AttemptResult aResult,
                       Duration aElapsed,
                       TimePoint aNow);
  /// Returns the upstreams on which an engine name is resident. @pre none.
  [[nodiscard]] const Candidates& HoldersOf(std::string_view aEngineName) const;
  /// Returns the upstreams of a plain service. @pre none.
  [[nodiscard]] const Candidates& ServersOf(const PlainServiceId& aId) const;
  /// Lists the engines that report their load. @pre none.
  [[nodiscard]] std::vector<ReportPoller::Source> ReportSources() const;
  /// Returns every upstream. @pre none.
  [[nodiscard]] const std::map<UpstreamId, std::unique_ptr<UpstreamState>>&
  All() const
  {
    return m_upstreams;
  }

private:
  UpstreamState* Find(const UpstreamId& aId);
  void Reindex();

  std::map<UpstreamId, std::unique_ptr<UpstreamState>> m_upstreams;
  std::map<std::string, Candidates, std::less<>> m_holders;
  std::map<PlainServiceId, Candidates> m_servers;
  Candidates m_none;
};

} // namespace celeryspread
