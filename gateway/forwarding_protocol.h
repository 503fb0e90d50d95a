#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/ids.h"
#include "http/caller_call.h"
#include "wire/cluster_key.h"

namespace celeryspread {

/// What an entry states about a call that it forwards to another one.
struct ForwardedFields
{
  InstanceId m_forwarder;
  /// Attempts before this one that may have run the call.
  uint32_t m_possibleRuns = 0;
  /// Software of the upstream that began the stream; empty before its first
  /// event.
  SoftwareVersion m_software;
};

/// What an entry states about its answer to a forwarded call.
struct ForwardedAnswer
{
  /// The entry guarantees that the call did not run and will not run.
  bool m_hasNotRun = false;
  /// The entry takes no forwarded calls now.
  bool m_isUnable = false;
  /// The upstream whose answer it passes on; empty for an answer of its own.
  UpstreamId m_upstream;
};

/// Reads and writes the headers that two entries add to a forwarded call. They
/// bear a proof of the cluster key, so that no caller can write them.
/// @thread loop thread only.
class ForwardingProtocol
{
public:
  /// @pre none.
  explicit ForwardingProtocol(ClusterKey aKey)
    : m_key(std::move(aKey))
  {
  }
  /// Adds what is stated about a call to the headers of its request.
  /// @pre none.
  void WriteCall(const ForwardedFields& aFields,
                 std::string_view aMethod,
                 const std::string& aTarget,
                 HttpHeaders& aHeaders) const;
  /// Reads what is stated about a call. @pre none. @error empty without a valid
  /// proof.
  [[nodiscard]] std::optional<ForwardedFields> ReadCall(
    const CallerCall& aCall) const;

  /// Adds to the headers of an answer that the call did not run. @pre none.
  static void WriteNotRun(HttpHeaders& aHeaders);
  /// Adds to the headers of an answer that the call did not run, as the entry
  /// takes no forwarded calls now. @pre none.
  static void WriteUnable(HttpHeaders& aHeaders);
  /// Adds to the headers of an answer which upstream gave it. @pre none.
  static void WriteUpstream(const UpstreamId& aUpstream, HttpHeaders& aHeaders);
  /// Reads what is stated about an answer. @pre none.
  static ForwardedAnswer ReadAnswer(const HttpHeaders& aHeaders);
  /// Returns the headers without those of the protocol. @pre none.
  static HttpHeaders Strip(const HttpHeaders& aHeaders);

private:
  [[nodiscard]] std::string Proof(std::string_view aNonce,
                                  std::string_view aMethod,
                                  const std::string& aTarget,
                                  const ForwardedFields& aFields) const;

  ClusterKey m_key;
};

} // namespace celeryspread
