#pragma once

#include <cstdint>
#include <string>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

using OrderId = StrongNumber<struct OrderIdTag>;

/// What an engine is ordered to do.
enum class OrderKind
{
  Load,
  Unload
};

/// A load order or unload order to an engine.
struct PlacementOrder
{
  OrderId m_id;
  OrderKind m_kind = OrderKind::Load;
  UpstreamId m_engine;
  /// Engine name of the model or adapter.
  std::string m_name;
  bool m_isAdapter = false;
  ByteCount m_bytes;
  FencingToken m_token;
  /// Time from sending after which the order has taken effect or never will.
  Duration m_lifetime{};
};

/// Why a declared model or adapter can't be placed.
struct PlacementProblem
{
  /// Engine name.
  std::string m_name;
  std::string m_reason;

  /// Compares all fields. @pre none. @thread any.
  bool operator==(const PlacementProblem&) const = default;
};

} // namespace celeryspread
