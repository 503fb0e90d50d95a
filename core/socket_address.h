#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <sys/socket.h>

namespace celeryspread {

/// IPv4 or IPv6 address and port of a socket.
struct SocketAddress
{
  sockaddr_storage m_storage{};
  socklen_t m_length = 0;

  /// Returns the address as the socket functions expect it. @pre none. @thread
  /// any.
  [[nodiscard]] const sockaddr* Get() const
  {
    return reinterpret_cast<const sockaddr*>(&m_storage);
  }
};

/// Builds a socket address from an IP address and a port, which may be 0. Host
/// names are not resolved.
/// @pre none. @thread any. @error empty when aAddress is no IP address.
std::optional<SocketAddress> MakeSocketAddress(const std::string& aAddress,
                                               uint16_t aPort);

/// Returns the port that a socket is bound to. @pre aFd is bound.
/// @thread any. @error 0 when it can't be determined.
uint16_t BoundPort(int aFd);

} // namespace celeryspread
