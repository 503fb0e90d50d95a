#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "catalog/catalog.h"
#include "control/admin_types.h"
#include "control/instance_registry.h"
#include "control/replica_host.h"
#include "placement/placement_owner.h"

namespace celeryspread {

/// The admin API as decided by the leading control instance.
/// @thread loop thread only.
class AdminApi
{
public:
  /// Works on a replica. @pre arguments outlive the API. aBootstrapKeyHash is
  /// the hash of the first operator's key, empty for none.
  AdminApi(ReplicaHost& aHost,
           const InstanceRegistry& aInstances,
           const Clock& aClock,
           EventLog& aLog,
           std::string aBootstrapKeyHash);

  /// Returns the catalog of the applied settings. @pre none.
  std::shared_ptr<const Catalog> CurrentCatalog();
  /// Shows what aPlacement decides. @pre aPlacement outlives the API.
  void SetPlacement(const PlacementOwner& aPlacement)
  {
    m_placement = &aPlacement;
  }
  /// Handles a request. @pre none; aDone is called exactly once, later or at
  /// once. A replica without a lease answers 503 "no_quorum".
  void Handle(const AdminRequest& aRequest, const AdminDone& aDone);

private:
  struct Caller
  {
    OperatorId m_id;
    OperatorRole m_role = OperatorRole::Read;
  };
  using Handler = void (AdminApi::*)(const AdminRequest&,
                                     const Caller&,
                                     const AdminDone&);
  struct Row
  {
    std::string_view m_method;
    std::string_view m_path;
    OperatorRole m_role;
    Handler m_handler;
  };

  static const Row* FindRow(const AdminRequest& aRequest);
  std::optional<Caller> Authenticate(const AdminRequest& aRequest);
  void HandlePlacement(const AdminRequest& aRequest,
                       const Caller& aCaller,
                       const AdminDone& aDone);
  void HandleTree(const AdminRequest& aRequest,
                  const Caller& aCaller,
                  const AdminDone& aDone);
  void HandleChange(const AdminRequest& aRequest,
                    const Caller& aCaller,
                    const AdminDone& aDone);
  void HandleHistory(const AdminRequest& aRequest,
                     const Caller& aCaller,
                     const AdminDone& aDone);
  void HandleNames(const AdminRequest& aRequest,
                   const Caller& aCaller,
                   const AdminDone& aDone);
  void HandleUpstreams(const AdminRequest& aRequest,
                       const Caller& aCaller,
                       const AdminDone& aDone);
  void HandleStatus(const AdminRequest& aRequest,
                    const Caller& aCaller,
                    const AdminDone& aDone);
  void HandleExplain(const AdminRequest& aRequest,
                     const Caller& aCaller,
                     const AdminDone& aDone);
  void HandleClaims(const AdminRequest& aRequest,
                    const Caller& aCaller,
                    const AdminDone& aDone);
  void HandleSettle(const AdminRequest& aRequest,
                    const Caller& aCaller,
                    const AdminDone& aDone);

  ReplicaHost& m_host;
  const InstanceRegistry& m_instances;
  const Clock& m_clock;
  EventLog& m_log;
  std::string m_bootstrapKeyHash;
  std::shared_ptr<const Catalog> m_catalog;
  const PlacementOwner* m_placement = nullptr;
};

} // namespace celeryspread
