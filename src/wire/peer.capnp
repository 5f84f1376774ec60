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
        pull @1 :Pull;
        entries @2 :Entries;
        snapshot @3 :SnapshotPart;
    }
}

struct Digest {
    revision @0 :Int64;
    stateHash @1 :UInt64;
    # Whether the receiver is asked to answer with its own digest.
    question @2 :Bool;
    # Chosen by the questioner, repeated by the answer; 0 if nobody asked.
    nonce @3 :UInt64;
    # Hash of the set of keys that were withdrawn while the store was down; 0 for the empty set.
    withdrawalHash @4 :UInt64;
    hearings @5 :List(Hearing);
}

# Asks for all entries after a revision, or for the rest of a snapshot.
struct Pull {
    after @0 :Int64;
    snapshotRevision @1 :Int64;
    offset @2 :UInt64;
}

struct Entries {
    # Encoded log entries with consecutive revisions.
    entries @0 :Data;
    # Number of the push tree, from 1; 0 if the entries were pulled.
    tree @1 :UInt8;
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
        # Asks for the states of the receiver's domain and for watchers of the others.
        ask @1 :Void;
        members @2 :List(Member);
        inForceAsk @3 :InForceAsk;
        inForceAnswer @4 :InForceAnswer;
    }
}

struct InForceAsk {
    revision @0 :Int64;
    withdrawalHash @1 :UInt64;
}

# How far a failure domain has come.
struct InForceAnswer {
    ask @0 :InForceAsk;
    domain @1 :Text;
    confirmed @2 :UInt32;
    total @3 :UInt32;
    # Some of those that have not confirmed.
    behind @4 :List(Text);
}
