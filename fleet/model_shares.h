#pragma once

#include <cstddef>
#include <vector>

namespace celeryspread {

/// Predicts how the load of models spreads over the engines that hold them.
///
/// Entries send a call to the least loaded holder, so the load of a model
/// raises its holders to a common level. Loads are in engines' slots.
/// @thread any; no shared state.
class ModelShares
{
public:
  /// Prepares an empty placement. @pre none.
  ModelShares(size_t aModels, size_t aEngines);

  /// Sets the load of a model. @pre aModel is known.
  void SetLoad(size_t aModel, double aLoad);
  /// Adds a copy. @pre the engine does not hold the model.
  void AddCopy(size_t aModel, size_t aEngine);
  /// Takes a copy away; its share goes nowhere before Settle(). @pre the
  /// engine holds the model.
  void DropCopy(size_t aModel, size_t aEngine);
  /// Spreads all loads. @pre none.
  void Settle();

  /// Returns the load of a model. @pre aModel is known.
  [[nodiscard]] double Load(size_t aModel) const;
  /// Returns how many engines hold a model. @pre aModel is known.
  [[nodiscard]] size_t Copies(size_t aModel) const;
  /// Returns how many holders get a part of the model's load. @pre Settle().
  [[nodiscard]] size_t UsedCopies(size_t aModel) const;
  /// Returns the load of the holders that get a part. @pre Settle().
  [[nodiscard]] double Level(size_t aModel) const;
  /// Returns the part of a model's load at one engine. @pre Settle().
  [[nodiscard]] double Share(size_t aModel, size_t aEngine) const;
  /// Returns the least load among the holders but one. @pre Settle().
  /// @error 0 when there is no other holder.
  [[nodiscard]] double LeastElsewhere(size_t aModel, size_t aEngine) const;
  /// Returns the load of an engine. @pre Settle().
  [[nodiscard]] double EngineLoad(size_t aEngine) const
  {
    return m_engineLoads[aEngine];
  }

private:
  struct Copy
  {
    size_t m_engine;
    double m_share;
  };
  struct Model
  {
    double m_load = 0;
    double m_level = 0;
    std::vector<Copy> m_copies;
  };

  void Fill(Model& aModel);

  std::vector<Model> m_models;
  std::vector<double> m_engineLoads;
};

} // namespace celeryspread
