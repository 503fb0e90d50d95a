#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "routes/engine_record.h"

namespace celeryspread {

/// What an order asks of an engine.
enum class EngineOrderKind
{
  Load,
  Unload
};

/// An order to an engine, from the one owner that may give it.
struct EngineOrder
{
  EngineOrderKind m_kind = EngineOrderKind::Load;
  ModelTarget m_target;
  /// Names the owner; one instance keeps one name.
  InstanceId m_owner;
  FencingToken m_token;
  /// Orders that the engine has accepted so far; it refuses another count,
  /// so an order that arrives late can't follow newer ones.
  uint64_t m_expectedSequence = 0;
};

/// How an engine answered an order.
enum class OrderReply
{
  /// It is being carried out.
  Accepted,
  /// Nothing is to be done, or it was done at once.
  Done,
  /// Another order is in progress or the sequence differs.
  Conflict,
  /// The engine has seen a higher fencing token.
  FencedOff,
  /// The address belongs to another engine.
  Misdirected,
  Refused,
  /// The order may have been accepted, or be carried out later.
  NoAnswer
};

/// What an engine says it holds, as of a moment ago.
struct EngineReport
{
  std::map<std::string, HeldModel, std::less<>> m_models;
  /// Adapters on their way; they take places already.
  std::set<ModelTarget> m_loadingAdapters;
  bool m_isBusy = false;
  uint64_t m_sequence = 0;
};

/// Calls to engines and to the platform's list of them.
/// @thread loop thread only.
class EngineControl
{
public:
  virtual ~EngineControl() = default;
  /// Sends an order. @pre aDone is called exactly once, later.
  virtual void SendOrder(const EngineRecord& aEngine,
                         const EngineOrder& aOrder,
                         std::function<void(OrderReply)> aDone) = 0;
  /// Reads an engine's report. @pre aDone is called exactly once, later.
  /// @error empty when it could not be read.
  virtual void ReadReport(
    const EngineRecord& aEngine,
    std::function<void(std::optional<EngineReport>)> aDone) = 0;
  /// Reads the whole list of engines. @pre aDone is called exactly once,
  /// later. @error empty when it could not be read.
  virtual void ReadList(
    std::function<void(std::optional<std::vector<EngineRecord>>)> aDone) = 0;
};

} // namespace celeryspread
