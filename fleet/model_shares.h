#pragma once

#include <cstddef>
#include <vector>

namespace celeryspread {

/// Predicts how the load of each model is distributed over its holders, the
/// engines that hold it.
///
/// Entries send a call to the least loaded holder, so the load of a model
/// raises its less loaded holders to a common load (water filling). A load is
/// the number of calls in progress divided by the slots of an engine.
/// @thread any; no shared state.
class ModelShares
{
public:
  /// Prepares an empty placement. @pre none.
  ModelShares(size_t aModels, size_t aEngines);

  /// Sets the load of a model. @pre aModel is known.
  void SetLoad(size_t aModel, double aLoad);
  /// Sets a load that an engine has besides its models'. @pre before the first
  /// Distribute(); the engine is known.
  void SetBaseLoad(size_t aEngine, double aLoad)
  {
    m_engineLoads[aEngine] = aLoad;
  }
  /// Adds a copy without load. @pre the engine does not hold the model.
  void AddCopy(size_t aModel, size_t aEngine);
  /// Removes a copy; its load is missing until Distribute(). @pre the engine
  /// holds the model.
  void RemoveCopy(size_t aModel, size_t aEngine);
  /// Distributes the load of all models. @pre none.
  void Distribute();

  /// Returns the load of a model. @pre aModel is known.
  [[nodiscard]] double ModelLoad(size_t aModel) const;
  /// Returns how many engines hold a model. @pre aModel is known.
  [[nodiscard]] size_t CopyCount(size_t aModel) const;
  /// Returns how many holders get a part of the model's load.
  /// @pre Distribute() after the last change.
  [[nodiscard]] size_t UsedCopyCount(size_t aModel) const;
  /// Returns the common load of the holders that get a part of the model's
  /// load.
  /// @pre as for UsedCopyCount().
  [[nodiscard]] double CommonLoad(size_t aModel) const;
  /// Returns the part of a model's load at one engine.
  /// @pre as for UsedCopyCount().
  [[nodiscard]] double CopyLoad(size_t aModel, size_t aEngine) const;
  /// Returns the least load of the model's holders other than aEngine.
  /// @pre as for UsedCopyCount(). @error 0 when there is no other holder.
  [[nodiscard]] double LeastOtherHolderLoad(size_t aModel,
                                            size_t aEngine) const;
  /// Returns the load of an engine. @pre as for UsedCopyCount().
  [[nodiscard]] double EngineLoad(size_t aEngine) const
  {
    return m_engineLoads[aEngine];
  }

private:
  struct Copy
  {
    size_t m_engine;
    double m_load;
  };
  struct Model
  {
    double m_totalLoad = 0;
    double m_commonLoad = 0;
    std::vector<Copy> m_copies;
  };

  /// Distributes one model's load anew, given the loads of all other models.
  void DistributeModel(Model& aModel);

  std::vector<Model> m_models;
  std::vector<double> m_engineLoads;
};

} // namespace celeryspread
