#pragma once

#include <functional>
#include <string>

namespace celeryspread {

/// An operator's HTTP request to the admin API.
struct AdminRequest
{
  std::string m_method;
  std::string m_path;
  std::string m_query;
  /// Value of the Authorization header.
  std::string m_authorization;
  std::string m_body;
};

/// Answer to an admin request; the body is JSON.
struct AdminReply
{
  int m_status = 500;
  std::string m_body;
};

using AdminDone = std::function<void(AdminReply)>;

} // namespace celeryspread
