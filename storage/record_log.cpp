#include "storage/record_log.h"

#include <algorithm>
#include <array>
#include <cstring>

#include "core/key_hash.h"

namespace celeryspread {

namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kLengthCheckBytes = 4;
constexpr size_t kChecksumBytes = 8;
constexpr size_t kHeaderBytes =
  kLengthBytes + kLengthCheckBytes + kChecksumBytes;

template<typename Number>
void PutNumber(std::string& aOut, Number aNumber)
{
  std::array<char, sizeof(Number)> bytes{};
  std::memcpy(bytes.data(), &aNumber, sizeof(Number));
  aOut.append(bytes.data(), bytes.size());
}

template<typename Number>
Number GetNumber(std::string_view aBytes)
{
  Number number = 0;
  std::memcpy(&number, aBytes.data(), sizeof(Number));
  return number;
}

/// Guards the length, so that a damaged one is not taken for a torn tail.
uint32_t LengthCheck(uint32_t aLength)
{
  std::string bytes("length");
  PutNumber(bytes, aLength);
  return static_cast<uint32_t>(ContentHash(bytes));
}

std::string Frame(std::string_view aPayload)
{
  const auto length = static_cast<uint32_t>(aPayload.size());
  std::string frame;
  PutNumber(frame, length);
  PutNumber(frame, LengthCheck(length));
  PutNumber(frame, ContentHash(aPayload));
  frame += aPayload;
  return frame;
}

/// State of the bytes at one offset.
enum class FrameState
{
  Whole,
  Torn,
  Damaged
};

/// Tells whether a write got lost in part: its beginning stands, and zeros
/// follow to the end of the file. A record that was whole once can't read so,
/// because nothing is appended after it before it is synced.
bool IsTornToZeros(std::string_view aBytes)
{
  const size_t last = aBytes.find_last_not_of('\0');
  const size_t written = last == std::string_view::npos ? 0 : last + 1;
  if (written == aBytes.size()) {
    return false;
  }
  if (written < kHeaderBytes) {
    return true;
  }
  const auto length = GetNumber<uint32_t>(aBytes);
  const bool isLengthWhole =
    LengthCheck(length) == GetNumber<uint32_t>(aBytes.substr(kLengthBytes));
  const size_t end = kHeaderBytes + static_cast<size_t>(length);
  if (!isLengthWhole || end > aBytes.size() || written >= end) {
    return false;
  }
  const auto stored =
    GetNumber<uint64_t>(aBytes.substr(kLengthBytes + kLengthCheckBytes));
  // A record may itself end in zeros.
  return stored != ContentHash(aBytes.substr(kHeaderBytes, length));
}

FrameState Examine(std::string_view aBytes)
{
  const bool isUnwritten = std::all_of(
    aBytes.begin(), aBytes.end(), [](char aByte) { return aByte == 0; });
  if (aBytes.size() < kHeaderBytes || isUnwritten) {
    return FrameState::Torn;
  }
  if (IsTornToZeros(aBytes)) {
    return FrameState::Torn;
  }
  const auto length = GetNumber<uint32_t>(aBytes);
  if (LengthCheck(length) != GetNumber<uint32_t>(aBytes.substr(kLengthBytes))) {
    return FrameState::Damaged;
  }
  const std::string_view payload = aBytes.substr(kHeaderBytes);
  if (payload.size() < length) {
    return FrameState::Torn;
  }
  const auto stored =
    GetNumber<uint64_t>(aBytes.substr(kLengthBytes + kLengthCheckBytes));
  return stored == ContentHash(payload.substr(0, length)) ? FrameState::Whole
                                                          : FrameState::Damaged;
}

} // namespace

RecordLog::RecordLog(FileSystem& aFiles, std::string aName)
  : m_files(aFiles)
  , m_name(std::move(aName))
{
}

bool RecordLog::Fail(StorageErrorKind aKind, uint64_t aOffset)
{
  m_lastError = { aKind, m_name, aOffset };
  return false;
}

std::optional<std::vector<std::string>> RecordLog::Open()
{
  std::vector<std::string> records;
  const std::string content = m_files.Read(m_name).value_or("");
  const std::string_view bytes(content);
  size_t at = 0;
  FrameState state = FrameState::Whole;
  while (at < bytes.size()) {
    const std::string_view rest = bytes.substr(at);
    state = Examine(rest);
    if (state != FrameState::Whole) {
      break;
    }
    const auto length = GetNumber<uint32_t>(rest);
    records.emplace_back(rest.substr(kHeaderBytes, length));
    at += kHeaderBytes + length;
  }
  if (state == FrameState::Damaged) {
    Fail(StorageErrorKind::Corrupt, at);
    return std::nullopt;
  }
  m_cutBytes = bytes.size() - at;
  if (m_cutBytes > 0 && !m_files.Truncate(m_name, at)) {
    Fail(StorageErrorKind::WriteFailed, at);
    return std::nullopt;
  }
  m_length = at;
  m_file = m_files.OpenForAppend(m_name);
  if (m_file == nullptr) {
    Fail(StorageErrorKind::OpenFailed, 0);
    return std::nullopt;
  }
  return records;
}

bool RecordLog::Append(std::string_view aPayload)
{
  if (m_lastError.m_kind != StorageErrorKind::None) {
    return false;
  }
  // Written as one by Sync(): of several writes a loss of power could keep a
  // later one and drop one before.
  m_unwritten += Frame(aPayload);
  return true;
}

bool RecordLog::Sync()
{
  // After a failed sync the kernel may have dropped the dirty pages, so a
  // second sync that succeeds proves nothing.
  if (m_lastError.m_kind != StorageErrorKind::None) {
    return false;
  }
  if (!m_unwritten.empty() && !m_file->Append(m_unwritten)) {
    return Fail(StorageErrorKind::WriteFailed, m_length);
  }
  m_length += m_unwritten.size();
  m_unwritten.clear();
  if (!m_file->Sync()) {
    return Fail(StorageErrorKind::SyncFailed, m_length);
  }
  return true;
}

bool RecordLog::Rewrite(const std::vector<std::string>& aPayloads)
{
  if (m_lastError.m_kind != StorageErrorKind::None) {
    return false;
  }
  std::string content;
  for (const std::string& payload : aPayloads) {
    content += Frame(payload);
  }
  if (!m_files.ReplaceWhole(m_name, content)) {
    return Fail(StorageErrorKind::WriteFailed, 0);
  }
  m_length = content.size();
  m_unwritten.clear();
  m_file = m_files.OpenForAppend(m_name);
  if (m_file == nullptr) {
    return Fail(StorageErrorKind::OpenFailed, 0);
  }
  return true;
}

} // namespace celeryspread
