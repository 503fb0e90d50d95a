#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "entry/call_preparer.h"
#include "entry/call_session.h"
#include "http/caller_server.h"

namespace celeryspread {

/// Forwards admin requests of operators to the control instances.
class AdminForwarder
{
public:
  virtual ~AdminForwarder() = default;
  /// Forwards a call and replies to it. @pre aCall is not null.
  /// @thread loop thread only.
  virtual void Forward(std::unique_ptr<CallerCall> aCall) = 0;
};

/// Request handler of an entry instance: dispatches HTTP requests by path, owns
/// the calls in progress and enforces their deadlines.
/// @thread loop thread only.
class EntryApp : public CallHandler
{
public:
  /// Creates the app. @pre aContext and aAdmin outlive it; aAdmin is null for
  /// an entry without control instances.
  EntryApp(EntryContext& aContext,
           FailureDomainId aOwnDomain,
           AdminForwarder* aAdmin);
  ~EntryApp() override;
  EntryApp(const EntryApp&) = delete;
  EntryApp& operator=(const EntryApp&) = delete;

  /// Applies a settings revision; the current one and older ones are ignored.
  /// @pre aCatalog is not null.
  void SetCatalog(std::shared_ptr<const Catalog> aCatalog);
  /// Returns the current catalog, null before the first. @pre none.
  [[nodiscard]] const std::shared_ptr<const Catalog>& CurrentCatalog() const
  {
    return m_catalog;
  }
  void OnCall(std::unique_ptr<CallerCall> aCall) override;
  /// Makes /readyz report not ready; calls are still served. @pre none.
  void BeginDrain();
  /// Returns the number of calls in progress. @pre none.
  [[nodiscard]] size_t CallCount() const { return m_sessions.size(); }

private:
  using Handler = void (EntryApp::*)(std::unique_ptr<CallerCall>);
  struct Endpoint
  {
    std::string_view m_path;
    bool m_isPrefix;
    Handler m_handler;
  };

  static const Endpoint* FindEndpoint(std::string_view aPath);
  void HandleCompletion(std::unique_ptr<CallerCall> aCall);
  void HandlePlainService(std::unique_ptr<CallerCall> aCall);
  void HandleModels(std::unique_ptr<CallerCall> aCall);
  void HandleHealth(std::unique_ptr<CallerCall> aCall);
  void HandleReady(std::unique_ptr<CallerCall> aCall);
  void HandleMetrics(std::unique_ptr<CallerCall> aCall);
  void HandleStatus(std::unique_ptr<CallerCall> aCall);
  void HandleAdmin(std::unique_ptr<CallerCall> aCall);
  void StartSession(std::unique_ptr<CallerCall> aCall, PreparedCall aPrepared);
  /// Removes a finished session and destroys it in a later loop event.
  void RemoveSession(CallSession& aSession);
  void StartDeadlineTimer();
  void CheckDeadlines();
  void ReplyError(CallerCall& aCall, const ErrorReply& aError);

  EntryContext& m_context;
  CallPreparer m_preparer;
  AdminForwarder* m_admin;
  std::shared_ptr<const Catalog> m_catalog;
  std::unordered_map<CallSession*, std::unique_ptr<CallSession>> m_sessions;
  std::multimap<TimePoint, CallSession*> m_deadlines;
  std::vector<std::unique_ptr<CallSession>> m_finishedSessions;
  std::unique_ptr<Timer> m_deadlineTimer;
  std::unique_ptr<Timer> m_destroyTimer;
  bool m_isDraining = false;
};

} // namespace celeryspread
