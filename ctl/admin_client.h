#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "http/upstream_client.h"

struct event_base;

namespace celeryspread {

/// HTTP response of the admin API.
struct AdminResponse
{
  int m_status = 0;
  nlohmann::json m_body;
};

/// Blocking client of the admin API, for command-line programs.
/// @thread one thread; each request runs its own event loop until it ends.
class AdminClient
{
public:
  /// Creates a client of one instance. @pre aAddress holds an IP address, not a
  /// host name.
  AdminClient(UpstreamAddress aAddress, std::string aKey);
  ~AdminClient();
  AdminClient(const AdminClient&) = delete;
  AdminClient& operator=(const AdminClient&) = delete;

  /// Sends one request and blocks until its response is complete. @pre none.
  /// @error empty when there is no response or it is not JSON; see
  /// LastReason().
  std::optional<AdminResponse> Send(const std::string& aMethod,
                                    const std::string& aPath,
                                    const std::string& aBody);
  /// Returns why the last Send() failed. @pre it failed.
  [[nodiscard]] const std::string& LastReason() const { return m_lastReason; }

private:
  UpstreamAddress m_address;
  std::string m_key;
  event_base* m_base;
  std::string m_lastReason;
};

} // namespace celeryspread
