#include "wire/engine_codec.h"

#include "wire/message_bytes.h"

namespace celeryspread {

void WriteEngine(const EngineRecord& aRecord, wire::EngineEntry::Builder aOut)
{
  aOut.setId(aRecord.m_id.Value());
  aOut.setPool(aRecord.m_pool.Value());
  aOut.setAddress(aRecord.m_address.m_address);
  aOut.setPort(aRecord.m_address.m_port);
  aOut.setFailureDomain(aRecord.m_domain.Value());
  aOut.setSlots(aRecord.m_slots);
  aOut.setIsLeaving(aRecord.m_isLeaving);
  aOut.setRateLimit(aRecord.m_rateLimit);
  aOut.setSoftwareVersion(aRecord.m_software.Value());
  auto models = aOut.initModels(static_cast<unsigned>(aRecord.m_models.size()));
  unsigned modelIndex = 0;
  for (const auto& [name, held] : aRecord.m_models) {
    auto model = models[modelIndex++];
    model.setName(name);
    model.setVersion(held.m_version);
    auto adapters =
      model.initAdapters(static_cast<unsigned>(held.m_adapters.size()));
    unsigned adapterIndex = 0;
    for (const std::string& adapter : held.m_adapters) {
      adapters.set(adapterIndex++, adapter);
    }
  }
}

EngineRecord ReadEngine(wire::EngineEntry::Reader aIn)
{
  EngineRecord record;
  record.m_id = UpstreamId(TextOf(aIn.getId()));
  record.m_pool = PoolId(TextOf(aIn.getPool()));
  record.m_address = { TextOf(aIn.getAddress()), aIn.getPort() };
  record.m_domain = FailureDomainId(TextOf(aIn.getFailureDomain()));
  record.m_slots = aIn.getSlots();
  record.m_isLeaving = aIn.getIsLeaving();
  record.m_rateLimit = aIn.getRateLimit();
  record.m_software = SoftwareVersion(TextOf(aIn.getSoftwareVersion()));
  for (const auto model : aIn.getModels()) {
    LoadedModel& held = record.m_models[TextOf(model.getName())];
    held.m_version = model.getVersion();
    for (const auto adapter : model.getAdapters()) {
      held.m_adapters.insert(TextOf(adapter));
    }
  }
  return record;
}

} // namespace celeryspread
