#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include "sched/sched.h"
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
    "address of /metrics and /v1/counters; empty: none", FIELD (listen) },
  { "operator-digest", OPT_STRING, "", 0, 64, "",
    "digest of the operators' key, for /v1/counters",
    FIELD (operator_digest) },
  { "platform", OPT_STRING, "url", 1, 200, "http://127.0.0.1:7000",
    "the platform's table service", FIELD (platform) },
  { "peer", OPT_STRING, "IP:PORT", 9, 60, "127.0.0.1:7201",
    "address for messages of other daemons", FIELD (peer) },
  { "peers", OPT_STRING, "IP:PORT", 0, 4000, "",
    "peers besides those in the VM list, separated by commas", FIELD (peers) },
  { "peer-keys", OPT_STRING, "file", 0, 400, "",
    "JSON file of CURVE keys, read again when it changes; required unless "
    "all addresses are loopback",
    FIELD (peer_keys) },
  { "log-output", OPT_STRING, "", 1, 16, "plain", "plain, json or journald",
    FIELD (log_output) },
  { "log-level", OPT_INT, "", LG_ERROR, LG_DEBUG, "3",
    "0 error, 1 warning, 2 notice, 3 info, 4 debug", FIELD (log_level) },
  { "cells-per-domain", OPT_INT, "cells", 1, CF_MAX_PER_DOMAIN, "1",
    "parts of each failure domain, by whole racks; the first scheduler of a "
    "deployment writes it down, and it counts from then on",
    FIELD (cells_per_domain) },
  { "cell-lease-ms", OPT_INT, "ms", 500, MINUTE_MS, "3000",
    "a cell is free when its holder has not renewed for this long",
    FIELD (cell_lease_ms) },
  { "cell-margin-ms", OPT_INT, "ms", 50, MINUTE_MS, "500",
    "the holder stops acting this long before its lease ends",
    FIELD (cell_margin_ms) },
  { "task-lease-ms", OPT_INT, "ms", 500, HOUR_MS, "10000",
    "a worker stops tasks that were not renewed for this long",
    FIELD (task_lease_ms) },
  { "poll-ms", OPT_INT, "ms", 10, MINUTE_MS, "250",
    "between two questions to a worker what it runs, at least",
    FIELD (poll_ms) },
  { "poll-max-ms", OPT_INT, "ms", 10, MINUTE_MS, "2000",
    "the same at most; a 16th of the time since its last order between",
    FIELD (poll_max_ms) },
  { "scan-ms", OPT_INT, "ms", 10, MINUTE_MS, "500",
    "between two reads of new job rows", FIELD (scan_ms) },
  { "settle-ms", OPT_INT, "ms", 0, MINUTE_MS, "1000",
    "a new holder decides once its list of workers is this old",
    FIELD (settle_ms) },
  { "order-timeout-ms", OPT_INT, "ms", 10, MINUTE_MS, "1000",
    "longest wait for a worker's answer", FIELD (order_timeout_ms) },
  { "table-timeout-ms", OPT_INT, "ms", 10, MINUTE_MS, "1000",
    "longest wait for the table", FIELD (table_timeout_ms) },
  { "reserve-slots", OPT_INT, "slots", 0, 1024, "2",
    "slots of each worker kept for urgent calls", FIELD (reserve_slots) },
  { "reserve-connections", OPT_INT, "connections", 0, 1024, "8",
    "connections of each worker kept for its cell's holder",
    FIELD (reserve_connections) },
  { "grant-ms", OPT_INT, "ms", 1000, MINUTE_MS, "4000",
    "a grant of slots to an entry VM lasts this long", FIELD (grant_ms) },
  { "commit-rows", OPT_INT, "rows", 1, 1000, "64",
    "job rows in one transaction", FIELD (commit_rows) },
  { "rows-per-second", OPT_INT, "rows", 1, 100000, "100",
    "job rows that one cell writes in a second", FIELD (rows_per_second) },
  { "keep-jobs-h", OPT_INT, "h", 1, 8784, "72",
    "the row of an ended job is deleted so long after its end",
    FIELD (keep_jobs_h) },
  { "weight-completion", OPT_INT, "percent", 0, 10000, "100",
    "weight of the completion time", FIELD (weight_completion) },
  { "weight-fragmentation", OPT_INT, "percent", 0, 10000, "100",
    "weight of the fragmentation", FIELD (weight_fragmentation) },
  { "spare-workers", OPT_INT, "workers", 0, 1024, "1",
    "workers of each cell whose loss all guarantees must survive",
    FIELD (spare_workers) },
  { "drain-ms", OPT_INT, "ms", 0, 10 * MINUTE_MS, "5000",
    "longest time to hand the cells over at a stop", FIELD (drain_ms) },
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
