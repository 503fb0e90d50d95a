#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "routes/engine_record.h"
#include "routes/route_config.h"

namespace celeryspread {

/// What one engine holds, and whether more fits into its memory and its
/// places for adapters. Adapters on their way count as held.
/// @thread loop thread only.
class EngineContents
{
public:
  using Models = std::map<std::string, HeldModel, std::less<>>;

  /// Starts from models and from adapters that are on their way. @pre none.
  explicit EngineContents(Models aModels = {},
                          std::set<ModelTarget> aLoadingAdapters = {});

  /// Notes that an adapter is on its way. @pre none.
  void BeginAdapter(const ModelTarget& aAdapter);
  /// Notes that an adapter on its way has arrived. @pre none.
  void EndAdapter(const ModelTarget& aAdapter);
  /// Notes that an adapter is gone. @pre none.
  void DropAdapter(const ModelTarget& aAdapter);

  /// Tells whether a model, or an adapter, is held or on its way. @pre none.
  [[nodiscard]] bool Has(const ModelTarget& aTarget) const;
  /// Returns the adapters that have arrived. @pre none.
  [[nodiscard]] std::set<ModelTarget> Adapters() const;
  /// Returns how many adapters are on their way. @pre none.
  [[nodiscard]] size_t LoadingCount() const { return m_loading.size(); }
  /// Returns the memory taken, with that of a model which is being loaded or
  /// unloaded; aChanging is empty for none. @pre none. @unit megabytes.
  [[nodiscard]] uint64_t Megabytes(const EngineSpec& aSpec,
                                   const std::string& aChanging) const;
  /// Tells whether a model, or an adapter of a held model, fits besides.
  /// @pre aChanging as above.
  [[nodiscard]] bool Fits(const EngineSpec& aSpec,
                          const ModelTarget& aTarget,
                          const std::string& aChanging) const;

private:
  Models m_models;
  std::set<ModelTarget> m_loading;
};

} // namespace celeryspread
