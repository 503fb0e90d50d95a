#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace celeryspread {

/// The ids of the calls that a connection has carried. An upstream may write an
/// answer once more, late, where that to a later call is due. Such a copy bears
/// the id of an earlier call of the same connection, so an id tells to which
/// call an answer belongs only where the connection has carried it once.
/// @thread loop thread only.
class ExchangeHistory
{
public:
  /// Calls after which a connection is not used any more.
  static constexpr size_t kMaxCalls = 512;

  /// Adds a call; an empty id is not kept. @pre none.
  void Add(std::string_view aId);
  /// Returns whether the connection has carried a call with this id.
  /// @pre none.
  [[nodiscard]] bool Contains(std::string_view aId) const;
  /// Returns whether no call can be added. @pre none.
  [[nodiscard]] bool IsFull() const { return m_ids.size() >= kMaxCalls; }

private:
  /// Content hashes of the ids.
  std::vector<uint64_t> m_ids;
};

} // namespace celeryspread
