#pragma once

#include <memory>
#include <optional>
#include <string>

#include "catalog/catalog.h"
#include "core/clock.h"
#include "http/caller_call.h"

namespace celeryspread {

/// A validated call that is ready for routing.
struct PreparedCall
{
  /// Catalog that the call was validated against, kept alive for the call.
  std::shared_ptr<const Catalog> m_catalog;
  ServiceId m_service;
  MemberId m_member;
  Target m_target;
  /// Set instead of m_target for a plain service.
  PlainServiceId m_plainService;
  EffectiveSettings m_settings;
  std::string m_method;
  std::string m_path;
  HttpHeaders m_headers;
  std::string m_body;
  bool m_wantsStream = false;
  /// Caller's limit for the tokens of the answer.
  std::optional<uint64_t> m_maxTokens;
  /// Whether the work may run more than once, so that it can be retried.
  bool m_isIdempotent = false;
  ClaimKey m_claimKey;
  TimePoint m_arrivedAt;
  TimePoint m_deadline;

  /// Returns the label of the call in the latency metrics. @pre none.
  /// @thread loop thread only.
  [[nodiscard]] std::string MetricLabel() const
  {
    return m_plainService.IsEmpty() ? m_target.EngineName()
                                    : m_plainService.Value();
  }
};

} // namespace celeryspread
