#include <stddef.h>

#include "skr/log.h"

/* In the order of event numbers.  tests/base/test_events.c compares it with
   docs/EVENTS.md.  */
const struct lg_entry lg_catalogue[] = {
  /* base */
  { LG_STARTED, LG_NOTICE, "started", "address",
    "The program listens and serves.", "none" },
  { LG_STOPPING, LG_NOTICE, "stopping", "in_progress",
    "A stop was requested; requests in progress are finished first.", "none" },
  { LG_STOPPED, LG_NOTICE, "stopped", "cut",
    "The program ends; cut counts requests that it could not finish.",
    "investigate if cut is not 0" },

  { LG_RELOADED, LG_NOTICE, "reloaded", "file cause reason",
    "The settings file was read again and its values are in effect.", "none" },
  { LG_RELOAD_REFUSED, LG_WARNING, "reload-refused", "file cause reason",
    "The settings file is invalid; the previous values stay in effect.",
    "correct the file" },
  { LG_LINES_DROPPED, LG_WARNING, "lines-dropped", "of lines",
    "In the last second so many lines of one event were dropped beyond its "
    "limit, or (of output) because the output was not writable.",
    "raise log-rate if the lines are needed" },
  { LG_CRASHED, LG_ERROR, "crashed",
    "signal address build term id occurrence step task frames",
    "A signal ends the process, at that address of memory. term is that of "
    "the lease held; id and what follows name the job and task that the "
    "thread worked on, if any; frames are code addresses, the innermost "
    "first.",
    "see OPERATIONS.md, a VM that restarted by itself" },

  /* net */
  { LG_LISTEN_FAILED, LG_ERROR, "listen-failed", "address reason",
    "The address could not be bound.", "free the port or change the setting" },
  { LG_CLIENTS_GIVEN_UP, LG_WARNING, "clients-given-up",
    "listener closed dropped open body_bytes",
    "In the last second connections were closed, as others came, or "
    "unfinished bodies were dropped, whose requests get 503 not run; open and "
    "body_bytes are what clients hold now.",
    "if it lasts, see MEMORY.md: clients misbehave, or the VM needs higher "
    "limits" },

  /* table */
  { LG_TABLE_DOWN, LG_WARNING, "table-down", "reason",
    "The platform's table does not answer.",
    "check the platform; see OPERATORS.md, store outage" },
  { LG_TABLE_BACK, LG_NOTICE, "table-back", "down_ms",
    "The platform's table answers again.", "none" },

  /* control */
  { LG_CELL_TAKEN, LG_NOTICE, "cell-taken", "cell epoch",
    "This VM holds the lease of the cell.", "none" },
  { LG_CELL_LOST, LG_WARNING, "cell-lost", "cell epoch",
    "The lease of the cell expired or was taken by another VM.",
    "none, unless it repeats: then check the VM's load" },

  { LG_CELL_RELEASED, LG_NOTICE, "cell-released", "cell epoch",
    "This VM released the cell so that another VM can take it.", "none" },
  { LG_CELL_RECOVERED, LG_NOTICE, "cell-recovered",
    "cell epoch jobs adopted requeued unknown took_ms",
    "The cell's state was rebuilt from the table and the workers.", "none" },
  { LG_CELL_LAPSED, LG_WARNING, "cell-lapsed", "cell epoch",
    "The lease could not be renewed in time; no new task starts until it is "
    "renewed.",
    "check the platform's table" },
  { LG_WORKER_UP, LG_INFO, "worker-up", "cell worker",
    "The worker answers and accepts tasks.", "none" },
  { LG_WORKER_LEAVING, LG_INFO, "worker-leaving", "cell worker",
    "The worker is leaving and gets no new tasks.", "none" },
  { LG_WORKER_DOWN, LG_WARNING, "worker-down", "cell worker",
    "The worker did not answer before its leases expired.",
    "check the worker" },
  { LG_WORKER_QUARANTINED, LG_WARNING, "worker-quarantined",
    "cell worker reason",
    "Tasks fail on the worker that do not fail on others.",
    "check the worker" },
  { LG_WORKER_READMITTED, LG_NOTICE, "worker-readmitted", "cell worker",
    "A probe on the worker succeeded.", "none" },
  { LG_DECIDE_FAILED, LG_ERROR, "decide-failed", "cell event error broken",
    "The decision layer refused an event or found a violated invariant.",
    "report it with the log" },
  { LG_GUARANTEE_REFUSED, LG_WARNING, "guarantee-refused",
    "cell account reason", "The account's guarantee does not fit the cell.",
    "check the fleet, then the allowances" },
  { LG_PEER_KEYS, LG_NOTICE, "peer-keys", "path error",
    "The file of peer keys has changed and was read.",
    "if error is not 0, correct the file; the old keys stay in use" },
  { LG_CONFIG_APPLIED, LG_NOTICE, "config-applied", "plans allowances",
    "Newer versions of the lists of plans and allowances are in effect on "
    "this VM.",
    "none" },
  { LG_JOB_ROW_BAD, LG_ERROR, "job-row-bad", "cell job",
    "The row of a job is malformed; the job is refused.",
    "find out which program wrote the row" },
  { LG_JOB_MOVED, LG_NOTICE, "job-moved", "cell job to",
    "The job no longer fits the cell and was moved to another cell.",
    "check the cell's workers" },
  { LG_JOB_NO_ROOM, LG_WARNING, "job-no-room", "cell job",
    "The job no longer fits any cell of the fleet and is ended.",
    "check the fleet" },
  { LG_TABLE_PUT_BACK, LG_ERROR, "table-put-back", "cell epoch",
    "The platform's table holds an older state than the one last written.",
    "see FAILURES.md, a table that is put back" },
  { LG_GUARANTEE_WAITS, LG_WARNING, "guarantee-waits", "cell account reason",
    "The cell has no capacity for part of the account's guarantee until work "
    "that must not be moved ends or a worker joins.",
    "check the fleet, then the allowances" },
  { LG_LEASE_TAKEN, LG_NOTICE, "lease-taken",
    "epoch turn version unchanged_ms reason",
    "This VM took the scheduler's lease and schedules multi-step jobs from "
    "now on.",
    "none" },
  { LG_LEASE_LOST, LG_WARNING, "lease-lost",
    "epoch turn version unchanged_ms reason",
    "Another VM schedules; this VM discarded its scheduling state.", "none" },
  { LG_LEASE_RELEASED, LG_NOTICE, "lease-released",
    "epoch turn version unchanged_ms reason",
    "The scheduler's lease was released because of a stop.", "none" },
  { LG_STEP_JOB_STATE, LG_INFO, "job-state", "id state epoch",
    "The state of a job that is shown to callers changed.", "none" },
  { LG_RUN_STARTED, LG_INFO, "task-started",
    "id occurrence step task run worker epoch answer status reason tries "
    "sends took_ms",
    "A worker was ordered to start a task; answer is the outcome of try "
    "number tries, which the HTTP client began to send so many times.",
    "none" },
  { LG_RUN_STOPPED, LG_INFO, "task-stopped",
    "id occurrence step task run worker epoch answer status reason tries "
    "sends took_ms",
    "A worker was ordered to stop a task.", "none" },
  { LG_RUN_ENDED, LG_INFO, "task-ended",
    "id occurrence step task run worker end",
    "A worker reported the end of a run of a task.", "none" },
  { LG_WORKER_BELIEF, LG_NOTICE, "worker-belief",
    "worker belief reason life failures",
    "The scheduler's view of the state of a worker changed.", "none" },
  { LG_QUEUES_APPLIED, LG_NOTICE, "queues-applied",
    "version queues accounts reason",
    "A configuration of queues and accounts is in effect.", "none" },
  { LG_QUEUES_REFUSED, LG_WARNING, "queues-refused",
    "version queues accounts reason",
    "A configuration is malformed; the previous one stays in effect.",
    "correct the configuration" },
  { LG_ROW_UNREADABLE, LG_WARNING, "row-unreadable", "table key",
    "A row of the store is malformed and is ignored.",
    "find out which program wrote the row" },
  { LG_JOB_KNOWN, LG_INFO, "job-known",
    "id queue account priority steps tasks accelerators chain_ms waited_ms "
    "recorded",
    "The scheduler loaded a job; recorded tells whether an earlier lease "
    "holder had started it.",
    "none" },
  { LG_NOT_SERVED, LG_WARNING, "not-served", "table key",
    "The operators request something that this release does not support.",
    "see docs/PLATFORM.md, not built" },
  { LG_LOOP_SLOW, LG_WARNING, "loop-slow",
    "took_ms events store_ms caller_ms order_ms listing_ms round_ms queued",
    "The main loop took long for one round of events and decisions; the times "
    "tell for what, and queued how many events wait.",
    "none, unless it repeats: then the VM is too small or overloaded" },
  { LG_RUN_LOST, LG_NOTICE, "task-lost",
    "id occurrence step task run worker cause neighbours crashes unresolved",
    "A run ended with its worker: the worker's process has ended (crash), or "
    "it was silent until its lease had expired (expired), after draining "
    "(left); neighbours counts the runs of other tasks on the worker, crashes "
    "the workers that crashed under the task, unresolved its losses that may "
    "have been crashes.",
    "if one task is lost again and again, look at the task" },
  { LG_WORKER_CAPACITY, LG_NOTICE, "worker-capacity",
    "worker cpu_milli memory_mb accelerators used_cpu_milli used_memory_mb "
    "used_accelerators",
    "The worker reports another capacity than before; used is what is ordered "
    "or runs there.",
    "none" },
  { LG_TASK_GIVEN_UP, LG_WARNING, "task-given-up",
    "id occurrence step task run crashes",
    "Workers have crashed under the task, of a gang under one of its tasks, "
    "again and again; its job fails.",
    "find out what the job does to its workers" },
  { LG_STARTS_HELD, LG_NOTICE, "starts-held", "held age_ms",
    "No task starts while the table of workers was not confirmed for too long "
    "(held 1), or tasks start again (held 0).",
    "check the platform's table" },
  { LG_ATTEMPT_LOST, LG_NOTICE, "attempt-lost",
    "cell job attempt lost_attempts given_up",
    "An attempt of a job was lost with a worker and is taken for the cause; "
    "given_up tells whether the job was ended for it.",
    "if one job is lost again and again, look at the job" },
  { LG_DOMAIN_CLOSED, LG_NOTICE, "domain-closed",
    "domain version workers runs closed_ms reason",
    "The operators evacuate a failure domain: nothing is started there, and "
    "what runs there goes on.  Version is that of the request's row.  The "
    "holder counts the workers and the runs there; others log -1.",
    "none; the request is withdrawn by deleting its row" },
  { LG_DOMAIN_REOPENED, LG_NOTICE, "domain-reopened",
    "domain version workers runs closed_ms reason",
    "The request to evacuate the domain was withdrawn, after closed_ms.  "
    "Version is that of the deletion, or 0 if a full scan of the table did "
    "not list the request.",
    "none" },
  { LG_EVACUATION_UNUSUAL, LG_WARNING, "evacuation-unusual",
    "key version reason",
    "A request to evacuate a failure domain names no domain or one without "
    "workers, has an unreadable value, or repeats another.  All but a request "
    "without a name count.",
    "check the row of the request" },
  { LG_EVACUATION_UNCONFIRMED, LG_NOTICE, "evacuation-unconfirmed",
    "held age_ms",
    "No task starts while the table of the operators' requests was not "
    "confirmed for too long, as a request may have been missed (held 1), or "
    "tasks start again (held 0).",
    "check the platform's table" },
  { LG_WORKER_SPEED, LG_INFO, "worker-speed",
    "worker was class speed_percent samples",
    "The worker's speed class has changed; speed_percent is the speed of its "
    "class relative to the fast workers, samples counts the runs that show "
    "it.",
    "if a worker turns slow alone, check the worker" },
  { LG_FLEET_SPEEDS, LG_NOTICE, "fleet-speeds",
    "uneven classes spread_percent noise_percent fast medium slow unknown",
    "The workers' speeds differ by more than a factor of 1.25 (uneven 1), so "
    "that urgent work takes fast workers first, or no longer do (uneven 0); "
    "the last fields count workers.",
    "none" },
  { LG_SLOW_RUN_KEPT, LG_INFO, "slow-run-kept",
    "id occurrence step task run worker pace_percent worker_percent",
    "A run is slow and is not moved: its worker is of a slow class, no worker "
    "that would finish it much sooner has free capacity, or its job gains "
    "nothing; pace_percent is relative to its siblings on fast workers, "
    "worker_percent the speed of its worker.",
    "none" },
  { LG_FAST_WAIT, LG_INFO, "fast-wait", "id occurrence step task expected_ms",
    "Urgent work waits for a fast worker, which is expected to be free in "
    "expected_ms, because on the slow ones it would miss its objective.",
    "none" },
  { LG_PREEMPTED, LG_NOTICE, "preempted",
    "id tasks victims runs lost_core_ms waited_ms reason",
    "Work of lower rank is stopped so that tasks of the job fit: victims "
    "counts gangs and single tasks, runs their runs, lost_core_ms the work "
    "since their last checkpoints. The reason is why the job did not wait.",
    "if many, look at headroom (550)" },
  { LG_PREEMPTION_AVOIDED, LG_INFO, "preemption-avoided", "id tasks until_ms",
    "Tasks of the job wait for capacity that is expected to become free by "
    "itself; other work is stopped for them after until_ms at the latest.",
    "none" },
  { LG_HEADROOM, LG_INFO, "headroom",
    "kept used idle forecast jobs_per_10s peak_per_10s",
    "The accelerators that batch work leaves free for urgent work have "
    "changed "
    "by more than a quarter; used is what urgent work occupies of them. They "
    "follow the rate of urgent jobs now and the one expected (forecast 1), or "
    "are a constant share until there is a history of arrivals (forecast 0).",
    "none" },
  { LG_STOP_OVERDUE, LG_WARNING, "stop-overdue",
    "id occurrence step task run worker since_ms",
    "A stopped run still occupies its worker after the time that a stop "
    "takes. "
    "Its capacity is not counted on any more.",
    "look at the worker" },
  { LG_STORE_ACCESS, LG_NOTICE, "store-access",
    "path state evidence before_ms unanswered_ms seen_ms",
    "The state of this VM's reads or writes of the store changed; before_ms "
    "is how long ago the new state began, unanswered_ms and seen_ms the ages "
    "of the first call without an answer and of the last sign of a write "
    "(-1: none).",
    "check the platform's table if a state other than available lasts" },
  { LG_RETRY_AFTER, LG_INFO, "retry-after",
    "id call retry_after_s outage_ms refused earlier",
    "A caller was refused and asked to return later; refused counts the "
    "callers in this outage, earlier the refusals of this one before.",
    "none" },
  { LG_RELAYED, LG_INFO, "relayed", "id call vm outcome status tries took_ms",
    "A caller's request was relayed to another VM, as this one can't use the "
    "store; tries counts the VMs, and vm is the last one.",
    "none" },
  { LG_RELAY_REFUSED, LG_WARNING, "relay-refused", "peer",
    "A request to the relay's address had not the secret of this process.",
    "none if this VM was restarted within the last minutes; else find out "
    "who sent it" },
  { LG_PASSED_OVER, LG_INFO, "passed-over",
    "id step account share_permille entitled_permille waited_ms "
    "ahead ahead_account ahead_share_permille ahead_entitled_permille "
    "ahead_slack_ms ahead_wait_ms",
    "While capacity was scarce, a step of an account above its share was "
    "moved "
    "behind one of another account (ahead), which would have been late: its "
    "latest start was ahead_slack_ms away and its expected wait "
    "ahead_wait_ms. At most every 5 s for a job.",
    "none; if it repeats for one account, it needs more capacity than its "
    "guarantee gives" },
  { LG_ACCOUNT_SHARE, LG_INFO, "account-share",
    "account over share_permille entitled_permille weight running waiting",
    "While capacity is scarce, the account uses more of the fleet than is due "
    "to it (over 1), or no longer (over 0).",
    "none" },
  { LG_ACCOUNT_WEIGHT, LG_NOTICE, "account-weight", "account weight",
    "The account guarantees no accelerators; its share is computed with a "
    "weight of 1.",
    "configure a guarantee if the account needs a larger share" },
  { LG_CAPACITY_SCARCE, LG_NOTICE, "capacity-scarce", "scarce waiting",
    "Steps wait that do not fit, so that the accounts' shares change their "
    "order (scarce 1), or no more for 2 s (scarce 0).",
    "if it lasts, add workers" },
  { LG_HOLDER_USAGE, LG_NOTICE, "holder-usage",
    "interval_ms process_ms loop_ms client_ms polls_ms decide_ms store_ms "
    "listing_ms order_ms caller_ms backlog_ms rounds",
    "The lease holder's processor time in the last interval_ms: process_ms of "
    "the process, loop_ms of the loop thread, client_ms of the HTTP client's. "
    "From polls_ms to caller_ms the loop's elapsed times by what it handled; "
    "backlog_ms is the longest time that answers were read late.",
    "if process_ms is near the VM's share, the fleet needs a larger VM" },
  { LG_HOLDER_WORK, LG_NOTICE, "holder-work",
    "holds starts stops ends orders_limit requests runs busy_workers "
    "waiting_jobs "
    "waiting_orders order_wait_ms commit_ms",
    "What the lease holder did in the interval of event 562, and its state at "
    "the end; order_wait_ms is the longest time that an order waited to be "
    "sent, commit_ms that of a commit.",
    "none" },
  { LG_RECORD_ASIDE, LG_ERROR, "record-aside", "id bytes status reason",
    "The record of a job can't be stored: it is too large for a row, or the "
    "store has refused it (status). Nothing of the job starts until it is "
    "stored, and the ends of its tasks are not acknowledged. The records of "
    "the other jobs are stored.",
    "cancel the job, or submit it as smaller ones" },
  { LG_CHECKPOINT_NOT_KEPT, LG_WARNING, "checkpoint-not-kept",
    "id occurrence step task run bytes limit",
    "A worker listed a checkpoint that is longer than the limit, or is not "
    "text (bytes -1): not a string, or with U+0000 or half of a surrogate "
    "pair.  The task keeps the last one that could be kept; for a gang, task "
    "is its first.  Logged once for a run.",
    "let the work write shorter checkpoints, as text" },
  { LG_TERM_RULES, LG_WARNING, "term-rules",
    "epoch ends parts suspended on_trial calm_ms reason",
    "After crashes of lease holders this one decides with fewer parts (a bit "
    "for each that is on) or without some jobs. The next step back to normal "
    "comes after calm_ms without a crash.",
    "see event 107 of the VMs that ended, and OPERATIONS.md, a VM that "
    "restarted by itself" },
  { LG_JOB_SUSPENDED, LG_ERROR, "job-suspended", "id reason",
    "Holders have crashed, and this job may be the cause: its tasks are "
    "neither started nor stopped, and its state stays as it was stored.",
    "cancel the job, or put it back: skr batch resume" },
  { LG_JOB_RESUMED, LG_NOTICE, "job-resumed", "id reason",
    "The job is decided on again from the next term on.", "none" },

  /* filter */
  { LG_REQUEST_UNKNOWN, LG_WARNING, "request-unknown",
    "account request worker",
    "A call that must not be repeated was sent and got no answer.",
    "none; the caller retries with the same key" },

  { LG_FAULT_POINT, LG_WARNING, "fault-point", "point request",
    "For tests only: the request is stopped here and never resumed.",
    "set fault-point to none" },
  { LG_REQUEST_ANSWERED, LG_INFO, "request-answered",
    "id call status reason version config_age_ms jobs_age_ms",
    "A caller's request about a job was answered.", "none" },
  { LG_REQUEST_GIVEN_UP, LG_NOTICE, "request-given-up",
    "id call status reason version config_age_ms jobs_age_ms",
    "A caller's request about a job was refused or its outcome is unknown.",
    "look for events of the store" },
  { LG_REQUEST_NOT_TAKEN, LG_NOTICE, "request-not-taken",
    "peer path status reason bytes",
    "A request was refused before it reached the loop, so that nothing ran: "
    "its body is too large (413), has too many values (400), or was dropped "
    "for want of memory, or too many requests are in progress (503).",
    "see MEMORY.md if it lasts; peer is the client, or the balancer before "
    "it" },

  /* programs */
  { LG_BAD_KEY, LG_INFO, "bad-key", "peer",
    "A caller used a key that no account has.", "none" },

  { 0, 0, NULL, NULL, NULL, NULL }
};
