#pragma once

#include <map>
#include <string>
#include <vector>

#include "catalog/catalog.h"

namespace celeryspread {

/// One model version or adapter version that must be resident.
struct PlacementItem
{
  /// Engine name.
  std::string m_name;
  ModelId m_model;
  bool m_isAdapter = false;
  ByteCount m_bytes;
  /// Wanted copies of the model; an adapter goes wherever its base model is.
  uint32_t m_copies = 1;
  /// Engine names of the base model's versions; an adapter needs one of them.
  std::vector<std::string> m_baseNames;
};

/// Everything that must be resident according to the settings tree.
/// @thread immutable, safe to share.
class PlacementGoal
{
public:
  /// Derives the goal from a settings revision. @pre none.
  explicit PlacementGoal(const Catalog& aCatalog);
  /// Returns the items, models before adapters. @pre none.
  [[nodiscard]] const std::vector<PlacementItem>& Items() const
  {
    return m_items;
  }
  /// Returns declared sizes by engine name. @pre none.
  [[nodiscard]] const std::map<std::string, ByteCount>& Sizes() const
  {
    return m_sizes;
  }
  /// Returns the item of an engine name, null when it isn't declared. @pre
  /// none.
  [[nodiscard]] const PlacementItem* Find(const std::string& aName) const;

private:
  std::vector<PlacementItem> m_items;
  std::map<std::string, ByteCount> m_sizes;
};

} // namespace celeryspread
