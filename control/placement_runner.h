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
/// engines' reports and sends orders to them, with the term as fencing token.
/// @thread loop thread only.
class PlacementRunner
{
public:
  using CatalogSource = std::function<std::shared_ptr<const Catalog>()>;

  /// Starts the periodic work. @pre all references outlive the runner.
  PlacementRunner(ReplicaHost& aHost,
                  ReportPoller::Dependencies aDeps,
                  CatalogSource aCatalog);
  ~PlacementRunner();
  PlacementRunner(const PlacementRunner&) = delete;
  PlacementRunner& operator=(const PlacementRunner&) = delete;

  /// Returns the placement owner. @pre none.
  [[nodiscard]] const PlacementOwner& Owner() const { return m_owner; }

private:
  class OrderCall;

  void Tick();
  /// Acquires or loses ownership with the lease.
  void UpdateOwnership();
  /// Passes the catalog on when its revision changed.
  void UpdateCatalog();
  void SendOrder(const PlacementOrder& aOrder);
  void LogProblems();
  std::vector<ReportPoller::Source> Sources() const;

  ReplicaHost& m_host;
  ReportPoller::Dependencies m_deps;
  CatalogSource m_catalogSource;
  std::shared_ptr<const Catalog> m_catalog;
  PlacementOwner m_owner;
  ReportPoller m_poller;
  std::map<OrderId, std::unique_ptr<OrderCall>> m_orderCalls;
  std::vector<PlacementProblem> m_loggedProblems;
  std::unique_ptr<Timer> m_decideTimer;
};

} // namespace celeryspread
