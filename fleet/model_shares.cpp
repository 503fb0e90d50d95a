#include "fleet/model_shares.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Models that share engines shift each other's load; after this many rounds
/// what still shifts is less than what demand is known by.
constexpr int kRounds = 6;

} // namespace

ModelShares::ModelShares(size_t aModels, size_t aEngines)
  : m_models(aModels)
  , m_engineLoads(aEngines)
{
}

void ModelShares::SetLoad(size_t aModel, double aLoad)
{
  m_models[aModel].m_load = aLoad;
}

void ModelShares::AddCopy(size_t aModel, size_t aEngine)
{
  m_models[aModel].m_copies.push_back({ aEngine, 0 });
}

void ModelShares::DropCopy(size_t aModel, size_t aEngine)
{
  auto& copies = m_models[aModel].m_copies;
  const auto copy =
    std::find_if(copies.begin(), copies.end(), [&](const Copy& aCopy) {
      return aCopy.m_engine == aEngine;
    });
  m_engineLoads[aEngine] -= copy->m_share;
  copies.erase(copy);
}

void ModelShares::Fill(Model& aModel)
{
  auto& copies = aModel.m_copies;
  for (const Copy& copy : copies) {
    m_engineLoads[copy.m_engine] -= copy.m_share;
  }
  std::sort(
    copies.begin(), copies.end(), [&](const Copy& aLeft, const Copy& aRight) {
      return m_engineLoads[aLeft.m_engine] < m_engineLoads[aRight.m_engine];
    });
  double sum = aModel.m_load;
  double level = 0;
  for (size_t i = 0; i < copies.size(); ++i) {
    const double base = m_engineLoads[copies[i].m_engine];
    if (i > 0 && level <= base) {
      break;
    }
    sum += base;
    level = sum / static_cast<double>(i + 1);
  }
  aModel.m_level = level;
  for (Copy& copy : copies) {
    double& load = m_engineLoads[copy.m_engine];
    copy.m_share = std::max(0.0, level - load);
    load += copy.m_share;
  }
}

void ModelShares::Settle()
{
  for (int round = 0; round < kRounds; ++round) {
    for (Model& model : m_models) {
      Fill(model);
    }
  }
}

double ModelShares::Load(size_t aModel) const
{
  return m_models[aModel].m_load;
}

size_t ModelShares::Copies(size_t aModel) const
{
  return m_models[aModel].m_copies.size();
}

size_t ModelShares::UsedCopies(size_t aModel) const
{
  const auto& copies = m_models[aModel].m_copies;
  return static_cast<size_t>(
    std::count_if(copies.begin(), copies.end(), [](const Copy& aCopy) {
      return aCopy.m_share > 0;
    }));
}

double ModelShares::Level(size_t aModel) const
{
  return m_models[aModel].m_level;
}

double ModelShares::Share(size_t aModel, size_t aEngine) const
{
  for (const Copy& copy : m_models[aModel].m_copies) {
    if (copy.m_engine == aEngine) {
      return copy.m_share;
    }
  }
  return 0;
}

double ModelShares::LeastElsewhere(size_t aModel, size_t aEngine) const
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
