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
  /* The sender understands messages on parts of limits. */
  10: optional bool moves_parts
  /* Numbers of the sender's calls for advice that it does not want answered. */
  24: optional list<i64> withdrawn_calls
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
  /* How long the sender waits for the reply; 0 or missing where it does not tell. */
  8: optional i64 patience_ms
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

/* Parts of a client account's limit, of each kind of room that it bounds. */
struct PartsRow {
  1: required i64 cpu
  2: required i64 memory
  3: required i64 accelerators
}

/* The owner of a cell asks that of another to lend parts of a limit. */
struct PartsAsk {
  1: required string account
  2: required i32 borrower
  3: required i64 borrower_epoch
  4: required i32 lender
  /* What lets its first step begin, and what all its work wants. */
  5: required PartsRow least
  6: required PartsRow most
  /* Since when that step waits; 0 where more runs than the borrower has parts for. */
  7: required i64 since_epoch_ms
  8: required bool is_within
}

/* All that is lent to a cell; a number of 0 grants nothing and tells what is free. */
struct PartsGrant {
  1: required string account
  2: required i32 lender
  3: required i64 lender_epoch
  4: required i32 borrower
  5: required i64 borrower_epoch
  6: required i64 number
  7: required PartsRow parts
  8: required PartsRow free
}

/* What a borrower still counts on, of the grant of that epoch and number. */
struct PartsHold {
  1: required string account
  2: required i32 borrower
  3: required i64 borrower_epoch
  4: required i32 lender
  5: required i64 lender_epoch
  6: required i64 number
  7: required PartsRow parts
}

struct Envelope {
  1: optional Hello hello
  2: optional Heartbeat heartbeat
  3: optional CallerRequest caller_request
  4: optional CallerReply caller_reply
  5: optional AdviceRequest advice_request
  6: optional AdviceReply advice_reply
  7: optional EndsHeard ends_heard
  9: optional PartsAsk parts_ask
  10: optional PartsGrant parts_grant
  11: optional PartsHold parts_hold
}
