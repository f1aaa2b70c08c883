/* Messages between instances. */
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

/* Slowness of a worker's machine, in thousandths of its natural logarithm. */
struct MachineSpeed {
  1: required string machine
  2: required i32 log_slowness_milli
}

/* Machine speeds that a cell's owner has learned since its last announcement. */
struct SpeedsLearned {
  1: required i32 cell
  2: required i64 epoch
  3: required list<MachineSpeed> speeds
}

/* A worker that is about to leave: its owner gives only short leases there. */
struct LeavingWorker {
  1: required string worker_id
  /* Identifies the worker's incarnation; 0 if unknown. */
  2: required i64 born_epoch_ms
  /* The time until all longer leases are over. */
  3: required i64 long_leases_end_in_ms
}

/* The end of an ownership, after which its owner renews no lease. */
struct OwnerEnd {
  1: required i64 ended_ago_ms
  /* False if it gave no lease at all. */
  2: required bool has_served
  /* The time until the leases of all earlier owners are over. */
  3: required i64 earlier_leases_end_in_ms
}

/* What the owner of a cell under an epoch promises about its leases. */
struct LeaseNotice {
  1: required i32 cell
  2: required i64 epoch
  3: required list<LeavingWorker> leaving
  4: optional OwnerEnd end
}

struct Heartbeat {
  1: required list<OwnedCell> owned
  2: required i64 config_version
  3: required bool leaving
  /* The sender is a member of the store's group, so it may be assigned cells. */
  4: optional bool in_group
  /* The sender's joins get no answer: other members should take over its cells. */
  5: optional bool store_lost
  /* How suitable the sender is as an owner, 1 to 3; missing if it knows no tiers. */
  6: optional i32 tier
  /* The sender's load as an owner, in percent of the acceptable load. */
  7: optional i32 load_percent
  /* The best tier among the members that the sender knows to be healthy. */
  8: optional i32 best_tier
  /* Duration of the sender's last join; 0 or missing if it is not a member. */
  9: optional i32 join_ms
  /* For the next owners. A field of the heartbeat, since older instances close a link
     on unknown messages. */
  16: optional list<SpeedsLearned> speeds
  /* The sender supports the messages on limit parts. */
  10: optional bool moves_parts
  /* Ids of the sender's advice requests that it has withdrawn. */
  24: optional list<i64> withdrawn_calls
  /* For the next owners, as the speeds. */
  25: optional list<LeaseNotice> lease_notices
}

/* A caller's request, forwarded by an entry instance to the owner of a cell. */
struct CallerRequest {
  1: required i64 call_id
  2: required i32 cell
  3: required string kind
  4: required string queue
  5: required string job_id
  6: required binary body
  /* The client account of the request's API key, empty without a key. */
  7: optional string account_name
  /* How long the sender waits for the reply; 0 or missing if unknown. */
  8: optional i64 patience_ms
}

struct CallerReply {
  1: required i64 call_id
  2: required string outcome
  3: required string state
  4: required i64 count
  5: required i64 retry_after_ms
}

/* A call to the advice service that an owner delegates to another instance. */
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

/* A run end that a worker has reported to its owner. */
struct HeardEnd {
  1: required string worker_id
  2: required string task
  3: required i64 run_id
  4: required string how
  5: required string checkpoint
}

/* Run ends that the owner of a cell has received but not stored yet. */
struct EndsHeard {
  1: required i32 cell
  /* The epoch of the owner that received them. */
  2: required i64 epoch
  3: required list<HeardEnd> ends
}

/* Parts of a client account's limit, for each limited resource. */
struct PartsRow {
  1: required i64 cpu
  2: required i64 memory
  3: required i64 accelerators
}

/* A request to the owner of another cell to lend parts of a limit. */
struct PartsAsk {
  1: required string account
  2: required i32 borrower
  3: required i64 borrower_epoch
  4: required i32 lender
  /* The parts that its first step needs, and those that all its work needs. */
  5: required PartsRow least
  6: required PartsRow most
  /* Since when that step waits; 0 if the runs use more than the borrower's parts. */
  7: required i64 since_epoch_ms
  8: required bool is_within
}

/* All parts that are lent to a cell; with number 0, only reports what is free. */
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

/* The parts that a borrower still holds of the grant with that epoch and number. */
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
