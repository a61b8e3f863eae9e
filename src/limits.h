#ifndef GV_LIMITS_H
#define GV_LIMITS_H

/* All tunable constants of the project, each with its unit. */

/* Names (service, pool, host, team, entry host) */
#define GV_NAME_MAX_BYTES 63

/* Requests */
#define GV_BODY_MAX_BYTES    (1024 * 1024)
#define GV_HTTP_HEADER_BYTES (16 * 1024)
#define GV_HTTP_CONNECTIONS  2048
#define GV_HTTP_THREADS      4
/* A caller that sends nothing for this long is disconnected. */
#define GV_HTTP_TIMEOUT_S 30
/* Requests in progress: of callers, of peers and runs for tickets. */
#define GV_REQUESTS_MAX           (3 * GV_HTTP_CONNECTIONS)
#define GV_DEADLINE_DEFAULT_MS    5000
#define GV_DEADLINE_MAX_MS        (60 * 60 * 1000)
#define GV_QUEUE_DEFAULT_REQUESTS 1000
#define GV_SHARDS                 16

/* Peer frames: one whole ledger snapshot has to fit. */
#define GV_FRAME_MAX_BYTES   (2 * 1024 * 1024)
#define GV_FRAME_VERSION     1
#define GV_PEER_OUTPUT_BYTES (4 * 1024 * 1024)
#define GV_HEARTBEAT_MS      500
/* Three missed heartbeats of an idle entry host, six of a busy one: shorter
   pauses are common on small hosts. */
#define GV_PEER_DEAD_MS    3000
#define GV_PEER_CONNECT_MS 1000
/* An idle link is kept from counting as silent by a HELLO this often. */
#define GV_PEER_KEEPALIVE_MS     1000
#define GV_PEER_IDLE_MS          (60 * 1000)
#define GV_PEER_BACKOFF_MS       100
#define GV_PEER_BACKOFF_MAX_MS   2000
#define GV_PEER_FLUSH_MS         500
#define GV_PEER_CALLS_MAX        4096
#define GV_PEER_CONNECTIONS      1024
#define GV_LEDGERSYNC_TIMEOUT_MS 2000

/* Log */
#define GV_RECORD_MAX_BYTES   (1024 * 1024)
#define GV_RECORD_FORMAT      1
#define GV_APPEND_MAX_RECORDS 64
#define GV_RECORD_KIND_BYTES  15
#define GV_RECORD_TTL_MS      (10 * 60 * 1000)
/* A creation time further ahead of the append time shows a wrong clock. */
#define GV_RECORD_SKEW_MS          (5 * 60 * 1000)
#define GV_ORIGIN_KEEP_MS          (60 * 60 * 1000)
#define GV_LOG_POLL_MS             2000
#define GV_LOG_READ_MAX_RECORDS    512
#define GV_REPLICA_RING_RECORDS    1024
#define GV_CHECKPOINT_RECORDS      2000
#define GV_PLATFORM_TIMEOUT_MS     5000
#define GV_PLATFORM_BACKOFF_MS     250
#define GV_PLATFORM_BACKOFF_MAX_MS 5000

/* Settings files */
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
/* Longest deadline of a service that sets none. */
#define GV_DEADLINE_MAX_DEFAULT_MS 60000
#define GV_QUEUE_LIMIT_REQUESTS    100000

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
#define GV_TOMBSTONES_MAX     1024 /* hosts that are gone */
/* A host list lags by seconds; six hours cover an entry host that resumes
   with an old list after a long pause. */
#define GV_TOMBSTONE_KEEP_MS (6 * 60 * 60 * 1000)

/* At-most-once table */
#define GV_TICKET_TTL_MS (10 * 60 * 1000)
/* Answers stay available this long after the ticket's expiry, so that a
   caller that repeats late learns the outcome instead of "unknown". */
#define GV_TICKET_GRACE_MS   (60 * 1000)
#define GV_ONCE_MAX_ENTRIES  65536
#define GV_ONCE_ANSWER_BYTES (64 * 1024)
#define GV_KEY_TTL_MS        (60 * 60 * 1000)
#define GV_KEYS_MAX          12288
#define GV_KEY_BATCH         64

/* All shards together; a larger response is kept as its outcome only. */
#define GV_ONCE_ALL_ANSWERS_BYTES (8 * 1024 * 1024)
#define GV_ONCE_MAX_WAITERS       256
#define GV_KEY_MAX_BYTES          255
#define GV_KEY_CLAIM_TIMEOUT_MS   5000

/* Targets */
#define GV_TARGET_SLOTS       8
#define GV_TARGET_CONNECTIONS 64
/* A silent target is found after at most this time and two time-outs: 5 s. */
#define GV_PROBE_INTERVAL_MS 3000
/* Between two reads of the host list. */
#define GV_HOSTLIST_INTERVAL_MS 2000
/* Between probes of a target whose last probe failed. */
#define GV_PROBE_RETRY_MS   1000
#define GV_PROBE_TIMEOUT_MS 1000
/* Added to the run limit sent to a target before an abandoned exchange is
   counted as ended: covers clock rate differences and delivery. */
#define GV_ABANDON_GRACE_MS   1000
#define GV_RACK_HOSTS_OUT_MAX 1

/* Loans of slots: short, because a lender that gets work of its own waits for
   their end. In bench, loans of 2000 ms asked for every 500 ms left short work
   waiting 1072 ms at p99, these times 422 ms. */
#define GV_LOAN_MS         400
#define GV_LOAN_REQUEST_MS 200

/* A refusal by a full target says nothing about its load after about one
   short run. */
#define GV_REFUSED_KEEP_MS 50

/* Daemon threads */
#define GV_TIMER_TICK_MS        50
#define GV_MAINTAIN_INTERVAL_MS 200
/* Maintenance: an entry host that ranks behind another for a task waits this
   long for each rank, which is longer than an append takes to be read. */
#define GV_RANK_STEP_MS 1500
/* A wave that could go on but has made no progress for this time goes on in
   the next data centre. Longer than GV_MAINTAIN_APPEND_MS, so that the first
   one can repeat a lost append. */
#define GV_WAVE_TURN_MS 6000
/* An append by the maintenance thread is not repeated before this time. */
#define GV_MAINTAIN_APPEND_MS 5000
/* Longer than a probe interval, so that one lost probe changes nothing. */
#define GV_HOST_UNHEALTHY_MS  5000
#define GV_HOST_HEALTHY_MS    2000
#define GV_REBOOT_REPEAT_MS   30000
#define GV_REBOOT_MAX_MS      (15 * 60 * 1000)
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
/* Without a platform the append cannot succeed soon. */
#define GV_LEAVE_OUTAGE_MS 1000

/* HTTP client: a server that closes idle connections does so after some
   seconds; a younger connection is rarely closed while a request is on its
   way. */
#define GV_HTTP_IDLE_MS 2000

/* Platform client and log reader */
#define GV_LOG_PAGE_BYTES     (2 * 1024 * 1024)
#define GV_HOSTLIST_BYTES     (4 * 1024 * 1024)
#define GV_REPLICA_RING_BYTES (4 * 1024 * 1024)
/* Raw records for a peer, less than one frame. */
#define GV_REPLICA_COPY_BYTES (GV_FRAME_MAX_BYTES - GV_RECORD_MAX_BYTES)
/* Between requests for a peer's records during an outage: a change has to be
   in force within seconds. */
#define GV_PEER_POLL_MS 1000

/* Appender */
#define GV_RECORD_ENVELOPE_BYTES 256
#define GV_APPEND_QUEUE_MAX      1024
/* Added to a record's time-out when its expiry is set: the platform's clock
   may differ from this host's. */
#define GV_APPEND_SKEW_MS (60 * 1000)

/* Checkpoints: a random delay, longer than an append takes to be read by all
   entry hosts, makes mostly one of them write it. */
#define GV_CHECKPOINT_DELAY_MS 5000
/* A log that retains few records drops a checkpoint before
   GV_CHECKPOINT_RECORDS have passed; below this many it is merely short. */
#define GV_CHECKPOINT_MIN_RECORDS 64

/* Probes: one lost probe is common while a target is busy; two in a row are
   not. */
#define GV_PROBE_FAILURES 2
/* A probe of a silent target takes two time-outs. At the target size an entry
   host probes about 42 targets; 16 threads get through the time-outs of all of
   them in 6 s. */
#define GV_PROBE_THREADS 16
/* Periodic probes keep a connection for this long. A kept connection may
   still be answered by a target that accepts no new ones. */
#define GV_PROBE_RENEW_MS   30000
#define GV_TARGET_SLOTS_MAX 1024
/* Decisions */
#define GV_ESTIMATE_KINDS 256
/* Weight of a new run time in the mean once a kind is known: the mean then
   follows a change within about 16 runs. */
#define GV_ESTIMATE_SAMPLES 16
/* Refusals ask the caller to wait at least this long, so that a short queue
   does not invite a burst of repeats. */
#define GV_RETRY_AFTER_MIN_MS 100
#define GV_RETRY_AFTER_MAX_MS 30000
/* Retries that are allowed before any request has earned one. */
#define GV_RETRY_RESERVE 3
/* The budget remembers this many requests. */
#define GV_RETRY_WINDOW_REQUESTS 200
/* A job that failed on this many hosts is taken to be at fault itself. */
#define GV_RETRY_HOSTS_FAILED 3
#define GV_RETRY_ATTEMPTS     4
#define GV_RETRY_REQUEUES     16
#define GV_EJECT_FAILURES     5
#define GV_EJECT_WAIT_MS      1000
#define GV_EJECT_WAIT_MAX_MS  60000
/* A trial that is due waits this long for an idempotent request, which can be
   retried elsewhere, before it takes any; a service may have no others. */
#define GV_EJECT_PREFER_MS 5000
/* Least time between two moves of a pool, before it takes a host and before
   it gives one away; the latter for equal weights, more when waiting weighs
   more. With 60 s the bursts of one queue after the other moved hosts to and
   fro four times a minute in bench. */
#define GV_RESERVE_UP_MS   5000
#define GV_RESERVE_DOWN_MS 300000

/* Decision log: a line is at most this long; the buffer holds what a slow
   reader has not taken yet; the rate covers the starts and ends of some 30
   jobs of 15 tasks each in a busy second. */
#define GV_EVLOG_LINE_BYTES   600
#define GV_EVLOG_BUFFER_BYTES (64 * 1024)
#define GV_EVLOG_LINES_PER_S  1000

/* Jobs */
#define GV_JOB_ID_BYTES   16
#define GV_JOB_SPEC_BYTES 4000
#define GV_JOB_STEPS_MAX  256
/* Of all occurrences together; bounds one progress record to about 250 KB. */
#define GV_JOB_TASKS_MAX 4096

/* Partitions of accepted work: a bit each of one word. */
#define GV_JOB_PARTS_MAX 64
/* Added to the time for which an ended job is shown: a submission may be
   repeated seconds after its answer, and entry hosts differ by seconds in
   when they first see the end. */
#define GV_JOB_KEEP_EXTRA_MS 60000
/* Between the drop of a job's definition and that of its progress: by then
   every entry host has read the first. A definition without progress would
   run anew. */
#define GV_JOB_PROGRESS_KEEP_MS 60000
/* Jobs that have ended are looked for this often, and at most so many are
   dropped in one go. Drops that were lost are repeated after
   GV_JOB_PROGRESS_KEEP_MS.
 */
#define GV_JOB_RETIRE_MS  10000
#define GV_JOB_RETIRE_MAX 1000

/* Full name of a task: its job's identifier and three numbers. */
#define GV_TASK_NAME_BYTES 64

/* Scheduler. A lease outlives one lost hold and the change of the leader,
   and is no longer than that: work on a target that falls silent
   starts again only after it. */
#define GV_SCHED_LEASE_MS       4500
#define GV_SCHED_LEASE_SLACK_MS 300
/* A hold waits this long for an end; a quarter of the lease. */
#define GV_SCHED_HOLD_WAIT_MS  1000
#define GV_SCHED_HOLD_RETRY_MS 150
/* Clocks of targets may run 2% slow: after this time one is off by 0.2 s,
   which the lease slack covers. */
#define GV_SCHED_CLOCK_VALID_MS 10000
#define GV_SCHED_TICK_MS        100
/* A list older than one hold and its time-out proves nothing. */
#define GV_SCHED_LIST_MAX_AGE_MS 2000
/* A scheduler without the store goes on holding for at most this long. */
#define GV_SCHED_UNCONFIRMED_MAX_MS 6000
#define GV_SCHED_STOP_REPEAT_MS     300
#define GV_SCHED_START_TRIES        2
/* After an unanswered start, an unhealthy answer or a failed connect. */
#define GV_SCHED_TARGET_BACKOFF_MS 500
/* After a refusal for want of room: one short task later there may be some. */
#define GV_SCHED_FULL_BACKOFF_MS 100
/* Runs in a row that fail on a target: 3% of a healthy one's fail, so three
   in a row by chance are one in 30,000. */
#define GV_SCHED_FAILURES 3
/* Work that will be late anyway asks for hosts with a part of its demand, so
   that it does not keep them from work that can be in time. */
#define GV_SCHED_LATE_DIVISOR 4
#define GV_SCHED_AVOID_MS     5000

/* Claims of the lease are spread over this many steps; a step is longer than
   an append of a claim takes to be read by the others. */
#define GV_LEAD_RANKS   8
#define GV_LEAD_RANK_MS 30

/* Calls of the store that pass between a renewal and its reading. */
#define GV_LEAD_TIMEOUT_CALLS 6
/* Between two tries of an append that was refused. */
#define GV_LEAD_RETRY_MS 60

/* Intake: appends of accepted work that may be open at once; further
   submissions wait for the next append. */
#define GV_INTAKE_APPENDS  2
#define GV_INTAKE_BATCH    64
#define GV_INTAKE_RETRY_MS 80
/* A count of waiting jobs may be so old; an older one is read first. */
#define GV_INTAKE_COUNT_AGE_MS 2000

/* Pools. Tasks do not divide evenly over hosts: this much of a host's cpu is
   counted on. */
#define GV_POOL_FILL_PERCENT 85
/* A pool is sized for so many times the work that arrives: a burst rises for
   about as long as hosts take to come. */
#define GV_POOL_ARRIVAL_FACTOR 2
/* A pool keeps this many hosts, so that work that comes anew begins at once.
 */
#define GV_POOL_MIN_HOSTS 2
/* A host that has been empty for so long is turned off: longer than the usual
   time between bursts, since a host that is off comes too late for the next.
 */
#define GV_POOL_POWER_OFF_MS 20000
/* Hosts that have been empty for so long are spread over the pools while two
   pools differ by so many in what they have to spare. */
#define GV_POOL_SPREAD_IDLE_MS 1200
#define GV_POOL_SPREAD_HOSTS   8
/* A host that is to move gets no new tasks and waits for so many short ones
   at most, for no longer than most of them take. */
#define GV_POOL_MOVE_RUNS_MAX 4
#define GV_POOL_MOVE_WAIT_MS  2500
#define GV_POOL_PLAN_MS       100
#define GV_POOL_LOG_MS        1000
#define GV_POOL_MOVES_MAX     64
/* A target that is older has not been moved or maintained lately: the lease
   between two holders of orders, and clocks that differ by some seconds. */
#define GV_POOL_TARGET_MIN_AGE_MS 9000
/* Between two lists of the hosts, while some are on their way and else. */
#define GV_POOL_LIST_MS      300
#define GV_POOL_LIST_IDLE_MS 600
#define GV_POOL_RETRY_MS     300
/* Short tasks on a host that is due for maintenance may end by themselves for
   this long; four of five take less. */
#define GV_POOL_WAVE_WAIT_MS 2000
/* Hosts with lasting tasks that are emptied at the same time. */
#define GV_POOL_LONG_RUNNING_HOSTS 3
#define GV_POOL_WAVE_MARGIN_MS     4000

/* Arrivals are summed up over GV_LOAD_BINS bins: a burst shows within a
   fraction of a second, a single large job does not count as one. */
#define GV_LOAD_BIN_MS    250
#define GV_LOAD_BINS      4
#define GV_LOAD_MIN_JOBS  3
#define GV_LOAD_MIN_RUNS  20
#define GV_LOAD_MEAN_RUNS 200

/* Bursts: begin at this multiple of the mean load, end after it has been
   below the mean for a second. Intervals outside these bounds are too short to
   act on, or too long to have been seen twice. */
#define GV_RHYTHM_BURST_FACTOR 2.0
#define GV_RHYTHM_LOW_MS       1000
#define GV_RHYTHM_MIN_MS       5000
#define GV_RHYTHM_MAX_MS       300000
/* An expected burst that has not come by so much after its time is given up;
   hosts are moved ahead of it by the time of a move and its start. */
#define GV_RHYTHM_LATE_MAX_MS 1500
#define GV_RHYTHM_AHEAD_MS    800
/* Arrivals of an earlier scheduler that a new one learns from. */
#define GV_LOAD_HISTORY_MS 90000

/* Advice: an answer takes some time for each target asked about, and a machine
   may have 32 questions waiting. */
#define GV_ADVICE_TARGETS   16
#define GV_ADVICE_OPEN_MAX  8
#define GV_ADVICE_RETRY_MS  500
#define GV_ADVICE_MARGIN_MS 200

#endif
