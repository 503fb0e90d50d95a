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

/// Kind of an order to an engine.
enum class EngineOrderKind
{
  Load,
  Unload
};

/// An order to load or unload a model or an adapter, sent by the owner.
struct EngineOrder
{
  EngineOrderKind m_kind = EngineOrderKind::Load;
  ModelTarget m_target;
  /// The control instance that sends the order; the same in all its terms.
  InstanceId m_owner;
  FencingToken m_token;
  /// Number of orders that the engine has accepted so far. The engine refuses
  /// an order with any other number, so a delayed order can't take effect after
  /// newer ones.
  uint64_t m_expectedSequence = 0;
};

/// How an engine answered an order.
enum class OrderReply
{
  /// The engine has begun to carry it out.
  Accepted,
  /// It was carried out at once, or there was nothing to do.
  Done,
  /// Another order is in progress or the sequence number differs. For the
  /// unload of an adapter it usually means that the adapter is in use.
  Conflict,
  /// The engine has seen a higher fencing token.
  FencedOff,
  /// The address belongs to another engine.
  Misdirected,
  /// Any other answer.
  Refused,
  /// No answer arrived; the order may have been accepted, or may still arrive
  /// and be carried out.
  NoAnswer
};

/// Contents of an engine as it reports them; reports lag by a few hundred
/// milliseconds.
struct EngineReport
{
  std::map<std::string, LoadedModel, std::less<>> m_models;
  /// Adapters that are being loaded; each takes an adapter slot already.
  std::set<ModelTarget> m_loadingAdapters;
  /// An order is in progress.
  bool m_isBusy = false;
  /// Number of orders accepted so far.
  uint64_t m_sequence = 0;
};

/// Client for the engines and for the platform's list of engines.
/// @thread loop thread only.
class EngineControl
{
public:
  virtual ~EngineControl() = default;
  /// Sends an order. aDone is called exactly once, after this returns.
  /// @pre none.
  virtual void SendOrder(const EngineRecord& aEngine,
                         const EngineOrder& aOrder,
                         std::function<void(OrderReply)> aDone) = 0;
  /// Reads an engine's report. aDone is called exactly once, after this
  /// returns. @pre none. @error empty when it could not be read.
  virtual void ReadReport(
    const EngineRecord& aEngine,
    std::function<void(std::optional<EngineReport>)> aDone) = 0;
  /// Reads the whole list of engines. aDone is called exactly once, after this
  /// returns. @pre none. @error empty when it could not be read.
  virtual void ReadList(
    std::function<void(std::optional<std::vector<EngineRecord>>)> aDone) = 0;
};

} // namespace celeryspread
