#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "routes/engine_record.h"
#include "routes/route_config.h"

namespace celeryspread {

/// Models and adapters of one engine, and whether more fits into its memory and
/// its adapter slots. An adapter that is being loaded counts as held.
/// @thread loop thread only.
class EngineContents
{
public:
  using Models = std::map<std::string, LoadedModel, std::less<>>;

  /// Starts with held models and with adapters that are being loaded.
  /// @pre none.
  explicit EngineContents(Models aModels = {},
                          std::set<ModelTarget> aLoadingAdapters = {});

  /// Adds an adapter that is being loaded. @pre none.
  void AddLoadingAdapter(const ModelTarget& aAdapter);
  /// Turns an adapter that was being loaded into a loaded one. @pre none.
  void MarkAdapterLoaded(const ModelTarget& aAdapter);
  /// Removes a loaded adapter. @pre none.
  void RemoveAdapter(const ModelTarget& aAdapter);

  /// Returns whether a model is held, or an adapter is loaded or being loaded.
  /// @pre none.
  [[nodiscard]] bool Contains(const ModelTarget& aTarget) const;
  /// Returns the adapters that are loaded, without those being loaded.
  /// @pre none.
  [[nodiscard]] std::set<ModelTarget> LoadedAdapters() const;
  /// Returns how many adapters are being loaded. @pre none.
  [[nodiscard]] size_t LoadingAdapterCount() const
  {
    return m_loadingAdapters.size();
  }
  /// Returns the memory in use, including that of the model which is being
  /// loaded or unloaded; aChangingModel is empty for none. @pre none.
  /// @unit megabytes.
  [[nodiscard]] uint64_t UsedMegabytes(const EngineSpec& aSpec,
                                       const std::string& aChangingModel) const;
  /// Returns whether a further model, or a further adapter of a held model,
  /// fits. @pre aChangingModel is as for UsedMegabytes().
  [[nodiscard]] bool Fits(const EngineSpec& aSpec,
                          const ModelTarget& aTarget,
                          const std::string& aChangingModel) const;

private:
  Models m_models;
  std::set<ModelTarget> m_loadingAdapters;
};

} // namespace celeryspread
