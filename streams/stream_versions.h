#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Hash of the id of the caller's attempt that began a stream.
using StreamKey = StrongNumber<struct StreamKeyTag>;

/// Returns the key of the stream that an attempt began. @pre none.
/// @thread any.
StreamKey KeyOfStream(const AttemptId& aAttempt);

/// For this long after a stream began, its caller may ask for the rest of it,
/// and an engine of the same software has to be known by then.
constexpr Duration kStreamMemory = std::chrono::minutes(2);

/// Remembers at which software version of its engine each stream began. What
/// two versions write does not fit together.
///
/// Streams are kept in two generations, so that none needs a time of its own:
/// each is found for at least the memory time, unless there are too many.
/// @thread loop thread only.
class StreamVersions
{
public:
  /// Starts empty; keeps up to aMaxStreams. @pre both are positive.
  StreamVersions(Duration aMemory, size_t aMaxStreams);

  /// Records where a stream began; a later record of it is ignored. @pre times
  /// do not decrease.
  void Record(StreamKey aStream,
              const SoftwareVersion& aVersion,
              TimePoint aNow);
  /// Returns where a stream began; empty if that is not known. @pre none.
  [[nodiscard]] std::optional<SoftwareVersion> Find(StreamKey aStream) const;
  /// Returns the number of streams that are remembered. @pre none.
  [[nodiscard]] size_t Size() const;

private:
  struct Generation
  {
    std::vector<SoftwareVersion> m_versions;
    /// Positions in m_versions.
    std::unordered_map<uint64_t, uint16_t> m_streams;
  };

  [[nodiscard]] static std::optional<SoftwareVersion> FindIn(
    const Generation& aGeneration,
    StreamKey aStream);

  Duration m_memory;
  size_t m_maxStreams;
  Generation m_current;
  Generation m_former;
  std::optional<TimePoint> m_begunAt;
};

} // namespace celeryspread
