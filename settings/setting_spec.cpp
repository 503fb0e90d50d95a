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
      "Time from the arrival of a call to its last byte when the caller states no deadline." },
    { Key::FirstByteTimeoutMs, "first_byte_timeout_ms", kInteger, 1, kDayMs, 30'000,
      "Time that an upstream has to begin its answer." },
    { Key::ProgressTimeoutMs, "progress_timeout_ms", kInteger, 1, kDayMs, 20'000,
      "Longest silence inside an upstream's answer before the connection counts as lost." },
    { Key::MaxBodyBytes, "max_body_bytes", kInteger, 1, 67'108'864, 1'048'576,
      "Largest request body; larger ones are answered 413." },
    { Key::StreamBufferBytes, "stream_buffer_bytes", kInteger, 4'096, 16'777'216, 65'536,
      "Bytes kept for a slow reader before reading from the upstream pauses." },
    { Key::MaxAttempts, "max_attempts", kInteger, 1, 10, 3,
      "Upstreams tried for one idempotent call, the first one included." },
    { Key::RetryBudgetPercent, "retry_budget_percent", kInteger, 0, 100, 10,
      "Retries and hedges allowed, as a share of first attempts." },
    { Key::MaxConcurrentCalls, "max_concurrent_calls", kInteger, 1, 1'000'000, 10'000,
      "Calls of one calling service in progress at one entry instance." },
    { Key::MaxRequestsPerSecond, "max_requests_per_s", kInteger, 1, 1'000'000, 100'000,
      "Calls of one calling service accepted per second at one entry instance." },
    { Key::MaxQueuedCalls, "max_queued_calls", kInteger, 1, 100'000, 64,
      "Calls that one upstream may hold beyond its slots before new ones are refused." },
    { Key::Worth, "worth", kInteger, 1, 1'000, 1,
      "Relative worth of one answered call to its member." },
    { Key::RemoteDomainPenaltyMs, "remote_domain_penalty_ms", kInteger, 0, 60'000, 50,
      "Price of an upstream in another failure domain, as added expected time." },
    { Key::TraceSamplePercent, "trace_sample_percent", kInteger, 0, 100, 1,
      "Share of calls without a sampled traceparent that are traced." },
    { Key::WorkMayRepeat, "work_may_repeat", kBoolean, 0, 1, 1,
      "Whether a call is idempotent; calls that are not run at most once." },
    { Key::ClaimRetentionMs, "claim_retention_ms", kInteger, 1'000, 30 * kDayMs, kDayMs,
      "Time that the outcome of a call with an Idempotency-Key is kept." },
    { Key::WeightLoadsPerSecond, "weight_loads_per_s", kInteger, 1, 10'000, 3,
      "Model loads that the weight store begins per second; read at the root." },
    { Key::MaxWeightLoads, "max_weight_loads", kInteger, 1, 10'000, 9,
      "Model loads at once that the weight store serves at full speed; read at the root." },
    { Key::MaxAdapterLoads, "max_adapter_loads", kInteger, 1, 10'000, 70,
      "Adapter loads in flight before each becomes slower; read at the root." },
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
