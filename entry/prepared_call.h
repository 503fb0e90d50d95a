#pragma once

#include <memory>
#include <optional>
#include <string>

#include "catalog/catalog.h"
#include "core/clock.h"
#include "http/caller_call.h"

namespace celeryspread {

/// A call that passed every check and can be routed.
struct PreparedCall
{
  /// Keeps the revision alive under which the call was checked.
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
  /// Limit that the caller set on the answer's tokens.
  std::optional<uint64_t> m_maxTokens;
  bool m_mayRepeat = false;
  ClaimKey m_claimKey;
  TimePoint m_arrivedAt;
  TimePoint m_deadline;

  /// Returns the label of the call's latency series. @pre none. @thread loop.
  [[nodiscard]] std::string MetricLabel() const
  {
    return m_plainService.IsEmpty() ? m_target.EngineName()
                                    : m_plainService.Value();
  }
};

} // namespace celeryspread
