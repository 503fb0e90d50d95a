#include "wire/codec.h"

#include "wire/message_bytes.h"

namespace celeryspread {

namespace {

using ReplicaEntryList = capnp::List<wire::ReplicaEntry>;

void WriteReplicas(const std::map<ReplicaId, ReplicaAddress>& aReplicas,
                   ReplicaEntryList::Builder aOut)
{
  unsigned index = 0;
  for (const auto& [id, address] : aReplicas) {
    auto entry = aOut[index++];
    entry.setReplica(id.Value());
    entry.setInstance(address.m_instance.Value());
    entry.setAddress(address.m_address);
    entry.setPort(address.m_port);
  }
}

std::map<ReplicaId, ReplicaAddress> ReadReplicas(ReplicaEntryList::Reader aIn)
{
  std::map<ReplicaId, ReplicaAddress> replicas;
  for (const auto entry : aIn) {
    replicas[ReplicaId(TextOf(entry.getReplica()))] = {
      InstanceId(TextOf(entry.getInstance())),
      TextOf(entry.getAddress()),
      entry.getPort()
    };
  }
  return replicas;
}

} // namespace

void WriteReplicaSet(const ReplicaSet& aSet, wire::ReplicaSet::Builder aOut)
{
  WriteReplicas(aSet.m_voters,
                aOut.initVoters(static_cast<unsigned>(aSet.m_voters.size())));
  WriteReplicas(
    aSet.m_learners,
    aOut.initLearners(static_cast<unsigned>(aSet.m_learners.size())));
  auto removed = aOut.initRemoved(static_cast<unsigned>(aSet.m_removed.size()));
  unsigned index = 0;
  for (const ReplicaId& id : aSet.m_removed) {
    removed.set(index++, id.Value());
  }
}

ReplicaSet ReadReplicaSet(wire::ReplicaSet::Reader aIn)
{
  ReplicaSet replicas;
  replicas.m_voters = ReadReplicas(aIn.getVoters());
  replicas.m_learners = ReadReplicas(aIn.getLearners());
  for (const auto id : aIn.getRemoved()) {
    replicas.m_removed.insert(ReplicaId(TextOf(id)));
  }
  return replicas;
}

void WriteLogEntry(const LogEntry& aEntry, wire::LogEntry::Builder aOut)
{
  aOut.setIndex(aEntry.m_index.Value());
  aOut.setTerm(aEntry.m_term.Value());
  aOut.setKind(static_cast<uint8_t>(aEntry.m_kind));
  aOut.setPayload(DataOf(aEntry.m_payload));
  if (aEntry.m_kind == EntryKind::ReplicaSet) {
    WriteReplicaSet(aEntry.m_replicas, aOut.initReplicas());
  }
}

LogEntry ReadLogEntry(wire::LogEntry::Reader aIn)
{
  LogEntry entry;
  entry.m_index = LogIndex(aIn.getIndex());
  entry.m_term = Term(aIn.getTerm());
  entry.m_kind = static_cast<EntryKind>(aIn.getKind());
  entry.m_payload = BytesOf(aIn.getPayload());
  if (entry.m_kind == EntryKind::ReplicaSet) {
    entry.m_replicas = ReadReplicaSet(aIn.getReplicas());
  }
  return entry;
}

void WriteSnapshot(const Snapshot& aSnapshot, wire::Snapshot::Builder aOut)
{
  aOut.setIndex(aSnapshot.m_index.Value());
  aOut.setTerm(aSnapshot.m_term.Value());
  WriteReplicaSet(aSnapshot.m_replicas, aOut.initReplicas());
  aOut.setState(DataOf(aSnapshot.m_state));
}

Snapshot ReadSnapshot(wire::Snapshot::Reader aIn)
{
  Snapshot snapshot;
  snapshot.m_index = LogIndex(aIn.getIndex());
  snapshot.m_term = Term(aIn.getTerm());
  snapshot.m_replicas = ReadReplicaSet(aIn.getReplicas());
  snapshot.m_state = BytesOf(aIn.getState());
  return snapshot;
}

void WriteRaftMessage(const RaftMessage& aMessage,
                      wire::RaftMessage::Builder aOut)
{
  aOut.setKind(static_cast<uint8_t>(aMessage.m_kind));
  aOut.setFrom(aMessage.m_from.Value());
  aOut.setTo(aMessage.m_to.Value());
  aOut.setTerm(aMessage.m_term.Value());
  aOut.setIndex(aMessage.m_index.Value());
  aOut.setIndexTerm(aMessage.m_indexTerm.Value());
  aOut.setCommit(aMessage.m_commit.Value());
  aOut.setIsGranted(aMessage.m_isGranted);
  aOut.setHint(aMessage.m_rejectHint.Value());
  aOut.setSentAtMicros(aMessage.m_sentAt.time_since_epoch().count());
  auto entries =
    aOut.initEntries(static_cast<unsigned>(aMessage.m_entries.size()));
  for (unsigned i = 0; i < entries.size(); ++i) {
    WriteLogEntry(aMessage.m_entries[i], entries[i]);
  }
  if (aMessage.m_snapshot) {
    WriteSnapshot(*aMessage.m_snapshot, aOut.initSnapshot());
  }
}

std::optional<RaftMessage> ReadRaftMessage(wire::RaftMessage::Reader aIn)
{
  constexpr auto kLastKind =
    static_cast<uint8_t>(RaftMessageKind::InstallSnapshot);
  if (aIn.getKind() > kLastKind) {
    return std::nullopt;
  }
  RaftMessage message;
  message.m_kind = static_cast<RaftMessageKind>(aIn.getKind());
  message.m_from = ReplicaId(TextOf(aIn.getFrom()));
  message.m_to = ReplicaId(TextOf(aIn.getTo()));
  message.m_term = Term(aIn.getTerm());
  message.m_index = LogIndex(aIn.getIndex());
  message.m_indexTerm = Term(aIn.getIndexTerm());
  message.m_commit = LogIndex(aIn.getCommit());
  message.m_isGranted = aIn.getIsGranted();
  message.m_rejectHint = LogIndex(aIn.getHint());
  message.m_sentAt = TimePoint(Duration(aIn.getSentAtMicros()));
  for (const auto entry : aIn.getEntries()) {
    message.m_entries.push_back(ReadLogEntry(entry));
  }
  if (aIn.hasSnapshot()) {
    message.m_snapshot = ReadSnapshot(aIn.getSnapshot());
  }
  return message;
}

std::string EncodeRecord(const StoredRecord& aRecord)
{
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<wire::StoredRecord>();
  if (const auto* entry = std::get_if<LogEntry>(&aRecord)) {
    WriteLogEntry(*entry, out.initEntry());
  } else if (const auto* hardState = std::get_if<HardState>(&aRecord)) {
    auto state = out.initHardState();
    state.setTerm(hardState->m_term.Value());
    state.setVotedFor(hardState->m_votedFor.Value());
  } else {
    out.initIdentity().setReplica(
      std::get<ReplicaIdentity>(aRecord).m_replica.Value());
  }
  return FlatBytes(message);
}

std::optional<StoredRecord> DecodeRecord(std::string_view aBytes)
{
  return ReadFlat<wire::StoredRecord>(
    aBytes,
    kMaxMessageWords,
    [](wire::StoredRecord::Reader aIn) -> StoredRecord {
      switch (aIn.which()) {
        case wire::StoredRecord::ENTRY:
          return ReadLogEntry(aIn.getEntry());
        case wire::StoredRecord::HARD_STATE:
          return HardState{ Term(aIn.getHardState().getTerm()),
                            ReplicaId(
                              TextOf(aIn.getHardState().getVotedFor())) };
        case wire::StoredRecord::IDENTITY:
          break;
      }
      return ReplicaIdentity{ ReplicaId(
        TextOf(aIn.getIdentity().getReplica())) };
    });
}

std::string EncodeSnapshot(const Snapshot& aSnapshot)
{
  capnp::MallocMessageBuilder message;
  WriteSnapshot(aSnapshot, message.initRoot<wire::Snapshot>());
  return FlatBytes(message);
}

std::optional<Snapshot> DecodeSnapshot(std::string_view aBytes)
{
  return ReadFlat<wire::Snapshot>(
    aBytes, kMaxMessageWords, [](wire::Snapshot::Reader aIn) {
      return ReadSnapshot(aIn);
    });
}

} // namespace celeryspread
