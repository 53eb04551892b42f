using Go = import "/go.capnp";
@0xd1a9b7c04e52f3a6;
$Go.package("frame");
$Go.import("orchidward/internal/transport/wire/frame");

# What processes say to one another: one frame a message, in the stream
# encoding. A field is only ever added, with a new number; a reader passes over
# what it doesn't know and reads zero where an older writer wrote nothing.

struct Member {
  id @0 :UInt64;
  addr @1 :Text;
  domain @2 :Text;
  voter @3 :Bool;
}

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  data @3 :Data;
}

struct Raft {
  kind @0 :UInt8;
  from @1 :UInt64;
  to @2 :UInt64;
  term @3 :UInt64;
  index @4 :UInt64;
  logTerm @5 :UInt64;
  commit @6 :UInt64;
  no @7 :Bool;
  force @8 :Bool;
  hint @9 :UInt64;
  stamp @10 :Int64;
  wall @11 :Int64;
  met @12 :UInt64;
  entries @13 :List(Entry);
  viewIndex @14 :UInt64;
  viewTerm @15 :UInt64;
  viewMembers @16 :List(Member);
  viewData @17 :Data;
  viewOff @18 :Int64;
  viewTotal @19 :Int64;
  hasView @20 :Bool;
  site @21 :Int64;
  level @22 :UInt16;
  leaving @23 :Bool;
}

struct Ask {
  id @0 :UInt64;
  verb @1 :Text;
  path @2 :Text;
  query @3 :Text;
  body @4 :Data;
  epoch @5 :UInt64;
  budget @6 :Int64;
  hops @7 :UInt8;
  dated @8 :Bool;
  leaderTerm @9 :UInt64;
  leaderAt @10 :Int64;
}

struct Reply {
  id @0 :UInt64;
  status @1 :UInt16;
  body @2 :Data;
  retry @3 :Int64;
  moved @4 :Bool;
  stale @5 :Bool;
  expired @6 :Bool;
  leaderTerm @7 :UInt64;
  leaderAt @8 :Int64;
}

struct Tell {
  node @0 :UInt64;
  founded @1 :Bool;
  lead @2 :UInt64;
  members @3 :List(Member);
  gates @4 :List(Text);
  founders @5 :List(Member);
  role @6 :Text;
  addr @7 :Text;
  domain @8 :Text;
  http @9 :Text;
  ask @10 :Bool;
  leaderTerm @11 :UInt64;
  leaderAt @12 :Int64;
}

struct Frame {
  raft @0 :Raft;
  ask @1 :Ask;
  reply @2 :Reply;
  tell @3 :Tell;
}
