/* Messages between the instances of one system. */
namespace py thymefork_net.peers.gen

struct Hello {
  1: required string instance
  2: required string life
  3: required string host
  4: required i32 port
}

struct OwnedCell {
  1: required i32 cell
  2: required i64 epoch
}

/* How slow a machine under a worker is: thousandths of a natural logarithm. */
struct MachineSpeed {
  1: required string machine
  2: required i32 log_slowness_milli
}

/* What the owner of a cell has learned of its machines since it told last. */
struct SpeedsLearned {
  1: required i32 cell
  2: required i64 epoch
  3: required list<MachineSpeed> speeds
}

struct Heartbeat {
  1: required list<OwnedCell> owned
  2: required i64 config_version
  3: required bool leaving
  /* The sender takes part in the store's group, so it may be dealt cells. */
  4: optional bool in_group
  /* The sender's joins are not answered: its cells should pass to another. */
  5: optional bool store_lost
  /* How well the sender can own cells, 1 to 3; missing where it knows no tiers. */
  6: optional i32 tier
  /* The sender's load as an owner, in percent of what is bearable. */
  7: optional i32 load_percent
  /* The best tier among the members that the sender has heard to be well. */
  8: optional i32 best_tier
  /* How long the sender's last join took; 0 or missing from who is no member. */
  9: optional i32 join_ms
  /* For the next owners. Part of a message that older instances know, since they break
     a link on one that they don't. */
  16: optional list<SpeedsLearned> speeds
}

/* A caller's request that an entry instance forwards to the owner of a cell. */
struct CallerRequest {
  1: required i64 call_id
  2: required i32 cell
  3: required string kind
  4: required string queue
  5: required string job_id
  6: required binary body
  /* The client account whose key came with it, empty if none did. */
  7: optional string account_name
}

struct CallerReply {
  1: required i64 call_id
  2: required string outcome
  3: required string state
  4: required i64 count
  5: required i64 retry_after_ms
}

/* A call to the advice service that an owner asks another instance to make. */
struct AdviceRequest {
  1: required i64 call_id
  2: required string step
  3: required list<string> workers
  4: required i64 patience_ms
}

struct WorkerTicket {
  1: required string worker_id
  2: required string ticket
}

struct AdviceReply {
  1: required i64 call_id
  2: required bool answered
  3: required list<WorkerTicket> tickets
  4: required i64 valid_ms
}

/* An end that a worker has listed to its owner. */
struct HeardEnd {
  1: required string worker_id
  2: required string task
  3: required i64 run_id
  4: required string how
  5: required string checkpoint
}

/* Ends that the owner of a cell has heard and could not store so far. */
struct EndsHeard {
  1: required i32 cell
  /* The epoch of the owner that heard them. */
  2: required i64 epoch
  3: required list<HeardEnd> ends
}

struct Envelope {
  1: optional Hello hello
  2: optional Heartbeat heartbeat
  3: optional CallerRequest caller_request
  4: optional CallerReply caller_reply
  5: optional AdviceRequest advice_request
  6: optional AdviceReply advice_reply
  7: optional EndsHeard ends_heard
}
