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

/// Decides what each engine loads and unloads, for the one owner at a time.
///
/// A new owner sends nothing until every order of the one before has ended
/// its life, and adds nothing to an engine before it has read back, after
/// that, what the engine holds. So engines that ignore fencing tokens are
/// safe too, provided that an order takes effect within its life or never.
/// @thread loop thread only.
class PlacementOwner
{
public:
  /// Life of an order from its sending.
  static constexpr Duration kOrderLife = std::chrono::seconds(5);

  /// Takes the settings of a revision. @pre not null.
  void SetCatalog(std::shared_ptr<const Catalog> aCatalog);
  /// Becomes the owner. @pre a quorum granted aToken, larger than any before.
  void BeginOwnership(FencingToken aToken, TimePoint aNow);
  /// Stops being the owner; nothing more is ordered. @pre none.
  void EndOwnership();
  /// Takes an engine's word. @pre none.
  void ApplyReport(const UpstreamId& aEngine, const LoadReport& aReport);
  /// Notes that an engine answered an order, well or not. @pre none.
  void NoteAnswered(const PlacementOrder& aOrder, TimePoint aNow);
  /// Decides what to order now. @pre none; empty when not the owner.
  std::vector<PlacementOrder> Decide(TimePoint aNow);

  /// Tells whether this is the owner. @pre none.
  [[nodiscard]] bool IsOwner() const { return m_isOwner; }
  /// Returns what can't be placed, as of the last Decide(). @pre none.
  [[nodiscard]] const std::vector<PlacementProblem>& Problems() const
  {
    return m_problems;
  }
  /// Returns an engine's ledger, null when it is not known. @pre none.
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
  [[nodiscard]] bool HoldsBase(const Engine& aEngine,
                               const PlacementItem& aItem) const;
  [[nodiscard]] size_t CopiesInDomain(const PlacementItem& aItem,
                                      const FailureDomainId& aDomain) const;
  Engine* ChooseEngine(const PlacementItem& aItem, UpstreamId& aChosen);
  [[nodiscard]] int64_t LoadsInFlight(bool aIsAdapter) const;
  [[nodiscard]] bool IsEvictable(const Engine& aEngine,
                                 const std::string& aName) const;
  [[nodiscard]] bool HasResidentHeir(const std::string& aName) const;
  void PlaceItem(const PlacementItem& aItem,
                 TimePoint aNow,
                 std::vector<PlacementOrder>& aOrders);
  void PlaceAdapterBesideBase(const PlacementItem& aItem,
                              TimePoint aNow,
                              std::vector<PlacementOrder>& aOrders);
  bool OrderLoad(const UpstreamId& aEngineId,
                 Engine& aEngine,
                 const PlacementItem& aItem,
                 TimePoint aNow,
                 std::vector<PlacementOrder>& aOrders);
  bool MakeRoom(const PlacementItem& aItem,
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
  /// Engines found to have nothing to evict in the decision being made. What
  /// is placed meanwhile only adds to what must stay.
  std::set<UpstreamId> m_exhausted;
  FencingToken m_token;
  OrderId m_nextOrder;
  TimePoint m_quietUntil;
  bool m_isOwner = false;
};

} // namespace celeryspread
