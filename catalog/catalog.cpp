#include "catalog/catalog.h"

#include <nlohmann/json.hpp>

#include "core/key_hash.h"
#include "settings/tree_parser.h"

namespace celeryspread {

std::shared_ptr<const Catalog> Catalog::Load(std::string_view aText,
                                             Revision aRevision,
                                             SettingsError& aError)
{
  TreeParser parser;
  std::optional<SettingsTree> tree = parser.Parse(aText);
  if (!tree) {
    aError = parser.Errors().front();
    return nullptr;
  }
  return FromTree(std::move(*tree), aRevision, aError);
}

std::shared_ptr<const Catalog> Catalog::FromJson(
  const nlohmann::json& aDocument,
  Revision aRevision,
  SettingsError& aError)
{
  TreeParser parser;
  std::optional<SettingsTree> tree = parser.Read(aDocument);
  if (!tree) {
    aError = parser.Errors().front();
    return nullptr;
  }
  return FromTree(std::move(*tree), aRevision, aError);
}

std::shared_ptr<const Catalog> Catalog::FromTree(SettingsTree aTree,
                                                 Revision aRevision,
                                                 SettingsError& aError)
{
  std::shared_ptr<Catalog> catalog(new Catalog());
  catalog->m_revision = aRevision;
  catalog->m_tree = std::move(aTree);
  if (!catalog->m_names.Build(catalog->m_tree)) {
    aError = catalog->m_names.Clash();
    return nullptr;
  }
  return catalog;
}

std::optional<ServiceId> Catalog::Authenticate(std::string_view aKey) const
{
  const size_t dot = aKey.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const ServiceId id{ std::string(aKey.substr(0, dot)) };
  const auto service = m_tree.m_services.find(id);
  if (service == m_tree.m_services.end()) {
    return std::nullopt;
  }
  if (!KeyHashesEqual(HashKey(aKey), service->second.m_keyHash)) {
    return std::nullopt;
  }
  return id;
}

} // namespace celeryspread
