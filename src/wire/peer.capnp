# Messages between the system's own instances. Field numbers must never be reused.
@0xd2c5f6a7b1e84390;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sapphirepass::wire");

interface Peer {
    # Delivers a message. The topic is the number of a PeerTopic, the payload a message in that topic's schema.
    deliver @0 (from :Text, incarnation :UInt64, topic :UInt16, payload :Data);
}

# Membership record of an instance. Addresses have the form IP:PORT.
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
    # Milliseconds since the sender last heard from the member, directly or through others.
    age @9 :UInt32;
}

# Age of the sender's last contact with a source: the store (0) or a failure domain (32-bit hash of its name,
# with 1 in place of 0).
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
    # Whether the receiver must reply with its own digest.
    question @2 :Bool;
    # Chosen by the requester and repeated in the reply; 0 in unsolicited digests.
    nonce @3 :UInt64;
    # Hash of the set of keys withdrawn while the store was unreachable; 0 for the empty set.
    withdrawalHash @4 :UInt64;
    hearings @5 :List(Hearing);
}

# Requests all log entries after a revision, or the next part of a snapshot download.
struct Pull {
    after @0 :Int64;
    snapshotRevision @1 :Int64;
    offset @2 :UInt64;
}

struct Entries {
    # Encoded log entries; their revisions are consecutive.
    entries @0 :Data;
    # Number of the forwarding tree, starting at 1; 0 for entries that were pulled or gossiped.
    tree @1 :UInt8;
}

struct SnapshotPart {
    revision @0 :Int64;
    # Size in bytes of the whole encoded snapshot, and the offset of this part in it.
    size @1 :UInt64;
    offset @2 :UInt64;
    part @3 :Data;
}

# Keys withdrawn while the store was unreachable. A withdrawal cannot be undone by a message.
struct WithdrawalMessage {
    keys @0 :List(Withdrawal);
}

struct Withdrawal {
    key @0 :Text;
    # Identifier of the withdrawing command, its issuer and the address it came from.
    id @1 :Text;
    who @2 :Text;
    from @3 :Text;
}

struct MembershipMessage {
    union {
        # The sender's own membership record; a leaving instance sends it once more, with leaving set, before
        # it stops. Watchers forward the report of an instance that is leaving to their own domain.
        report @0 :Member;
        # Requests the members of the receiver's failure domain and the watchers of all other domains.
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

# Number of instances of a failure domain that have confirmed the queried state, out of all.
struct InForceAnswer {
    ask @0 :InForceAsk;
    domain @1 :Text;
    confirmed @2 :UInt32;
    total @3 :UInt32;
    # Names of instances that have not confirmed; may be truncated.
    behind @4 :List(Text);
}
