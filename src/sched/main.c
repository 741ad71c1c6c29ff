#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "sched/sched.h"
#include "skr/crash.h"
#include "skr/log.h"
#include "skr/opt.h"

enum
{
  MINUTE_MS = 60000,
  HOUR_MS = 60 * MINUTE_MS,
  STOP_WAIT_MS = 1000
};

#define FIELD(name) offsetof (struct sc_settings, name)

static const struct opt_def defs[] = {
  { "vm", OPT_STRING, "", 1, 60, "entry", "name of this VM", FIELD (vm) },
  { "domain", OPT_STRING, "", 1, 60, "d1", "failure domain of this VM",
    FIELD (domain) },
  { "listen", OPT_STRING, "IP:PORT", 0, 60, "",
    "address and port of /metrics and /v1/counters; empty: none",
    FIELD (listen) },
  { "operator-digest", OPT_STRING, "", 0, 64, "",
    "digest of the operators' key, required for /v1/counters",
    FIELD (operator_digest) },
  { "platform", OPT_STRING, "url", 1, 200, "http://127.0.0.1:7000",
    "URL of the platform's table service", FIELD (platform) },
  { "peer", OPT_STRING, "IP:PORT", 9, 60, "127.0.0.1:7201",
    "address and port for messages from other daemons", FIELD (peer) },
  { "peers", OPT_STRING, "IP:PORT", 0, 4000, "",
    "additional peers that are not in the VM list, separated by commas",
    FIELD (peers) },
  { "peer-keys", OPT_STRING, "file", 0, 400, "",
    "JSON file of CURVE keys, reloaded on change; required unless all "
    "addresses are loopback",
    FIELD (peer_keys) },
  { "log-output", OPT_STRING, "", 1, 16, "plain",
    "log format: plain, json or journald", FIELD (log_output) },
  { "log-level", OPT_INT, "", LG_ERROR, LG_DEBUG, "3",
    "log level: 0 error, 1 warning, 2 notice, 3 info, 4 debug",
    FIELD (log_level) },
  { "cells-per-domain", OPT_INT, "cells", 1, CF_MAX_PER_DOMAIN, "1",
    "number of cells per failure domain, each made of whole racks; stored "
    "by the first scheduler of a deployment and fixed from then on",
    FIELD (cells_per_domain) },
  { "cell-lease-ms", OPT_INT, "ms", 500, MINUTE_MS, "3000",
    "duration of a cell's lease; without renewal for this long, the cell is "
    "free",
    FIELD (cell_lease_ms) },
  { "cell-margin-ms", OPT_INT, "ms", 50, MINUTE_MS, "500",
    "safety margin before the end of its lease at which the holder of a "
    "cell stops acting",
    FIELD (cell_margin_ms) },
  { "task-lease-ms", OPT_INT, "ms", 500, HOUR_MS, "10000",
    "duration of a task's lease; a worker stops a task that is not renewed "
    "for this long",
    FIELD (task_lease_ms) },
  { "poll-ms", OPT_INT, "ms", 10, MINUTE_MS, "250",
    "minimum interval between status polls of a worker", FIELD (poll_ms) },
  { "poll-max-ms", OPT_INT, "ms", 10, MINUTE_MS, "2000",
    "maximum interval between status polls of a worker; within these "
    "bounds, the interval is 1/16 of the time since the last order to the "
    "worker",
    FIELD (poll_max_ms) },
  { "scan-ms", OPT_INT, "ms", 10, MINUTE_MS, "500",
    "interval between scans for new job rows", FIELD (scan_ms) },
  { "settle-ms", OPT_INT, "ms", 0, MINUTE_MS, "1000",
    "delay after the last addition to the list of workers before a new "
    "holder of a cell schedules",
    FIELD (settle_ms) },
  { "order-timeout-ms", OPT_INT, "ms", 10, MINUTE_MS, "1000",
    "timeout of a request to a worker", FIELD (order_timeout_ms) },
  { "table-timeout-ms", OPT_INT, "ms", 10, MINUTE_MS, "1000",
    "timeout of a request to the table service", FIELD (table_timeout_ms) },
  { "reserve-slots", OPT_INT, "slots", 0, 1024, "2",
    "slots of each worker that are reserved for urgent calls",
    FIELD (reserve_slots) },
  { "reserve-connections", OPT_INT, "connections", 0, 1024, "8",
    "connections of each worker that are reserved for the holder of its "
    "cell",
    FIELD (reserve_connections) },
  { "grant-ms", OPT_INT, "ms", 1000, MINUTE_MS, "4000",
    "validity period of a grant of slots to an entry VM", FIELD (grant_ms) },
  { "commit-rows", OPT_INT, "rows", 1, 1000, "64",
    "maximum number of job rows in one transaction", FIELD (commit_rows) },
  { "rows-per-second", OPT_INT, "rows", 1, 100000, "100",
    "maximum number of job rows that one cell writes per second",
    FIELD (rows_per_second) },
  { "keep-jobs-h", OPT_INT, "h", 1, 8784, "72",
    "how long the row of an ended job is kept", FIELD (keep_jobs_h) },
  { "weight-completion", OPT_INT, "percent", 0, 10000, "100",
    "weight of completion time in scheduling decisions",
    FIELD (weight_completion) },
  { "weight-fragmentation", OPT_INT, "percent", 0, 10000, "100",
    "weight of fragmentation in scheduling decisions",
    FIELD (weight_fragmentation) },
  { "spare-workers", OPT_INT, "workers", 0, 1024, "1",
    "number of workers per cell whose loss all guarantees must survive",
    FIELD (spare_workers) },
  { "drain-ms", OPT_INT, "ms", 0, 10 * MINUTE_MS, "5000",
    "maximum time to hand over the cells on shutdown", FIELD (drain_ms) },
  { "no-check", OPT_FLAG, "", 0, 1, "0",
    "do not assert the invariants at each event", FIELD (no_check) },
  { NULL, OPT_INT, "", 0, 0, NULL, NULL, 0 }
};

static void
fail (const char *what)
{
  fprintf (stderr, "skr-sched: %s\n", what);
  exit (EXIT_FAILURE);
}

int
main (int argc, char **argv)
{
  static struct sched sched;
  struct sc_settings set;
  struct lg_field field;

  opt_parse (defs, &set, argc, argv, "[OPTION...]",
             "Schedules the jobs of the cells whose lease this VM holds.",
             NULL);
  if (set.cell_margin_ms * 2 > set.cell_lease_ms)
    fail ("--cell-margin-ms must be at most half of --cell-lease-ms");
  if (lg_init ("skr-sched", set.log_output, (enum lg_level)set.log_level))
    fail ("--log-output must be plain, json or journald");
  cr_install ("skr-sched", STDERR_FILENO, !strcmp (set.log_output, "json"));
  if (bs_init () != BS_OK)
    fail ("a library could not be initialised");
  bs_stop_on_signals ();
  if (sc_start (&sched, &set))
    fail ("cannot start: check --peer and --peer-keys");
  printf ("listening %s\n", set.peer);
  if (sched.server)
    printf ("counters on port %d\n", hs_port (sched.server));
  fflush (stdout);
  field = lg_str ("address", set.peer);
  lg_log (LG_STARTED, 1, &field);
  while (!bs_stop_wait (STOP_WAIT_MS))
    continue;
  field = lg_int ("in_progress", sc_held_count (&sched));
  lg_log (LG_STOPPING, 1, &field);
  sc_stop (&sched);
  field = lg_int ("cut", 0);
  lg_log (LG_STOPPED, 1, &field);
  return EXIT_SUCCESS;
}
