#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace celeryspread {

/// IP address and port of an upstream or a peer.
struct UpstreamAddress
{
  std::string m_address;
  uint16_t m_port = 0;

  /// Compares address, then port. @pre none. @thread any.
  auto operator<=>(const UpstreamAddress&) const = default;
  /// Returns "IP:PORT". @pre none. @thread any.
  [[nodiscard]] std::string Text() const
  {
    return m_address + ":" + std::to_string(m_port);
  }
};

} // namespace celeryspread
