#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "http/upstream_client.h"

struct event_base;

namespace celeryspread {

/// Answer of the admin API.
struct AdminAnswer
{
  int m_status = 0;
  nlohmann::json m_body;
};

/// Blocking client of the admin API, for command line use.
/// @thread one thread; runs its own loop inside each call.
class AdminClient
{
public:
  /// Talks to one instance. @pre aAddress is an IP number.
  AdminClient(UpstreamAddress aAddress, std::string aKey);
  ~AdminClient();
  AdminClient(const AdminClient&) = delete;
  AdminClient& operator=(const AdminClient&) = delete;

  /// Sends one request and waits for its answer. @pre none.
  /// @error empty; see LastReason().
  std::optional<AdminAnswer> Ask(const std::string& aMethod,
                                 const std::string& aPath,
                                 const std::string& aBody);
  /// Returns why the last Ask() failed. @pre it failed.
  [[nodiscard]] const std::string& LastReason() const { return m_lastReason; }

private:
  UpstreamAddress m_address;
  std::string m_key;
  event_base* m_base;
  std::string m_lastReason;
};

} // namespace celeryspread
