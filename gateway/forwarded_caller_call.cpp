#include "gateway/forwarded_caller_call.h"

#include "gateway/forwarding_protocol.h"
#include "http/http_status.h"

namespace celeryspread {

ForwardedCallerCall::ForwardedCallerCall(std::unique_ptr<CallerCall> aCall)
  : m_call(std::move(aCall))
{
}

std::string_view ForwardedCallerCall::Method() const
{
  return m_call->Method();
}

std::string_view ForwardedCallerCall::Path() const
{
  return m_call->Path();
}

std::string_view ForwardedCallerCall::Query() const
{
  return m_call->Query();
}

std::string ForwardedCallerCall::Target() const
{
  return m_call->Target();
}

std::optional<std::string_view> ForwardedCallerCall::Header(
  const char* aName) const
{
  return m_call->Header(aName);
}

HttpHeaders ForwardedCallerCall::AllHeaders() const
{
  return ForwardingProtocol::Strip(m_call->AllHeaders());
}

std::string_view ForwardedCallerCall::Body()
{
  return m_call->Body();
}

void ForwardedCallerCall::SetObserver(CallerObserver* aObserver)
{
  m_call->SetObserver(aObserver);
}

void ForwardedCallerCall::Reply(int aStatus,
                                const HttpHeaders& aHeaders,
                                std::string_view aBody)
{
  HttpHeaders headers = aHeaders;
  const bool isOwn =
    ForwardingProtocol::ReadAnswer(aHeaders).m_upstream.IsEmpty();
  // The gateway answers a call that may have run with one of these.
  const bool mayHaveRun = aStatus == HttpStatus::kBadGateway ||
                          aStatus == HttpStatus::kGatewayTimeout;
  if (isOwn && !mayHaveRun) {
    ForwardingProtocol::WriteNotRun(headers);
  }
  m_call->Reply(aStatus, headers, aBody);
}

void ForwardedCallerCall::StartStream(int aStatus, const HttpHeaders& aHeaders)
{
  m_call->StartStream(aStatus, aHeaders);
}

void ForwardedCallerCall::SendChunk(std::string_view aBytes)
{
  m_call->SendChunk(aBytes);
}

void ForwardedCallerCall::EndStream()
{
  m_call->EndStream();
}

void ForwardedCallerCall::Abort()
{
  m_call->Abort();
}

size_t ForwardedCallerCall::PendingBytes() const
{
  return m_call->PendingBytes();
}

} // namespace celeryspread
