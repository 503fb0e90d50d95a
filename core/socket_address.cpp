#include "core/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstring>

namespace celeryspread {

std::optional<SocketAddress> MakeSocketAddress(const std::string& aAddress,
                                               uint16_t aPort)
{
  SocketAddress made;
  sockaddr_in v4{};
  v4.sin_family = AF_INET;
  v4.sin_port = htons(aPort);
  if (inet_pton(AF_INET, aAddress.c_str(), &v4.sin_addr) == 1) {
    std::memcpy(&made.m_storage, &v4, sizeof(v4));
    made.m_length = sizeof(v4);
    return made;
  }
  sockaddr_in6 v6{};
  v6.sin6_family = AF_INET6;
  v6.sin6_port = htons(aPort);
  if (inet_pton(AF_INET6, aAddress.c_str(), &v6.sin6_addr) == 1) {
    std::memcpy(&made.m_storage, &v6, sizeof(v6));
    made.m_length = sizeof(v6);
    return made;
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
  // Both versions keep the port at the same place.
  return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
}

} // namespace celeryspread
