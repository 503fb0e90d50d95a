#include "storage/replica_store.h"

#include "core/key_hash.h"
#include "wire/codec.h"

namespace celeryspread {

namespace {

constexpr const char* kLogName = "log";
constexpr const char* kSnapshotName = "snapshot";
constexpr size_t kChecksumChars = 20;

/// Decimal checksum of fixed width, put before the snapshot's bytes.
std::string ChecksumText(std::string_view aBytes)
{
  std::string text = std::to_string(ContentHash(aBytes));
  return std::string(kChecksumChars - text.size(), '0') + text;
}

} // namespace

ReplicaStore::ReplicaStore(FileSystem& aFiles)
  : m_files(aFiles)
  , m_log(aFiles, kLogName)
{
}

bool ReplicaStore::Fail(const StorageError& aError)
{
  m_lastError = aError;
  return false;
}

bool ReplicaStore::Open()
{
  if (const auto stored = m_files.Read(kSnapshotName)) {
    const std::string_view bytes(*stored);
    const bool isWhole = bytes.size() >= kChecksumChars &&
                         ChecksumText(bytes.substr(kChecksumChars)) ==
                           bytes.substr(0, kChecksumChars);
    const auto snapshot =
      isWhole ? DecodeSnapshot(bytes.substr(kChecksumChars)) : std::nullopt;
    if (!snapshot) {
      return Fail({ StorageErrorKind::Corrupt, kSnapshotName, 0 });
    }
    m_initial.m_snapshot = *snapshot;
  }
  const auto records = m_log.Open();
  if (!records) {
    return Fail(m_log.LastError());
  }
  for (const std::string& record : *records) {
    if (!Apply(record)) {
      return Fail({ StorageErrorKind::Corrupt, kLogName, 0 });
    }
  }
  m_hard = m_initial.m_hardState;
  return true;
}

bool ReplicaStore::Apply(const std::string& aRecord)
{
  std::optional<StoredRecord> record = DecodeRecord(aRecord);
  if (!record) {
    return false;
  }
  if (auto* entry = std::get_if<LogEntry>(&*record)) {
    AddEntry(std::move(*entry));
  } else if (const auto* hard = std::get_if<HardState>(&*record)) {
    m_initial.m_hardState = *hard;
  } else {
    m_identity = std::get<ReplicaIdentity>(*record).m_replica;
  }
  return true;
}

void ReplicaStore::AddEntry(LogEntry aEntry)
{
  // A crash between snapshot and log rewrite leaves covered entries behind.
  if (aEntry.m_index <= m_initial.m_snapshot.m_index) {
    return;
  }
  auto& entries = m_initial.m_entries;
  while (!entries.empty() && entries.back().m_index >= aEntry.m_index) {
    entries.pop_back();
  }
  entries.push_back(std::move(aEntry));
}

bool ReplicaStore::Format(const ReplicaId& aIdentity, const Snapshot& aFirst)
{
  m_identity = aIdentity;
  m_initial = RaftInitialState();
  m_initial.m_snapshot = aFirst;
  return SaveSnapshot(aFirst, {});
}

bool ReplicaStore::Discard()
{
  m_hard = HardState();
  return Format(ReplicaId(), Snapshot());
}

bool ReplicaStore::Store(const RaftReady& aReady)
{
  if (m_lastError.m_kind != StorageErrorKind::None) {
    return false;
  }
  if (aReady.m_hardState) {
    m_hard = *aReady.m_hardState;
  }
  if (aReady.m_snapshot) {
    return SaveSnapshot(*aReady.m_snapshot, aReady.m_entries);
  }
  if (!aReady.NeedsSync()) {
    return true;
  }
  bool isWritten = true;
  if (aReady.m_hardState) {
    isWritten = m_log.Append(EncodeRecord(*aReady.m_hardState));
  }
  for (const LogEntry& entry : aReady.m_entries) {
    isWritten = isWritten && m_log.Append(EncodeRecord(entry));
  }
  if (!isWritten || !m_log.Sync()) {
    return Fail(m_log.LastError());
  }
  return true;
}

bool ReplicaStore::SaveSnapshot(const Snapshot& aSnapshot,
                                const std::vector<LogEntry>& aRest)
{
  if (m_lastError.m_kind != StorageErrorKind::None) {
    return false;
  }
  const std::string bytes = EncodeSnapshot(aSnapshot);
  if (!m_files.ReplaceWhole(kSnapshotName, ChecksumText(bytes) + bytes)) {
    return Fail({ StorageErrorKind::WriteFailed, kSnapshotName, 0 });
  }
  std::vector<std::string> records = {
    EncodeRecord(ReplicaIdentity{ m_identity }), EncodeRecord(m_hard)
  };
  for (const LogEntry& entry : aRest) {
    records.push_back(EncodeRecord(entry));
  }
  if (!m_log.Rewrite(records)) {
    return Fail(m_log.LastError());
  }
  return true;
}

} // namespace celeryspread
