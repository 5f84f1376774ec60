@0xe2c4b19a7d5f3608;
# Datagrams between gateway instances. See src/gateway/fleet/fleet_view.h and src/gateway/limits/rate_type.h.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sapphirepass::wire");

struct PeerAddress {
  host @0 :Text;
  port @1 :UInt16;
}

struct Crash {
  fingerprint @0 :UInt64;
  upstreams @1 :UInt32;
}

struct Cold {
  upstream @0 :Text;
  leftMs @1 :UInt32;
}

# See src/gateway/limits/limit_notice.h.
struct UpstreamLimit {
  upstream @0 :Text;
  startMs @1 :Int64;
  isNamed @2 :Bool;
  perSecond @3 :Float64;
  ageMs @4 :UInt32;
}

# See src/gateway/upstreams/observation.h. Fields are as small as their values allow: 32 of them go with each heartbeat.
struct Observation {
  upstream @0 :UInt32;
  object @1 :UInt64;
  slowdownPercent @2 :UInt16;
  ageMs @3 :UInt16;
  running @4 :UInt16;
  waiting @5 :UInt16;
  slots @6 :UInt16;
  isRejection @7 :Bool;
}

# See src/gateway/limits/room_use.h.
struct WorkspaceUse {
  workspace @0 :UInt64;
  priority @1 :UInt8;
  offered @2 :UInt32;
}

struct RoomUse {
  service @0 :Text;
  # By priority, from 0.
  offered @1 :List(UInt32);
  admitted @2 :List(UInt32);
  workspaces @3 :List(WorkspaceUse);
}

# See src/gateway/placement/service_demand.h.
struct ServiceDemand {
  service @0 :UInt64;
  perSecond @1 :Float32;
}

struct Heartbeat {
  name @0 :Text;
  incarnation @1 :UInt64;
  front @2 :PeerAddress;
  peer @3 :PeerAddress;
  region @4 :Text;
  domain @5 :Text;
  phase @6 :UInt16;
  crashes @7 :List(Crash);
  known @8 :List(PeerAddress);
  # Revision of the newest change applied in each feed, in the order of Feed in src/gateway/feeds/discovery_source.h.
  newestChanges @9 :List(UInt64);
  sourceLost @10 :Bool;
  colds @11 :List(Cold);
  control @12 :PeerAddress;
  # Era of the store for each revision in newestChanges; empty from instances that know no eras, which counts as 0.
  eras @13 :List(UInt64);
  # The sender has just started and knows no other instances; it is answered with their addresses.
  wantsPeers @14 :Bool;
  limits @15 :List(UpstreamLimit);
  unreachableRegions @16 :List(Text);
  cutOff @17 :Bool;
  # False from instances that know no delegation.
  acceptsDelegation @18 :Bool;
  # Hashes of the names of instances that have fallen silent for the sender; empty from instances that tell none.
  silentMembers @19 :List(UInt64);
  # Newest first; empty from instances that share none, and to other regions.
  observations @20 :List(Observation);
  # Requests since the last heartbeat to the region, by service; empty from instances that know no admission by room.
  roomUse @21 :List(RoomUse);
  # Unset from instances without region shares by demand, and in heartbeats that do not tell it; empty if there is none.
  demand @22 :List(ServiceDemand);
}

struct RateAsk {
  number @0 :UInt64;
  workspace @1 :Text;
  wanted @2 :UInt16;
}

struct RateGrant {
  number @0 :UInt64;
  workspace @1 :Text;
  granted @2 :UInt16;
  retryAfterMs @3 :UInt32;
}

struct LimitAsk {
  ask @0 :RateAsk;
  limit @1 :UpstreamLimit;
}

struct LimitGrant {
  grant @0 :RateGrant;
  limit @1 :UpstreamLimit;
}

struct PeerDatagram {
  union {
    heartbeat @0 :Heartbeat;
    ask @1 :RateAsk;
    grant @2 :RateGrant;
    limitAsk @3 :LimitAsk;
    limitGrant @4 :LimitGrant;
  }
}
