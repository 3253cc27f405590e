@0xd1f0a3c58be74621;
# The interface between the nodes of one system. See docs/design/peers.md.

interface Peer {
  # Bootstrap capability of the peer port. It gives nothing away but a nonce
  # until the caller has proved that it knows the shared secret.
  challenge @0 () -> (nonce :Data, protocolVersion :UInt32);
  authenticate @1 (proof :Data, node :Text, nonce :Data) -> (session :Session, proof :Data);
  # Both sides prove the secret: the caller for the challenge's nonce, the
  # callee for the caller's.
}

interface Session {
  exchange @0 (digest :Digest) -> (digest :Digest);
  # Membership updates and configuration freshness, both ways.

  pullConfiguration @1 (afterGeneration :UInt64) -> (update :ConfigurationUpdate);
  # Every change after a generation, or the whole configuration.

  handOver @2 (table :IdempotencyTable) -> ();
  # A stopping issuer gives its table of finished keys to this node.

  probe @3 (address :Text) -> (reached :Bool);
  # Tells whether this node reaches another one that the caller does not.
}

struct Digest {
  from @0 :Member;
  generation @1 :UInt64;
  storeAgeMillis @2 :UInt64;
  # Age of the newest proof, known to the sender, that the store was read.
  members @3 :List(Member);
  memberCount @4 :UInt32;
  # Members that the sender knows, itself among them.
}

enum MemberState {
  alive @0;
  suspect @1;
  leaving @2;
  dead @3;
}

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  state @3 :MemberState;
  clientAddress @4 :Text;
  peerAddress @5 :Text;
  zone @6 :Text;
  region @7 :Text;
  adopted @8 :List(Issuer);
  # Stopped nodes whose idempotency tables this node holds.
}

struct Issuer {
  node @0 :Text;
  incarnation @1 :UInt64;
}

struct ConfigurationUpdate {
  generation @0 :UInt64;
  baseGeneration @1 :UInt64;
  # Generation before the first change.

  whole @3 :Bool;
  # The update holds the whole configuration.

  changes @2 :List(Change);
}

struct Change {
  generation @0 :UInt64;
  kind @1 :Text;
  name @2 :Text;
  value @3 :Data;
  # Stored form of the resource, empty when it was deleted.
}

struct IdempotencyTable {
  issuer @0 :Text;
  incarnation @1 :UInt64;
  issuerMillis @3 :UInt64;
  # The issuer's clock at the hand-over.
  entries @2 :List(IdempotencyEntry);
}

struct IdempotencyEntry {
  key @0 :Text;
  expiresAtMillis @6 :UInt64;
  # On the issuer's clock.
  fingerprint @1 :UInt64;
  complete @2 :Bool;
  status @3 :UInt16;
  contentType @4 :Text;
  body @5 :Data;
}
