#include "storage/replica_store.h"

#include "core/key_hash.h"
#include "wire/codec.h"

namespace celeryspread {

namespace {

constexpr const char* kLogFileName = "log";
constexpr const char* kSnapshotFileName = "snapshot";
/// Digits of the largest 64-bit checksum.
constexpr size_t kChecksumWidth = 20;

/// Returns the checksum as a decimal of fixed width. It stands in front of the
/// encoded snapshot in the file.
std::string ChecksumText(std::string_view aBytes)
{
  std::string text = std::to_string(ContentHash(aBytes));
  return std::string(kChecksumWidth - text.size(), '0') + text;
}

} // namespace

ReplicaStore::ReplicaStore(FileSystem& aFileSystem)
  : m_fileSystem(aFileSystem)
  , m_log(aFileSystem, kLogFileName)
{
}

bool ReplicaStore::Fail(const StorageError& aError)
{
  m_lastError = aError;
  return false;
}

bool ReplicaStore::Open()
{
  m_lastError = {};
  m_identity = ReplicaId();
  m_initialState = RaftInitialState();
  if (const auto stored = m_fileSystem.Read(kSnapshotFileName)) {
    const std::string_view bytes(*stored);
    const bool isValid = bytes.size() >= kChecksumWidth &&
                         ChecksumText(bytes.substr(kChecksumWidth)) ==
                           bytes.substr(0, kChecksumWidth);
    const auto snapshot =
      isValid ? DecodeSnapshot(bytes.substr(kChecksumWidth)) : std::nullopt;
    if (!snapshot) {
      return Fail({ StorageErrorKind::Corrupt, kSnapshotFileName, 0 });
    }
    m_initialState.m_snapshot = *snapshot;
  }
  const auto records = m_log.Open();
  if (!records) {
    return Fail(m_log.LastError());
  }
  for (const std::string& record : *records) {
    if (!ApplyRecord(record)) {
      return Fail({ StorageErrorKind::Corrupt, kLogFileName, 0 });
    }
  }
  m_hardState = m_initialState.m_hardState;
  return true;
}

bool ReplicaStore::ApplyRecord(const std::string& aRecord)
{
  std::optional<StoredRecord> record = DecodeRecord(aRecord);
  if (!record) {
    return false;
  }
  if (auto* entry = std::get_if<LogEntry>(&*record)) {
    AddEntry(std::move(*entry));
  } else if (const auto* hardState = std::get_if<HardState>(&*record)) {
    m_initialState.m_hardState = *hardState;
  } else {
    m_identity = std::get<ReplicaIdentity>(*record).m_replica;
  }
  return true;
}

void ReplicaStore::AddEntry(LogEntry aEntry)
{
  // A crash after the snapshot was written, but before the log was rewritten,
  // leaves entries in the log that the snapshot covers.
  if (aEntry.m_index <= m_initialState.m_snapshot.m_index) {
    return;
  }
  // An entry replaces all stored entries from its index on.
  auto& entries = m_initialState.m_entries;
  while (!entries.empty() && entries.back().m_index >= aEntry.m_index) {
    entries.pop_back();
  }
  entries.push_back(std::move(aEntry));
}

bool ReplicaStore::Format(const ReplicaId& aIdentity,
                          const Snapshot& aInitialSnapshot)
{
  m_identity = aIdentity;
  m_initialState = RaftInitialState();
  m_initialState.m_snapshot = aInitialSnapshot;
  return SaveSnapshot(aInitialSnapshot, {}) == SaveResult::Saved;
}

bool ReplicaStore::Discard()
{
  // The identity is in the log. Without it, the snapshot that stays is never
  // read, whereas a log without its snapshot would be.
  if (m_log.Rewrite({}) != ReplaceResult::Replaced) {
    return false;
  }
  m_identity = ReplicaId();
  m_hardState = HardState();
  return true;
}

bool ReplicaStore::Store(const RaftReady& aReady)
{
  if (m_lastError.m_kind != StorageErrorKind::None) {
    return false;
  }
  if (aReady.m_hardState) {
    m_hardState = *aReady.m_hardState;
  }
  if (aReady.m_snapshot) {
    return SaveSnapshot(*aReady.m_snapshot, aReady.m_entries) ==
           SaveResult::Saved;
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

bool ReplicaStore::Recover()
{
  if (!m_log.Recover()) {
    return false;
  }
  m_lastError = {};
  return true;
}

SaveResult ReplicaStore::SaveSnapshot(
  const Snapshot& aSnapshot,
  const std::vector<LogEntry>& aRemainingEntries)
{
  if (m_lastError.m_kind != StorageErrorKind::None) {
    return SaveResult::Failed;
  }
  const std::string bytes = EncodeSnapshot(aSnapshot);
  // A snapshot whose log can't be rewritten does no harm, nor does one that a
  // crash may undo while the log is as it was: both are made again.
  if (m_fileSystem.ReplaceFile(kSnapshotFileName,
                               ChecksumText(bytes) + bytes) !=
      ReplaceResult::Replaced) {
    return SaveResult::Postponed;
  }
  std::vector<std::string> records = {
    EncodeRecord(ReplicaIdentity{ m_identity }), EncodeRecord(m_hardState)
  };
  for (const LogEntry& entry : aRemainingEntries) {
    records.push_back(EncodeRecord(entry));
  }
  switch (m_log.Rewrite(records)) {
    case ReplaceResult::Replaced:
      return SaveResult::Saved;
    case ReplaceResult::Unchanged:
      return SaveResult::Postponed;
    case ReplaceResult::Uncertain:
      Fail(m_log.LastError());
      break;
  }
  return SaveResult::Failed;
}

} // namespace celeryspread
