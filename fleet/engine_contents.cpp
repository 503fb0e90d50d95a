#include "fleet/engine_contents.h"

namespace celeryspread {

EngineContents::EngineContents(Models aModels,
                               std::set<ModelTarget> aLoadingAdapters)
  : m_models(std::move(aModels))
  , m_loading(std::move(aLoadingAdapters))
{
}

void EngineContents::BeginAdapter(const ModelTarget& aAdapter)
{
  m_loading.insert(aAdapter);
}

void EngineContents::EndAdapter(const ModelTarget& aAdapter)
{
  m_loading.erase(aAdapter);
  const auto model = m_models.find(aAdapter.m_model);
  if (model != m_models.end()) {
    model->second.m_adapters.insert(aAdapter.m_adapter);
  }
}

void EngineContents::DropAdapter(const ModelTarget& aAdapter)
{
  const auto model = m_models.find(aAdapter.m_model);
  if (model != m_models.end()) {
    model->second.m_adapters.erase(aAdapter.m_adapter);
  }
}

bool EngineContents::Has(const ModelTarget& aTarget) const
{
  const auto model = m_models.find(aTarget.m_model);
  if (aTarget.m_adapter.empty()) {
    return model != m_models.end();
  }
  return m_loading.contains(aTarget) ||
         (model != m_models.end() &&
          model->second.m_adapters.contains(aTarget.m_adapter));
}

std::set<ModelTarget> EngineContents::Adapters() const
{
  std::set<ModelTarget> adapters;
  for (const auto& [name, held] : m_models) {
    for (const std::string& adapter : held.m_adapters) {
      adapters.insert({ name, adapter });
    }
  }
  return adapters;
}

uint64_t EngineContents::Megabytes(const EngineSpec& aSpec,
                                   const std::string& aChanging) const
{
  uint64_t taken = 0;
  const auto add =
    [&](const std::string& aModel, bool aIsWhole, size_t aCount) {
      const auto spec = aSpec.m_models.find(aModel);
      if (spec != aSpec.m_models.end()) {
        taken += aIsWhole ? spec->second.m_megabytes : 0;
        taken += spec->second.m_adapterMegabytes * aCount;
      }
    };
  for (const auto& [name, held] : m_models) {
    add(name, true, held.m_adapters.size());
  }
  for (const ModelTarget& adapter : m_loading) {
    add(adapter.m_model, false, 1);
  }
  if (!aChanging.empty() && !m_models.contains(aChanging)) {
    add(aChanging, true, 0);
  }
  return taken;
}

bool EngineContents::Fits(const EngineSpec& aSpec,
                          const ModelTarget& aTarget,
                          const std::string& aChanging) const
{
  const auto model = aSpec.m_models.find(aTarget.m_model);
  if (model == aSpec.m_models.end()) {
    return false;
  }
  const bool isAdapter = !aTarget.m_adapter.empty();
  const uint64_t needed =
    isAdapter ? model->second.m_adapterMegabytes : model->second.m_megabytes;
  if (Megabytes(aSpec, aChanging) + needed > aSpec.m_weightMegabytes) {
    return false;
  }
  return !isAdapter ||
         (m_models.contains(aTarget.m_model) &&
          Adapters().size() + m_loading.size() < aSpec.m_adapterPlaces);
}

} // namespace celeryspread
