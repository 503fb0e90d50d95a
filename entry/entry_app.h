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
  /// Forwards a call and answers it. @pre aCall is not null. @thread loop.
  virtual void Forward(std::unique_ptr<CallerCall> aCall) = 0;
};

/// The front door: dispatches calls, owns those in progress, drains.
/// @thread loop thread only.
class EntryApp : public CallHandler
{
public:
  /// Assembles the app. @pre arguments outlive it; aAdmin may be null.
  EntryApp(EntryContext& aContext,
           FailureDomainId aOwnDomain,
           AdminForwarder* aAdmin);
  ~EntryApp() override;
  EntryApp(const EntryApp&) = delete;
  EntryApp& operator=(const EntryApp&) = delete;

  /// Puts a revision in force; an older one is ignored. @pre not null.
  void SetCatalog(std::shared_ptr<const Catalog> aCatalog);
  /// Returns the revision in force, null before the first. @pre none.
  [[nodiscard]] const std::shared_ptr<const Catalog>& CurrentCatalog() const
  {
    return m_catalog;
  }
  void OnCall(std::unique_ptr<CallerCall> aCall) override;
  /// Turns readiness off; calls are still served. @pre none.
  void BeginDrain();
  /// Returns the calls in progress. @pre none.
  [[nodiscard]] size_t CallCount() const { return m_sessions.size(); }

private:
  using Handler = void (EntryApp::*)(std::unique_ptr<CallerCall>);
  struct Row
  {
    std::string_view m_path;
    bool m_isPrefix;
    Handler m_handler;
  };

  static const Row* FindRow(std::string_view aPath);
  void HandleCompletion(std::unique_ptr<CallerCall> aCall);
  void HandlePlain(std::unique_ptr<CallerCall> aCall);
  void HandleModels(std::unique_ptr<CallerCall> aCall);
  void HandleHealth(std::unique_ptr<CallerCall> aCall);
  void HandleReady(std::unique_ptr<CallerCall> aCall);
  void HandleMetrics(std::unique_ptr<CallerCall> aCall);
  void HandleStatus(std::unique_ptr<CallerCall> aCall);
  void HandleAdmin(std::unique_ptr<CallerCall> aCall);
  void StartSession(std::unique_ptr<CallerCall> aCall, PreparedCall aPrepared);
  void Retire(CallSession& aSession);
  void WatchDeadlines();
  void CheckDeadlines();
  void Refuse(CallerCall& aCall, const Refusal& aRefusal);

  EntryContext& m_context;
  CallPreparer m_preparer;
  AdminForwarder* m_admin;
  std::shared_ptr<const Catalog> m_catalog;
  std::unordered_map<CallSession*, std::unique_ptr<CallSession>> m_sessions;
  std::multimap<TimePoint, CallSession*> m_deadlines;
  std::vector<std::unique_ptr<CallSession>> m_retired;
  std::unique_ptr<Timer> m_deadlineTimer;
  std::unique_ptr<Timer> m_retireTimer;
  bool m_isDraining = false;
};

} // namespace celeryspread
