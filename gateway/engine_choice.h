#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/gateway_context.h"
#include "gateway/routed_call.h"

namespace celeryspread {

/// Finds the upstream for the next attempt of one call. Chooses an engine, has
/// a missing adapter loaded, and asks for permission where a part of the prompt
/// is held back or the engine limits its requests.
/// @thread loop thread only.
class EngineChoice
{
public:
  /// Receives the results. Any of the methods may destroy the choice only after
  /// it has returned.
  class Listener
  {
  public:
    virtual ~Listener() = default;
    /// The call may be sent to an upstream now. @pre none. @thread loop.
    virtual void OnEngineChosen(const EngineState& aState) = 0;
    /// The call can't be sent now and should return after aRetryAfter; without
    /// it, it should not return. @pre none. @thread loop.
    virtual void OnChoiceFailed(const std::string& aReason,
                                std::optional<Duration> aRetryAfter) = 0;
    /// Too little time is left for an attempt. @pre none. @thread loop.
    virtual void OnNoTimeLeft() = 0;
  };

  /// An upstream that can take a retry.
  struct RetryTarget
  {
    /// Null if the adapter has to be loaded first.
    const EngineState* m_state = nullptr;
  };

  /// An attempt with less time left can't succeed.
  static constexpr Duration kMinTimeLeft = std::chrono::milliseconds(20);
  /// Shortest time after which a caller is asked to return while a part of its
  /// prompt is held back.
  static constexpr Duration kMinHeldRetryAfter = std::chrono::seconds(1);
  /// Longest such time; an operator may have released the part by then.
  static constexpr Duration kMaxHeldRetryAfter = std::chrono::hours(1);
  /// After this time some calls of a full batch have ended.
  static constexpr Duration kBusyRetryAfter = std::chrono::milliseconds(400);

  /// Creates the choice of one call. @pre all arguments outlive it; aTried are
  /// the upstreams of earlier attempts.
  EngineChoice(GatewayContext& aContext,
               const RoutedCall& aCall,
               const std::set<UpstreamId>& aTried,
               Listener& aListener);
  ~EngineChoice();
  EngineChoice(const EngineChoice&) = delete;
  EngineChoice& operator=(const EngineChoice&) = delete;

  /// Finds an upstream; the listener may be called before this returns.
  /// @pre no other choice of the call is in progress.
  void Choose();
  /// Returns where a retry could go now, empty if nowhere. @pre none.
  [[nodiscard]] std::optional<RetryTarget> FindRetry();
  /// Returns when the caller should come back after upstreams turned the call
  /// away; empty if it should not. @pre none.
  [[nodiscard]] std::optional<Duration> BusyRetryAfter();
  /// Returns whether a part of the prompt is held back. @pre none.
  [[nodiscard]] bool IsHeld() const;
  /// Proceeds with a retry. @pre FindRetry() has just returned aTarget.
  void ChooseRetry(const RetryTarget& aTarget);
  /// Drops the results of questions that are still open, as the call has ended.
  /// @pre none.
  void Stop() { m_isStopped = true; }
  /// Returns whether the call may be sent although a part of its prompt is held
  /// back. @pre none.
  [[nodiscard]] bool IsTrial() const { return m_isTrial; }
  /// Returns whether an engine may be chosen again after the trial call was
  /// turned away. @pre IsTrial().
  [[nodiscard]] bool MayRepeatTrial() const
  {
    return !RequestNamer::IsRequest(m_trialPart);
  }
  /// Returns whether the call waits for that permission. @pre none.
  [[nodiscard]] bool IsAwaitingTrial() const { return m_isAwaitingTrial; }

private:
  [[nodiscard]] SelectQuery Query() const;
  void RecordDemand(bool aIsMiss);
  /// Reports that the call can't be sent because of the load, or because its
  /// model or adapter is missing, and that it may come back after aEarliest.
  void Fail(const std::string& aReason, Duration aEarliest);
  /// Reports why no upstream was chosen, or requests the adapter.
  void HandleSelectError(TimePoint aNow);
  /// Fails if a part of the prompt is held back, or asks whether this may be
  /// the trial call. @return whether it did either.
  bool StopIfHeld();
  void RequestAdapter(const UpstreamId& aPreferred);
  /// Reports an upstream, after a request to it was granted if the upstream
  /// limits them.
  void RequestWithinLimit(const EngineState& aState);
  void HandleRateGrant(const UpstreamId& aEngine,
                       const EngineRates::Grant& aGrant);
  /// Fails if the call is one of too many for its pool. @return whether it did.
  bool StopIfOverloaded(const EngineState& aState, TimePoint aNow);
  /// Whether the caller is expected to give up before the first event.
  [[nodiscard]] bool WaitExceedsTimeout(const EngineState& aState,
                                        TimePoint aNow) const;

  GatewayContext& m_context;
  const RoutedCall& m_call;
  const std::set<UpstreamId>& m_tried;
  Listener& m_listener;
  bool m_hasRequestedAdapter = false;
  bool m_isDemandRecorded = false;
  /// Admitted under overload; a call is not asked about again after a wait for
  /// an adapter or a request.
  bool m_isAdmitted = false;
  /// Requests to limited upstreams that were not granted.
  uint32_t m_rateDenials = 0;
  bool m_isTrial = false;
  /// What the trial is for.
  PromptPartId m_trialPart;
  bool m_isAwaitingTrial = false;
  bool m_isStopped = false;
  /// False once the choice is destroyed; shared with callbacks that may come
  /// later.
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace celeryspread
