#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "catalog/catalog.h"
#include "entry/entry_app.h"
#include "ledger/claim_service.h"
#include "settings/instance_settings.h"
#include "telemetry/event_log.h"
#include "wire/wire_link.h"

namespace celeryspread {

/// Connects an entry to the control instances: fetches settings changes,
/// claims work and forwards admin requests.
/// @thread loop thread only.
class ControlLink
  : public ClaimService
  , public AdminForwarder
{
public:
  using CatalogListener = std::function<void(std::shared_ptr<const Catalog>)>;

  /// Opens a link to every control instance in aSettings and starts to fetch
  /// settings; aListener is called with each new catalog.
  /// @pre references outlive the link.
  ControlLink(EventLoopPort& aPort,
              const ClusterKey& aKey,
              const InstanceSettings& aSettings,
              const Clock& aClock,
              EventLog& aLog,
              CatalogListener aListener);
  ~ControlLink() noexcept override;
  KJ_DISALLOW_COPY(ControlLink);

  void Claim(const ClaimRequest& aRequest,
             std::function<void(ClaimReply)> aDone) override;
  void Close(const ClaimRequest& aRequest,
             ClaimOutcome aOutcome,
             const StoredAnswer& aAnswer,
             std::function<void(bool)> aDone) override;
  void Forward(std::unique_ptr<CallerCall> aCall) override;

  /// Returns the bytes read and written on all links so far. @pre none.
  [[nodiscard]] uint64_t BytesTransferred() const;

private:
  /// Returns a connected link, starting the search at the preferred one, or
  /// null if there is none.
  WireLink* ConnectedLink();
  void AddLink(const PeerAddress& aPeer);
  kj::Promise<void> FetchOnce();
  void HandleReply(wire::FetchReply::Reader aReply);
  bool UpdateTree(wire::FetchReply::Reader aReply);
  /// Passes a catalog built from the current tree to the listener. A tree that
  /// is not valid is logged and the previous catalog stays in use.
  void PublishCatalog(Revision aRevision);
  void TryClose(const ClaimRequest& aRequest,
                ClaimOutcome aOutcome,
                const StoredAnswer& aAnswer,
                int aAttemptsLeft,
                const std::function<void(bool)>& aDone);

  EventLoopPort& m_port;
  const ClusterKey& m_key;
  const InstanceSettings& m_settings;
  const Clock& m_clock;
  EventLog& m_log;
  CatalogListener m_listener;
  std::vector<std::unique_ptr<WireLink>> m_links;
  size_t m_preferredLink = 0;
  Revision m_revision;
  std::unique_ptr<nlohmann::json> m_tree;
  TimePoint m_startedAt;
  kj::Promise<void> m_fetchLoop;
};

} // namespace celeryspread
