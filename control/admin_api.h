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

/// Answers the requests of the admin API on the leading control instance.
/// @thread loop thread only.
class AdminApi
{
public:
  /// Answers from the state of a replica. aBootstrapKeyHash is the hash of a
  /// key that holds every role whatever the settings declare, as the first
  /// operator needs it; empty for none. @pre arguments outlive the API.
  AdminApi(ReplicaHost& aHost,
           const InstanceRegistry& aInstances,
           const Clock& aClock,
           EventLog& aLog,
           std::string aBootstrapKeyHash);

  /// Returns the catalog built from the applied settings. @pre none.
  std::shared_ptr<const Catalog> CurrentCatalog();
  /// Sets the source of /admin/placement. @pre aPlacement outlives the API.
  void SetPlacement(const PlacementOwner& aPlacement)
  {
    m_placement = &aPlacement;
  }
  /// Handles a request. A replica without a lease answers 503 "no_quorum".
  /// @pre none; aDone is called exactly once, during this call or later.
  void Handle(const AdminRequest& aRequest, const AdminDone& aDone);

private:
  struct AuthenticatedOperator
  {
    OperatorId m_id;
    OperatorRole m_role = OperatorRole::Read;
  };
  using Handler = void (AdminApi::*)(const AdminRequest&,
                                     const AuthenticatedOperator&,
                                     const AdminDone&);
  struct Endpoint
  {
    std::string_view m_method;
    std::string_view m_path;
    OperatorRole m_role;
    Handler m_handler;
  };

  static const Endpoint* FindEndpoint(const AdminRequest& aRequest);
  std::optional<AuthenticatedOperator> Authenticate(
    const AdminRequest& aRequest);
  void HandlePlacement(const AdminRequest& aRequest,
                       const AuthenticatedOperator& aOperator,
                       const AdminDone& aDone);
  void HandleTree(const AdminRequest& aRequest,
                  const AuthenticatedOperator& aOperator,
                  const AdminDone& aDone);
  void HandleChange(const AdminRequest& aRequest,
                    const AuthenticatedOperator& aOperator,
                    const AdminDone& aDone);
  void HandleHistory(const AdminRequest& aRequest,
                     const AuthenticatedOperator& aOperator,
                     const AdminDone& aDone);
  void HandleNames(const AdminRequest& aRequest,
                   const AuthenticatedOperator& aOperator,
                   const AdminDone& aDone);
  void HandleUpstreams(const AdminRequest& aRequest,
                       const AuthenticatedOperator& aOperator,
                       const AdminDone& aDone);
  void HandleStatus(const AdminRequest& aRequest,
                    const AuthenticatedOperator& aOperator,
                    const AdminDone& aDone);
  void HandleExplain(const AdminRequest& aRequest,
                     const AuthenticatedOperator& aOperator,
                     const AdminDone& aDone);
  void HandleClaims(const AdminRequest& aRequest,
                    const AuthenticatedOperator& aOperator,
                    const AdminDone& aDone);
  void HandleSettle(const AdminRequest& aRequest,
                    const AuthenticatedOperator& aOperator,
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
