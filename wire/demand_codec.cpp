#include "wire/demand_codec.h"

#include "wire/message_bytes.h"

namespace celeryspread {

void WriteDemand(const DemandReport& aReport, wire::FollowRequest::Builder aOut)
{
  auto list = aOut.initDemand(static_cast<unsigned>(aReport.size()));
  unsigned at = 0;
  for (const auto& [key, demand] : aReport) {
    auto entry = list[at++];
    entry.setPool(key.m_pool.Value());
    entry.setModel(key.m_target.m_model);
    entry.setAdapter(key.m_target.m_adapter);
    entry.setCalls(demand.m_calls);
    entry.setWorkMicros(static_cast<uint64_t>(demand.m_work.count()));
    entry.setPrefillMicros(static_cast<uint64_t>(demand.m_prefill.count()));
  }
}

DemandReport ReadDemand(wire::FollowRequest::Reader aIn)
{
  DemandReport report;
  for (const auto entry : aIn.getDemand()) {
    const DemandKey key{ PoolId(TextOf(entry.getPool())),
                         { TextOf(entry.getModel()),
                           TextOf(entry.getAdapter()) } };
    report[key] +=
      CallDemand{ entry.getCalls(),
                  Duration(static_cast<int64_t>(entry.getWorkMicros())),
                  Duration(static_cast<int64_t>(entry.getPrefillMicros())) };
  }
  return report;
}

} // namespace celeryspread
