#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "control/replica_host.h"
#include "http/upstream_client.h"
#include "placement/placement_owner.h"
#include "reports/report_poller.h"

namespace celeryspread {

/// Runs the placement owner while this replica holds the lease: reads the
/// engines' reports, sends orders with the term as fencing token.
/// @thread loop thread only.
class PlacementRunner
{
public:
  using CatalogSource = std::function<std::shared_ptr<const Catalog>()>;

  /// Starts in the background. @pre all references outlive the runner.
  PlacementRunner(ReplicaHost& aHost,
                  ReportPoller::Parts aParts,
                  CatalogSource aCatalog);
  ~PlacementRunner();
  PlacementRunner(const PlacementRunner&) = delete;
  PlacementRunner& operator=(const PlacementRunner&) = delete;

  /// Returns the decisions' state. @pre none.
  [[nodiscard]] const PlacementOwner& Owner() const { return m_owner; }

private:
  class OrderCall;

  void Tick();
  void FollowLease();
  void FollowSettings();
  void Send(const PlacementOrder& aOrder);
  void NoteProblems();
  std::vector<ReportPoller::Source> Sources() const;

  ReplicaHost& m_host;
  ReportPoller::Parts m_parts;
  CatalogSource m_catalogSource;
  std::shared_ptr<const Catalog> m_catalog;
  PlacementOwner m_owner;
  ReportPoller m_poller;
  std::map<OrderId, std::unique_ptr<OrderCall>> m_calls;
  std::vector<PlacementProblem> m_loggedProblems;
  std::unique_ptr<Timer> m_timer;
};

} // namespace celeryspread
