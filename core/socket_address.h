#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <sys/socket.h>

namespace celeryspread {

/// Address of a socket, by IP number of either version.
struct SocketAddress
{
  sockaddr_storage m_storage{};
  socklen_t m_length = 0;

  /// Returns the general form. @pre none. @thread any.
  [[nodiscard]] const sockaddr* Get() const
  {
    return reinterpret_cast<const sockaddr*>(&m_storage);
  }
};

/// Makes an address from an IP number and a port, which may be 0.
/// @pre none. @thread any. @error empty when it is no IP number.
std::optional<SocketAddress> MakeSocketAddress(const std::string& aAddress,
                                               uint16_t aPort);

/// Returns the port that a socket is bound to. @pre aFd is bound.
/// @thread any. @error 0.
uint16_t BoundPort(int aFd);

} // namespace celeryspread
