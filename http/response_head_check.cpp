#include "http/response_head_check.h"

#include <algorithm>
#include <cctype>

#include <strings.h>

#include "http/http_status.h"

namespace celeryspread {

namespace {

constexpr std::string_view kVersion = "HTTP/1.";
/// Length of "HTTP/1.1 200".
constexpr size_t kStatusEnd = 12;
constexpr size_t kStatusBegin = 9;

bool IsDigit(char aByte)
{
  return aByte >= '0' && aByte <= '9';
}

bool IsControl(char aByte)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr char kDelete = 0x7f;
  return (static_cast<unsigned char>(aByte) < kFirstPrintable &&
          aByte != '\t') ||
         aByte == kDelete;
}

/// Returns the status of a status line, 0 if the line is not valid.
/// @pre aLine has at most one character after the status.
int ReadStatus(std::string_view aLine)
{
  const bool hasForm =
    aLine.size() >= kStatusEnd && aLine.starts_with(kVersion) &&
    IsDigit(aLine[kVersion.size()]) && aLine[kStatusBegin - 1] == ' ' &&
    (aLine.size() == kStatusEnd || aLine[kStatusEnd] == ' ');
  if (!hasForm) {
    return 0;
  }
  int status = 0;
  for (const char digit :
       aLine.substr(kStatusBegin, kStatusEnd - kStatusBegin)) {
    if (!IsDigit(digit)) {
      return 0;
    }
    status = status * 10 + (digit - '0');
  }
  return status;
}

bool IsTokenByte(char aByte)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(aByte)) != 0 ||
         kMarks.find(aByte) != std::string_view::npos;
}

bool IsToken(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsTokenByte);
}

/// Returns whether a length has only digits, few enough to be counted with.
bool IsLength(std::string_view aText)
{
  constexpr size_t kMaxDigits = 18;
  return !aText.empty() && aText.size() <= kMaxDigits &&
         std::all_of(aText.begin(), aText.end(), IsDigit);
}

bool IsNamed(const HttpHeader& aHeader, const char* aName)
{
  return strcasecmp(aHeader.m_name.c_str(), aName) == 0;
}

} // namespace

void ResponseHeadCheck::EndLine()
{
  if (m_line.size() == m_lineBytes && m_line.ends_with('\r')) {
    m_line.pop_back();
    --m_lineBytes;
  }
  if (m_position == Position::StatusLine) {
    const int status = ReadStatus(m_line);
    m_isInterim = status == HttpStatus::kContinue;
    m_isValid = m_isValid && (m_isInterim || HttpStatus::IsFinal(status));
    m_position = Position::Fields;
  } else if (m_lineBytes == 0) {
    // evhttp skips interim answers that ask for the body and no others.
    m_position = m_isInterim ? Position::StatusLine : Position::Body;
  }
  m_line.clear();
  m_lineBytes = 0;
}

void ResponseHeadCheck::Feed(std::string_view aBytes)
{
  for (const char byte : aBytes) {
    if (m_position == Position::Body || !m_isValid) {
      return;
    }
    if (byte == '\n') {
      EndLine();
      continue;
    }
    m_isValid = byte == '\r' || !IsControl(byte);
    ++m_lineBytes;
    if (m_line.size() <= kStatusEnd) {
      m_line += byte;
    }
  }
}

bool ResponseHeadCheck::AreValidFields(const HttpHeaders& aHeaders)
{
  const std::string* length = nullptr;
  bool hasCoding = false;
  for (const HttpHeader& header : aHeaders) {
    if (!IsToken(header.m_name)) {
      return false;
    }
    if (IsNamed(header, "Content-Length")) {
      const bool isSame = length == nullptr || *length == header.m_value;
      if (!isSame || !IsLength(header.m_value)) {
        return false;
      }
      length = &header.m_value;
    }
    if (IsNamed(header, "Transfer-Encoding")) {
      if (hasCoding || strcasecmp(header.m_value.c_str(), "chunked") != 0) {
        return false;
      }
      hasCoding = true;
    }
  }
  return true;
}

} // namespace celeryspread
