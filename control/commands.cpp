#include "control/commands.h"

#include "wire/claim_codec.h"
#include "wire/codec.h"
#include "wire/message_bytes.h"
#include "wire/version_codec.h"

namespace celeryspread {

namespace {

/// Writes each kind of command into its field of the wire union.
class CommandWriter
{
public:
  explicit CommandWriter(wire::Command::Builder aOut)
    : m_out(aOut)
  {
  }
  void operator()(const SettingsChange& aChange)
  {
    auto out = m_out.initSettingsChange();
    out.setChangeId(aChange.m_changeId.Value());
    out.setOperator(aChange.m_operator.Value());
    out.setExpectedRevision(aChange.m_expectedRevision.Value());
    out.setPatch(aChange.m_patch);
  }
  void operator()(const ClaimRequest& aRequest)
  {
    WriteClaimRequest(aRequest, m_out.initClaim());
  }
  void operator()(const CloseClaim& aClose)
  {
    auto out = m_out.initCloseClaim();
    WriteClaimRequest(aClose.m_request, out.initRequest());
    out.setOutcome(static_cast<uint8_t>(aClose.m_outcome));
    WriteStoredAnswer(aClose.m_answer, out.initAnswer());
  }
  void operator()(const ClaimSettlement& aSettlement)
  {
    auto out = m_out.initSettleClaim();
    out.setService(aSettlement.m_service.Value());
    out.setKey(aSettlement.m_key.Value());
    out.setOperator(aSettlement.m_operator.Value());
    out.setReason(aSettlement.m_reason);
    out.setHasRun(aSettlement.m_hasRun);
  }
  void operator()(const RouteChange& aChange)
  {
    auto out = m_out.initRouteChange();
    out.setVersion(aChange.m_version.Value());
    out.setDocument(DataOf(aChange.m_document));
  }

  void operator()(const PoolVersionsChange& aChange)
  {
    WritePoolVersions(
      aChange.m_pool, aChange.m_versions, m_out.initPoolVersions());
  }

private:
  wire::Command::Builder m_out;
};

Command ReadCommand(wire::Command::Reader aIn)
{
  Command command;
  command.m_now = Duration(aIn.getNowMicros());
  switch (aIn.which()) {
    case wire::Command::SETTINGS_CHANGE: {
      const auto change = aIn.getSettingsChange();
      command.m_body = SettingsChange{ ChangeId(TextOf(change.getChangeId())),
                                       OperatorId(TextOf(change.getOperator())),
                                       Revision(change.getExpectedRevision()),
                                       TextOf(change.getPatch()) };
      break;
    }
    case wire::Command::CLAIM:
      command.m_body = ReadClaimRequest(aIn.getClaim());
      break;
    case wire::Command::CLOSE_CLAIM: {
      const auto close = aIn.getCloseClaim();
      command.m_body = CloseClaim{ ReadClaimRequest(close.getRequest()),
                                   ReadClaimOutcome(close.getOutcome()),
                                   ReadStoredAnswer(close.getAnswer()) };
      break;
    }
    case wire::Command::SETTLE_CLAIM: {
      const auto settle = aIn.getSettleClaim();
      command.m_body =
        ClaimSettlement{ ServiceId(TextOf(settle.getService())),
                         ClaimKey(TextOf(settle.getKey())),
                         OperatorId(TextOf(settle.getOperator())),
                         TextOf(settle.getReason()),
                         settle.getHasRun() };
      break;
    }
    case wire::Command::ROUTE_CHANGE: {
      const auto change = aIn.getRouteChange();
      command.m_body = RouteChange{ Revision(change.getVersion()),
                                    BytesOf(change.getDocument()) };
      break;
    }
    case wire::Command::POOL_VERSIONS: {
      const auto change = aIn.getPoolVersions();
      command.m_body = PoolVersionsChange{ PoolId(TextOf(change.getPool())),
                                           ReadVersions(change.getVersions()) };
      break;
    }
  }
  return command;
}

} // namespace

std::string EncodeCommand(const Command& aCommand)
{
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<wire::Command>();
  out.setNowMicros(aCommand.m_now.count());
  std::visit(CommandWriter(out), aCommand.m_body);
  return FlatBytes(message);
}

std::optional<Command> DecodeCommand(std::string_view aBytes)
{
  return ReadFlat<wire::Command>(aBytes, kMaxMessageWords, ReadCommand);
}

} // namespace celeryspread
