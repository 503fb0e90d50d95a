#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "placement/load_budget.h"
#include "placement/memory_ledger.h"
#include "placement/placement_goal.h"
#include "placement/placement_types.h"

namespace celeryspread {

/// Decides which models and adapters each engine loads and unloads. Only the
/// owner, one control instance at a time, makes orders.
///
/// A new owner sends no order until the lifetime of all orders of the previous
/// owner is over, and orders no load on an engine before a later report has
/// shown what is resident there. So memory isn't overcommitted even on engines
/// that ignore fencing tokens, provided that an order takes effect within its
/// lifetime or never.
/// @thread loop thread only.
class PlacementOwner
{
public:
  /// Time after its sending within which an order takes effect or never does.
  static constexpr Duration kOrderLifetime = std::chrono::seconds(5);

  /// Applies a settings revision. @pre aCatalog is not null.
  void SetCatalog(std::shared_ptr<const Catalog> aCatalog);
  /// Acquires ownership. @pre a quorum granted aToken, which is larger than any
  /// earlier one.
  void AcquireOwnership(FencingToken aToken, TimePoint aNow);
  /// Loses ownership; no more orders are made. @pre none.
  void LoseOwnership();
  /// Applies an engine's load report. @pre none.
  void ApplyReport(const UpstreamId& aEngine, const LoadReport& aReport);
  /// Records that an engine answered an order, with success or an error.
  /// @pre none.
  void RecordAnswer(const PlacementOrder& aOrder, TimePoint aNow);
  /// Returns the orders to send now. @pre none; empty when not the owner.
  std::vector<PlacementOrder> Decide(TimePoint aNow);

  /// Returns true while this is the owner. @pre none.
  [[nodiscard]] bool IsOwner() const { return m_isOwner; }
  /// Returns what can't be placed, as of the last Decide(). @pre none.
  [[nodiscard]] const std::vector<PlacementProblem>& Problems() const
  {
    return m_problems;
  }
  /// Returns an engine's ledger, null when the engine isn't known. @pre none.
  [[nodiscard]] const MemoryLedger* LedgerOf(const UpstreamId& aEngine) const;

private:
  struct Engine
  {
    UpstreamDeclaration m_declaration;
    MemoryLedger m_ledger;
    bool m_isLeaving = false;
  };

  [[nodiscard]] size_t CountCopies(const std::string& aName,
                                   bool aIncludeLoading) const;
  [[nodiscard]] bool HasResidentBase(const Engine& aEngine,
                                     const PlacementItem& aItem) const;
  [[nodiscard]] size_t CopiesInDomain(const PlacementItem& aItem,
                                      const FailureDomainId& aDomain) const;
  Engine* ChooseEngine(const PlacementItem& aItem, UpstreamId& aChosen);
  [[nodiscard]] int64_t LoadsInFlight(bool aIsAdapter) const;
  [[nodiscard]] bool IsEvictable(const Engine& aEngine,
                                 const std::string& aName) const;
  [[nodiscard]] bool HasResidentDefaultVersion(const std::string& aName) const;
  void PlaceItem(const PlacementItem& aItem,
                 TimePoint aNow,
                 std::vector<PlacementOrder>& aOrders);
  void PlaceAdapterWithBase(const PlacementItem& aItem,
                            TimePoint aNow,
                            std::vector<PlacementOrder>& aOrders);
  bool OrderLoad(const UpstreamId& aEngineId,
                 Engine& aEngine,
                 const PlacementItem& aItem,
                 TimePoint aNow,
                 std::vector<PlacementOrder>& aOrders);
  /// Orders one unload to free memory for aItem, or finds one in progress.
  /// @return false when no engine has anything to evict.
  bool EvictForRoom(const PlacementItem& aItem,
                    TimePoint aNow,
                    std::vector<PlacementOrder>& aOrders);
  void Evict(const UpstreamId& aEngineId,
             Engine& aEngine,
             const std::string& aName,
             TimePoint aNow,
             std::vector<PlacementOrder>& aOrders);
  PlacementOrder MakeOrder(OrderKind aKind,
                           const UpstreamId& aEngine,
                           const std::string& aName,
                           bool aIsAdapter,
                           ByteCount aBytes);

  std::shared_ptr<const Catalog> m_catalog;
  std::unique_ptr<PlacementGoal> m_goal;
  std::map<UpstreamId, Engine> m_engines;
  LoadBudget m_budget;
  std::vector<PlacementProblem> m_problems;
  /// Engines on which the current Decide() has found nothing to evict. Loads
  /// that it orders later add nothing evictable, so they aren't searched again.
  std::set<UpstreamId> m_nothingToEvict;
  FencingToken m_token;
  OrderId m_lastOrderId;
  /// Until then, orders of the previous owner may still take effect.
  TimePoint m_ordersAllowedFrom;
  bool m_isOwner = false;
};

} // namespace celeryspread
