#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "settings/setting_values.h"

namespace celeryspread {

/// Names of a model, adapter or version, at most one per naming scheme.
using SchemeNames = std::map<SchemeId, std::string>;

/// One version of a model or adapter.
struct VersionDeclaration
{
  SchemeNames m_names;
  SettingValues m_settings;
};

/// An adapter; it runs on the base model that declares it.
struct AdapterDeclaration
{
  SchemeNames m_names;
  SettingValues m_settings;
  ByteCount m_memory;
  std::map<VersionId, VersionDeclaration> m_versions;
  VersionId m_defaultVersion;
};

/// A base model.
struct ModelDeclaration
{
  SchemeNames m_names;
  SettingValues m_settings;
  ByteCount m_memory;
  /// Copies of the model, and of each of its adapters, to keep loaded.
  uint32_t m_copies = 1;
  std::map<VersionId, VersionDeclaration> m_versions;
  VersionId m_defaultVersion;
  std::map<AdapterId, AdapterDeclaration> m_adapters;
};

/// A failure domain of a region.
struct FailureDomainDeclaration
{
  SettingValues m_settings;
};

/// A region.
struct RegionDeclaration
{
  SettingValues m_settings;
  std::map<FailureDomainId, FailureDomainDeclaration> m_failureDomains;
};

/// A calling service of a member.
struct ServiceDeclaration
{
  MemberId m_member;
  /// Hash of the service's key; see HashKey().
  std::string m_keyHash;
  SettingValues m_settings;
  /// Models that the service may call; an empty set allows all.
  std::set<ModelId> m_models;
  /// Plain services that the service may call; an empty set allows all.
  std::set<PlainServiceId> m_plainServices;
};

/// What an upstream runs.
enum class UpstreamKind
{
  Engine,
  PlainService
};

/// One upstream instance.
struct UpstreamDeclaration
{
  UpstreamKind m_kind = UpstreamKind::Engine;
  std::string m_address;
  uint16_t m_port = 0;
  FailureDomainId m_failureDomain;
  ByteCount m_memory;
  /// Part of m_memory that models and adapters may not occupy.
  ByteCount m_cacheReserve;
  uint32_t m_slots = 1;
  /// Whether the engine refuses orders with an outdated fencing token.
  bool m_checksFencing = false;
  bool m_isLeaving = false;
  /// The plain service that the upstream runs; empty for an engine.
  PlainServiceId m_plainService;
};

/// A service other than a model engine; calls to it are forwarded without
/// interpreting their content.
struct PlainServiceDeclaration
{
  SettingValues m_settings;
  /// HTTP methods that are idempotent for this service, in addition to those
  /// that HTTP defines as idempotent.
  std::set<std::string> m_idempotentMethods;
};

/// Role of an operator's key; each role includes the ones before it.
enum class OperatorRole
{
  Read,
  Change,
  /// May also settle the claims of calls with an unknown outcome.
  Settle
};

/// An operator of the admin API.
struct OperatorDeclaration
{
  std::string m_keyHash;
  OperatorRole m_role = OperatorRole::Read;
};

/// The complete, validated settings tree at one revision.
struct SettingsTree
{
  SettingValues m_settings;
  std::set<SchemeId> m_schemes;
  std::map<RegionId, RegionDeclaration> m_regions;
  std::map<ModelId, ModelDeclaration> m_models;
  std::map<ServiceId, ServiceDeclaration> m_services;
  std::map<PlainServiceId, PlainServiceDeclaration> m_plainServices;
  std::map<UpstreamId, UpstreamDeclaration> m_upstreams;
  std::map<OperatorId, OperatorDeclaration> m_operators;
};

} // namespace celeryspread
