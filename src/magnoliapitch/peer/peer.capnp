@0xbf5147cbbecf40c1;

# Messages between entry instances.

struct Beat {
  # Heartbeat: state of the sender and its knowledge of other instances.
  instanceId @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  nextOffset @3 :UInt64;      # offset of the next log record to apply
  logAgeMs @4 :UInt32;        # time since the last successful log read
  leaving @5 :Bool;
  loads @6 :List(UnitLoad);
  members @7 :List(MemberInfo);
  peerAddress @8 :Text;       # IP:PORT of the sender's peer listener
  seenOffset @9 :UInt64;      # highest next offset the sender knows of
  complete @10 :Bool;         # whether the sender's state may be used
  zones @11 :List(ZoneInfo);
}

struct ZoneInfo {
  # How far the instances of an availability zone have applied the log.
  zone @0 :Text;
  minOffset @1 :UInt64;       # lowest next offset of its live instances
  slowest @2 :Text;           # instance with that offset
  live @3 :UInt16;
  silent @4 :UInt16;          # other instances that have not left
  ageMs @5 :UInt32;           # time since a member of the zone reported it
}

struct UnitLoad {
  # Free capacity of a unit that the sender owns.
  unit @0 :Text;
  freeCpuMillis @1 :Int64;
  freeMemoryMb @2 :Int64;
  freeAccelerators @3 :Int64;
  queued @4 :UInt32;
  freeSlots @5 :UInt32;
}

struct MemberInfo {
  # What the sender knows of another instance.
  instanceId @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  peerAddress @3 :Text;
  nextOffset @4 :UInt64;
  ageMs @5 :UInt32;
  direct @6 :Bool;            # whether the sender heard it directly
}

struct Forward {
  # Request that the peer executes on its backend servers.
  requestId @0 :Text;
  entry @1 :Text;
  body @2 :Data;
  timeoutMs @3 :UInt32;
  ticket @4 :Text;
  key @5 :Text;
}

struct Answer {
  # Result of a request, or its failure with the verdict.
  requestId @0 :Text;
  status @1 :UInt16;
  body @2 :Data;
  verdict @3 :Text;           # empty for a result
  code @4 :Text;
  detail @5 :Text;
  retryAfterMs @6 :Int32;     # negative if there is no retry delay
  contentType @7 :Text = "application/json";
}

struct LogEntry {
  offset @0 :UInt64;
  data @1 :Data;
}

interface Peer {
  heartbeat @0 (beat :Beat) -> (beat :Beat);
  forward @1 (request :Forward) -> (answer :Answer);
  readLog @2 (fromOffset :UInt64, limit :UInt32)
      -> (records :List(LogEntry), nextOffset :UInt64, logAgeMs :UInt32);
  snapshot @3 () -> (offset :UInt64, digest :Text, state :Data);
}
