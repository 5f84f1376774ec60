@0xd1f6a7b0c35e4812;
# Messages of the escrow protocol between instances. See src/admission/escrow_type.h.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sapphirepass::wire");

struct BudgetHolder {
  name @0 :Text;
  number @1 :UInt64;
}

struct BudgetShare {
  kind @0 :UInt16;
  name @1 :Text;
  fraction @2 :Int64;
  tokens @3 :Int64;
}

struct BudgetMessage {
  kind @0 :UInt16;
  epoch @1 :Int64;
  # The names of sender and receiver are those of the peer link.
  fromNumber @2 :UInt64;
  toNumber @3 :UInt64;
  number @4 :Int64;
  other @5 :BudgetHolder;
  shares @6 :List(BudgetShare);
}
