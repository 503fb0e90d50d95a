#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "tests/support/gateway_fakes.h"

namespace celeryspread::test {

/// Model engines in simulated time, with the failures that tests provoke.
///
/// An engine streams its answers: headers once the prompt was read, then events
/// at a steady pace. It ends when it begins an answer to a prompt with a part
/// from m_poisonParts, breaks off all its calls, and is replaced by an empty
/// process with another id at its address some seconds later.
class SimulatedEngines
{
public:
  /// Timing of every engine.
  struct Options
  {
    size_t m_engines = 18;
    std::vector<std::string> m_domains = { "here", "near", "far" };
    Duration m_networkDelay = std::chrono::milliseconds(1);
    Duration m_prefill = std::chrono::milliseconds(20);
    Duration m_eventGap = std::chrono::milliseconds(40);
    uint32_t m_events = 8;
    /// Time from the headers of a poisonous answer to the engine's end.
    Duration m_crashDelay = std::chrono::milliseconds(80);
    Duration m_restartDelay = std::chrono::milliseconds(3500);
  };
  /// A request that reached an engine.
  struct Arrival
  {
    TimePoint m_at;
    UpstreamId m_engine;
    std::string m_attempt;
    std::vector<std::string> m_parts;
    bool m_hasBegun = false;
  };
  using RecordListener =
    std::function<void(const EngineRecord& aRecord, bool aIsGone)>;

  SimulatedEngines(SimulatedTime& aTime, Options aOptions);

  /// Sends the records of all engines, and later changes, to a listener.
  void AddListener(RecordListener aListener);
  /// Ends an engine, as its own fault or by an operator.
  void Crash(size_t aIndex);
  /// Breaks off the calls of one entry on all engines, which go on.
  void ResetConnections(const UpstreamClient* aClient);
  /// Creates the client of one entry.
  std::unique_ptr<UpstreamClient> MakeClient();

  [[nodiscard]] const std::vector<std::shared_ptr<Arrival>>& Arrivals() const
  {
    return m_arrivals;
  }
  /// Times at which engines ended under a request with a part.
  [[nodiscard]] const std::vector<TimePoint>& CrashesUnder(
    const std::string& aPart)
  {
    return m_crashes[aPart];
  }
  /// Requests with a part that reached engines after a time.
  [[nodiscard]] size_t ArrivalsAfter(const std::string& aPart,
                                     TimePoint aAfter) const;

  std::set<std::string> m_poisonParts;

private:
  class Client;
  struct Request;
  struct Engine
  {
    EngineRecord m_record;
    bool m_isUp = true;
    uint64_t m_run = 1;
    std::vector<std::shared_ptr<Request>> m_requests;
  };

  void Receive(const std::shared_ptr<Request>& aRequest);
  void Begin(const std::shared_ptr<Request>& aRequest, size_t aIndex);
  void SendEvent(const std::shared_ptr<Request>& aRequest, uint32_t aNumber);
  void Restart(size_t aIndex);
  /// Calls aAction with the observer after the network delay unless the entry
  /// has cancelled the request by then.
  void Notify(const std::shared_ptr<Request>& aRequest,
              std::function<void(UpstreamObserver&)> aAction);
  void BreakOff(const std::shared_ptr<Request>& aRequest);
  [[nodiscard]] static std::string FirstPoison(
    const Request& aRequest,
    const std::set<std::string>& aPoisonParts);

  SimulatedTime& m_time;
  Options m_options;
  std::vector<Engine> m_engines;
  std::vector<RecordListener> m_listeners;
  std::vector<std::shared_ptr<Arrival>> m_arrivals;
  std::map<std::string, std::vector<TimePoint>> m_crashes;
};

/// One entry before simulated engines.
class SimulatedEntry
{
public:
  SimulatedEntry(SimulatedTime& aTime,
                 SimulatedEngines& aEngines,
                 const std::string& aDomain,
                 uint32_t aEntryCount,
                 uint64_t aSeed);

  /// A call of a caller and its answer.
  struct Sent
  {
    TimePoint m_at;
    std::string m_attempt;
    std::vector<std::string> m_parts;
    CallerRecord m_record;
    std::optional<TimePoint> m_endedAt;
  };
  /// Sends a call on a route with a prompt of aParts and a part of its own.
  Sent& Call(const std::string& aPath, const std::vector<std::string>& aParts);
  [[nodiscard]] const std::deque<Sent>& Calls() const { return m_calls; }

private:
  SimulatedTime& m_time;
  SkewedClock m_clock;
  SimulatedTimers m_timers;
  SeededRandomSource m_random;
  std::unique_ptr<UpstreamClient> m_client;
  FakeCodec m_codec;
  EngineTable m_table;
  EngineSelector m_selector;
  RetryBudgetShare m_retries{ RetryBounds{} };
  FakeControlLink m_control;
  Metrics m_metrics;
  RecordingEventLog m_log;
  PrefillEstimator m_prefill;
  FailureDomainId m_domain;
  GatewayContext m_context;
  std::deque<Sent> m_calls;
  std::unique_ptr<Gateway> m_gateway;
};

} // namespace celeryspread::test
