#include "settings/setting_spec.h"

namespace celeryspread {

const std::array<SettingSpec, kSettingCount>& AllSettingSpecs()
{
  using Key = SettingKey;
  constexpr auto kInteger = SettingType::Integer;
  constexpr auto kBoolean = SettingType::Boolean;
  constexpr int64_t kDayMs = 86'400'000;
  // clang-format off
  static constexpr std::array<SettingSpec, kSettingCount> kSpecs = { {
    { Key::RequestDeadlineMs, "request_deadline_ms", kInteger, 1, kDayMs, 120'000,
      "Deadline of a call whose caller sets none: time from its arrival to the last byte of the answer." },
    { Key::FirstByteTimeoutMs, "first_byte_timeout_ms", kInteger, 1, kDayMs, 30'000,
      "Timeout for the first byte of an upstream's answer." },
    { Key::ProgressTimeoutMs, "progress_timeout_ms", kInteger, 1, kDayMs, 20'000,
      "Longest pause within an upstream's answer before the connection is treated as lost." },
    { Key::MaxBodyBytes, "max_body_bytes", kInteger, 1, 67'108'864, 1'048'576,
      "Largest request body; larger ones are refused with HTTP status 413." },
    { Key::StreamBufferBytes, "stream_buffer_bytes", kInteger, 4'096, 16'777'216, 65'536,
      "Bytes buffered for a slow caller before reading from the upstream is paused." },
    { Key::MaxAttempts, "max_attempts", kInteger, 1, 10, 3,
      "Attempts allowed for one idempotent call, the first one included." },
    { Key::RetryBudgetPercent, "retry_budget_percent", kInteger, 0, 100, 10,
      "Retries and hedged attempts allowed, as a percentage of first attempts." },
    { Key::MaxConcurrentCalls, "max_concurrent_calls", kInteger, 1, 1'000'000, 10'000,
      "Concurrent calls of one calling service at one entry instance." },
    { Key::MaxRequestsPerSecond, "max_requests_per_s", kInteger, 1, 1'000'000, 100'000,
      "Calls of one calling service accepted per second at one entry instance." },
    { Key::MaxQueuedCalls, "max_queued_calls", kInteger, 1, 100'000, 64,
      "Calls that may wait at one upstream beyond its slots before new ones are refused." },
    { Key::Worth, "worth", kInteger, 1, 1'000, 1,
      "Relative utility of one answered call to its member." },
    { Key::RemoteDomainPenaltyMs, "remote_domain_penalty_ms", kInteger, 0, 60'000, 50,
      "Penalty for an upstream in another failure domain, added to its expected wait." },
    { Key::TraceSamplePercent, "trace_sample_percent", kInteger, 0, 100, 1,
      "Percentage of the calls without a sampled traceparent header that are traced." },
    { Key::WorkMayRepeat, "work_may_repeat", kBoolean, 0, 1, 1,
      "Whether calls are idempotent; calls that are not idempotent run at most once." },
    { Key::ClaimRetentionMs, "claim_retention_ms", kInteger, 1'000, 30 * kDayMs, kDayMs,
      "Time for which the outcome of a call with an Idempotency-Key header is kept." },
    { Key::WeightLoadsPerSecond, "weight_loads_per_s", kInteger, 1, 10'000, 3,
      "Model loads that may start per second at the weight store; only the value at the root is used." },
    { Key::MaxWeightLoads, "max_weight_loads", kInteger, 1, 10'000, 9,
      "Concurrent model loads that the weight store serves at full speed; only the value at the root is used." },
    { Key::MaxAdapterLoads, "max_adapter_loads", kInteger, 1, 10'000, 70,
      "Concurrent adapter loads possible before each becomes slower; only the value at the root is used." },
  } };
  // clang-format on
  return kSpecs;
}

const SettingSpec& SpecOf(SettingKey aKey)
{
  return AllSettingSpecs()[static_cast<size_t>(aKey)];
}

std::optional<SettingKey> FindSetting(std::string_view aName)
{
  for (const SettingSpec& spec : AllSettingSpecs()) {
    if (spec.m_name == aName) {
      return spec.m_key;
    }
  }
  return std::nullopt;
}

} // namespace celeryspread
