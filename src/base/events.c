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

  /* filter */
  { LG_REQUEST_UNKNOWN, LG_WARNING, "request-unknown",
    "account request worker",
    "A call that may not be repeated was sent and its answer is missing.",
    "none; the caller asks again by its key" },

  /* programs */
  { LG_BAD_KEY, LG_INFO, "bad-key", "peer",
    "A caller used a key that no account has.", "none" },

  { 0, 0, NULL, NULL, NULL, NULL }
};
