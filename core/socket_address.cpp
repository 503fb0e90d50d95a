#include "core/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstring>

namespace celeryspread {

std::optional<SocketAddress> MakeSocketAddress(const std::string& aAddress,
                                               uint16_t aPort)
{
  SocketAddress result;
  sockaddr_in v4{};
  v4.sin_family = AF_INET;
  v4.sin_port = htons(aPort);
  if (inet_pton(AF_INET, aAddress.c_str(), &v4.sin_addr) == 1) {
    std::memcpy(&result.m_storage, &v4, sizeof(v4));
    result.m_length = sizeof(v4);
    return result;
  }
  sockaddr_in6 v6{};
  v6.sin6_family = AF_INET6;
  v6.sin6_port = htons(aPort);
  if (inet_pton(AF_INET6, aAddress.c_str(), &v6.sin6_addr) == 1) {
    std::memcpy(&result.m_storage, &v6, sizeof(v6));
    result.m_length = sizeof(v6);
    return result;
  }
  return std::nullopt;
}

uint16_t BoundPort(int aFd)
{
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  if (getsockname(aFd, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    return 0;
  }
  // IPv4 and IPv6 addresses have the port at the same offset.
  return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
}

} // namespace celeryspread
