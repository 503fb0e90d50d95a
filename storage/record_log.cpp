#include "storage/record_log.h"

#include <algorithm>
#include <array>
#include <cstring>

#include "core/key_hash.h"

namespace celeryspread {

namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kLengthChecksumBytes = 4;
constexpr size_t kChecksumBytes = 8;
constexpr size_t kHeaderBytes =
  kLengthBytes + kLengthChecksumBytes + kChecksumBytes;

template<typename Number>
void AppendNumber(std::string& aBuffer, Number aNumber)
{
  std::array<char, sizeof(Number)> bytes{};
  std::memcpy(bytes.data(), &aNumber, sizeof(Number));
  aBuffer.append(bytes.data(), bytes.size());
}

template<typename Number>
Number ReadNumber(std::string_view aBytes)
{
  Number number = 0;
  std::memcpy(&number, aBytes.data(), sizeof(Number));
  return number;
}

/// Checksum of the length field. Without it, a corrupt length that points past
/// the end of the file would be mistaken for an incomplete last record.
uint32_t LengthChecksum(uint32_t aLength)
{
  std::string bytes("length");
  AppendNumber(bytes, aLength);
  return static_cast<uint32_t>(ContentHash(bytes));
}

std::string EncodeFrame(std::string_view aPayload)
{
  const auto length = static_cast<uint32_t>(aPayload.size());
  std::string frame;
  AppendNumber(frame, length);
  AppendNumber(frame, LengthChecksum(length));
  AppendNumber(frame, ContentHash(aPayload));
  frame += aPayload;
  return frame;
}

/// State of the frame at one offset.
enum class FrameState
{
  Valid,
  /// Left by a write that did not complete.
  Torn,
  Corrupt
};

/// Tells whether only the beginning of a write reached the disk, followed by
/// zeros up to the end of the file. Only the last write can be torn like this,
/// because each write is synced before the next one.
bool IsTornWithZeros(std::string_view aBytes)
{
  const size_t lastNonZero = aBytes.find_last_not_of('\0');
  const size_t writtenBytes =
    lastNonZero == std::string_view::npos ? 0 : lastNonZero + 1;
  if (writtenBytes == aBytes.size()) {
    return false;
  }
  if (writtenBytes < kHeaderBytes) {
    return true;
  }
  const auto length = ReadNumber<uint32_t>(aBytes);
  const bool isLengthValid =
    LengthChecksum(length) == ReadNumber<uint32_t>(aBytes.substr(kLengthBytes));
  const size_t end = kHeaderBytes + static_cast<size_t>(length);
  if (!isLengthValid || end > aBytes.size() || writtenBytes >= end) {
    return false;
  }
  const auto stored =
    ReadNumber<uint64_t>(aBytes.substr(kLengthBytes + kLengthChecksumBytes));
  // A complete payload may end in zeros too; then its checksum matches.
  return stored != ContentHash(aBytes.substr(kHeaderBytes, length));
}

FrameState CheckFrame(std::string_view aBytes)
{
  const bool isAllZeros = std::all_of(
    aBytes.begin(), aBytes.end(), [](char aByte) { return aByte == 0; });
  if (aBytes.size() < kHeaderBytes || isAllZeros) {
    return FrameState::Torn;
  }
  if (IsTornWithZeros(aBytes)) {
    return FrameState::Torn;
  }
  const auto length = ReadNumber<uint32_t>(aBytes);
  if (LengthChecksum(length) !=
      ReadNumber<uint32_t>(aBytes.substr(kLengthBytes))) {
    return FrameState::Corrupt;
  }
  const std::string_view payload = aBytes.substr(kHeaderBytes);
  if (payload.size() < length) {
    return FrameState::Torn;
  }
  const auto stored =
    ReadNumber<uint64_t>(aBytes.substr(kLengthBytes + kLengthChecksumBytes));
  return stored == ContentHash(payload.substr(0, length)) ? FrameState::Valid
                                                          : FrameState::Corrupt;
}

} // namespace

RecordLog::RecordLog(FileSystem& aFileSystem, std::string aName)
  : m_fileSystem(aFileSystem)
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
  m_lastError = {};
  std::vector<std::string> records;
  const std::string content = m_fileSystem.Read(m_name).value_or("");
  const std::string_view bytes(content);
  size_t offset = 0;
  FrameState state = FrameState::Valid;
  while (offset < bytes.size()) {
    const std::string_view remaining = bytes.substr(offset);
    state = CheckFrame(remaining);
    if (state != FrameState::Valid) {
      break;
    }
    const auto length = ReadNumber<uint32_t>(remaining);
    records.emplace_back(remaining.substr(kHeaderBytes, length));
    offset += kHeaderBytes + length;
  }
  if (state == FrameState::Corrupt) {
    Fail(StorageErrorKind::Corrupt, offset);
    return std::nullopt;
  }
  m_truncatedBytes = bytes.size() - offset;
  if (m_truncatedBytes > 0 && !m_fileSystem.Truncate(m_name, offset)) {
    Fail(StorageErrorKind::WriteFailed, offset);
    return std::nullopt;
  }
  m_fileBytes = offset;
  if (!OpenForAppend()) {
    return std::nullopt;
  }
  return records;
}

bool RecordLog::OpenForAppend()
{
  m_file = m_fileSystem.OpenForAppend(m_name);
  return m_file != nullptr || Fail(StorageErrorKind::OpenFailed, 0);
}

bool RecordLog::Append(std::string_view aPayload)
{
  if (m_lastError.m_kind != StorageErrorKind::None) {
    return false;
  }
  // Sync() writes all pending frames in one call. Of several writes, a power
  // loss could keep a later one and lose an earlier one.
  m_pendingFrames += EncodeFrame(aPayload);
  return true;
}

bool RecordLog::Sync()
{
  // After a failed sync the kernel may have dropped the dirty pages, so a later
  // sync that succeeds doesn't prove that the bytes are on disk.
  if (m_lastError.m_kind != StorageErrorKind::None) {
    return false;
  }
  if (!m_pendingFrames.empty() && !m_file->Append(m_pendingFrames)) {
    return Fail(StorageErrorKind::WriteFailed, m_fileBytes);
  }
  if (!m_file->Sync()) {
    return Fail(StorageErrorKind::SyncFailed, m_fileBytes);
  }
  m_fileBytes += m_pendingFrames.size();
  m_pendingFrames.clear();
  return true;
}

bool RecordLog::Recover()
{
  if (m_lastError.m_kind == StorageErrorKind::None) {
    return true;
  }
  m_pendingFrames.clear();
  const std::string content = m_fileSystem.Read(m_name).value_or("");
  if (m_lastError.m_kind == StorageErrorKind::WriteFailed) {
    // A part of the last frames may have been written. Truncating needs no
    // room.
    if (!m_fileSystem.Truncate(m_name, m_fileBytes)) {
      return false;
    }
  } else {
    // After a failed sync, the next one may succeed without having written what
    // the first one lost. Only a new file proves what is on disk.
    const size_t kept = std::min<size_t>(content.size(), m_fileBytes);
    if (m_fileSystem.ReplaceFile(m_name, content.substr(0, kept)) !=
        ReplaceResult::Replaced) {
      return false;
    }
  }
  if (!OpenForAppend()) {
    return false;
  }
  m_lastError = {};
  return true;
}

ReplaceResult RecordLog::Rewrite(const std::vector<std::string>& aPayloads)
{
  if (m_lastError.m_kind != StorageErrorKind::None) {
    return ReplaceResult::Uncertain;
  }
  std::string content;
  for (const std::string& payload : aPayloads) {
    content += EncodeFrame(payload);
  }
  const ReplaceResult result = m_fileSystem.ReplaceFile(m_name, content);
  if (result == ReplaceResult::Unchanged) {
    return result;
  }
  m_fileBytes = content.size();
  m_pendingFrames.clear();
  if (result == ReplaceResult::Uncertain) {
    Fail(StorageErrorKind::SyncFailed, 0);
    return result;
  }
  return OpenForAppend() ? ReplaceResult::Replaced : ReplaceResult::Uncertain;
}

} // namespace celeryspread
