@0xb4d2f1c9a7e35608;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("celeryspread::wire");

struct ReplicaEntry {
  replica @0 :Text;
  instance @1 :Text;
  address @2 :Text;
  port @3 :UInt16;
}

struct ReplicaSet {
  voters @0 :List(ReplicaEntry);
  learners @1 :List(ReplicaEntry);
  removed @2 :List(Text);
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  payload @3 :Data;
  replicas @4 :ReplicaSet;
}

struct Snapshot {
  index @0 :UInt64;
  term @1 :UInt64;
  replicas @2 :ReplicaSet;
  state @3 :Data;
}

struct RaftMessage {
  kind @0 :UInt8;
  from @1 :Text;
  to @2 :Text;
  term @3 :UInt64;
  index @4 :UInt64;
  indexTerm @5 :UInt64;
  commit @6 :UInt64;
  entries @7 :List(LogEntry);
  isGranted @8 :Bool;
  hint @9 :UInt64;
  sentAtMicros @10 :Int64;
  snapshot @11 :Snapshot;
}

# One record of a replica's log file.
struct StoredRecord {
  union {
    entry @0 :LogEntry;
    hardState :group {
      term @1 :UInt64;
      votedFor @2 :Text;
    }
    identity :group {
      replica @3 :Text;
    }
  }
}

struct StoredAnswer {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;
}

struct ClaimRequest {
  service @0 :Text;
  key @1 :Text;
  bodyHash @2 :UInt64;
  attemptId @3 :Text;
  retentionMicros @4 :Int64;
}

# A command of the replicated log.
struct Command {
  nowMicros @0 :Int64;
  union {
    settingsChange @1 :SettingsChange;
    claim @2 :ClaimRequest;
    closeClaim @3 :CloseClaim;
    settleClaim @4 :SettleClaim;
  }
}

struct SettingsChange {
  changeId @0 :Text;
  operator @1 :Text;
  expectedRevision @2 :UInt64;
  patch @3 :Text;
}

struct CloseClaim {
  request @0 :ClaimRequest;
  outcome @1 :UInt8;
  answer @2 :StoredAnswer;
}

struct SettleClaim {
  service @0 :Text;
  key @1 :Text;
  operator @2 :Text;
  reason @3 :Text;
  hasRun @4 :Bool;
}

struct StoredChange {
  changeId @0 :Text;
  operator @1 :Text;
  revision @2 :UInt64;
  patch @3 :Text;
  atMicros @4 :Int64;
}

struct StoredClaim {
  request @0 :ClaimRequest;
  state @1 :UInt8;
  answer @2 :StoredAnswer;
  expiresAtMicros @3 :Int64;
  settledBy @4 :Text;
  settledReason @5 :Text;
}

# Contents of a snapshot.
struct StateImage {
  revision @0 :UInt64;
  tree @1 :Text;
  changes @2 :List(StoredChange);
  claims @3 :List(StoredClaim);
  expiredUpToMicros @4 :Int64;
}

struct FetchRequest {
  afterRevision @0 :UInt64;
  # Answer only when the node can prove that nothing newer is committed.
  mustBeLatest @1 :Bool;
  instance @2 :Text;
  failureDomain @3 :Text;
}

struct FetchReply {
  isCurrent @0 :Bool;
  revision @1 :UInt64;
  # The changes after the asked revision, or the whole tree when they are gone.
  changes @2 :List(StoredChange);
  tree @3 :Text;
}

struct AdminRequest {
  method @0 :Text;
  path @1 :Text;
  query @2 :Text;
  authorization @3 :Text;
  body @4 :Data;
  # Set when a follower passes the request to the leader.
  isForwarded @5 :Bool;
}

struct AdminReply {
  status @0 :UInt16;
  body @1 :Data;
}

struct ClaimReply {
  verdict @0 :UInt8;
  answer @1 :StoredAnswer;
}

struct KnownInstance {
  instance @0 :Text;
  failureDomain @1 :Text;
  revision @2 :UInt64;
}

interface ControlNode {
  ping @0 () -> ();
  raft @1 (message :RaftMessage, from :ReplicaEntry) -> ();
  fetch @2 (request :FetchRequest) -> (reply :FetchReply);
  admin @3 (request :AdminRequest) -> (reply :AdminReply);
  claim @4 (request :ClaimRequest, isForwarded :Bool) -> (reply :ClaimReply);
  closeClaim @5 (close :CloseClaim, isForwarded :Bool) -> (isDurable :Bool);
  join @6 (replica :ReplicaEntry) -> (isAccepted :Bool);
  # A follower tells the leader which entries follow settings through it.
  reportInstances @7 (instances :List(KnownInstance)) -> ();
}

# What a new connection gets first: the node only for a proof of the key.
interface Gate {
  challenge @0 () -> (nonce :Data);
  enter @1 (proof :Data) -> (node :ControlNode);
}
