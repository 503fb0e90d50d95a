#pragma once

#include "core/ids.h"
#include "core/upstream_address.h"

namespace celeryspread {

/// An entry that takes calls which other entries forward to it.
struct EntryPeer
{
  InstanceId m_instance;
  /// Where it takes them.
  UpstreamAddress m_address;
  FailureDomainId m_domain;

  /// Compares all fields. @pre none. @thread any.
  bool operator==(const EntryPeer&) const = default;
};

} // namespace celeryspread
