#include "control/state_machine.h"

#include "wire/claim_codec.h"
#include "wire/codec.h"
#include "wire/message_bytes.h"
#include "wire/version_codec.h"

namespace celeryspread {

namespace {

void WriteClaim(const ClaimRecord& aRecord, wire::StoredClaim::Builder aOut)
{
  WriteClaimRequest(aRecord.m_request, aOut.initRequest());
  aOut.setState(static_cast<uint8_t>(aRecord.m_state));
  WriteStoredAnswer(aRecord.m_answer, aOut.initAnswer());
  aOut.setExpiresAtMicros(aRecord.m_expiresAt.count());
  aOut.setSettledBy(aRecord.m_settledBy.Value());
  aOut.setSettledReason(aRecord.m_settledReason);
}

ClaimRecord ReadClaim(wire::StoredClaim::Reader aIn)
{
  return { ReadClaimRequest(aIn.getRequest()),
           static_cast<ClaimState>(aIn.getState()),
           ReadStoredAnswer(aIn.getAnswer()),
           Duration(aIn.getExpiresAtMicros()),
           OperatorId(TextOf(aIn.getSettledBy())),
           TextOf(aIn.getSettledReason()) };
}

} // namespace

CommandResult StateMachine::Apply(std::string_view aBytes)
{
  const std::optional<Command> command = DecodeCommand(aBytes);
  if (!command) {
    return ChangeResult{};
  }
  if (const auto* change = std::get_if<SettingsChange>(&command->m_body)) {
    return m_settings.Apply(*change, command->m_now);
  }
  if (const auto* claim = std::get_if<ClaimRequest>(&command->m_body)) {
    return m_claims.Claim(*claim, command->m_now);
  }
  if (const auto* close = std::get_if<CloseClaim>(&command->m_body)) {
    m_claims.Close(
      close->m_request, close->m_outcome, close->m_answer, command->m_now);
    return CloseResult{};
  }
  if (const auto* routes = std::get_if<RouteChange>(&command->m_body)) {
    // A version that is not newer is acknowledged and changes nothing.
    if (routes->m_version > m_routes.m_version) {
      m_routes = *routes;
    }
    return RouteResult{ m_routes.m_version };
  }
  if (const auto* versions =
        std::get_if<PoolVersionsChange>(&command->m_body)) {
    m_poolVersions[versions->m_pool] = versions->m_versions;
    return PoolVersionsResult{};
  }
  return SettleResult{ m_claims.Settle(
    std::get<ClaimSettlement>(command->m_body), command->m_now) };
}

std::string StateMachine::Save() const
{
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<wire::StateImage>();
  out.setRevision(m_settings.CurrentRevision().Value());
  out.setTree(m_settings.TreeText());
  const auto& changes = m_settings.Changes();
  auto list = out.initChanges(static_cast<unsigned>(changes.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setChangeId(changes[i].m_changeId.Value());
    list[i].setOperator(changes[i].m_operator.Value());
    list[i].setRevision(changes[i].m_revision.Value());
    list[i].setPatch(changes[i].m_patch);
    list[i].setAtMicros(changes[i].m_at.count());
  }
  const std::vector<ClaimRecord> records = m_claims.Records();
  auto claims = out.initClaims(static_cast<unsigned>(records.size()));
  for (unsigned i = 0; i < claims.size(); ++i) {
    WriteClaim(records[i], claims[i]);
  }
  auto routes = out.initRoutes();
  routes.setVersion(m_routes.m_version.Value());
  routes.setDocument(DataOf(m_routes.m_document));
  auto pools =
    out.initPoolVersions(static_cast<unsigned>(m_poolVersions.size()));
  unsigned at = 0;
  for (const auto& [pool, versions] : m_poolVersions) {
    WritePoolVersions(pool, versions, pools[at++]);
  }
  return FlatBytes(message);
}

bool StateMachine::Restore(std::string_view aBytes)
{
  const auto isRead = ReadFlat<
    wire::
      StateImage>(aBytes, kMaxMessageWords, [&](wire::StateImage::Reader aIn) {
    std::deque<AcceptedChange> changes;
    for (const auto change : aIn.getChanges()) {
      changes.push_back({ ChangeId(TextOf(change.getChangeId())),
                          OperatorId(TextOf(change.getOperator())),
                          Revision(change.getRevision()),
                          TextOf(change.getPatch()),
                          Duration(change.getAtMicros()) });
    }
    std::vector<ClaimRecord> claims;
    for (const auto claim : aIn.getClaims()) {
      claims.push_back(ReadClaim(claim));
    }
    m_settings.Restore(
      Revision(aIn.getRevision()), TextOf(aIn.getTree()), std::move(changes));
    m_claims.Restore(std::move(claims));
    const auto routes = aIn.getRoutes();
    m_routes = { Revision(routes.getVersion()), BytesOf(routes.getDocument()) };
    m_poolVersions.clear();
    for (const auto pool : aIn.getPoolVersions()) {
      m_poolVersions[PoolId(TextOf(pool.getPool()))] =
        ReadVersions(pool.getVersions());
    }
    return true;
  });
  return isRead.value_or(false);
}

bool StateMachine::HasRecorded(const PoolId& aPool,
                               const SoftwareVersion& aVersion) const
{
  const PoolVersions& recorded = RecordedVersions();
  const auto pool = recorded.find(aPool);
  return pool != recorded.end() && pool->second.contains(aVersion);
}

} // namespace celeryspread
