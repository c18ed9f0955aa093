@0xb7c3a1f2d9e84c55;
# Messages that nodes exchange over TCP on the control address. Each frame on a
# connection is its length, followed by one Frame in packed encoding.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("verbenastile::wire");

struct Digest {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Version {
  generation @0 :UInt64;
  high @1 :UInt64;
  low @2 :UInt64;
}

struct Hello {
  name @0 :Text;
  failureDomain @1 :Text;
  ip @2 :Text;
  port @3 :UInt16;
}

struct Summary {
  held @0 :Version;
  answerWanted @1 :Bool;
}

struct Ask {
  form @0 :UInt8;
  held @1 :Version;
  wanted @2 :Version;
}

struct Item {
  kind @0 :UInt8;
  body @1 :Text;
}

struct Splice {
  baseBegin @0 :UInt32;
  baseCount @1 :UInt32;
  items @2 :List(Item);
}

struct Delta {
  from @0 :Version;
  to @1 :Version;
  splices @2 :List(Splice);
}

struct Digests {
  version @0 :Version;
  digests @1 :List(Digest);
}

struct ItemsAsk {
  version @0 :Version;
  indexes @1 :List(UInt32);
}

struct Items {
  version @0 :Version;
  items @1 :List(Item);
}

struct Count {
  generation @0 :UInt64;
  nodes @1 :UInt32;
}

struct Laggard {
  name @0 :Text;
  generation @1 :UInt64;
}

struct Report {
  failureDomain @0 :Text;
  newest @1 :UInt64;
  nodes @2 :UInt32;
  counts @3 :List(Count);
  laggards @4 :List(Laggard);
  refusedGeneration @5 :UInt64;
  refusal @6 :Text;
  refusedBy @7 :UInt32;
  otherHistory @8 :UInt32;
}

struct Contacts {
  peers @0 :List(Hello);
}

struct Frame {
  union {
    hello @0 :Hello;
    summary @1 :Summary;
    ask @2 :Ask;
    delta @3 :Delta;
    digests @4 :Digests;
    itemsAsk @5 :ItemsAsk;
    items @6 :Items;
    report @7 :Report;
    contacts @8 :Contacts;
  }
}
