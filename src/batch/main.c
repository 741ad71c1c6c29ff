#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "batch/batch.h"
#include "skr/crash.h"
#include "skr/opt.h"

enum
{
  MINUTE_MS = 60000,
  STOP_POLL_MS = 500,
  MIN_EVACUATION_MS = 4000,
  SETTINGS_POLL_MS = 2000 /* how often the settings file is checked */
};

#define FIELD(name) offsetof (struct ba_settings, name)

static const struct opt_def defs[] = {
  { "vm", OPT_STRING, "", 1, 60, "vm1", "name of this VM", FIELD (vm) },
  { "listen", OPT_STRING, "IP:PORT", 0, 60, "127.0.0.1:7300",
    "address and port for client requests", FIELD (listen) },
  { "ready-listen", OPT_STRING, "IP:PORT", 0, 60, "",
    "address and port of the load balancer's readiness probe; empty: none",
    FIELD (ready_listen) },
  { "metrics-listen", OPT_STRING, "IP:PORT", 0, 60, "",
    "address and port of /metrics and of the requests of skr batch; empty: "
    "none",
    FIELD (metrics_listen) },
  { "relay-listen", OPT_STRING, "IP:PORT", 0, 60, "",
    "address and port for requests that other VMs relay while they can't "
    "reach the store; published to them; empty: no relay",
    FIELD (relay_listen) },
  { "store", OPT_STRING, "IP:PORT", 1, 60, "127.0.0.1:7000",
    "address and port of the platform's table store", FIELD (store) },
  { "settings", OPT_STRING, "file", 0, 400, "",
    "configuration file with lines NAME=VALUE, where NAME is a flag name; "
    "flags and environment variables take precedence; reloaded on change or "
    "SIGHUP, when only log-level and log-rate take effect",
    FIELD (settings) },
  { "log-output", OPT_STRING, "", 1, 16, "json",
    "log format: plain, json or journald", FIELD (log_output) },
  { "log-level", OPT_INT, "", LG_ERROR, LG_DEBUG, "3",
    "log level: 0 error, 1 warning, 2 notice, 3 info, 4 debug",
    FIELD (log_level) },
  { "log-rate", OPT_INT, "lines a second", 1, 100000, "150",
    "maximum rate of the log lines of each event; excess lines are dropped "
    "and "
    "counted; notices, warnings and errors may be ten times as many",
    FIELD (log_rate) },
  { "hold-ms", OPT_INT, "ms", 1000, 10 * MINUTE_MS, "6000",
    "maximum duration of the lease on the runs of a worker", FIELD (hold_ms) },
  { "far-factor", OPT_INT, "", 1, 100, "3",
    "factor by which a task takes longer away from its data",
    FIELD (far_factor) },
  { "revoke-ms", OPT_INT, "ms", 1500, MINUTE_MS, "5000",
    "time within which a revoked key must be refused", FIELD (revoke_ms) },
  { "grace-ms", OPT_INT, "ms", 1000, 10 * MINUTE_MS, "6000",
    "time between SIGTERM and the forced kill of the process",
    FIELD (grace_ms) },
  { "keep-s", OPT_INT, "s", 1, 864000, "240",
    "how long the state of an ended job can be queried", FIELD (keep_s) },
  { "lease-ms", OPT_INT, "ms", 300, MINUTE_MS, "1200",
    "how long the scheduler's lease is valid after a renewal is sent",
    FIELD (lease_ms) },
  { "take-ms", OPT_INT, "ms", 400, MINUTE_MS, "1600",
    "how long the scheduler's lease must be unchanged before another VM may "
    "take it over; at least 1.25 times lease-ms",
    FIELD (take_ms) },
  { "renew-ms", OPT_INT, "ms", 50, MINUTE_MS, "400",
    "interval between renewals of the scheduler's lease; at most half of "
    "lease-ms",
    FIELD (renew_ms) },
  { "evacuation-ms", OPT_INT, "ms", 0, 10 * MINUTE_MS, "0",
    "time within which a request to evacuate a failure domain takes effect, "
    "at least 4000; 0: requests are logged and not served",
    FIELD (evacuation_ms) },
  { "processor", OPT_REAL, "cores", 0, 1024, "1",
    "processor cores of this VM; a VM with fewer than 0.5 waits longer "
    "before it acquires the scheduler's lease",
    FIELD (processor) },
  { "max-connections", OPT_INT, "connections", 1, 100000, "1024",
    "maximum number of client connections; from seven eighths of it on, each "
    "new one closes the one that has waited for longest. Each may hold 16 KiB "
    "of a request body, and larger bodies together 16 KiB for each; docs/"
    "MEMORY.md adds up the memory",
    FIELD (max_connections) },
  { "max-requests", OPT_INT, "requests", 1, 100000, "512",
    "maximum number of client requests in progress; further requests are "
    "refused",
    FIELD (max_requests) },
  { "max-tasks", OPT_INT, "tasks", 1, SJ_MAX_TASKS, "1000",
    "largest number of tasks in all steps of a job; larger jobs are refused. "
    "Each decision looks at all tasks of all jobs, so that a lower number "
    "keeps decisions of a small VM short. More than 1000 need record-pieces",
    FIELD (max_tasks) },
  { "record-pieces", OPT_INT, "", 0, 1, "0",
    "1: store the records of jobs of more than 32 tasks in pieces, of which a "
    "change writes those that it changes; earlier releases can't read them",
    FIELD (record_pieces) },
  { "refuse-stalled-writes", OPT_INT, "", 0, 1, "0",
    "1: while the store answers no writes, refuse submissions and "
    "cancellations at once, with a Retry-After that follows the outage",
    FIELD (refuse_stalled_writes) },
  { "speed-aware", OPT_INT, "", 0, 1, "0",
    "1: learn the workers' speeds and the run times from what runs show, and "
    "use them to place, keep and move runs",
    FIELD (speed_aware) },
  { "headroom-forecast", OPT_INT, "jobs a second", 0, 1000, "0",
    "while at least so many urgent jobs a second arrive, batch work leaves as "
    "much capacity free as those of the last seconds let expect; of fewer the "
    "trend is not known well enough; 0: always a constant share",
    FIELD (headroom_forecast) },
  { "reclaim-ms", OPT_INT, "ms", 0, MINUTE_MS, "0",
    "time within which guaranteed work must start; until it is nearly over, "
    "work waits for capacity that becomes free by itself instead of having "
    "other work stopped; 0: unknown, it does not wait",
    FIELD (reclaim_ms) },
  { "stop-ms", OPT_INT, "ms", 0, MINUTE_MS, "0",
    "longest time that a worker takes to stop a task; 0: unknown",
    FIELD (stop_ms) },
  { "checkpoint-interval-s", OPT_REAL, "s", 0, 600, "0",
    "time between two checkpoints of a task that writes any; 0: unknown, "
    "stopping it counts as losing nothing",
    FIELD (checkpoint_interval_s) },
  { "fair-share", OPT_INT, "", 0, 1, "0",
    "1: while work waits that does not fit, accounts above their share give "
    "way to work of others that would be late; 0: order by objective alone",
    FIELD (fair_share) },
  { NULL, OPT_INT, "", 0, 0, NULL, NULL, 0 }
};

static void
fail (const char *what)
{
  fprintf (stderr, "skr-batch: %s\n", what);
  exit (EXIT_FAILURE);
}

static void
check_settings (const struct ba_settings *set)
{
  if (set->lease_ms * 5 / 4 > set->take_ms)
    fail ("--take-ms must be at least 1.25 times --lease-ms");
  if (set->renew_ms * 2 > set->lease_ms)
    fail ("--renew-ms must be at most half of --lease-ms");
  /* Starts are held 2 s before the bound, and confirmations of the requests
     are up to 2 s old.  */
  if (set->evacuation_ms && set->evacuation_ms < MIN_EVACUATION_MS)
    fail ("--evacuation-ms must be 0 or at least 4000");
  if (set->reclaim_ms && set->stop_ms * 2 > set->reclaim_ms)
    fail ("--stop-ms must be at most half of --reclaim-ms");
  if (set->max_tasks > SJ_MAX_ROW_TASKS && !set->record_pieces)
    fail ("--max-tasks over 1000 needs --record-pieces=1");
}

static void
reload (const struct ba_settings *set, const char *cause)
{
  struct ba_settings next = *set;
  char reason[200] = "";
  int error
      = opt_read_file (defs, &next, set->settings, reason, sizeof reason);
  struct lg_field f[]
      = { lg_str ("file", set->settings), lg_str ("cause", cause),
          lg_str ("reason", error ? reason : "applied") };

  if (!error)
    lg_tune ((enum lg_level)next.log_level, (int)next.log_rate);
  lg_log (error ? LG_RELOAD_REFUSED : LG_RELOADED, 3, f);
}

static void
watch_settings (const struct ba_settings *set, int64_t *stamp)
{
  int64_t now = opt_file_stamp (set->settings);

  if (!*set->settings)
    return;
  if (bs_reload_consume ())
    reload (set, "SIGHUP");
  else if (now != *stamp)
    reload (set, "the file changed");
  *stamp = now;
}

static void
serve (const struct ba_settings *set)
{
  int64_t stamp = opt_file_stamp (set->settings);
  int waited_ms = 0;

  while (!bs_stop_wait (STOP_POLL_MS))
    {
      waited_ms += STOP_POLL_MS;
      if (!bs_reload_pending () && waited_ms < SETTINGS_POLL_MS)
        continue;
      waited_ms = 0;
      watch_settings (set, &stamp);
    }
}

int
main (int argc, char **argv)
{
  static struct batch batch;
  struct ba_settings set;
  struct lg_field field;

  opt_load_file (argc, argv);
  opt_parse (defs, &set, argc, argv, "[OPTION...]",
             "Takes jobs of steps and schedules them on workers.", NULL);
  check_settings (&set);
  if (lg_init ("skr-batch", set.log_output, (enum lg_level)set.log_level))
    fail ("--log-output must be plain, json or journald");
  cr_install ("skr-batch", STDOUT_FILENO, !strcmp (set.log_output, "json"));
  lg_to_stdout ();
  lg_tune ((enum lg_level)set.log_level, (int)set.log_rate);
  if (bs_init () != BS_OK)
    fail ("a library could not be initialised");
  bs_stop_on_signals ();
  bs_reload_on_signal ();
  if (ba_start (&batch, &set))
    fail ("cannot start: check the addresses to listen on");
  field = lg_str ("address", set.listen);
  lg_log (LG_STARTED, 1, &field);
  serve (&set);
  field = lg_int ("in_progress", hs_in_progress (batch.caller_server));
  lg_log (LG_STOPPING, 1, &field);
  ba_stop (&batch);
  field = lg_int ("cut", hs_in_progress (batch.caller_server));
  lg_log (LG_STOPPED, 1, &field);
  return EXIT_SUCCESS;
}
