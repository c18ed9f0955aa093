# Messages by which nodes share the state of the fleet's members. Each message
# is sent in packed encoding in one datagram. src/core/gossip.h describes the
# fields.
@0xd3a1c4f27be05e19;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("verbenastile::wire");

struct Gossip {
  cluster @0 :UInt32;
  sequence @1 :UInt32;
  incarnation @2 :UInt64;
  root @3 :UInt64;
  bucketSet @4 :UInt64;
  targetIp4 @5 :UInt32;
  targetPort @6 :UInt16;
  kind @7 :UInt8;
  sender @8 :Text;
  target @9 :Text;
  targetIp6 @10 :Data;
  digests @11 :List(UInt32);
  # Names of failure domains, regions and services. Updates refer to them by
  # their index in this list.
  labels @12 :List(Text);
  updates @13 :List(Update);
}

struct Update {
  incarnation @0 :UInt64;
  state @1 :UInt8;
  whole @2 :Bool;
  starting @3 :Bool;
  failureDomain @4 :UInt8;
  region @5 :UInt8;
  service @6 :UInt8;
  peersPort @7 :UInt16;
  controlPort @8 :UInt16;
  # If 0 and peersIp6 is empty, the same address as for control.
  peersIp4 @9 :UInt32;
  controlIp4 @10 :UInt32;
  slots @11 :UInt32;
  connections @12 :UInt32;
  accuser @13 :UInt32;
  name @14 :Text;
  peersIp6 @15 :Data;
  controlIp6 @16 :Data;
}
