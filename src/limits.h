#ifndef GV_LIMITS_H
#define GV_LIMITS_H

/* Limits, times and sizes of the library and its daemons, each with its unit.
   The platform adapter has its own in platform_limits.h. */

/* Names of services, pools, hosts, teams and entry hosts. */
#define GV_NAME_MAX_BYTES 63

/* Requests of callers. A longer request body is rejected. */
#define GV_BODY_MAX_BYTES (1024 * 1024)
/* HTTP server for callers. GV_HTTP_HEADER_BYTES is the memory of a connection,
   which holds the request line and the headers. */
#define GV_HTTP_HEADER_BYTES (16 * 1024)
#define GV_HTTP_CONNECTIONS  2048
/* Memory and descriptors of a daemon whose settings do not give them. */
#define GV_HTTP_MEMORY_MB 512
#define GV_HTTP_FDS       8192
#define GV_HTTP_THREADS   4
/* A connection without activity for this long is closed. */
#define GV_HTTP_TIMEOUT_S 30
/* Least time between two log lines about closed connections of callers. */
#define GV_HTTP_LOG_INTERVAL_MS 10000

/* Memory of request bodies. A body up to GV_BODY_SMALL_BYTES does not count
   toward it. GV_BODY_POOL_BYTES is the largest memory that the HTTP server
   itself keeps for a connection; it holds headers of 16,384 bytes. A body over
   GV_BODY_MAX_BYTES is read and discarded up to GV_BODY_DRAIN_MAX_BYTES,
   because a client may read the 413 only after it has sent the whole body. */
#define GV_BODY_DRAIN_MAX_BYTES (8 * GV_BODY_MAX_BYTES)
#define GV_BODY_SMALL_BYTES     (16 * 1024)
#define GV_BODY_POOL_BYTES      (32 * 1024)
#define GV_BODY_CONNECTIONS_MIN 16
/* Larger bodies take one part in so many of the process's memory. */
#define GV_BODY_MEMORY_SHARE 8
/* Receive buffer of a connection, as it is set; the kernel keeps up to twice
   as much. For each GV_BODY_CONNECTIONS_PER_WAITING connections that the
   server accepts, one may wait in the queue of the listening socket. */
#define GV_BODY_RECEIVE_BYTES           (16 * 1024)
#define GV_BODY_CONNECTIONS_PER_WAITING 4
/* Share of the descriptors for callers; targets, the store and files need the
   others. */
#define GV_BODY_FDS_PERCENT 37
/* Connections are closed while more than this share of the bytes or of the
   connections is taken, those first that are furthest behind this rate, but
   none that is behind it for a shorter time. */
#define GV_BODY_CROWDED_PERCENT  85
#define GV_BODY_RATE_BYTES_PER_S (16 * 1024)
#define GV_BODY_GRACE_MS         1000
/* Retry-After of a request whose body does not fit. */
#define GV_BODY_RETRY_MS 1000

/* Requests in progress on one entry host: of callers, from peers and runs of
   tickets. */
#define GV_REQUESTS_MAX (3 * GV_HTTP_CONNECTIONS)
/* Deadline of a request if neither the caller nor the settings set one, and
   the longest that either may set. */
#define GV_DEADLINE_DEFAULT_MS 5000
#define GV_DEADLINE_MAX_MS     (60 * 60 * 1000)
/* Queue length of a service whose settings set none. */
#define GV_QUEUE_DEFAULT_REQUESTS 1000
/* Tables of requests with a ticket or a key are split into this many parts,
   each with its own lock. */
#define GV_SHARDS 16

/* Links between entry hosts. A frame has to hold a whole ledger snapshot. */
#define GV_FRAME_MAX_BYTES (2 * 1024 * 1024)
/* The first frame of a connection, before the peer is known. */
#define GV_FRAME_HELLO_BYTES 1024
/* Incomplete frames of all connections together. */
#define GV_PEER_INPUT_BYTES (16 * 1024 * 1024)
#define GV_FRAME_VERSION    1
/* Bytes waiting to be sent to one peer; further messages are rejected. */
#define GV_PEER_OUTPUT_BYTES (4 * 1024 * 1024)
#define GV_HEARTBEAT_MS      500
/* A peer that sends nothing for this long counts as dead: three missed
   heartbeats of an idle entry host, six of a busy one, since shorter pauses
   are common on small hosts. */
#define GV_PEER_DEAD_MS 3000
/* Limit for the setup of a connection, and for the close of an unused one. */
#define GV_PEER_CONNECT_MS 1000
/* A connection that has sent nothing for this long sends a HELLO, so that the
   peer does not count this entry host as dead. */
#define GV_PEER_KEEPALIVE_MS 1000
/* A connection is closed if no request has used it for this long. */
#define GV_PEER_IDLE_MS (60 * 1000)
/* Delay before the next attempt to connect; doubles up to the maximum. */
#define GV_PEER_BACKOFF_MS     100
#define GV_PEER_BACKOFF_MAX_MS 2000
/* Longest time that a stopping entry host spends on queued output. */
#define GV_PEER_FLUSH_MS 500
/* Calls to one peer without a reply yet, and connections of all peers. */
#define GV_PEER_CALLS_MAX   4096
#define GV_PEER_CONNECTIONS 1024
/* Share of the descriptors for links from peers, at most
   GV_PEER_CONNECTIONS. */
#define GV_PEER_FDS_PERCENT 12
/* A request for a peer's copy of the ledger. */
#define GV_LEDGERSYNC_TIMEOUT_MS 2000

/* Log of the platform: size and format version of a record, records of one
   append. */
#define GV_RECORD_MAX_BYTES   (1024 * 1024)
#define GV_RECORD_FORMAT      1
#define GV_APPEND_MAX_RECORDS 64
#define GV_RECORD_KIND_BYTES  15
/* Longest time from a record's creation to its expiry. */
#define GV_RECORD_TTL_MS (10 * 60 * 1000)
/* A record whose creation time is further ahead of its append time is
   rejected: the clock of its entry host is wrong. */
#define GV_RECORD_SKEW_MS (5 * 60 * 1000)
/* The ledger remembers the last sequence number of an origin of records for
   this long after its last record. */
#define GV_ORIGIN_KEEP_MS (60 * 60 * 1000)
/* Longest wait of a log read for the next record. */
#define GV_LOG_POLL_MS          2000
#define GV_LOG_READ_MAX_RECORDS 512
/* Latest records kept for peers whose copy is behind. */
#define GV_REPLICA_RING_RECORDS 1024
/* Records from one checkpoint to the next. */
#define GV_CHECKPOINT_RECORDS 2000
/* Calls of the platform, and the delay after a failed one, which doubles up to
   the maximum. */
#define GV_PLATFORM_TIMEOUT_MS     5000
#define GV_PLATFORM_BACKOFF_MS     250
#define GV_PLATFORM_BACKOFF_MAX_MS 5000

/* Settings files: size of one file, errors reported for one check, and ranges
   of their values. */
#define GV_SETTINGS_MAX_BYTES  (64 * 1024)
#define GV_SETTINGS_MAX_ERRORS 100
#define GV_DOCUMENTS_MAX       512
#define GV_HOSTS_MAX           16384
#define GV_ENTRY_HOSTS_MAX     256
#define GV_SETTINGS_TEXT_BYTES (256 * 1024) /* all documents in force */
#define GV_TEAMS_MAX           256          /* per service */
#define GV_QUOTA_MAX           1000000
#define GV_WEIGHT_MAX          1000
#define GV_IDEMPOTENT_MAX      64 /* methods or paths of a service */
#define GV_METHOD_MAX_BYTES    16
#define GV_PATH_MAX_BYTES      256
/* Longest deadline of a service whose settings set none. */
#define GV_DEADLINE_MAX_DEFAULT_MS 60000
/* Longest queue that the settings may allow. */
#define GV_QUEUE_LIMIT_REQUESTS 100000

/* Ledger. A checkpoint of the whole state has to fit in one record of
   GV_RECORD_MAX_BYTES: keys take 24 bytes each (288 KiB in all), the other
   tables share GV_STATE_MAX_BYTES. At the target size, with boot identifiers
   of 36 bytes, hosts take 535 KiB. */
#define GV_STATE_MAX_BYTES    (720 * 1024)
#define GV_HOST_STATE_BYTES   512 /* largest packed host, member or wave */
#define GV_ADDR_MAX_BYTES     31
#define GV_BOOT_MAX_BYTES     63
#define GV_SLOTS_MAX          1024
#define GV_HALT_REASON_BYTES  127
#define GV_WAVES_MAX          128
#define GV_ORIGINS_MAX        4096
#define GV_FORMER_MEMBERS_MAX 512  /* entry hosts that left */
#define GV_TOMBSTONES_MAX     1024 /* hosts that were removed */
/* A removed host is remembered for this long, so that an old host list does
   not add it again. A host list lags by seconds; six hours cover an entry host
   that resumes with an old list after a long pause. */
#define GV_TOMBSTONE_KEEP_MS (6 * 60 * 60 * 1000)

/* At-most-once table: one entry for each ticket or idempotency key. */
#define GV_TICKET_TTL_MS (10 * 60 * 1000)
/* Responses are kept this long after the ticket's expiry, so that a caller
   that repeats late gets the outcome instead of "unknown". */
#define GV_TICKET_GRACE_MS  (60 * 1000)
#define GV_ONCE_MAX_ENTRIES 65536
/* A larger response is not kept, only its outcome. */
#define GV_ONCE_ANSWER_BYTES (64 * 1024)
/* Idempotency keys: lifetime, number in the ledger, claims in one record. */
#define GV_KEY_TTL_MS (60 * 60 * 1000)
#define GV_KEYS_MAX   12288
#define GV_KEY_BATCH  64

/* Kept responses of all shards together; beyond it only outcomes are kept. */
#define GV_ONCE_ALL_ANSWERS_BYTES (8 * 1024 * 1024)
/* Callers that wait for the same run; further ones get "unknown". */
#define GV_ONCE_MAX_WAITERS 256
#define GV_KEY_MAX_BYTES    255
/* The append of the claim of a key. */
#define GV_KEY_CLAIM_TIMEOUT_MS 5000

/* Targets. Slots and connections of the stand-in target and in bench; also the
   most slots of a host that one loan lends. */
#define GV_TARGET_SLOTS       8
#define GV_TARGET_CONNECTIONS 64
/* A target that stops responding is detected after at most this time and two
   time-outs: 5 s. */
#define GV_PROBE_INTERVAL_MS 3000
/* From one read of the host list to the next. */
#define GV_HOSTLIST_INTERVAL_MS 2000
/* From a failed probe to the next one of the same target. */
#define GV_PROBE_RETRY_MS   1000
#define GV_PROBE_TIMEOUT_MS 1000
/* A target stops a run at the time limit that was sent to it. The exchange,
   also an abandoned one, counts as ended this long after the limit, which
   covers delivery and clocks that run at different rates. */
#define GV_ABANDON_GRACE_MS 1000
/* Hosts of one rack that may be out of service at once for maintenance. */
#define GV_RACK_HOSTS_OUT_MAX 1

/* Duration of a loan of slots to another entry host, and the time between two
   requests for one. Both are short, because a lender that gets requests of its
   own waits for the end of the loan: in bench, short work waited 1072 ms at
   p99 with 2000 ms and 500 ms, and 422 ms with these times. */
#define GV_LOAN_MS         400
#define GV_LOAN_REQUEST_MS 200

/* A refusal by a full target is counted as load for this long, about the time
   of one short run. */
#define GV_REFUSED_KEEP_MS 50

/* Daemon threads: intervals of the timer and of the maintenance thread. */
#define GV_TIMER_TICK_MS        50
#define GV_MAINTAIN_INTERVAL_MS 200
/* Entry hosts are ranked for each maintenance task and wait this long per rank
   before they append it: longer than it takes until an append of the one
   before is read. */
#define GV_RANK_STEP_MS 1500
/* A wave that could continue but has made no progress for this time continues
   in the next data centre. Longer than GV_MAINTAIN_APPEND_MS, so that the
   first one can repeat a lost append. */
#define GV_WAVE_TURN_MS 6000
/* An append by the maintenance thread is not repeated before this time. */
#define GV_MAINTAIN_APPEND_MS 5000
/* A host is reported as failed after its target has been unhealthy for
   GV_HOST_UNHEALTHY_MS, and as up again after GV_HOST_HEALTHY_MS of health.
   The first is longer than a probe interval, so that one lost probe changes
   nothing. */
#define GV_HOST_UNHEALTHY_MS 5000
#define GV_HOST_HEALTHY_MS   2000
/* A reboot request without effect is repeated after GV_REBOOT_REPEAT_MS; a
   reboot that takes longer than GV_REBOOT_MAX_MS has failed. */
#define GV_REBOOT_REPEAT_MS 30000
#define GV_REBOOT_MAX_MS    (15 * 60 * 1000)
/* Threads that exchange requests with targets; stack of each. */
#define GV_WORKERS_MAX        512
#define GV_WORKER_STACK_BYTES (256 * 1024)

/* Planned stop. After the last request and exchange have ended, a stop takes
   at most GV_STOP_MS: GV_STOP_REPLY_MS for responses on their way out,
   GV_LEAVE_MS for the append of `leave`, and the end of a log read in
   progress, which connects and reads for up to GV_LOG_POLL_MS plus
   GV_PLATFORM_TIMEOUT_MS each; the other threads end in that time too. */
#define GV_STOP_MS       25000
#define GV_STOP_REPLY_MS 2000
#define GV_LEAVE_MS      5000
/* Replaces GV_LEAVE_MS while the platform does not respond, since the append
   would not succeed soon. */
#define GV_LEAVE_OUTAGE_MS 1000

/* The HTTP client reuses a connection that has been idle for at most this
   long. Servers close idle connections after some seconds, so that one that
   was used lately is rarely closed while a request is on its way. */
#define GV_HTTP_IDLE_MS 2000

/* Platform client and log reader: largest responses, and memory for the
   latest records (see GV_REPLICA_RING_RECORDS). */
#define GV_LOG_PAGE_BYTES     (2 * 1024 * 1024)
#define GV_HOSTLIST_BYTES     (4 * 1024 * 1024)
#define GV_REPLICA_RING_BYTES (4 * 1024 * 1024)
/* Raw records in one message to a peer, at most; a single larger record is
   sent alone. Both fit in a frame. */
#define GV_REPLICA_COPY_BYTES (GV_FRAME_MAX_BYTES - GV_RECORD_MAX_BYTES)
/* Time between requests for a peer's records during an outage of the platform:
   a change has to take effect within seconds. */
#define GV_PEER_POLL_MS 1000

/* Appender: room for a record's fields around its payload, and the number of
   records waiting to be appended. */
#define GV_RECORD_ENVELOPE_BYTES 256
#define GV_APPEND_QUEUE_MAX      1024
/* Added to a record's time-out when its expiry is set: the platform's clock
   may differ from this host's. */
#define GV_APPEND_SKEW_MS (60 * 1000)

/* Longest random delay before a due checkpoint is written. It is longer than
   it takes until all entry hosts have read an append, so that mostly only one
   of them writes the checkpoint. */
#define GV_CHECKPOINT_DELAY_MS 5000
/* If the log already drops records, a checkpoint may be due before
   GV_CHECKPOINT_RECORDS, but only if the log holds at least this many. */
#define GV_CHECKPOINT_MIN_RECORDS 64

/* Failed probes in a row that make a target unhealthy: one lost probe is
   common while a target is busy, two in a row are not. */
#define GV_PROBE_FAILURES 2
/* A probe of a target that does not respond takes two time-outs. At the target
   size an entry host probes about 42 targets; 16 threads get through the
   time-outs of all of them in 6 s. */
#define GV_PROBE_THREADS 16
/* Periodic probes open a new connection after this time, because a target that
   accepts no new connections may still respond on an old one. */
#define GV_PROBE_RENEW_MS 30000
/* Slots of a target in the host list. */
#define GV_TARGET_SLOTS_MAX 1024

/* Estimates of run times: kinds of requests that are remembered. */
#define GV_ESTIMATE_KINDS 256
/* A new run time has a weight of one part in this many in the mean of its
   kind, so that the mean follows a change within about 16 runs. */
#define GV_ESTIMATE_SAMPLES 16
/* Range of the Retry-After of a refusal. The minimum prevents a burst of
   retries when the queue is short. */
#define GV_RETRY_AFTER_MIN_MS 100
#define GV_RETRY_AFTER_MAX_MS 30000
/* Retries allowed beyond the budget, so that a service with few requests can
   retry too. */
#define GV_RETRY_RESERVE 3
/* The retry budget holds at most what this many requests add to it. */
#define GV_RETRY_WINDOW_REQUESTS 200
/* A request that failed on this many hosts is not retried: the fault is taken
   to be in the request. */
#define GV_RETRY_HOSTS_FAILED 3
/* Attempts in all: of a request that failed, and of one that targets refused
   before its start. */
#define GV_RETRY_ATTEMPTS 4
#define GV_RETRY_REQUEUES 16
/* A target is ejected after this many failures in a row. The wait until the
   trial request doubles with each ejection, up to the maximum. */
#define GV_EJECT_FAILURES    5
#define GV_EJECT_WAIT_MS     1000
#define GV_EJECT_WAIT_MAX_MS 60000
/* For this long a due trial takes only an idempotent request, which can be
   retried elsewhere; then any, since a service may have no idempotent ones. */
#define GV_EJECT_PREFER_MS 5000
/* Least time from a pool's last move until it may take a host (UP) or give one
   away (DOWN). DOWN is for equal weights of waiting and buffer and grows with
   the weight of waiting. With a DOWN of 60 s, alternating bursts of two queues
   moved hosts back and forth four times a minute in bench. */
#define GV_RESERVE_UP_MS   5000
#define GV_RESERVE_DOWN_MS 300000

/* Decision log: longest line, buffer for a reader that is slow, and limit of
   the rate, which covers the starts and ends of some 30 jobs of 15 tasks each
   in a busy second. */
#define GV_EVLOG_LINE_BYTES   600
#define GV_EVLOG_BUFFER_BYTES (64 * 1024)
#define GV_EVLOG_LINES_PER_S  1000
/* Limit for lines about long-running tasks: some hundred run, and each is
   started and stopped a few times in an hour. */
#define GV_EVLOG_RARE_LINES_PER_S 200

/* Jobs */
#define GV_JOB_ID_BYTES   16
#define GV_JOB_SPEC_BYTES 4000
/* Key of an early cancellation: a letter, the identifier, 16 hexadecimal
   digits and the final 0. */
#define GV_EARLY_KEY_BYTES (GV_JOB_ID_BYTES + 18)
#define GV_JOB_STEPS_MAX   256
/* Tasks of all occurrences of a job together; limits a progress record to
   about 250 KB. */
#define GV_JOB_TASKS_MAX 4096
/* Memory of a task and of what the leader keeps for it. */
#define GV_JOB_TASK_BYTES 112

/* Runs of a task below the first number are kept as bits of a word if they
   failed; of later ones, so many numbers. */
#define GV_FAILED_RUNS_LATE     64
#define GV_FAILED_RUNS_LATE_MAX 8

/* Partitions of accepted work; a set of them is stored as bits of one word. */
#define GV_JOB_PARTS_MAX 64
/* Added to the time for which an ended job is shown: a submission may be
   repeated seconds after its response, and entry hosts may see the end of a
   job seconds apart. */
#define GV_JOB_KEEP_EXTRA_MS 60000
/* A job's progress is dropped this long after its definition: by then every
   entry host has read that the definition was dropped. A definition without
   progress would be run again. */
#define GV_JOB_PROGRESS_KEEP_MS 60000
/* Interval of the check for ended jobs, and the most jobs dropped in one
   check. Lost drops are repeated after GV_JOB_PROGRESS_KEEP_MS. */
#define GV_JOB_RETIRE_MS  10000
#define GV_JOB_RETIRE_MAX 1000

/* Full name of a task: its job's identifier and three numbers. */
#define GV_TASK_NAME_BYTES 64

/* A service gets more hosts once none of its targets could hold a long-running
   task for this long. Targets that are avoided after a refusal are back by
   then. */
#define GV_SCHED_NO_ROOM_MS 300
/* Interval of the log lines about a job whose long-running tasks wait. */
#define GV_SCHED_WAIT_LOG_MS 500

/* Shares are compared up to so many times an account's own: an account that
   is further beyond its share waits like one that uses so many. */
#define GV_SCHED_SHARE_LEVELS 4
/* Interval of the log lines about an account whose tasks are held back. */
#define GV_SCHED_ACCOUNT_LOG_MS 1000

/* Lease of a target on its tasks, renewed by each hold order. It outlasts one
   lost hold and a change of the leader, and is no longer than that: tasks of a
   target that stops responding start elsewhere only after it has ended. */
#define GV_SCHED_LEASE_MS       4500
#define GV_SCHED_LEASE_SLACK_MS 300
/* Clocks of targets may run slow by this. */
#define GV_SCHED_SLOW_CLOCK_PERCENT 2
/* The clock in a later answer of a target is behind that of an earlier one,
   and the time between them, by no more than this, but for its drift. */
#define GV_SCHED_CLOCK_JUMP_MS 500
/* An order without an answer may be carried out up to this long after it was
   sent: the users' page names 2 to 12 s. */
#define GV_SCHED_LATE_ORDER_MS 12000
/* A target delays its response to a hold for up to this time until a task
   ends; about a quarter of the lease. */
#define GV_SCHED_HOLD_WAIT_MS 1000
/* Between two holds while unwanted runs are cleared from a target. */
#define GV_SCHED_SETTLE_MS 30
/* From a failed hold to the next. */
#define GV_SCHED_HOLD_RETRY_MS 150
/* A target's clock offset is used for this long after its last response.
   With GV_SCHED_SLOW_CLOCK_PERCENT the error is then 0.2 s, which the lease
   slack covers. */
#define GV_SCHED_CLOCK_VALID_MS 10000
/* Longest time between two passes of placement over all services. */
#define GV_SCHED_TICK_MS 100
/* Time between two updates of all targets; those that an event concerns are
   updated at once. */
#define GV_SCHED_SWEEP_MS 25
/* The critical paths of a job are computed again after this time, as run times
   are learned. */
#define GV_SCHED_PATH_MS 1000
/* A target's list of running tasks counts as current for this long: one hold
   and its time-out. */
#define GV_SCHED_LIST_MAX_AGE_MS 2000
/* An unconfirmed stop order is repeated after this time. */
#define GV_SCHED_STOP_REPEAT_MS 300
/* Start orders sent for a run before an unanswered one is given up. */
#define GV_SCHED_START_TRIES 2
/* A target gets no new tasks for this long after an unanswered or refused
   start, a report of bad health or a failed connect. */
#define GV_SCHED_TARGET_BACKOFF_MS 500
/* The same after a refusal because the target is full: room appears when one
   short task ends. */
#define GV_SCHED_FULL_BACKOFF_MS 100
/* After this many failed runs in a row a target gets no new tasks for
   GV_SCHED_AVOID_MS. On a healthy target 3% fail, so that three in a row by
   chance are one in 30,000. */
#define GV_SCHED_FAILURES 3
/* A crash of a target comes soon after the start of a run if its connections
   break off within this time: the way of the start and of its answer, and a
   turn of the event loop of a busy host. A task that crashes targets mostly
   does so then.
 */
#define GV_SCHED_CRASH_SOON_MS 250
/* Crashes at any time after which a task runs alone. */
#define GV_SCHED_SUSPECT_CRASHES 3
/* A job fails after so many crashes of targets soon after starts of one task,
   and after so many with those at other times, also if other tasks ran beside
   it; the last one counts twice if none did. */
#define GV_SCHED_CRASHES_MAX  4
#define GV_SCHED_DOUBTFUL_MAX 5
/* A long-running task that crashes its targets is not given up. It starts
   again after this wait: short of the 6 s in which such a task has to run
   again, and long against the 0.3 s in which it would take one target after
   the other. */
#define GV_SCHED_CRASHER_WAIT_MS 4000
/* A target that does not check its room gets no start while the records of the
   targets were read longer ago than this. One that has shrunk reports it
   within 1.5 s, and starts count against the smaller room 4.5 s after it has
   shrunk; this leaves an order one second to arrive. */
#define GV_SCHED_RECORDS_MAX_AGE_MS 2000
/* The list of hosts may be this much behind the entries of the targets: as
   long as it may be behind an accepted order. */
#define GV_SCHED_HOST_LIST_LAG_MS 1000
/* A stop by an earlier leader has ended its run by then: it was sent before
   the claim, is answered within 0.7 s, and takes up to 0.9 s on the target. */
#define GV_SCHED_STOP_SHOWS_MS 2000
/* A long-running task that has served for so long does not crash its target:
   twenty times the time in which one that does is expected to. */
#define GV_SCHED_SERVED_MS 2000
/* A suspect that finds no empty target for this long may run beside others
   where most room is free, and after the longer time anywhere: no task waits
   for ever if long-running ones are on every target. */
#define GV_SCHED_ALONE_WAIT_MS     2500
#define GV_SCHED_ALONE_WAIT_MAX_MS 10000
/* Targets of a service, divided by this, that are set aside for suspects at
   the same time while other tasks wait: one target holds about ten tasks, but
   a single suspect. */
#define GV_SCHED_ASIDE_DIVISOR 4
/* The demand of tasks that will miss their deadline anyway is divided by this,
   so that they do not take hosts from tasks that can meet theirs. */
#define GV_SCHED_LATE_DIVISOR 4
#define GV_SCHED_AVOID_MS     5000

/* A leader appends at least every GV_LEAD_RENEW_MS. From the sending of an
   append that was stored it may give orders for GV_LEAD_ORDERS_MS and hold
   targets for GV_LEAD_HOLDS_MS. Another host claims the lease no sooner than
   GV_LEAD_TIMEOUT_MS after it has read the newest record. The difference
   covers clocks that differ by GV_LEAD_DRIFT_PERCENT, one turn of the event
   loop (GV_LEAD_TURN_MS) and the way of the last bytes (GV_LEAD_WAY_MS). */
#define GV_LEAD_RENEW_MS      500
#define GV_LEAD_ORDERS_MS     1500
#define GV_LEAD_HOLDS_MS      6000
#define GV_LEAD_TIMEOUT_MS    2000
#define GV_LEAD_DRIFT_PERCENT 2
#define GV_LEAD_TURN_MS       150
#define GV_LEAD_WAY_MS        250
_Static_assert(GV_LEAD_TIMEOUT_MS *(100 - GV_LEAD_DRIFT_PERCENT) / 100 >
                   GV_LEAD_ORDERS_MS + GV_LEAD_TURN_MS + GV_LEAD_WAY_MS,
               "two leaders could give orders at the same time");

/* A leader that gives the lease up stores how long the leases of targets last.
   Until then it goes on to renew those of targets that answer, for this long
   after its first try: the next leader mostly holds them sooner. */
#define GV_LEAD_RESIGN_HOLDS_MS 1000
/* Largest size of that in a record: about 4,000 targets. */
#define GV_LEAD_LEASES_BYTES (128 * 1024)
/* No lease lasts longer; a record that says so is malformed. */
#define GV_LEAD_LEASE_LEFT_MAX_MS 60000

/* Claims of leadership by different entry hosts are delayed by up to this many
   steps; a step is longer than it takes until the others have read a claim. */
#define GV_LEAD_RANKS   8
#define GV_LEAD_RANK_MS 30

/* Calls of the store between a renewal and its reading by others: the leader's
   time-out grows by the mean duration of so many calls. */
#define GV_LEAD_TIMEOUT_CALLS 6
/* From a failed append to the next attempt. */
#define GV_LEAD_RETRY_MS 60

/* Intake of jobs: appends in progress at once, and requests in one append.
   Further submissions wait for the next append. */
#define GV_INTAKE_APPENDS 2
#define GV_INTAKE_BATCH   64
/* No record is added to a batch of this size: with the largest record, it
   stays below what the store takes in one call. */
#define GV_INTAKE_BATCH_BYTES (1024 * 1024)
/* Share of the process's memory for all jobs. Jobs over
   GV_INTAKE_SMALL_JOB_BYTES are refused earlier, so that they leave room for
   others. */
#define GV_INTAKE_JOBS_PERCENT       18
#define GV_INTAKE_LARGE_JOBS_PERCENT 75
#define GV_INTAKE_SMALL_JOB_BYTES    (16 * 1024)
/* Retry-After of a request that the store did not take, and of a submission
   for which there is no memory. */
#define GV_INTAKE_REFUSED_RETRY_MS 1000
#define GV_INTAKE_FULL_RETRY_MS    2000
/* From an append without a certain result to its repetition. */
#define GV_INTAKE_RETRY_MS 80
/* An append without a certain result may be executed for so long: "seconds" by
   the platform's page, taken to be as long as for orders. */
#define GV_INTAKE_LATE_MS GV_SCHED_LATE_ORDER_MS
/* Submissions remembered whose append has no certain result; beyond that the
   oldest ones are forgotten. */
#define GV_INTAKE_UNSETTLED_MAX 4096
/* Early cancellations that are kept, of all entry hosts together. Beyond that,
   one of an unknown job is refused unless this host knows a submission of it
   that may still be stored. */
#define GV_INTAKE_EARLY_CANCELS_MAX 4096
/* Greatest age of the number of pending jobs in a response; if the data is
   older, the store is read first. */
#define GV_INTAKE_COUNT_AGE_MS 2000

/* Pages of stored state that an entry host loads at the same time. A page of
   1 MB takes 0.9 s on the slowest link, and its time-out is 2.6 s. */
#define GV_LOAD_GATE_FIRST   2
#define GV_LOAD_GATE_MAX     10
#define GV_LOAD_GATE_FAST_MS 400

/* Pace of reads of the store by one entry host: a refused read makes the
   intervals half as long again, at most once in GV_READ_PACE_LENGTHEN_MS and
   up to GV_READ_PACE_MAX_PERMILLE of the usual ones, if another read was
   carried out within GV_READ_PACE_ANSWERED_MS. Each GV_READ_PACE_SHORTEN_MS
   they lose one part in GV_READ_PACE_SHORTEN_DIVISOR: slow against the growth,
   so that few reads are refused. The longest mean interval of progress, 640
   ms, leaves three reads within GV_LEAD_TIMEOUT_MS. */
#define GV_READ_PACE_LENGTHEN_MS     400
#define GV_READ_PACE_MAX_PERMILLE    8000
#define GV_READ_PACE_ANSWERED_MS     500
#define GV_READ_PACE_SHORTEN_MS      1000
#define GV_READ_PACE_SHORTEN_DIVISOR 50
/* Reads of which little depends are rarer for so long after a refusal. */
#define GV_READ_PACE_LIMITED_MS 60000

/* Pools of hosts. Only this part of a host's cpu counts as capacity, since
   tasks do not divide evenly over hosts. */
#define GV_POOL_FILL_PERCENT 85
/* A pool is sized for this multiple of the arriving work, because a burst
   keeps rising for about as long as a host takes to be moved. */
#define GV_POOL_ARRIVAL_FACTOR 2
/* Hosts that a pool keeps without load, so that new work starts at once. */
#define GV_POOL_MIN_HOSTS 2
/* A spare host is turned off after it has been idle for this long: longer than
   the usual time between bursts, because a host that is off would start too
   late for the next one. */
#define GV_POOL_POWER_OFF_MS 20000
/* Hosts that have been idle for this long are spread over the pools while the
   headroom of two pools differs by at least GV_POOL_SPREAD_HOSTS. */
#define GV_POOL_SPREAD_IDLE_MS 1200
#define GV_POOL_SPREAD_HOSTS   8
/* A host with more running tasks is not moved. One that is to move gets no new
   tasks; the move is given up if tasks still run after GV_POOL_MOVE_WAIT_MS,
   in which most short tasks end. */
#define GV_POOL_MOVE_RUNS_MAX 4
#define GV_POOL_MOVE_WAIT_MS  2500
/* Time between two steps of the operations of all hosts. */
#define GV_POOL_STEP_MS 50
/* Former targets remembered of each host. Entries of ended targets lapse after
   4.5 s; two moves take at least 3 s. */
#define GV_POOL_FORMER_MAX 8
/* Time between two plans and between two log lines of pool sizes; most moves
   in one plan. */
#define GV_POOL_PLAN_MS   100
#define GV_POOL_LOG_MS    1000
#define GV_POOL_MOVES_MAX 64
/* A host whose target is older than this has had no order lately, since each
   order ends with a new target. Covers the lease of an earlier leader, and
   clocks that differ by some seconds. */
#define GV_POOL_TARGET_MIN_AGE_MS 9000
/* Time between two reads of the host list while operations are in progress,
   and otherwise. */
#define GV_POOL_LIST_MS      300
#define GV_POOL_LIST_IDLE_MS 600
/* An accepted order shows in every list of hosts that is requested this long
   after it. */
#define GV_POOL_ORDER_SHOWS_MS 1000
/* From a failed order to the next attempt. */
#define GV_POOL_RETRY_MS 300
/* Longest time from a refused order for a host to the next one: as long as it
   takes to empty a host, after which one that is leaving has gone. */
#define GV_POOL_REFUSED_MAX_MS 2400
/* Short tasks on a host that is due for maintenance are stopped after this
   time; four out of five end before. */
#define GV_POOL_WAVE_WAIT_MS 2000
/* Hosts with long-running tasks that are emptied at the same time. */
#define GV_POOL_LONG_RUNNING_HOSTS 3
/* A wave is planned to end this long before its deadline. */
#define GV_POOL_WAVE_MARGIN_MS 4000

/* Load: arriving work is summed over GV_LOAD_BINS bins, so that a burst shows
   within a fraction of a second. Fewer than GV_LOAD_MIN_JOBS jobs count as no
   load, so that a single large job is not taken for a burst. */
#define GV_LOAD_BIN_MS   250
#define GV_LOAD_BINS     4
#define GV_LOAD_MIN_JOBS 3
/* The mean run time of a queue replaces the estimates of its jobs after
   GV_LOAD_MIN_RUNS runs, and weights a new run as one of at most
   GV_LOAD_MEAN_RUNS. */
#define GV_LOAD_MIN_RUNS  20
#define GV_LOAD_MEAN_RUNS 200

/* A burst begins when the load reaches GV_RHYTHM_BURST_FACTOR times its mean,
   and ends after GV_RHYTHM_LOW_MS below the mean. Intervals between bursts
   outside GV_RHYTHM_MIN_MS to GV_RHYTHM_MAX_MS are ignored: too short to act
   on, or too long to have been seen twice. */
#define GV_RHYTHM_BURST_FACTOR 2.0
#define GV_RHYTHM_LOW_MS       1000
#define GV_RHYTHM_MIN_MS       5000
#define GV_RHYTHM_MAX_MS       300000
/* A burst is no longer expected this long after its time. Hosts are moved
   ahead of it by the time that a move takes plus GV_RHYTHM_AHEAD_MS for the
   start of the target. */
#define GV_RHYTHM_LATE_MAX_MS 1500
#define GV_RHYTHM_AHEAD_MS    800
/* A new scheduler counts the arrivals of this time before its start. */
#define GV_LOAD_HISTORY_MS 90000

/* Advice service: targets in one request, since a response takes some time for
   each, and open requests of this scheduler. A machine may have 32 requests
   waiting. */
#define GV_ADVICE_TARGETS  16
#define GV_ADVICE_OPEN_MAX 8
/* From a failed request, or one that found no target, to the next. */
#define GV_ADVICE_RETRY_MS 500
/* Advice is used until this long before it expires. */
#define GV_ADVICE_MARGIN_MS 200

/* Expected run times: combinations of queue, image and shape of a step that
   are kept, about 190 KB; the one used longest ago is dropped. */
#define GV_RUN_TIME_KEYS 256
/* Buckets of a distribution, from 1 ms to 18 h. */
#define GV_RUN_BUCKETS            104
#define GV_RUN_BUCKETS_PER_OCTAVE 4
/* Ratios are kept as multiples of 1 / GV_RUN_RATIO_SCALE. */
#define GV_RUN_RATIO_SCALE 1024.0
/* Weight of a run whose target is sound and near its data; that of others is
   1. */
#define GV_RUN_TIME_FULL_WEIGHT 4
/* A distribution counts with this many runs; at GV_RUN_TIME_MAX_RUNS all are
   given half of their weight. */
#define GV_RUN_TIME_MIN_RUNS 10
#define GV_RUN_TIME_MAX_RUNS 200
/* Standard deviations from the 50th to the 90th percentile, and the least
   variance that is reckoned with, as buckets are this coarse. */
#define GV_RUN_TIME_Z90          1.2816
#define GV_RUN_TIME_MIN_VARIANCE 0.01
/* High over typical time of work about which nothing is known. */
#define GV_RUN_TIME_UNKNOWN_SPREAD 3
/* A target is slow if its newest runs took 2^GV_RUN_PACE_SLOW times as long as
   expected in the geometric mean, for GV_RUN_PACE_KEEP_MS after its newest
   run. */
#define GV_RUN_PACE_MIN_RUNS 4
#define GV_RUN_PACE_RUNS     8
#define GV_RUN_PACE_MAX      2.0
#define GV_RUN_PACE_SLOW     0.8
#define GV_RUN_PACE_KEEP_MS  10000
/* A run that takes this many times the high time stands. */
#define GV_RUN_TIME_STANDING 3
/* Record of the run times: its size, that of a row without its distributions,
   and the least time between two. It is written if a typical time has changed
   by a factor of 2^GV_RUN_TIME_CHANGE. */
#define GV_RUN_TIME_RECORD_BYTES 4000
#define GV_RUN_TIME_ROW_BYTES    18
#define GV_RUN_TIME_SAVE_MS      5000
#define GV_RUN_TIME_CHANGE       0.2

#endif
