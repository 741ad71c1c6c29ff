#include <limits.h>
#include <stddef.h>

#include "load.h"
#include "skr/opt.h"

enum
{
  EXIT_INCONSISTENT = 1, /* a request was lost, run twice, falsely refused
                               or got a wrong answer */
  EXIT_USAGE = 2,
  EXIT_INCOMPLETE = 3 /* a journal or file cannot be accessed */
};

#define FIELD(name) offsetof (struct ld_settings, name)

static const struct opt_def defs[]
    = { { "entries", OPT_STRING, "IP:PORT,...", 9, 2000, "127.0.0.1:8080",
          "addresses of the entry VMs, used in turn; loopback only",
          FIELD (entries) },
        { "accounts", OPT_STRING, "NAME=KEY,...", 3, 4000, "a=key-a",
          "client accounts and their keys", FIELD (accounts) },
        { "journals", OPT_STRING, "url or path,...", 0, 16000, "",
          "worker journals to compare the results with", FIELD (journals) },
        { "record", OPT_STRING, "path", 0, 400, "",
          "output file with one JSON line per request", FIELD (record) },
        { "prefix", OPT_STRING, "", 1, 30, "load",
          "prefix of the idempotency keys; must differ between runs",
          FIELD (prefix) },
        { "rate", OPT_INT, "1/s", 1, 20000, "50", "arrival rate of requests",
          FIELD (rate) },
        { "count", OPT_INT, "requests", 1, LD_MAX_REQUESTS, "100",
          "number of requests to send", FIELD (count) },
        { "max-ms", OPT_INT, "ms", 1, 600000, "60000",
          "maximum duration of the sending phase", FIELD (max_ms) },
        { "settle-ms", OPT_INT, "ms", 0, 600000, "10000",
          "maximum time to query or retry open requests", FIELD (settle_ms) },
        { "jobs-percent", OPT_INT, "percent", 0, 100, "0",
          "share of requests that are jobs", FIELD (jobs_percent) },
        { "repeatable-percent", OPT_INT, "percent", 0, 100, "50",
          "share of calls that are repeatable", FIELD (repeatable_percent) },
        { "deadline-ms", OPT_INT, "ms", 1, 120000, "2000",
          "deadline of a call", FIELD (deadline_ms) },
        { "run-ms", OPT_INT, "ms", 0, 60000, "5", "run time of a call",
          FIELD (run_ms) },
        { "answer-bytes", OPT_INT, "bytes", 0, 1000000, "0",
          "size of the padding of an answer", FIELD (answer_bytes) },
        { "job-tasks", OPT_INT, "tasks", 1, 64, "1", "number of tasks per job",
          FIELD (job_tasks) },
        { "job-per-task", OPT_INT, "accelerators", 0, 64, "1",
          "number of accelerators per task", FIELD (job_per_task) },
        { "job-run-ms", OPT_INT, "ms", 0, 600000, "100", "run time of a job",
          FIELD (job_run_ms) },
        { "job-urgent", OPT_FLAG, "", 0, 1, "0",
          "submit jobs as urgent instead of bulk", FIELD (job_urgent) },
        { "attempts", OPT_INT, "entries", 1, LD_MAX_ATTEMPTS, "3",
          "maximum number of attempts to submit a request, each at the "
          "next entry VM",
          FIELD (attempts) },
        { "again", OPT_INT, "times", 0, 1000, "0",
          "maximum number of retries of a refused request", FIELD (again) },
        { "seed", OPT_INT, "", 0, INT_MAX, "1", "seed of the random arrivals",
          FIELD (seed) },
        { "json", OPT_FLAG, "", 0, 1, "0", "print the report as JSON",
          FIELD (json) },
        { NULL } };

static int
run (struct ld *ld)
{
  struct ld_counters count;
  int error;

  ld_run (ld);
  ld_poll_open (ld);
  error = ld_count_ends (ld, &count);
  if (ld_write_record (ld) != LD_OK)
    error = LD_EFILE;
  ld_report (ld, &count);
  if (count.lost || count.duplicated || count.wrong_answers
      || count.false_refusals)
    return EXIT_INCONSISTENT;
  return error == LD_OK ? 0 : EXIT_INCOMPLETE;
}

int
main (int argc, char **argv)
{
  struct ld_settings settings;
  struct ld ld;
  int status = EXIT_USAGE;

  opt_parse (defs, &settings, argc, argv, "[OPTION...]",
             "Open-loop load that follows every request to its end.", NULL);
  if (bs_init () != BS_OK)
    return EXIT_INCOMPLETE;
  bs_stop_on_signals ();
  if (ld_init (&ld, &settings) == LD_OK)
    status = run (&ld);
  else
    fprintf (stderr, "skr-load: invalid entries, accounts or journals; "
                     "addresses must be loopback IP:PORT\n");
  ld_fini (&ld);
  return status;
}
