#include "control/control_process.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <random>
#include <thread>

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include "control/control_service.h"
#include "control/join_policy.h"
#include "control/placement_runner.h"
#include "core/json_text.h"
#include "core/system_clock.h"
#include "http/caller_server.h"
#include "http/client_limit_log.h"
#include "http/client_limits.h"
#include "http/event_base.h"
#include "http/event_timers.h"
#include "http/evhttp_upstream_client.h"
#include "main/exit_code.h"
#include "storage/posix_file_system.h"
#include "telemetry/metrics.h"
#include "wire/wire_server.h"

namespace celeryspread {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
/// How often leadership, routes and engines are checked.
constexpr Duration kFleetTickPeriod = std::chrono::milliseconds(50);
constexpr Duration kJoinPeriod = std::chrono::milliseconds(500);
/// How often a replica that is not a voter yet logs what it was answered.
constexpr Duration kJoinLogPeriod = std::chrono::seconds(3);
/// How often a store that can't be opened for want of room is tried again.
constexpr Duration kStoreRetryPeriod = std::chrono::milliseconds(250);
constexpr int kStoreAttemptsPerLogLine = 12;
constexpr size_t kMinClusterKeyBytes = 16;
/// Appended to an instance ID, it gives the replica ID of a bootstrap replica,
/// which every instance derives alike.
constexpr const char* kFirstReplicaSuffix = ".1";

ReplicaId RandomReplicaId(const InstanceId& aInstance)
{
  std::random_device device;
  const uint64_t high = device();
  const uint64_t low = device();
  constexpr unsigned kHalfBits = 32;
  return ReplicaId(aInstance.Value() + "." +
                   std::to_string((high << kHalfBits) | low));
}

} // namespace

class ControlProcess::Impl : public CallHandler
{
public:
  Impl(InstanceSettings aSettings,
       ControlStart aStart,
       const FleetPlatform* aPlatform)
    : m_settings(std::move(aSettings))
    , m_start(aStart)
    , m_platform(aPlatform)
    , m_base(event_base_new())
    , m_port(m_base.get())
    , m_random(std::random_device()())
    , m_timers(m_base.get())
    , m_client(m_base.get(), m_clock, HeldBytesLimit(m_settings.m_memoryBytes))
    , m_log(m_settings.m_instance.Value())
    , m_files(m_settings.m_dataFolder)
    , m_store(m_files)
    , m_clientLimits(m_clock, m_log)
    , m_server(m_base.get(), m_clock, OperatorLimits(), *this, &m_clientLimits)
    , m_metricsServer(m_base.get(),
                      m_clock,
                      aPlatform == nullptr ? CallerServerLimits{}
                                           : ProbeServerLimits(),
                      *this)
  {
  }

  ~Impl() noexcept override = default;
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  /// Returns the exit code; empty when this replica was removed from the
  /// replica set and its identity was discarded.
  std::optional<int> Run()
  {
    m_log.Write(EventId::Started,
                std::string("version=") + CELERYSPREAD_VERSION);
    const auto key = m_settings.m_clusterKey.empty()
                       ? ReadWholeFile(m_settings.m_clusterKeyFile)
                       : std::optional<std::string>(m_settings.m_clusterKey);
    if (!key || key->size() < kMinClusterKeyBytes) {
      m_log.Write(EventId::SettingsRefused,
                  "/cluster_key_file: expected a file of 16 bytes or more");
      return ExitCode::BadSettings;
    }
    if (!OpenStoreOnceThereIsRoom()) {
      return ExitCode::CannotUseDisk;
    }
    Assemble(ClusterKey(*key));
    if (!Listen(ClusterKey(*key))) {
      m_log.Write(EventId::ListenFailed, "address=" + m_settings.m_address);
      return ExitCode::CannotListen;
    }
    Serve();
    m_log.Write(EventId::Stopped, "");
    if (m_isRemoved) {
      return std::nullopt;
    }
    return m_host->IsFailed() ? ExitCode::CannotUseDisk : ExitCode::Success;
  }

  /// Returns the settings for the replica that takes this one's place. Peers
  /// that the old replica knew are kept, as the seeds may all have been
  /// replaced.
  InstanceSettings SuccessorSettings()
  {
    if (m_platform != nullptr) {
      Reload();
    }
    InstanceSettings settings = m_settings;
    for (const auto& [id, address] : m_host->Replica().Replicas().m_voters) {
      const InstanceId& known = address.m_instance;
      const bool isListed = std::any_of(
        settings.m_control.begin(),
        settings.m_control.end(),
        [&](const PeerAddress& aPeer) { return aPeer.m_instance == known; });
      if (!isListed) {
        settings.m_control.push_back(
          { address.m_instance, address.m_address, address.m_port });
      }
    }
    return settings;
  }

  void OnCall(std::unique_ptr<CallerCall> aCall) override
  {
    constexpr int kOk = 200;
    constexpr int kNotFound = 404;
    if (m_operatorApi != nullptr && aCall->Path() != "/metrics") {
      m_operatorApi->OnCall(std::move(aCall));
      return;
    }
    if (aCall->Path() == "/metrics") {
      aCall->Reply(kOk, { { "Content-Type", "text/plain" } }, MetricsPage());
      return;
    }
    const bool isKnown =
      aCall->Path() == "/healthz" || aCall->Path() == "/readyz";
    const nlohmann::json body = { { "leader",
                                    m_host->Replica().Leader().Value() },
                                  { "failed", m_host->IsFailed() },
                                  { "suspended", m_host->IsSuspended() } };
    aCall->Reply(isKnown ? kOk : kNotFound,
                 { { "Content-Type", "application/json" } },
                 FormatJson(body));
  }

private:
  /// Limits of the platform's protocol; the administration of an installation
  /// without a platform sends larger documents.
  [[nodiscard]] CallerServerLimits OperatorLimits() const
  {
    CallerServerLimits limits;
    if (m_platform == nullptr) {
      return limits;
    }
    constexpr size_t kMaxHeaderBytes = 16'384;
    constexpr size_t kMaxBodyBytes = 4'194'304;
    limits.m_maxHeaderBytes = kMaxHeaderBytes;
    limits.m_maxBodyBytes = kMaxBodyBytes;
    return WithClientLimits(limits,
                            { m_settings.m_memoryBytes,
                              m_settings.m_clientMemoryBytes,
                              m_settings.m_clientConnections });
  }

  /// Opens the store, and waits for room on a disk that is full. A process that
  /// ended instead could not be sure to be started again.
  bool OpenStoreOnceThereIsRoom()
  {
    if (!m_files.CreateAndLock()) {
      m_log.Write(EventId::StorageFailed,
                  "folder=" + m_settings.m_dataFolder +
                    " can't be created or is in use by another process");
      return false;
    }
    for (int attempt = 0; !OpenStore(); ++attempt) {
      if (m_store.LastError().m_kind == StorageErrorKind::Corrupt) {
        return false;
      }
      if (attempt % kStoreAttemptsPerLogLine == 0) {
        m_log.Write(EventId::StorageFailed,
                    "folder=" + m_settings.m_dataFolder +
                      " can't be written to; waiting");
      }
      std::this_thread::sleep_for(kStoreRetryPeriod);
    }
    return true;
  }

  bool OpenStore()
  {
    if (!m_store.Open()) {
      const StorageError& error = m_store.LastError();
      if (error.m_kind != StorageErrorKind::Corrupt) {
        return false;
      }
      m_log.Write(EventId::LogCorrupt,
                  "file=" + error.m_file +
                    " offset=" + std::to_string(error.m_offset));
      return false;
    }
    if (m_store.TruncatedBytes() > 0) {
      m_log.Write(EventId::LogTailCut,
                  "bytes=" + std::to_string(m_store.TruncatedBytes()));
    }
    if (!m_store.Identity().IsEmpty()) {
      return true;
    }
    return m_start == ControlStart::Bootstrap ? FormatBootstrapReplica()
                                              : FormatJoiningReplica();
  }

  bool FormatBootstrapReplica()
  {
    Snapshot initial;
    initial.m_index = LogIndex(1);
    initial.m_term = Term(1);
    for (const PeerAddress& peer : m_settings.m_control) {
      initial.m_replicas
        .m_voters[ReplicaId(peer.m_instance.Value() + kFirstReplicaSuffix)] = {
        peer.m_instance, peer.m_address, peer.m_port
      };
    }
    return m_store.Format(
      ReplicaId(m_settings.m_instance.Value() + kFirstReplicaSuffix), initial);
  }

  bool FormatJoiningReplica()
  {
    m_log.Write(EventId::ReplicaNotVoting, "the data folder is empty");
    return m_store.Format(RandomReplicaId(m_settings.m_instance), Snapshot());
  }

  void Assemble(const ClusterKey& aKey)
  {
    m_peers = std::make_unique<PeerLinks>(
      m_port,
      aKey,
      ReplicaAddress{
        m_settings.m_instance, m_settings.m_address, m_settings.m_wirePort },
      m_log);
    RaftOptions options;
    options.m_self = m_store.Identity();
    options.m_electionTimeout =
      std::chrono::milliseconds(m_settings.m_electionTimeoutMs);
    m_host = std::make_unique<ReplicaHost>(
      ReplicaHost::Dependencies{
        m_clock, m_timers, m_random, m_store, *m_peers, m_log },
      options,
      static_cast<uint64_t>(m_settings.m_snapshotEntries));
    m_host->SetToleratedLosses(m_settings.m_toleratedLosses);
    m_joinPolicy = std::make_unique<JoinPolicy>(
      m_settings.m_instance, m_store.Identity(), m_clock.Now());
    m_admin = std::make_unique<AdminApi>(
      *m_host, m_instances, m_clock, m_log, m_settings.m_operatorKeyHash);
    m_placement = std::make_unique<PlacementRunner>(
      *m_host,
      ReportPoller::Dependencies{ m_clock, m_timers, m_client, m_log },
      [this] { return m_admin->CurrentCatalog(); });
    m_admin->SetPlacement(m_placement->Owner());
    auto service = kj::heap<ControlService>(
      m_port, m_clock, *m_host, *m_peers, *m_admin, m_instances);
    m_service = service.get();
    m_host->SetRevisionListener([this] { m_service->NotifyRevision(); });
    if (m_platform != nullptr) {
      AssembleFleet();
    }
    m_node = kj::mv(service);
  }

  void AssembleFleet()
  {
    m_engineControl = m_platform->m_makeEngineControl(m_client, m_log);
    m_fleetOwner = std::make_unique<FleetOwner>(
      FleetOwner::Dependencies{ m_clock, m_timers, *m_engineControl, m_log },
      m_platform->m_ownerOptions,
      FleetOwner::ReplicatedState{
        [this] { return m_host->HasLease(); },
        [this](const PoolId& aPool, const SoftwareVersion& aVersion) {
          return m_host->State().HasRecorded(aPool, aVersion);
        } });
    m_fleet = std::make_unique<FleetService>(
      FleetService::Dependencies{ m_port,
                                  m_clock,
                                  m_random,
                                  *m_host,
                                  *m_fleetOwner,
                                  *m_platform->m_documentReader,
                                  *m_peers,
                                  m_log },
      m_settings.m_instance,
      m_settings.m_failureDomain,
      m_platform->m_quotaBounds);
    m_routeAdmin =
      std::make_unique<RouteAdmin>(*m_host, *m_platform->m_documentReader);
    m_operatorApi = m_platform->m_makeOperatorApi(*m_routeAdmin);
    m_service->SetFleet(*m_fleet);
  }

  bool Listen(const ClusterKey& aKey)
  {
    m_wire =
      std::make_unique<WireServer>(m_port, aKey, KJ_ASSERT_NONNULL(m_node));
    if (!m_wire->Listen(m_settings.m_address, m_settings.m_wirePort) ||
        !m_server.Listen(m_settings.m_address, m_settings.m_httpPort)) {
      return false;
    }
    // The instance works without a metrics page too, so this is only logged.
    const uint16_t metricsPort = m_settings.m_metricsPort;
    if (metricsPort != 0 &&
        !m_metricsServer.Listen(m_settings.m_address, metricsPort)) {
      m_log.Write(EventId::ListenFailed,
                  "metrics_port=" + std::to_string(metricsPort));
    }
    m_log.Write(EventId::Listening,
                "wire_port=" + std::to_string(m_wire->Port()) +
                  " http_port=" + std::to_string(m_server.Port()));
    std::cout << "listening " << m_server.Port() << std::endl;
    return true;
  }

  /// Opens the links to all known peers, before the first election needs
  /// them.
  void OpenLinks()
  {
    for (const PeerAddress& peer : m_settings.m_control) {
      if (peer.m_instance != m_settings.m_instance) {
        m_peers->LinkTo({ peer.m_instance, peer.m_address, peer.m_port });
      }
    }
    for (const auto& [id, address] : m_host->Replica().Replicas().m_voters) {
      if (address.m_instance != m_settings.m_instance) {
        m_peers->LinkTo(address);
      }
    }
  }

  void Serve()
  {
    OpenLinks();
    m_tickTimer = m_timers.Every(kTickPeriod, [this] {
      m_host->Tick();
      if (m_host->IsFailed()) {
        event_base_loopbreak(m_base.get());
      }
    });
    m_joinTimer = m_timers.Every(kJoinPeriod, [this] {
      JoinIfNeeded();
      m_service->ReportInstances();
    });
    if (m_fleet != nullptr) {
      m_fleetTimer =
        m_timers.Every(kFleetTickPeriod, [this] { m_fleet->Tick(); });
    }
    event* hangUpEvent = evsignal_new(m_base.get(), SIGHUP, OnHangUp, this);
    event_add(hangUpEvent, nullptr);
    event* terminateEvent =
      evsignal_new(m_base.get(), SIGTERM, OnTerminate, this);
    event* interruptEvent =
      evsignal_new(m_base.get(), SIGINT, OnTerminate, this);
    event_add(terminateEvent, nullptr);
    event_add(interruptEvent, nullptr);
    event_base_dispatch(m_base.get());
    event_free(terminateEvent);
    event_free(interruptEvent);
    event_free(hangUpEvent);
  }

  static void OnHangUp(int /*aSignal*/, short /*aWhat*/, void* aSelf)
  {
    static_cast<Impl*>(aSelf)->Reload();
  }

  void Reload()
  {
    if (m_platform == nullptr) {
      return;
    }
    const auto peers = m_platform->m_reloadPeers();
    if (!peers) {
      m_log.Write(EventId::SettingsRefused,
                  "the previous settings stay in force");
      return;
    }
    m_settings.m_control = *peers;
    m_log.Write(EventId::SettingsReloaded,
                "peers=" + std::to_string(peers->size()));
  }

  static void OnTerminate(int /*aSignal*/, short /*aWhat*/, void* aSelf)
  {
    event_base_loopbreak(static_cast<Impl*>(aSelf)->m_base.get());
  }

  /// Discards an identity that was removed from the replica set and leaves the
  /// event loop, so that another replica takes its place in this process.
  void DiscardIdentity()
  {
    if (m_isRemoved) {
      return;
    }
    m_log.Write(
      EventId::ReplicaRemoved,
      "replica=" + m_store.Identity().Value() +
        " reason=\"it was removed from the replica set while unreachable\"");
    // Without room on the disk the next answer tries again.
    m_isRemoved = m_store.Discard();
    if (m_isRemoved) {
      event_base_loopbreak(m_base.get());
    }
  }

  [[nodiscard]] std::vector<ReplicaAddress> SeedAddresses() const
  {
    std::vector<ReplicaAddress> seeds;
    for (const PeerAddress& peer : m_settings.m_control) {
      seeds.push_back({ peer.m_instance, peer.m_address, peer.m_port });
    }
    return seeds;
  }

  void JoinIfNeeded()
  {
    if (m_host->IsSuspended()) {
      // An identity that was removed could not be discarded now.
      return;
    }
    const TimePoint now = m_clock.Now();
    const std::vector<ReplicaAddress> instances =
      m_joinPolicy->InstancesToAsk(m_host->Replica(), SeedAddresses(), now);
    for (const ReplicaAddress& instance : instances) {
      AskToJoin(m_peers->LinkTo(instance));
    }
    LogJoinAnswers(now);
  }

  void AskToJoin(WireLink& aLink)
  {
    if (!aLink.IsUp()) {
      m_joinAnswers.RecordUnreachable();
      return;
    }
    m_joinAnswers.RecordAsked();
    auto request = aLink.Node().joinRequest();
    auto replica = request.initReplica();
    replica.setReplica(m_store.Identity().Value());
    replica.setInstance(m_settings.m_instance.Value());
    replica.setAddress(m_settings.m_address);
    replica.setPort(m_settings.m_wirePort);
    auto answered = request.send().then([this](auto&& aReply) {
      m_joinAnswers.RecordAnswer(aReply.getIsAccepted());
      if (aReply.getIsRemoved()) {
        DiscardIdentity();
      }
    });
    aLink.WithTimeout<void>(kj::mv(answered), kJoinPeriod)
      .detach([](kj::Exception&&) {});
  }

  void LogJoinAnswers(TimePoint aNow)
  {
    if (aNow < m_joinLogDue) {
      return;
    }
    m_joinLogDue = aNow + kJoinLogPeriod;
    const std::string answers = m_joinAnswers.TakeText();
    if (!answers.empty()) {
      m_log.Write(EventId::JoinPending,
                  "replica=" + m_store.Identity().Value() + " " + answers);
    }
  }

  std::string MetricsPage()
  {
    Metrics metrics;
    m_clientLimits.WriteTo(metrics, m_server);
    metrics.SetGauge("celeryspread_control_is_leader",
                     m_host->Replica().IsLeader() ? 1 : 0);
    metrics.SetGauge(
      "celeryspread_control_commit_index",
      static_cast<double>(m_host->Replica().CommitIndex().Value()));
    const ReplicaSetHealth health = m_host->Health();
    metrics.SetGauge("celeryspread_control_voters",
                     static_cast<double>(health.m_voters));
    metrics.SetGauge("celeryspread_control_learners",
                     static_cast<double>(health.m_learners));
    metrics.SetGauge("celeryspread_control_reachable_voters",
                     static_cast<double>(health.m_reachableVoters));
    metrics.SetGauge("celeryspread_control_bearable_losses",
                     static_cast<double>(health.BearableLosses()));
    metrics.SetGauge("celeryspread_control_is_suspended",
                     m_host->IsSuspended() ? 1 : 0);
    metrics.SetGauge("celeryspread_control_syncs",
                     static_cast<double>(m_host->SyncCount()));
    metrics.SetGauge("celeryspread_control_claims",
                     static_cast<double>(m_host->State().Claims().Size()));
    metrics.SetGauge("celeryspread_config_revision",
                     static_cast<double>(
                       m_host->State().Settings().CurrentRevision().Value()));
    return metrics.PrometheusText();
  }

  InstanceSettings m_settings;
  ControlStart m_start;
  const FleetPlatform* m_platform;
  EventBasePointer m_base;
  EventLoopPort m_port;
  SystemClock m_clock;
  SeededRandomSource m_random;
  EventTimers m_timers;
  EvhttpUpstreamClient m_client;
  EasyEventLog m_log;
  PosixFileSystem m_files;
  ReplicaStore m_store;
  InstanceRegistry m_instances;
  std::unique_ptr<PeerLinks> m_peers;
  std::unique_ptr<ReplicaHost> m_host;
  std::unique_ptr<AdminApi> m_admin;
  std::unique_ptr<PlacementRunner> m_placement;
  ControlService* m_service = nullptr;
  kj::Maybe<wire::ControlNode::Client> m_node;
  std::unique_ptr<EngineControl> m_engineControl;
  std::unique_ptr<FleetOwner> m_fleetOwner;
  std::unique_ptr<FleetService> m_fleet;
  std::unique_ptr<RouteAdmin> m_routeAdmin;
  std::unique_ptr<CallHandler> m_operatorApi;
  std::unique_ptr<Timer> m_fleetTimer;
  std::unique_ptr<WireServer> m_wire;
  ClientLimitLog m_clientLimits;
  CallerServer m_server;
  CallerServer m_metricsServer;
  std::unique_ptr<Timer> m_tickTimer;
  std::unique_ptr<Timer> m_joinTimer;
  std::unique_ptr<JoinPolicy> m_joinPolicy;
  JoinAnswers m_joinAnswers;
  TimePoint m_joinLogDue;
  bool m_isRemoved = false;
};

ControlProcess::ControlProcess(InstanceSettings aSettings, ControlStart aStart)
  : m_impl(std::make_unique<Impl>(std::move(aSettings), aStart, nullptr))
{
}

ControlProcess::ControlProcess(InstanceSettings aSettings,
                               ControlStart aStart,
                               FleetPlatform aPlatform)
  : m_platform(std::make_unique<FleetPlatform>(std::move(aPlatform)))
  , m_impl(
      std::make_unique<Impl>(std::move(aSettings), aStart, m_platform.get()))
{
}

ControlProcess::~ControlProcess() = default;

int ControlProcess::Run()
{
  signal(SIGPIPE, SIG_IGN);
  // Ignored while one replica takes the place of another; the settings are read
  // again then.
  signal(SIGHUP, SIG_IGN);
  while (true) {
    const std::optional<int> code = m_impl->Run();
    if (code) {
      return *code;
    }
    InstanceSettings settings = m_impl->SuccessorSettings();
    // The successor needs the ports and the lock on the data folder.
    m_impl.reset();
    m_impl = std::make_unique<Impl>(
      std::move(settings), ControlStart::Join, m_platform.get());
  }
}

} // namespace celeryspread
