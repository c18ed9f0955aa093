# The frames that two nodes exchange on a link, which carries calls from one
# node to the local upstream instance of the other. src/mesh/link_frames.h
# describes the fields, and src/mesh/link_codec.h the framing of the messages.
@0xb85a09c6e1f3d742;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("verbenastile::wire");

struct LinkFrame {
  callId @0 :UInt64;
  union {
    hello @1 :Hello;
    call @2 :Call;
    cancel @3 :Void;
    refusal @4 :Refusal;
    answer @5 :Answer;
    part @6 :Part;
    broken @7 :Broken;
    credit @8 :UInt32;
    ping @9 :Void;
    pong @10 :Load;
    member @11 :Member;
    configurationWanted @12 :HeldConfiguration;
    configuration @13 :ConfigurationDelta;
    suspicion @14 :Text;  # The name of the member.
    crashEvidence @15 :List(CrashEvidence);
    quotaNeeds @16 :List(QuotaNeed);
    quotaLoans @17 :List(QuotaLoan);
    rollouts @18 :List(RolloutReport);
    quotaPartRequest @19 :QuotaPartRequest;
    quotaPartGrant @20 :QuotaPartGrant;
    quotaPartChanged @21 :Void;
    instanceNotice @22 :InstanceNotice;
    memberKnown @23 :UInt64;  # The sequence of the record.
    membersWanted @24 :Void;
    members @25 :Members;
  }
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Load {
  busy @0 :UInt32;
  queued @1 :UInt32;
  generation @2 :UInt64;
  configurationAgeUs @3 :Int64 = -1;
  linkWaitUs @4 :UInt32;
  storeEra @5 :UInt64;
  rateLimitDelayUs @6 :UInt32;
  notice @7 :InstanceNotice;
  slownessPermille @8 :UInt32;
}

struct InstanceNotice {
  instance @0 :Text;
  rateLimit @1 :Float64 = -1;  # Negative: no limit.
  leaving @2 :Bool;
  startedMs @3 :UInt64;
}

struct CrashEvidence {
  requestHigh @0 :UInt64;
  requestLow @1 :UInt64;
  clearances @2 :UInt64;
  convicted @3 :Bool;
  crashes @4 :List(Crash);
}

struct Crash {
  node @0 :Text;
  number @1 :UInt64;
}

struct QuotaNeed {
  group @0 :Text;
  waiting @1 :UInt32;
  held @2 :UInt32;
  returned @3 :UInt32;
  spareUsed @4 :UInt32;
  demandMilli @5 :UInt32;
  ratePerSecond @6 :Float64;
  burst @7 :Float64;
  generation @8 :UInt64;
}

struct QuotaLoan {
  group @0 :Text;
  tokens @1 :UInt32;
  spare @2 :UInt32;
  nextTokenInUs @3 :Int64;
  overloaded @4 :Bool;
  provisional @5 :Bool;
}

struct QuotaPartRequest {
  id @0 :UInt64;
  version @1 :UInt64;
  lifetimeUs @2 :UInt32;
  groups @3 :List(UInt64);
}

struct QuotaPartGrant {
  id @0 :UInt64;
  granted @1 :Bool;
  base @2 :UInt64;
  version @3 :UInt64;
  added @4 :List(UInt64);
  removed @5 :List(UInt64);
  freeForUs @6 :UInt32;
  owners @7 :List(UInt8);
}

# One without a service is about all orders: `recorded` says that the others are
# all that the store had `remainingUs` ago, otherwise it asks for them.
struct RolloutReport {
  service @0 :Text;
  targetVersion @1 :Text;
  durationUs @2 :Int64;
  revision @3 :Int64;
  remainingUs @4 :Int64;
  state @5 :UInt8;
  node @6 :Text;
  incarnation @7 :UInt64;
  outcomes @8 :List(VersionOutcomes);
  id @9 :UInt64;
  era @10 :UInt64;
  recorded @11 :Bool;
  oldInFlight @12 :UInt32;
}

struct VersionOutcomes {
  rule @0 :Text;
  instance @1 :Text;
  full @2 :Bool;
  responses @3 :UInt64;
  failures @4 :UInt64;
  times @5 :List(UInt32);
  outside @6 :Bool;
}

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  state @3 :UInt8;
  serving @4 :Bool;
  failureDomain @5 :Text;
  region @6 :Text;
  service @7 :Text;
  linkIp @8 :Text;
  linkPort @9 :UInt16;
  slots @10 :UInt32;
  instance @11 :Text;
  instanceLeaving @12 :Bool;
  software @13 :Text;
  instanceStartedMs @14 :UInt64;
  ownsQuotaParts @15 :Bool;
  wantsConfirmation @16 :Bool;
  joinsOwners @17 :Bool;
}

struct Members {
  members @0 :List(Member);
  senderOwnsQuotaParts @1 :Bool;
  receiverOwnedQuotaParts @2 :Bool;
}

struct Hello {
  member @0 :Member;
  generation @1 :UInt64;
  configurationAgeUs @2 :Int64 = -1;
  storeEra @3 :UInt64;
}

struct HeldConfiguration {
  generation @0 :UInt64;
  digestHigh @1 :UInt64;
  digestLow @2 :UInt64;
}

struct ConfigurationDelta {
  base @0 :HeldConfiguration;
  to @1 :HeldConfiguration;
  bytes @2 :Data;
}

struct Call {
  service @0 :Text;
  callerService @1 :Text;
  requestId @2 :Text;
  method @3 :Text;
  target @4 :Text;
  headers @5 :List(Header);
  body @6 :Data;
  priority @7 :UInt8;
  remainingUs @8 :Int64;
  objectiveUs @9 :Int64;
  idempotent @10 :Bool;
  rule @11 :Text;
  onlyIfFree @12 :Bool;
  notice @13 :InstanceNotice;
  group @14 :Text;
  groupPriority @15 :UInt8 = 255;  # 255: the group has none.
}

struct Refusal {
  reason @0 :UInt8;
  comeBackUs @1 :Int64;
  load @2 :Load;
}

struct Answer {
  status @0 :UInt16;
  headers @1 :List(Header);
  length @2 :Int64;
  body @3 :Data;
  last @4 :Bool;
  load @5 :Load;
  waitedUs @6 :Int64;
}

struct Part {
  body @0 :Data;
  last @1 :Bool;
}

struct Broken {
  detail @0 :Text;
  load @1 :Load;
}
