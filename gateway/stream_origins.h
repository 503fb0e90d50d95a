#pragma once

#include <functional>
#include <optional>

#include "streams/stream_versions.h"

namespace celeryspread {

/// Knows at which software version the streams of all entries began, also of
/// entries that have been lost since.
class StreamOrigins
{
public:
  /// Receives the version; empty if it is not known.
  using Found = std::function<void(std::optional<SoftwareVersion>)>;
  virtual ~StreamOrigins() = default;
  /// Records that the first event of a stream is about to be sent to its
  /// caller. @pre none. @thread loop.
  virtual void RecordBegin(StreamKey aStream,
                           const SoftwareVersion& aVersion) = 0;
  /// Looks up where a stream of a pool began; without a key, the caller named
  /// no attempt. aFound is called once, perhaps before this returns.
  /// @pre none. @thread loop.
  virtual void Find(const PoolId& aPool,
                    std::optional<StreamKey> aStream,
                    Found aFound) = 0;
};

} // namespace celeryspread
