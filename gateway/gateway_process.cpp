#include "gateway/gateway_process.h"

#include <csignal>
#include <random>

#include <event2/event.h>

#include "core/system_clock.h"
#include "gateway/call_forwarding.h"
#include "gateway/directory_link.h"
#include "gateway/forwarded_call_handler.h"
#include "gateway/gateway.h"
#include "gateway/quota_link.h"
#include "gateway/reach_probe.h"
#include "gateway/stream_origin_link.h"
#include "http/client_limit_log.h"
#include "http/client_limits.h"
#include "http/event_base.h"
#include "http/event_timers.h"
#include "http/evhttp_upstream_client.h"
#include "http/http_status.h"
#include "http/loop_turns.h"
#include "main/exit_code.h"

namespace celeryspread {

namespace {

/// The load balancer probes once a second and removes an instance after two
/// failed probes; connections opened before then may still carry new calls.
constexpr Duration kDrainDelay = std::chrono::milliseconds(3000);
constexpr Duration kDrainCheckPeriod = std::chrono::milliseconds(50);
constexpr size_t kMaxConnections = 3'000;
/// Calls that other entries may forward at once, and the part of the memory for
/// callers that they may take.
constexpr size_t kMaxForwardedConnections = 512;
constexpr size_t kForwardedMemoryDivisor = 4;

/// Answers the load balancer's probes and requests for the metrics.
class ProbeHandler : public CallHandler
{
public:
  ProbeHandler(std::string aReadyPath,
               std::function<bool()> aIsReady,
               std::function<void()> aUpdateGauges,
               const Metrics& aMetrics)
    : m_readyPath(std::move(aReadyPath))
    , m_isReady(std::move(aIsReady))
    , m_updateGauges(std::move(aUpdateGauges))
    , m_metrics(aMetrics)
  {
  }

  void OnCall(std::unique_ptr<CallerCall> aCall) override
  {
    if (aCall->Path() == m_readyPath) {
      aCall->Reply(
        m_isReady() ? HttpStatus::kOk : HttpStatus::kUnavailable, {}, "");
      return;
    }
    if (aCall->Path() == "/metrics") {
      m_updateGauges();
      aCall->Reply(HttpStatus::kOk,
                   { { "Content-Type", "text/plain" } },
                   m_metrics.PrometheusText());
      return;
    }
    aCall->Reply(HttpStatus::kNotFound, {}, "");
  }

private:
  std::string m_readyPath;
  std::function<bool()> m_isReady;
  std::function<void()> m_updateGauges;
  const Metrics& m_metrics;
};

} // namespace

class GatewayProcess::Impl
{
public:
  Impl(NodeSettings aSettings, GatewayPlatform aPlatform)
    : m_settings(std::move(aSettings))
    , m_platform(std::move(aPlatform))
    , m_base(event_base_new())
    , m_port(m_base.get())
    , m_random(std::random_device()())
    , m_timers(m_base.get())
    , m_log(m_settings.m_instance.Value())
    , m_turns(m_base.get(), m_clock, m_log)
    , m_client(m_base.get(),
               m_clock,
               HeldBytesLimit(m_settings.m_memoryBytes),
               &m_turns)
    , m_learning(m_table)
    , m_selector(m_table,
                 m_settings.m_failureDomain,
                 m_settings.m_regions,
                 m_random,
                 Learning())
    , m_retries(RetryBounds{ m_settings.m_retryRatio,
                             m_settings.m_retrySlack,
                             m_settings.m_retryWindow },
                m_clock.Now())
    , m_access({ m_settings.m_keysFailClosed, m_settings.m_keyProofTime })
    , m_peers(m_settings.m_failureDomain, m_settings.m_regions, m_random)
    , m_directory({ m_port,
                    m_clock,
                    m_log,
                    m_table,
                    m_retries,
                    m_quarantine,
                    m_access,
                    m_peers,
                    [this] { return TakesForwardedCalls(); } },
                  ClusterKey(kDefaultClusterKey),
                  m_settings,
                  [this](Revision, const std::string& aDocument) {
                    return ApplyDocument(aDocument);
                  })
    , m_quota({ m_clock, m_timers, m_metrics },
              m_settings.m_instance,
              std::random_device()(),
              [this] { return m_directory.OwnerLink(); })
    , m_streams({ m_port, m_clock, m_metrics },
                { [this] { return m_directory.UpLinks(); },
                  [this] { return m_directory.HasSeveralVersions(); } })
    , m_crashes({ m_clock,
                  m_timers,
                  m_table,
                  m_quarantine,
                  m_directory,
                  m_metrics,
                  m_log })
    , m_overload(m_random, m_selector, m_prefill, m_metrics)
    , m_requests(kDefaultClusterKey)
    , m_probe({ m_clock, m_timers, m_client, m_table, m_reach, m_log })
    , m_forwarding(m_reach,
                   m_peers,
                   ForwardingProtocol(ClusterKey(kDefaultClusterKey)),
                   m_settings.m_instance)
    , m_context{ m_clock,
                 m_timers,
                 m_client,
                 *m_platform.m_codec,
                 m_table,
                 m_selector,
                 m_retries,
                 m_prefill,
                 m_directory,
                 m_directory,
                 m_crashes,
                 m_directory,
                 m_access,
                 m_quota,
                 m_settings.m_failureDomain,
                 m_metrics,
                 m_log,
                 Learning(),
                 m_settings.m_hasOverloadAdmission ? &m_overload : nullptr,
                 m_settings.m_routeProofTime,
                 &m_requests,
                 &m_streams,
                 m_settings.m_forwardPort == 0 ? nullptr : &m_forwarding }
    , m_gateway(m_context)
    , m_probes(
        m_platform.m_readyPath,
        [this] { return IsReady(); },
        [this] { UpdateGauges(); },
        m_metrics)
    , m_clientLimits(m_clock, m_log)
    , m_callServer(m_base.get(),
                   m_clock,
                   ServerLimits(CallerLimits{}),
                   m_gateway,
                   &m_clientLimits,
                   &m_turns)
    , m_forwardedCalls(
        m_forwarding.Protocol(),
        m_gateway,
        [this] { return TakesForwardedCalls(); },
        m_metrics)
    , m_forwardServer(m_base.get(),
                      m_clock,
                      ForwardServerLimits(CallerLimits{}),
                      m_forwardedCalls,
                      &m_clientLimits,
                      &m_turns)
    , m_probeServer(m_base.get(), m_clock, ProbeServerLimits(), m_probes)
    , m_metricsServer(m_base.get(), m_clock, ProbeServerLimits(), m_probes)
  {
  }

  int Run()
  {
    signal(SIGPIPE, SIG_IGN);
    m_log.Write(EventId::Started,
                std::string("version=") + CELERYSPREAD_VERSION);
    if (!Listen(m_callServer, m_settings.m_callAddress) ||
        !Listen(m_probeServer, m_settings.m_probeAddress)) {
      return ExitCode::CannotListen;
    }
    if (m_settings.m_forwardPort != 0 &&
        !Listen(m_forwardServer,
                { m_settings.m_address, m_settings.m_forwardPort })) {
      return ExitCode::CannotListen;
    }
    // Calls are served even if the metrics address is not available.
    if (!m_settings.m_metricsAddress.m_address.empty()) {
      Listen(m_metricsServer, m_settings.m_metricsAddress);
    }
    struct SignalHandler
    {
      int m_signal;
      event_callback_fn m_callback;
    };
    const SignalHandler handlers[] = { { SIGTERM, OnTerminate },
                                       { SIGINT, OnTerminate },
                                       { SIGHUP, OnReload } };
    std::vector<event*> events;
    for (const SignalHandler& handler : handlers) {
      events.push_back(
        evsignal_new(m_base.get(), handler.m_signal, handler.m_callback, this));
      event_add(events.back(), nullptr);
    }
    event_base_dispatch(m_base.get());
    for (event* signalEvent : events) {
      event_free(signalEvent);
    }
    m_log.Write(EventId::Stopped, "");
    return ExitCode::Success;
  }

private:
  [[nodiscard]] CallerServerLimits ServerLimits(
    const CallerLimits& aCallerLimits) const
  {
    CallerServerLimits limits;
    limits.m_maxConnections = kMaxConnections;
    limits.m_maxHeaderBytes = aCallerLimits.m_maxHeaderBytes;
    limits.m_maxBodyBytes = aCallerLimits.m_maxBodyBytes;
    limits.m_idleTimeout = aCallerLimits.m_idleTimeout;
    return WithClientLimits(limits,
                            { m_settings.m_memoryBytes,
                              m_settings.m_clientMemoryBytes,
                              m_settings.m_clientConnections });
  }

  /// Returns the limits for the calls that other entries forward.
  [[nodiscard]] CallerServerLimits ForwardServerLimits(
    const CallerLimits& aCallerLimits) const
  {
    CallerServerLimits limits = ServerLimits(aCallerLimits);
    limits.m_maxConnections =
      std::min(limits.m_maxConnections, kMaxForwardedConnections);
    if (limits.m_maxHeldBytes != SIZE_MAX) {
      limits.m_maxHeldBytes /= kForwardedMemoryDivisor;
    }
    return limits;
  }

  /// Returns whether other entries may forward calls to this one.
  [[nodiscard]] bool TakesForwardedCalls() const
  {
    return m_settings.m_forwardPort != 0 && IsReady() &&
           m_reach.CutOffPools().empty();
  }

  bool Listen(CallerServer& aServer, const UpstreamAddress& aAddress)
  {
    if (!aServer.Listen(aAddress.m_address, aAddress.m_port)) {
      m_log.Write(EventId::ListenFailed, "address=" + aAddress.Text());
      return false;
    }
    m_log.Write(EventId::Listening, "address=" + aAddress.Text());
    return true;
  }

  EngineLearning* Learning()
  {
    return m_settings.m_learnsEngines ? &m_learning : nullptr;
  }

  [[nodiscard]] bool IsReady() const
  {
    return !m_isDraining && m_gateway.HasProvenConfig() &&
           m_directory.HasDirectory();
  }

  void UpdateGauges()
  {
    m_clientLimits.WriteTo(m_metrics, m_callServer);
    m_turns.WriteTo(m_metrics);
    m_metrics.SetGauge("celeryspread_gateway_calls",
                       static_cast<double>(m_gateway.CallCount()));
    m_metrics.SetGauge("celeryspread_gateway_engines",
                       static_cast<double>(m_table.Size()));
    m_metrics.SetGauge("celeryspread_gateway_connections",
                       static_cast<double>(m_callServer.ConnectionCount()));
    m_metrics.SetGauge("celeryspread_gateway_idle_upstream_connections",
                       static_cast<double>(m_client.IdleConnectionCount()));
    m_metrics.SetGauge(
      "celeryspread_gateway_unsettled_retries",
      static_cast<double>(m_retries.UnsettledCount(m_clock.Now())));
    m_metrics.SetGauge("celeryspread_gateway_held_answer_bytes",
                       static_cast<double>(m_client.HeldBytes().Used()));
    m_metrics.SetGauge("celeryspread_gateway_follow_failures",
                       static_cast<double>(m_directory.FollowFailures()));
    if (const auto age = m_directory.ListAge()) {
      m_metrics.SetGauge("celeryspread_gateway_list_age_seconds",
                         std::chrono::duration<double>(*age).count());
    }
    m_metrics.SetGauge("celeryspread_gateway_peers",
                       static_cast<double>(m_peers.Size()));
    m_metrics.SetGauge("celeryspread_gateway_pools_out_of_reach",
                       static_cast<double>(m_reach.CutOffPools().size()));
    m_metrics.SetGauge("celeryspread_gateway_quota_held", m_quota.TotalHeld());
    m_directory.Routes().WriteGauges(m_metrics);
    if (m_settings.m_learnsEngines) {
      UpdatePredictionErrors();
    }
    const auto& config = m_gateway.Config();
    m_metrics.SetGauge(
      "celeryspread_gateway_routes_version",
      config == nullptr ? 0 : static_cast<double>(config->Version().Value()));
  }

  void UpdatePredictionErrors()
  {
    const PredictionErrors& errors = m_learning.Errors();
    const std::pair<const char*, const DecayedMean&> gauges[] = {
      { "celeryspread_gateway_first_event_error_ratio", errors.m_firstEvent },
      { "celeryspread_gateway_pause_error_ratio", errors.m_pause },
      { "celeryspread_gateway_last_event_error_ratio", errors.m_lastEvent },
      { "celeryspread_gateway_refusal_error", errors.m_refusal },
    };
    for (const auto& [name, mean] : gauges) {
      if (const auto error = PredictionErrors::Value(mean, m_clock.Now())) {
        m_metrics.SetGauge(name, *error);
      }
    }
  }

  /// Puts a document in force. @return whether it is.
  bool ApplyDocument(const std::string& aDocument)
  {
    std::string reason;
    auto config = m_platform.m_documentReader->Read(aDocument, reason);
    if (config == nullptr) {
      m_log.Write(EventId::RoutesRefused, "reason=\"" + reason + "\"");
      return false;
    }
    m_callServer.SetLimits(ServerLimits(config->Limits()));
    m_forwardServer.SetLimits(ForwardServerLimits(config->Limits()));
    if (m_settings.m_forwardPort != 0) {
      m_probe.SetConfig(config);
    }
    m_quota.SetTeams(config->Teams());
    m_gateway.SetConfig(std::move(config));
    return true;
  }

  static void OnTerminate(int /*aSignal*/, short /*aWhat*/, void* aSelf)
  {
    static_cast<Impl*>(aSelf)->BeginDrain();
  }

  static void OnReload(int /*aSignal*/, short /*aWhat*/, void* aSelf)
  {
    static_cast<Impl*>(aSelf)->Reload();
  }

  void Reload()
  {
    const auto settings = m_platform.m_reload();
    if (!settings) {
      m_log.Write(EventId::SettingsRefused,
                  "the previous settings stay in force");
      return;
    }
    m_log.Write(EventId::SettingsReloaded,
                "seeds=" + std::to_string(settings->m_seeds.size()));
    m_directory.SetSeeds(settings->m_seeds);
  }

  void BeginDrain()
  {
    if (m_isDraining) {
      return;
    }
    m_isDraining = true;
    m_log.Write(EventId::DrainStarted,
                "calls=" + std::to_string(m_gateway.CallCount()));
    m_callServer.AnnounceDrain();
    m_forwardServer.AnnounceDrain();
    m_drainTimer = m_timers.After(kDrainDelay, [this] {
      m_callServer.BeginDrain();
      m_forwardServer.BeginDrain();
      m_drainCheckTimer = m_timers.Every(kDrainCheckPeriod, [this] {
        if (m_gateway.CallCount() == 0 &&
            m_callServer.BusyConnectionCount() == 0 &&
            m_forwardServer.BusyConnectionCount() == 0) {
          event_base_loopbreak(m_base.get());
        }
      });
    });
  }

  NodeSettings m_settings;
  GatewayPlatform m_platform;
  EventBasePointer m_base;
  EventLoopPort m_port;
  SystemClock m_clock;
  SeededRandomSource m_random;
  EventTimers m_timers;
  EasyEventLog m_log;
  LoopTurns m_turns;
  EvhttpUpstreamClient m_client;
  Metrics m_metrics;
  EngineTable m_table;
  EngineLearning m_learning;
  EngineSelector m_selector;
  RetryBudgetShare m_retries;
  PrefillEstimator m_prefill;
  PartQuarantine m_quarantine;
  AccessControl m_access;
  UpstreamReach m_reach;
  PeerList m_peers;
  DirectoryLink m_directory;
  QuotaLink m_quota;
  StreamOriginLink m_streams;
  CrashWatch m_crashes;
  OverloadControl m_overload;
  const RequestNamer m_requests;
  ReachProbe m_probe;
  CallForwarding m_forwarding;
  GatewayContext m_context;
  Gateway m_gateway;
  ProbeHandler m_probes;
  ClientLimitLog m_clientLimits;
  CallerServer m_callServer;
  ForwardedCallHandler m_forwardedCalls;
  CallerServer m_forwardServer;
  CallerServer m_probeServer;
  CallerServer m_metricsServer;
  std::unique_ptr<Timer> m_drainTimer;
  std::unique_ptr<Timer> m_drainCheckTimer;
  bool m_isDraining = false;
};

GatewayProcess::GatewayProcess(NodeSettings aSettings,
                               GatewayPlatform aPlatform)
  : m_impl(std::make_unique<Impl>(std::move(aSettings), std::move(aPlatform)))
{
}

GatewayProcess::~GatewayProcess() = default;

int GatewayProcess::Run()
{
  return m_impl->Run();
}

} // namespace celeryspread
