#include "fleet/model_shares.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Models that share engines shift each other's load, so the distribution is
/// repeated. After this many rounds the remaining shift is smaller than the
/// uncertainty of the reported demand.
constexpr int kDistributionRounds = 6;

} // namespace

ModelShares::ModelShares(size_t aModels, size_t aEngines)
  : m_models(aModels)
  , m_engineLoads(aEngines)
{
}

void ModelShares::SetLoad(size_t aModel, double aLoad)
{
  m_models[aModel].m_totalLoad = aLoad;
}

void ModelShares::AddCopy(size_t aModel, size_t aEngine)
{
  m_models[aModel].m_copies.push_back({ aEngine, 0 });
}

void ModelShares::RemoveCopy(size_t aModel, size_t aEngine)
{
  auto& copies = m_models[aModel].m_copies;
  const auto copy =
    std::find_if(copies.begin(), copies.end(), [&](const Copy& aCopy) {
      return aCopy.m_engine == aEngine;
    });
  m_engineLoads[aEngine] -= copy->m_load;
  copies.erase(copy);
}

void ModelShares::DistributeModel(Model& aModel)
{
  auto& copies = aModel.m_copies;
  for (const Copy& copy : copies) {
    m_engineLoads[copy.m_engine] -= copy.m_load;
  }
  std::sort(
    copies.begin(), copies.end(), [&](const Copy& aLeft, const Copy& aRight) {
      return m_engineLoads[aLeft.m_engine] < m_engineLoads[aRight.m_engine];
    });
  double sum = aModel.m_totalLoad;
  double commonLoad = 0;
  for (size_t i = 0; i < copies.size(); ++i) {
    const double base = m_engineLoads[copies[i].m_engine];
    if (i > 0 && commonLoad <= base) {
      break;
    }
    sum += base;
    commonLoad = sum / static_cast<double>(i + 1);
  }
  aModel.m_commonLoad = commonLoad;
  for (Copy& copy : copies) {
    double& load = m_engineLoads[copy.m_engine];
    copy.m_load = std::max(0.0, commonLoad - load);
    load += copy.m_load;
  }
}

void ModelShares::Distribute()
{
  for (int round = 0; round < kDistributionRounds; ++round) {
    for (Model& model : m_models) {
      DistributeModel(model);
    }
  }
}

double ModelShares::ModelLoad(size_t aModel) const
{
  return m_models[aModel].m_totalLoad;
}

size_t ModelShares::CopyCount(size_t aModel) const
{
  return m_models[aModel].m_copies.size();
}

size_t ModelShares::UsedCopyCount(size_t aModel) const
{
  const auto& copies = m_models[aModel].m_copies;
  return static_cast<size_t>(
    std::count_if(copies.begin(), copies.end(), [](const Copy& aCopy) {
      return aCopy.m_load > 0;
    }));
}

double ModelShares::CommonLoad(size_t aModel) const
{
  return m_models[aModel].m_commonLoad;
}

double ModelShares::CopyLoad(size_t aModel, size_t aEngine) const
{
  for (const Copy& copy : m_models[aModel].m_copies) {
    if (copy.m_engine == aEngine) {
      return copy.m_load;
    }
  }
  return 0;
}

double ModelShares::LeastOtherHolderLoad(size_t aModel, size_t aEngine) const
{
  double least = 0;
  bool isFirst = true;
  for (const Copy& copy : m_models[aModel].m_copies) {
    if (copy.m_engine == aEngine) {
      continue;
    }
    const double load = m_engineLoads[copy.m_engine];
    least = isFirst ? load : std::min(least, load);
    isFirst = false;
  }
  return least;
}

} // namespace celeryspread
