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

/// How an attempt at an upstream ended.
enum class AttemptResult
{
  Answered,
  Failed,
  /// Says nothing about the health of the upstream.
  Cancelled
};

/// How the end of an attempt changed the ejection of its upstream.
enum class HealthChange
{
  None,
  /// The upstream failed several times in a row and is avoided for a while.
  Ejected,
  /// An ejected upstream has answered and is used normally again.
  Returned
};

/// State of every known upstream, indexed by engine name and plain service, so
/// that a choice doesn't look at upstreams without the model.
/// @thread loop thread only.
class UpstreamTable
{
public:
  using Candidates = std::vector<UpstreamState*>;

  /// Applies the upstreams of a settings revision. An upstream that keeps its
  /// id, address and port keeps its state. @pre none.
  void SetCatalog(const Catalog& aCatalog);
  /// Applies an engine's load report; one older than the latest is ignored.
  /// @pre none.
  void ApplyReport(const UpstreamId& aId, const LoadReport& aReport);
  /// Records that the platform's list names an upstream as leaving. The list
  /// lags and may revert to an older state, so this mark is permanent; an
  /// upstream that returns is declared again with a new address. @pre none.
  /// @return true when it wasn't recorded before.
  bool RecordPlatformLeaving(const UpstreamId& aId);
  /// Records that a call started. @pre none.
  void RecordStart(const UpstreamId& aId, TimePoint aNow);
  /// Records that a streamed call waits for its first token. @pre none.
  void RecordAwaitingFirstToken(const UpstreamId& aId, TimePoint aStart);
  /// Records the first token of a call, or that none will come. @pre
  /// RecordAwaitingFirstToken(aId, aStart) was called, and this was not called
  /// for it yet.
  void RecordFirstToken(const UpstreamId& aId,
                        TimePoint aStart,
                        TimePoint aNow);
  /// Records that a call ended. @pre RecordStart() was called for it.
  HealthChange RecordEnd(const UpstreamId& aId,
                         AttemptResult aResult,
                         Duration aElapsed,
                         TimePoint aNow);
  /// Returns the upstreams that have an engine name resident. @pre none.
  [[nodiscard]] const Candidates& UpstreamsWithResident(
    std::string_view aEngineName) const;
  /// Returns the upstreams of a plain service. @pre none.
  [[nodiscard]] const Candidates& UpstreamsOfService(
    const PlainServiceId& aId) const;
  /// Lists the engines to poll for load reports. @pre none.
  [[nodiscard]] std::vector<ReportPoller::Source> ReportSources() const;
  /// Returns every upstream. @pre none.
  [[nodiscard]] const std::map<UpstreamId, std::unique_ptr<UpstreamState>>&
  All() const
  {
    return m_upstreams;
  }

private:
  UpstreamState* Find(const UpstreamId& aId);
  void RebuildIndexes();

  std::map<UpstreamId, std::unique_ptr<UpstreamState>> m_upstreams;
  std::map<std::string, Candidates, std::less<>> m_byEngineName;
  std::map<PlainServiceId, Candidates> m_byPlainService;
  /// Returned for a name or service that no upstream has.
  Candidates m_noCandidates;
};

} // namespace celeryspread
