# Messages between the system's own instances. A field number is never used again.
@0xd2c5f6a7b1e84390;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sapphirepass::wire");

interface Peer {
    # Takes a message of a topic; the number is a PeerTopic, the payload a message of that topic's schema.
    deliver @0 (from :Text, incarnation :UInt64, topic :UInt16, payload :Data);
}

# What an instance tells of itself. Addresses are texts of the form IP:PORT.
struct Member {
    name @0 :Text;
    incarnation @1 :UInt64;
    region @2 :Text;
    domain @3 :Text;
    http @4 :Text;
    peer @5 :Text;
    leaving @6 :Bool;
    revision @7 :Int64;
    stateHash @8 :UInt64;
    # Milliseconds since the sender heard of it.
    age @9 :UInt32;
}

# Age of what the sender last heard of a source: the store (key 0) or a failure domain (hash of its name).
struct Hearing {
    source @0 :UInt32;
    # Milliseconds.
    age @1 :UInt32;
}

struct RelayMessage {
    union {
        digest @0 :Digest;
        # Asks for all entries after a revision.
        pull @1 :Int64;
        # Encoded log head with consecutive entries.
        entries @2 :Data;
        # Part of an encoded snapshot.
        snapshot @3 :SnapshotPart;
    }
}

struct Digest {
    revision @0 :Int64;
    stateHash @1 :UInt64;
    # Whether the receiver is asked to answer with its own digest.
    question @2 :Bool;
    hearings @3 :List(Hearing);
    # Hash over the names of the keys that were withdrawn while the store was down.
    withdrawalHash @4 :UInt64;
}

struct SnapshotPart {
    revision @0 :Int64;
    # Bytes of the whole encoded snapshot and where this part starts.
    size @1 :UInt64;
    offset @2 :UInt64;
    part @3 :Data;
}

# Keys that were withdrawn while the store was down; only ever takes away.
struct WithdrawalMessage {
    keys @0 :List(Withdrawal);
}

struct Withdrawal {
    key @0 :Text;
    # Command that withdrew it and who gave it.
    id @1 :Text;
    who @2 :Text;
    from @3 :Text;
}

struct MembershipMessage {
    union {
        # The sender's own state; a leaving instance tells it once more before it stops.
        report @0 :Member;
        # Asks for the states that the receiver knows of.
        ask @1 :Void;
        members @2 :List(Member);
    }
}
