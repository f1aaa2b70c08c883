/* Messages between entry instances. Field names match thymefork_core.peer. */
namespace py thymefork_wire.gen

struct Resources {
  1: required i64 cpu_milli
  2: required i64 memory_mb
  3: required i64 accelerators
}

struct WorkSpec {
  1: required string work_id
  2: required string kind
  3: required string team
  4: required Resources resources
  5: required i64 submitted_at_ms
  6: required i64 deadline_ms
  7: required i32 tasks
  8: required i64 run_ms
  9: required bool at_most_once
  10: required bool urgent
  11: required string payload
}

struct Heartbeat {
  1: required string name
  2: required string hall
  3: required string incarnation
  4: required i64 seq
  5: required i64 echo
  6: required i64 config_version
  7: required bool leaving
  8: required bool log_down
  9: required Resources free
  10: required Resources largest_free
  11: required map<string, i32> free_slots
  12: required list<string> fenced
  13: required string reserve_for
  14: required i64 reserve_until_ms
}

struct Beat {
  1: required i64 seq
  2: required i64 echo
}

struct PlaceItem {
  1: required string work_id
  2: required i32 task
  3: required i32 attempt
}

struct Place {
  1: required string place_id
  2: required WorkSpec spec
  3: required list<PlaceItem> items
  4: required bool hold
  5: required i64 until_ms
}

struct PlaceReply {
  1: required string place_id
  2: required list<i32> granted
}

struct Commit {
  1: required string place_id
}

struct Release {
  1: required string place_id
}

struct Join {
  1: required string work_id
  2: required bool cancel
}

struct Answer {
  1: required string work_id
  2: required string outcome
  3: optional string reason
  4: required i64 come_back_at_ms
  5: required list<i32> exit_codes
  6: required list<string> workers
}

struct JoinReply {
  1: required Answer answer
}

struct HopLookup {
  1: required string hop_id
  2: required string service_name
  3: required string target
  4: required binary body
  5: required i64 deadline_ms
}

struct HopReply {
  1: required string hop_id
  2: required i32 status
  3: required binary body
}

struct ConfigPull {
  1: required i64 above_version
}

/* The configuration travels in its JSON form, the one that the log holds. */
struct ConfigPush {
  1: required i64 version
  2: required binary document
}

union Body {
  1: Heartbeat heartbeat
  2: Place place
  3: PlaceReply place_reply
  4: Commit commit
  5: Release release
  6: Join join
  7: JoinReply join_reply
  8: HopLookup hop_lookup
  9: HopReply hop_reply
  10: ConfigPull config_pull
  11: ConfigPush config_push
  12: Beat beat
}

struct Envelope {
  1: required string sender
  2: required Body body
}
