#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "settings/setting_values.h"

namespace celeryspread {

/// Names of one declared thing, at most one in each naming scheme.
using SchemeNames = std::map<SchemeId, std::string>;

/// One version of a model or adapter.
struct VersionDeclaration
{
  SchemeNames m_names;
  SettingValues m_settings;
};

/// An adapter that runs on its base model.
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
  std::string m_keyHash;
  SettingValues m_settings;
  /// Models the service may call; an empty set allows all.
  std::set<ModelId> m_models;
  /// Plain services the service may call; an empty set allows all.
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
  ByteCount m_cacheReserve;
  uint32_t m_slots = 1;
  bool m_checksFencing = false;
  bool m_isLeaving = false;
  /// The plain service it belongs to; empty for an engine.
  PlainServiceId m_plainService;
};

/// A plain service beside the engines.
struct PlainServiceDeclaration
{
  SettingValues m_settings;
  /// HTTP methods whose calls are idempotent beyond what HTTP says.
  std::set<std::string> m_idempotentMethods;
};

/// Role of an operator's key.
enum class OperatorRole
{
  Read,
  Change,
  Settle
};

/// An operator of the admin API.
struct OperatorDeclaration
{
  std::string m_keyHash;
  OperatorRole m_role = OperatorRole::Read;
};

/// The whole tree of settings at one revision, checked.
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
