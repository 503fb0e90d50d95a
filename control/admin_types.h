#pragma once

#include <functional>
#include <string>

namespace celeryspread {

/// A request of an operator.
struct AdminRequest
{
  std::string m_method;
  std::string m_path;
  std::string m_query;
  /// Value of the Authorization header.
  std::string m_authorization;
  std::string m_body;
};

/// Answer to an operator; the body is JSON.
struct AdminReply
{
  int m_status = 500;
  std::string m_body;
};

using AdminDone = std::function<void(AdminReply)>;

} // namespace celeryspread
