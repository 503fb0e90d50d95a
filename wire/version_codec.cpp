#include "wire/version_codec.h"

#include "wire/message_bytes.h"

namespace celeryspread {

void WritePoolVersions(const PoolId& aPool,
                       const std::set<SoftwareVersion>& aVersions,
                       wire::PoolVersions::Builder aOut)
{
  aOut.setPool(aPool.Value());
  auto list = aOut.initVersions(static_cast<unsigned>(aVersions.size()));
  unsigned at = 0;
  for (const SoftwareVersion& version : aVersions) {
    list.set(at++, version.Value());
  }
}

std::set<SoftwareVersion> ReadVersions(capnp::List<capnp::Text>::Reader aIn)
{
  std::set<SoftwareVersion> versions;
  for (const auto version : aIn) {
    versions.insert(SoftwareVersion(TextOf(version)));
  }
  return versions;
}

} // namespace celeryspread
