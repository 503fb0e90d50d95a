#include "entry/entry_process.h"

#include <csignal>
#include <iostream>
#include <random>

#include <event2/event.h>

#include "core/system_clock.h"
#include "entry/control_link.h"
#include "entry/entry_app.h"
#include "entry/no_claim_service.h"
#include "http/event_base.h"
#include "http/event_timers.h"
#include "http/evhttp_upstream_client.h"
#include "http/loop_turns.h"
#include "main/exit_code.h"
#include "reports/platform_list.h"
#include "reports/report_poller.h"
#include "telemetry/otlp_file_exporter.h"

namespace celeryspread {

namespace {

constexpr size_t kMinClusterKeyBytes = 16;
constexpr Duration kGaugePeriod = std::chrono::seconds(1);
constexpr Duration kPlatformListPeriod = std::chrono::seconds(1);
constexpr Duration kDrainCheckPeriod = std::chrono::milliseconds(20);

} // namespace

class EntryProcess::Impl
{
public:
  explicit Impl(InstanceSettings aSettings)
    : m_settings(std::move(aSettings))
    , m_base(event_base_new())
    , m_port(m_base.get())
    , m_random(std::random_device()())
    , m_timers(m_base.get())
    , m_log(m_settings.m_instance.Value())
    , m_turns(m_base.get(), m_clock, m_log)
    , m_client(m_base.get(), m_clock, SIZE_MAX, &m_turns)
    , m_router(m_upstreamTable, m_settings.m_failureDomain, m_random)
    , m_exporter(m_settings.m_traceFile, "celeryspread-entry")
    , m_tracer(m_clock, m_random, &m_exporter)
  {
  }

  int Run()
  {
    signal(SIGPIPE, SIG_IGN);
    m_log.Write(EventId::Started,
                std::string("version=") + CELERYSPREAD_VERSION);
    if (!ConnectControl()) {
      return ExitCode::BadSettings;
    }
    Assemble();
    if (!LoadTreeFile()) {
      return ExitCode::BadSettings;
    }
    if (!m_server->Listen(m_settings.m_address, m_settings.m_httpPort)) {
      m_log.Write(EventId::ListenFailed,
                  "address=" + m_settings.m_address + ":" +
                    std::to_string(m_settings.m_httpPort));
      return ExitCode::CannotListen;
    }
    m_log.Write(EventId::Listening, "port=" + std::to_string(m_server->Port()));
    std::cout << "listening " << m_server->Port() << std::endl;
    m_poller->PollAll();
    PollPlatformList();
    m_gaugeTimer = m_timers.Every(kGaugePeriod, [this] {
      m_turns.WriteTo(m_metrics);
      if (m_control != nullptr) {
        m_metrics.SetGauge("celeryspread_wire_bytes",
                           static_cast<double>(m_control->BytesTransferred()));
      }
    });
    event* onTerm = evsignal_new(m_base.get(), SIGTERM, OnSignal, this);
    event* onInterrupt = evsignal_new(m_base.get(), SIGINT, OnSignal, this);
    event_add(onTerm, nullptr);
    event_add(onInterrupt, nullptr);
    event_base_dispatch(m_base.get());
    event_free(onTerm);
    event_free(onInterrupt);
    m_log.Write(EventId::Stopped, "");
    return ExitCode::Success;
  }

private:
  [[nodiscard]] CallerServerLimits Limits() const
  {
    CallerServerLimits limits;
    limits.m_maxConnections = static_cast<size_t>(m_settings.m_maxConnections);
    return limits;
  }

  bool ConnectControl()
  {
    if (m_settings.m_control.empty()) {
      return true;
    }
    const auto key = ReadWholeFile(m_settings.m_clusterKeyFile);
    if (!key || key->size() < kMinClusterKeyBytes) {
      m_log.Write(EventId::SettingsRefused,
                  "/cluster_key_file: expected a file of 16 bytes or more");
      return false;
    }
    m_key = std::make_unique<ClusterKey>(*key);
    m_control = std::make_unique<ControlLink>(
      m_port,
      *m_key,
      m_settings,
      m_clock,
      m_log,
      [this](std::shared_ptr<const Catalog> aCatalog) {
        m_app->SetCatalog(std::move(aCatalog));
        m_poller->PollAll();
      });
    return true;
  }

  void Assemble()
  {
    ClaimService& claims = m_control != nullptr
                             ? static_cast<ClaimService&>(*m_control)
                             : m_noClaims;
    m_context = std::make_unique<EntryContext>(EntryContext{ m_clock,
                                                             m_timers,
                                                             m_client,
                                                             claims,
                                                             m_upstreamTable,
                                                             m_router,
                                                             m_limits,
                                                             m_gate,
                                                             m_sizePredictor,
                                                             m_retryBudget,
                                                             m_tracer,
                                                             m_metrics,
                                                             m_log });
    m_app = std::make_unique<EntryApp>(
      *m_context, m_settings.m_failureDomain, m_control.get());
    m_server = std::make_unique<CallerServer>(
      m_base.get(), m_clock, Limits(), *m_app, nullptr, &m_turns);
    m_poller = std::make_unique<ReportPoller>(
      ReportPoller::Dependencies{ m_clock, m_timers, m_client, m_log },
      std::chrono::milliseconds(m_settings.m_reportPeriodMs),
      [this] { return m_upstreamTable.ReportSources(); },
      [this](const UpstreamId& aId, const LoadReport& aReport) {
        m_upstreamTable.ApplyReport(aId, aReport);
      });
  }

  void PollPlatformList()
  {
    if (m_settings.m_platformListAddress.empty()) {
      return;
    }
    m_platformList = std::make_unique<PlatformList>(
      ReportPoller::Dependencies{ m_clock, m_timers, m_client, m_log },
      UpstreamAddress{ m_settings.m_platformListAddress,
                       m_settings.m_platformListPort },
      m_settings.m_platformListPath,
      kPlatformListPeriod,
      [this](const UpstreamId& aId) {
        if (m_upstreamTable.RecordPlatformLeaving(aId)) {
          m_log.Write(EventId::UpstreamLeaving,
                      "upstream=" + aId.Value() + " source=platform");
        }
      });
  }

  bool LoadTreeFile()
  {
    if (m_settings.m_treeFile.empty()) {
      return true;
    }
    const auto text = ReadWholeFile(m_settings.m_treeFile);
    SettingsError error{ m_settings.m_treeFile,
                         "no readable file",
                         "a JSON settings tree" };
    std::shared_ptr<const Catalog> catalog;
    if (text) {
      catalog = Catalog::Load(*text, Revision(1), error);
    }
    if (catalog == nullptr) {
      m_log.Write(EventId::SettingsRefused, error.Text());
      return false;
    }
    m_app->SetCatalog(std::move(catalog));
    return true;
  }

  static void OnSignal(int /*aSignal*/, short /*aWhat*/, void* aSelf)
  {
    static_cast<Impl*>(aSelf)->BeginDrain();
  }

  void BeginDrain()
  {
    if (m_drainLagTimer != nullptr) {
      return;
    }
    m_log.Write(EventId::DrainStarted, "");
    m_app->BeginDrain();
    // The load balancer keeps sending calls until it sees /readyz fail.
    m_drainLagTimer = m_timers.After(
      std::chrono::milliseconds(m_settings.m_drainLagMs), [this] {
        m_server->BeginDrain();
        m_drainCheckTimer =
          m_timers.Every(kDrainCheckPeriod, [this] { CheckDrained(); });
      });
  }

  void CheckDrained()
  {
    // A connection that still has bytes to send counts as busy.
    if (m_app->CallCount() == 0 && m_server->BusyConnectionCount() == 0) {
      event_base_loopbreak(m_base.get());
    }
  }

  InstanceSettings m_settings;
  EventBasePointer m_base;
  EventLoopPort m_port;
  SystemClock m_clock;
  SeededRandomSource m_random;
  EventTimers m_timers;
  EasyEventLog m_log;
  LoopTurns m_turns;
  EvhttpUpstreamClient m_client;
  UpstreamTable m_upstreamTable;
  Router m_router;
  ServiceLimits m_limits;
  AdmissionGate m_gate;
  SizePredictor m_sizePredictor;
  RetryBudget m_retryBudget;
  OtlpFileExporter m_exporter;
  Tracer m_tracer;
  Metrics m_metrics;
  NoClaimService m_noClaims;
  std::unique_ptr<ClusterKey> m_key;
  std::unique_ptr<ControlLink> m_control;
  std::unique_ptr<EntryContext> m_context;
  std::unique_ptr<EntryApp> m_app;
  std::unique_ptr<CallerServer> m_server;
  std::unique_ptr<ReportPoller> m_poller;
  std::unique_ptr<PlatformList> m_platformList;
  std::unique_ptr<Timer> m_gaugeTimer;
  std::unique_ptr<Timer> m_drainLagTimer;
  std::unique_ptr<Timer> m_drainCheckTimer;
};

EntryProcess::EntryProcess(InstanceSettings aSettings)
  : m_impl(std::make_unique<Impl>(std::move(aSettings)))
{
}

EntryProcess::~EntryProcess() = default;

int EntryProcess::Run()
{
  return m_impl->Run();
}

} // namespace celeryspread
