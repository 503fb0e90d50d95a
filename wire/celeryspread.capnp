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

# The HTTP response to an idempotent call.
struct StoredAnswer {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;
}

# Claims an idempotency key for one attempt of a call.
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
    routeChange @5 :RouteChange;
    poolVersions @6 :PoolVersions;
  }
}

# Software versions at which streams of a pool may have begun whose callers may
# still ask for the rest. Replaces the record of the pool.
struct PoolVersions {
  pool @0 :Text;
  versions @1 :List(Text);
}

# A whole route configuration; the operator assigns its version.
struct RouteChange {
  version @0 :UInt64;
  document @1 :Data;
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
  routes @5 :RouteChange;
  poolVersions @6 :List(PoolVersions);
}

struct FetchRequest {
  afterRevision @0 :UInt64;
  # Requests a proof that nothing newer is committed; isCurrent in the reply
  # says whether it succeeded.
  mustBeLatest @1 :Bool;
  instance @2 :Text;
  failureDomain @3 :Text;
}

struct FetchReply {
  isCurrent @0 :Bool;
  revision @1 :UInt64;
  # The changes after the requested revision, or the whole tree when the node
  # no longer keeps those changes.
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

struct EngineModel {
  name @0 :Text;
  version @1 :UInt64;
  adapters @2 :List(Text);
}

# State of one engine in the engine directory. An entry instance removes an
# engine whose isGone is set.
struct EngineEntry {
  id @0 :Text;
  pool @1 :Text;
  address @2 :Text;
  port @3 :UInt16;
  failureDomain @4 :Text;
  slots @5 :UInt32;
  isLeaving @6 :Bool;
  isGone @7 :Bool;
  models @8 :List(EngineModel);
  # Requests a second that the engine takes from all entries; 0 for no limit.
  rateLimit @9 :Float64;
  # Version of the engine's software; empty if it is not known.
  softwareVersion @10 :Text;
}

# Demand for one model or adapter since the last report.
struct DemandEntry {
  pool @0 :Text;
  model @1 :Text;
  adapter @2 :Text;
  calls @3 :UInt32;
  # Total time that the calls spent at engines.
  workMicros @4 :UInt64;
  # Expected time that engines need to read the prompts of the calls.
  prefillMicros @5 :UInt64;
}

# An entry that takes calls which other entries forward to it.
struct PeerEntry {
  instance @0 :Text;
  # Where it takes them.
  address @1 :Text;
  port @2 :UInt16;
  failureDomain @3 :Text;
}

struct FollowRequest {
  instance @0 :Text;
  failureDomain @1 :Text;
  routeVersion @2 :UInt64;
  # Versions of the engine directory are comparable within one epoch only,
  # which is the leader's term.
  epoch @3 :UInt64;
  directoryVersion @4 :UInt64;
  demand @5 :List(DemandEntry);
  # Engines on which several attempts in a row got no answer.
  failingEngines @6 :List(Text);
  # Whether the sender is a control instance that relays the directory to the
  # entries of its failure domain, and how many entries follow it.
  isRelay @7 :Bool;
  relayedEntries @8 :UInt32;
  # The list of suspect prompt parts that the sender has.
  suspectEpoch @9 :UInt64;
  suspectVersion @10 :UInt64;
  # Largest route document that the answer may carry; a larger one is read with
  # readRoutes. 0 for any size.
  maxRouteBytes @11 :UInt32;
  # Version of the route document that the sender has, against which a newer one
  # may be compressed; 0 for none. Older than routeVersion while a document is
  # being read with readRoutes.
  routeBase @12 :UInt64;
  # Whether the sender takes compressed documents.
  acceptsEncodedRoutes @13 :Bool;
  # Where the entry that sends this takes forwarded calls; port 0 while it takes
  # none.
  forwardAddress @14 :Text;
  forwardPort @15 :UInt16;
  # Entries that follow the relay that sends this and take forwarded calls; null
  # if the relay reports none of them this time.
  peers @16 :List(PeerEntry);
}

# A piece of a route document. Pieces of one version belong to one document.
struct RoutePiece {
  version @0 :UInt64;
  # Bytes of the whole document.
  totalBytes @1 :UInt64;
  offset @2 :UInt64;
  bytes @3 :Data;
  # Whether the bytes are compressed, and against which version; 0 for none.
  base @4 :UInt64;
  isEncoded @5 :Bool;
}

# A prompt part under which engines ended. Ages are -1 for never.
struct SuspectPart {
  part @0 :Text;
  # Engines that ended since the last sound answer.
  crashes @1 :UInt32;
  lastCrashAgeMicros @2 :Int64;
  soundAgeMicros @3 :Int64;
  trialAgeMicros @4 :Int64;
  isHeld @5 :Bool;
  # Trial calls that were permitted since it was held back.
  trials @6 :UInt32;
}

struct SuspectCall {
  parts @0 :List(Text);
}

# An engine that ended, and the calls that may be the reason.
struct CrashRecord {
  engine @0 :Text;
  ageMicros @1 :Int64;
  # Calls whose answers had begun.
  calls @2 :List(SuspectCall);
  # Calls without any byte of an answer.
  unansweredCalls @3 :List(SuspectCall);
}

struct SoundPart {
  part @0 :Text;
  ageMicros @1 :Int64;
}

struct CrashReport {
  crashes @0 :List(CrashRecord);
  sound @1 :List(SoundPart);
  # Parts that an earlier owner held back.
  carried @2 :List(SuspectPart);
}

# A control instance that answers follow calls with a directory. Entries follow
# the one in their own failure domain.
struct RelayEntry {
  address @0 :Text;
  failureDomain @1 :Text;
}

struct FollowReply {
  isLeader @0 :Bool;
  leader @1 :ReplicaEntry;
  controls @2 :List(ReplicaEntry);
  # Set when newer than the request's routeVersion, and not too large for it.
  routes @3 :RouteChange;
  epoch @4 :UInt64;
  directoryVersion @5 :UInt64;
  # Whether engines replaces the entry's directory or only updates it.
  isWhole @6 :Bool;
  engines @7 :List(EngineEntry);
  # Number of entry instances that follow the leader; they divide the retry
  # budget among themselves. 0 while a new leader may not know all of them.
  entryCount @8 :UInt32;
  # False from a new leader that does not know the engines yet, and from a
  # follower whose copy of the directory may be outdated. A follower with a
  # recent copy sets it while isLeader is false.
  hasDirectory @9 :Bool;
  relays @10 :List(RelayEntry);
  # Whether suspects replaces the list that the sender of the request has.
  hasSuspects @11 :Bool;
  suspectEpoch @12 :UInt64;
  suspectVersion @13 :UInt64;
  suspects @14 :List(SuspectPart);
  # Time since the owner began to read the list of engines that the directory
  # shows, without the time on the way of this message; negative when unknown.
  listAgeMicros @15 :Int64 = -1;
  # The newest route version that is committed, and the time since the owner was
  # asked for it, without the time on the way of this message; the age is negative
  # if the sender can't prove it.
  provenRouteVersion @16 :UInt64;
  routeProofAgeMicros @17 :Int64 = -1;
  # The newest route version that the sender has. It may be older than the proved
  # one while its replica lags.
  offeredRouteVersion @18 :UInt64;
  # Whether the document in routes is compressed, and against which version; 0
  # for none.
  routesEncoded @19 :Bool;
  routesBase @20 :UInt64;
  # Whether engines of several software versions serve some pool, so that the
  # sender has to be told where streams begin.
  recordsStreams @21 :Bool;
  # Whether peers replaces the list that the sender of the request has.
  hasPeers @22 :Bool;
  # Some of the other entries that take forwarded calls.
  peers @23 :List(PeerEntry);
}

# Where streams began, with positions in the list of versions.
struct StreamRecord {
  stream @0 :UInt64;
  version @1 :UInt16;
}

struct StreamReport {
  versions @0 :List(Text);
  streams @1 :List(StreamRecord);
}

struct StreamAnswer {
  # Whether the sender knows where the stream began.
  isKnown @0 :Bool;
  version @1 :Text;
  # The versions at which any stream of the pool may have begun, if the sender
  # can prove that it knows all of them.
  hasPoolVersions @2 :Bool;
  poolVersions @3 :List(Text);
}

# What an entry asks of one team's quota. All amounts are in units of the quota:
# tokens or calls.
struct QuotaDemand {
  team @0 :Text;
  # Costs of the calls that wait for the answer, in their order.
  needed @1 :List(UInt64);
  # What the entry would like to hold on top for calls to come, and the least that
  # is of use.
  wanted @2 :UInt64;
  least @3 :UInt64;
  # Unspent amount of earlier grants.
  held @4 :UInt64;
  # Amount that the entry used in the last window; for a new owner.
  used @5 :UInt64;
  # All that the process used without an owner.
  usedAlone @6 :UInt64;
  # Unspent amount of earlier grants that the entry gives back with this request.
  returned @7 :UInt64;
  # Ranks of the calls that wait, 0 for the most urgent, as many as costs.
  ranks @8 :List(UInt32);
}

struct QuotaRequest {
  instance @0 :Text;
  # Random number of the entry's process.
  process @1 :UInt64;
  # Number of the request in that process; an owner ignores one that arrives after
  # a later one.
  sequence @2 :UInt64;
  # Whether teams contains all that the entry used in the last window.
  reportsUse @3 :Bool;
  # All teams that have a need, or of which the entry holds or held something.
  teams @4 :List(QuotaDemand);
  # Number of the last request whose answer has come; 0 for none.
  answered @5 :UInt64;
}

struct QuotaGrant {
  team @0 :Text;
  granted @1 :UInt64;
  # Whether the cost of a waiting call was denied, and after which time it will be
  # there.
  isDenied @2 :Bool;
  retryAfterMicros @3 :Int64;
  # Whether calls of the team were denied a moment ago, here or elsewhere.
  isScarce @4 :Bool;
  # The most urgent rank that was denied.
  deniedRank @5 :UInt32;
}

struct QuotaReply {
  # Number of entries that share the quotas; 0 while unknown.
  entryCount @0 :UInt32;
  grants @1 :List(QuotaGrant);
  # Term of the owner, and the window of the quotas.
  epoch @2 :UInt64;
  windowMicros @3 :Int64;
}

struct AdapterRequest {
  pool @0 :Text;
  model @1 :Text;
  adapter @2 :Text;
  failureDomain @3 :Text;
  # The engine that the caller prefers; empty for any.
  engine @4 :Text;
}

interface ControlNode {
  ping @0 () -> ();
  raft @1 (message :RaftMessage, from :ReplicaEntry) -> ();
  fetch @2 (request :FetchRequest) -> (reply :FetchReply);
  admin @3 (request :AdminRequest) -> (reply :AdminReply);
  claim @4 (request :ClaimRequest, isForwarded :Bool) -> (reply :ClaimReply);
  closeClaim @5 (close :CloseClaim, isForwarded :Bool) -> (isDurable :Bool);
  # Asks to add a replica. A follower forwards it to the leader, once.
  join @6 (replica :ReplicaEntry, isForwarded :Bool)
    -> (isAccepted :Bool, isRemoved :Bool);
  # A follower reports to the leader which instances fetch settings from it.
  reportInstances @7 (instances :List(KnownInstance)) -> ();
  # Replies once there is an update for the entry, or after a timeout.
  follow @8 (request :FollowRequest) -> (reply :FollowReply);
  # Requests that the leader loads an adapter; returns the engine that has it.
  loadAdapter @9 (request :AdapterRequest) -> (engine :Text);
  # Reports crashes of engines to the owner; returns the version of its list of
  # suspect parts from which on the report is taken into account.
  reportCrashes @10 (report :CrashReport) -> (epoch :UInt64, version :UInt64);
  # Asks the owner for permission to send one call with a part that is held
  # back.
  requestTrial @11 (part :Text) -> (isPermitted :Bool);
  # Asks the owner whether one request may be sent to an engine that takes
  # rateLimit requests a second from all entries.
  takeRate @12 (engine :Text, rateLimit :Float64)
    -> (isGranted :Bool, retryAfterMicros :Int64);
  # Tells the owner that an engine no longer limits its requests.
  endRateLimit @13 (engine :Text) -> ();
  # Takes from the quotas of teams at the owner.
  takeQuota @14 (request :QuotaRequest) -> (reply :QuotaReply);
  # Returns a piece of a route document: of the named version if the instance
  # still has it, else the first piece of the newest one, as for version 0. The
  # base is the version that the caller has, against which an encoded document
  # may be compressed.
  readRoutes @15 (version :UInt64, offset :UInt64, base :UInt64,
                  isEncoded :Bool) -> (piece :RoutePiece);
  # Records where streams began.
  recordStreams @16 (report :StreamReport);
  # Tells where a stream of a pool began; 0 for a stream that is not named.
  findStream @17 (pool :Text, stream :UInt64) -> (answer :StreamAnswer);
}

# Bootstrap object of a connection: gives access to the node after a proof that
# the peer has the cluster key.
interface Gate {
  challenge @0 () -> (nonce :Data);
  enter @1 (proof :Data) -> (node :ControlNode);
}
