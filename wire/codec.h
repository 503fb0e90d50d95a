#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "consensus/raft_types.h"
#include "wire/celeryspread.capnp.h"

namespace celeryspread {

/// Identifies the replica that a data folder belongs to.
struct ReplicaIdentity
{
  ReplicaId m_replica;
};

/// One record of a replica's log file.
using StoredRecord = std::variant<LogEntry, HardState, ReplicaIdentity>;

/// Largest message accepted from a peer or the disk.
/// @unit words of 8 bytes.
constexpr uint64_t kMaxMessageWords = 64ULL * 1024 * 1024 / 8;

/// Fills a wire replica set. @pre none. @thread any.
void WriteReplicaSet(const ReplicaSet& aSet, wire::ReplicaSet::Builder aOut);
/// Reads a wire replica set. @pre none. @thread any.
ReplicaSet ReadReplicaSet(wire::ReplicaSet::Reader aIn);
/// Fills a wire log entry. @pre none. @thread any.
void WriteLogEntry(const LogEntry& aEntry, wire::LogEntry::Builder aOut);
/// Reads a wire log entry. @pre none. @thread any.
LogEntry ReadLogEntry(wire::LogEntry::Reader aIn);
/// Fills a wire snapshot. @pre none. @thread any.
void WriteSnapshot(const Snapshot& aSnapshot, wire::Snapshot::Builder aOut);
/// Reads a wire snapshot. @pre none. @thread any.
Snapshot ReadSnapshot(wire::Snapshot::Reader aIn);
/// Fills a wire Raft message. @pre none. @thread any.
void WriteRaftMessage(const RaftMessage& aMessage,
                      wire::RaftMessage::Builder aOut);
/// Reads a wire Raft message. @pre none. @thread any.
/// @error empty when the kind is unknown.
std::optional<RaftMessage> ReadRaftMessage(wire::RaftMessage::Reader aIn);

/// Serializes a record. @pre none. @thread any.
std::string EncodeRecord(const StoredRecord& aRecord);
/// Parses a record. @pre none. @thread any. @error empty when malformed.
std::optional<StoredRecord> DecodeRecord(std::string_view aBytes);
/// Serializes a snapshot. @pre none. @thread any.
std::string EncodeSnapshot(const Snapshot& aSnapshot);
/// Parses a snapshot. @pre none. @thread any. @error empty when malformed.
std::optional<Snapshot> DecodeSnapshot(std::string_view aBytes);

} // namespace celeryspread
