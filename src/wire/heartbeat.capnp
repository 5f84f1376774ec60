@0xe2c4b19a7d5f3608;
# Heartbeats between instances of the gateway. See src/gateway/fleet_view.h.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sapphirepass::wire");

struct PeerAddress {
  host @0 :Text;
  port @1 :UInt16;
}

struct Demand {
  workspace @0 :Text;
  perSecond @1 :Float32;
}

struct Crash {
  fingerprint @0 :UInt64;
  upstreams @1 :UInt32;
}

struct Heartbeat {
  name @0 :Text;
  incarnation @1 :UInt64;
  front @2 :PeerAddress;
  peer @3 :PeerAddress;
  region @4 :Text;
  domain @5 :Text;
  phase @6 :UInt16;
  demands @7 :List(Demand);
  crashes @8 :List(Crash);
  known @9 :List(PeerAddress);
}
