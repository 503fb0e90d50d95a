#include "fleet/engine_contents.h"

namespace celeryspread {

EngineContents::EngineContents(Models aModels,
                               std::set<ModelTarget> aLoadingAdapters)
  : m_models(std::move(aModels))
  , m_loadingAdapters(std::move(aLoadingAdapters))
{
}

void EngineContents::AddLoadingAdapter(const ModelTarget& aAdapter)
{
  m_loadingAdapters.insert(aAdapter);
}

void EngineContents::MarkAdapterLoaded(const ModelTarget& aAdapter)
{
  m_loadingAdapters.erase(aAdapter);
  const auto model = m_models.find(aAdapter.m_model);
  if (model != m_models.end()) {
    model->second.m_adapters.insert(aAdapter.m_adapter);
  }
}

void EngineContents::RemoveAdapter(const ModelTarget& aAdapter)
{
  const auto model = m_models.find(aAdapter.m_model);
  if (model != m_models.end()) {
    model->second.m_adapters.erase(aAdapter.m_adapter);
  }
}

bool EngineContents::Contains(const ModelTarget& aTarget) const
{
  const auto model = m_models.find(aTarget.m_model);
  if (aTarget.m_adapter.empty()) {
    return model != m_models.end();
  }
  return m_loadingAdapters.contains(aTarget) ||
         (model != m_models.end() &&
          model->second.m_adapters.contains(aTarget.m_adapter));
}

std::set<ModelTarget> EngineContents::LoadedAdapters() const
{
  std::set<ModelTarget> adapters;
  for (const auto& [name, held] : m_models) {
    for (const std::string& adapter : held.m_adapters) {
      adapters.insert({ name, adapter });
    }
  }
  return adapters;
}

uint64_t EngineContents::UsedMegabytes(const EngineSpec& aSpec,
                                       const std::string& aChangingModel) const
{
  uint64_t used = 0;
  const auto add =
    [&](const std::string& aModel, bool aCountsWeights, size_t aAdapters) {
      const auto spec = aSpec.m_models.find(aModel);
      if (spec != aSpec.m_models.end()) {
        used += aCountsWeights ? spec->second.m_megabytes : 0;
        used += spec->second.m_adapterMegabytes * aAdapters;
      }
    };
  for (const auto& [name, held] : m_models) {
    add(name, true, held.m_adapters.size());
  }
  for (const ModelTarget& adapter : m_loadingAdapters) {
    add(adapter.m_model, false, 1);
  }
  if (!aChangingModel.empty() && !m_models.contains(aChangingModel)) {
    add(aChangingModel, true, 0);
  }
  return used;
}

bool EngineContents::Fits(const EngineSpec& aSpec,
                          const ModelTarget& aTarget,
                          const std::string& aChangingModel) const
{
  const auto model = aSpec.m_models.find(aTarget.m_model);
  if (model == aSpec.m_models.end()) {
    return false;
  }
  const bool isAdapter = !aTarget.m_adapter.empty();
  const uint64_t needed =
    isAdapter ? model->second.m_adapterMegabytes : model->second.m_megabytes;
  if (UsedMegabytes(aSpec, aChangingModel) + needed > aSpec.m_weightMegabytes) {
    return false;
  }
  return !isAdapter || (m_models.contains(aTarget.m_model) &&
                        LoadedAdapters().size() + m_loadingAdapters.size() <
                          aSpec.m_adapterSlots);
}

} // namespace celeryspread
