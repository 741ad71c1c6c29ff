#include <stddef.h>

#include "skr/log.h"

/* In the order of the numbers; docs/EVENTS.md is checked against it.  */
const struct lg_entry lg_catalogue[] = {
  /* base */
  { LG_STARTED, LG_NOTICE, "started", "address",
    "The program listens and serves.", "none" },
  { LG_STOPPING, LG_NOTICE, "stopping", "in_progress",
    "A stop was asked for; requests in progress are finished first.", "none" },
  { LG_STOPPED, LG_NOTICE, "stopped", "cut",
    "The program ends; cut counts requests that it could not finish.",
    "look into it if cut is not 0" },

  /* net */
  { LG_LISTEN_FAILED, LG_ERROR, "listen-failed", "address reason",
    "The address could not be bound.", "free the port or change the setting" },

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
    "The lease of the cell lapsed or went to another VM.",
    "none, unless it repeats: then check the VM's load" },

  { LG_CELL_RELEASED, LG_NOTICE, "cell-released", "cell epoch",
    "This VM has given the cell up for another to take.", "none" },
  { LG_CELL_RECOVERED, LG_NOTICE, "cell-recovered",
    "cell epoch jobs adopted requeued unknown took_ms",
    "The cell's state was rebuilt from the table and the workers.", "none" },
  { LG_CELL_LAPSED, LG_WARNING, "cell-lapsed", "cell epoch",
    "The lease could not be renewed in time: nothing new starts until it is.",
    "check the platform's table" },
  { LG_WORKER_UP, LG_INFO, "worker-up", "cell worker",
    "The worker answers and takes work.", "none" },
  { LG_WORKER_LEAVING, LG_INFO, "worker-leaving", "cell worker",
    "The worker gets nothing new.", "none" },
  { LG_WORKER_DOWN, LG_WARNING, "worker-down", "cell worker",
    "The worker did not answer until its leases had ended.",
    "check the worker" },
  { LG_WORKER_QUARANTINED, LG_WARNING, "worker-quarantined",
    "cell worker reason", "The worker fails what others do not.",
    "check the worker" },
  { LG_WORKER_READMITTED, LG_NOTICE, "worker-readmitted", "cell worker",
    "A probe on the worker ended well.", "none" },
  { LG_DECIDE_FAILED, LG_ERROR, "decide-failed", "cell event error broken",
    "The decision layer refused an event or found an invariant broken.",
    "report it with the log" },
  { LG_GUARANTEE_REFUSED, LG_WARNING, "guarantee-refused",
    "cell account reason", "The account's guarantee does not fit the cell.",
    "check the fleet, then the allowances" },
  { LG_PEER_KEYS, LG_NOTICE, "peer-keys", "path error",
    "The file of peer keys has changed and was read.",
    "if error is not 0, correct the file; the old keys stay in use" },
  { LG_CONFIG_APPLIED, LG_NOTICE, "config-applied", "plans allowances",
    "Newer versions of the two lists are in force here.", "none" },
  { LG_JOB_ROW_BAD, LG_ERROR, "job-row-bad", "cell job",
    "A job's row can't be read; the job is refused.",
    "see which program wrote the row" },
  { LG_JOB_MOVED, LG_NOTICE, "job-moved", "cell job to",
    "The cell no longer holds the job; another cell has it now.",
    "check the cell's workers" },
  { LG_JOB_NO_ROOM, LG_WARNING, "job-no-room", "cell job",
    "No cell of the fleet holds the job any more; it is ended.",
    "check the fleet" },
  { LG_TABLE_PUT_BACK, LG_ERROR, "table-put-back", "cell epoch",
    "The platform's table holds an earlier state than was written.",
    "see FAILURES.md, a table that is put back" },
  { LG_GUARANTEE_WAITS, LG_WARNING, "guarantee-waits", "cell account reason",
    "Part of the account's guarantee has no room in the cell until work that "
    "may not move ends or a worker joins.",
    "check the fleet, then the allowances" },

  /* filter */
  { LG_REQUEST_UNKNOWN, LG_WARNING, "request-unknown",
    "account request worker",
    "A call that may not be repeated was sent and its answer is missing.",
    "none; the caller asks again by its key" },

  { LG_FAULT_POINT, LG_WARNING, "fault-point", "point request",
    "For tests: the request stops here for good.", "set fault-point to none" },

  /* programs */
  { LG_BAD_KEY, LG_INFO, "bad-key", "peer",
    "A caller used a key that no account has.", "none" },

  { 0, 0, NULL, NULL, NULL, NULL }
};
