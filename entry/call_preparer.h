#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include "entry/error_reply.h"
#include "entry/prepared_call.h"

namespace celeryspread {

/// Validates incoming calls and prepares them for routing. Checks the API key,
/// body size, syntax, model or service name, permission and deadline.
/// @thread loop thread only.
class CallPreparer
{
public:
  /// Creates a preparer for an entry in failure domain aOwnDomain. @pre none.
  explicit CallPreparer(FailureDomainId aOwnDomain);

  /// Identifies the calling service by its API key. @pre none.
  /// @error empty; see LastError().
  std::optional<ServiceId> Authenticate(const CallerCall& aCall,
                                        const Catalog& aCatalog);
  /// Prepares a completion call. @pre aCatalog is not null.
  /// @error empty; see LastError().
  std::optional<PreparedCall> PrepareCompletion(
    CallerCall& aCall,
    const std::shared_ptr<const Catalog>& aCatalog,
    TimePoint aNow);
  /// Prepares a call "/services/<name>/<path>". @pre aCatalog is not null.
  /// @error empty; see LastError().
  std::optional<PreparedCall> PreparePlainService(
    CallerCall& aCall,
    const std::shared_ptr<const Catalog>& aCatalog,
    TimePoint aNow);
  /// Returns why the last call was rejected. @pre it was rejected.
  [[nodiscard]] const ErrorReply& LastError() const { return m_lastError; }

private:
  std::nullopt_t Reject(int aStatus, std::string aCode, std::string aMessage);
  std::nullopt_t RejectName(const NameError& aError);
  bool ParseCompletion(CallerCall& aCall,
                       const Catalog& aCatalog,
                       PreparedCall& aPrepared);
  bool SetDeadline(const CallerCall& aCall,
                   TimePoint aNow,
                   PreparedCall& aPrepared);
  bool CheckBodySize(CallerCall& aCall, const PreparedCall& aPrepared);
  bool SetClaimKey(const CallerCall& aCall, PreparedCall& aPrepared);
  [[nodiscard]] SettingsScope ScopeOf(const PreparedCall& aPrepared) const;

  FailureDomainId m_ownDomain;
  ErrorReply m_lastError;
};

} // namespace celeryspread
