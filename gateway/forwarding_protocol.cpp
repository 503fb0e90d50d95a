#include "gateway/forwarding_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <strings.h>

namespace celeryspread {

namespace {

constexpr const char* kPrefix = "Peer-Forward-";
constexpr const char* kForwarder = "Peer-Forward-By";
constexpr const char* kNonce = "Peer-Forward-Nonce";
constexpr const char* kProof = "Peer-Forward-Proof";
constexpr const char* kRuns = "Peer-Forward-Runs";
constexpr const char* kSoftware = "Peer-Forward-Software";
constexpr const char* kOutcome = "Peer-Forward-Outcome";
constexpr const char* kUpstream = "Peer-Forward-Upstream";
constexpr const char* kNotRun = "not_run";
constexpr const char* kUnable = "unable";

std::string ToHex(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kBitsPerDigit = 4;
  constexpr unsigned kDigitMask = 15;
  std::string text;
  for (const char byte : aBytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value >> kBitsPerDigit];
    text += kDigits[value & kDigitMask];
  }
  return text;
}

bool HasPrefix(const HttpHeader& aHeader)
{
  const std::string_view prefix = kPrefix;
  return strncasecmp(aHeader.m_name.c_str(), kPrefix, prefix.size()) == 0;
}

std::string ValueOf(const CallerCall& aCall, const char* aName)
{
  return std::string(aCall.Header(aName).value_or(""));
}

bool IsNamed(const HttpHeader& aHeader, const char* aName)
{
  return strcasecmp(aHeader.m_name.c_str(), aName) == 0;
}

} // namespace

std::string ForwardingProtocol::Proof(std::string_view aNonce,
                                      std::string_view aMethod,
                                      const std::string& aTarget,
                                      const ForwardedFields& aFields) const
{
  std::string text = "forwarded call\n";
  for (const std::string_view part :
       { aNonce,
         aMethod,
         std::string_view(aTarget),
         std::string_view(aFields.m_forwarder.Value()),
         std::string_view(aFields.m_software.Value()) }) {
    text += part;
    text += '\n';
  }
  text += std::to_string(aFields.m_possibleRuns);
  return ToHex(m_key.MakeProof(text));
}

void ForwardingProtocol::WriteCall(const ForwardedFields& aFields,
                                   std::string_view aMethod,
                                   const std::string& aTarget,
                                   HttpHeaders& aHeaders) const
{
  const std::string nonce = ToHex(ClusterKey::MakeNonce());
  aHeaders.push_back({ kForwarder, aFields.m_forwarder.Value() });
  aHeaders.push_back({ kRuns, std::to_string(aFields.m_possibleRuns) });
  if (!aFields.m_software.IsEmpty()) {
    aHeaders.push_back({ kSoftware, aFields.m_software.Value() });
  }
  aHeaders.push_back({ kNonce, nonce });
  aHeaders.push_back({ kProof, Proof(nonce, aMethod, aTarget, aFields) });
}

std::optional<ForwardedFields> ForwardingProtocol::ReadCall(
  const CallerCall& aCall) const
{
  ForwardedFields fields;
  fields.m_forwarder = InstanceId(ValueOf(aCall, kForwarder));
  fields.m_software = SoftwareVersion(ValueOf(aCall, kSoftware));
  const std::string runs = ValueOf(aCall, kRuns);
  const auto parsed = std::from_chars(
    runs.data(), runs.data() + runs.size(), fields.m_possibleRuns);
  const std::string proof = ValueOf(aCall, kProof);
  const std::string expected =
    Proof(ValueOf(aCall, kNonce), aCall.Method(), aCall.Target(), fields);
  const bool isValid = parsed.ec == std::errc() &&
                       !fields.m_forwarder.IsEmpty() &&
                       m_key.IsValidProof(expected, m_key.MakeProof(proof));
  return isValid ? std::optional(fields) : std::nullopt;
}

void ForwardingProtocol::WriteNotRun(HttpHeaders& aHeaders)
{
  aHeaders.push_back({ kOutcome, kNotRun });
}

void ForwardingProtocol::WriteUnable(HttpHeaders& aHeaders)
{
  aHeaders.push_back({ kOutcome, kUnable });
}

void ForwardingProtocol::WriteUpstream(const UpstreamId& aUpstream,
                                       HttpHeaders& aHeaders)
{
  aHeaders.push_back({ kUpstream, aUpstream.Value() });
}

ForwardedAnswer ForwardingProtocol::ReadAnswer(const HttpHeaders& aHeaders)
{
  ForwardedAnswer answer;
  for (const HttpHeader& header : aHeaders) {
    if (IsNamed(header, kOutcome)) {
      answer.m_isUnable = header.m_value == kUnable;
      answer.m_hasNotRun = answer.m_isUnable || header.m_value == kNotRun;
    } else if (IsNamed(header, kUpstream)) {
      answer.m_upstream = UpstreamId(header.m_value);
    }
  }
  return answer;
}

HttpHeaders ForwardingProtocol::Strip(const HttpHeaders& aHeaders)
{
  HttpHeaders headers;
  std::copy_if(aHeaders.begin(),
               aHeaders.end(),
               std::back_inserter(headers),
               [](const HttpHeader& aHeader) { return !HasPrefix(aHeader); });
  return headers;
}

} // namespace celeryspread
