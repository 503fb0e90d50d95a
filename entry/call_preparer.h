#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include "entry/prepared_call.h"
#include "entry/refusal.h"

namespace celeryspread {

/// Checks calls: key, size, syntax, name, permission, deadline.
/// @thread loop thread only.
class CallPreparer
{
public:
  /// Prepares calls for an entry of aOwnDomain. @pre none.
  explicit CallPreparer(FailureDomainId aOwnDomain);

  /// Checks the caller's key. @pre none. @error empty; see LastRefusal().
  std::optional<ServiceId> Authenticate(const CallerCall& aCall,
                                        const Catalog& aCatalog);
  /// Prepares a completion call. @pre aCatalog is not null.
  /// @error empty; see LastRefusal().
  std::optional<PreparedCall> PrepareCompletion(
    CallerCall& aCall,
    const std::shared_ptr<const Catalog>& aCatalog,
    TimePoint aNow);
  /// Prepares a call "/services/<name>/<path>". @pre as above.
  /// @error empty; see LastRefusal().
  std::optional<PreparedCall> PreparePlain(
    CallerCall& aCall,
    const std::shared_ptr<const Catalog>& aCatalog,
    TimePoint aNow);
  /// Returns why the last call was refused. @pre it was.
  [[nodiscard]] const Refusal& LastRefusal() const { return m_refusal; }

private:
  std::nullopt_t Refuse(int aStatus, std::string aCode, std::string aMessage);
  std::nullopt_t RefuseName(const NameError& aError);
  bool ReadCompletion(CallerCall& aCall,
                      const Catalog& aCatalog,
                      PreparedCall& aPrepared);
  bool SetDeadline(const CallerCall& aCall,
                   TimePoint aNow,
                   PreparedCall& aPrepared);
  bool CheckBodySize(CallerCall& aCall, const PreparedCall& aPrepared);
  bool SetClaimKey(const CallerCall& aCall, PreparedCall& aPrepared);
  [[nodiscard]] SettingsPlace PlaceOf(const PreparedCall& aPrepared) const;

  FailureDomainId m_ownDomain;
  Refusal m_refusal;
};

} // namespace celeryspread
