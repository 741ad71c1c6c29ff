#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "replay.h"
#include "skr/base.h"
#include "skr/opt.h"

enum
{
  EXIT_BROKEN = 1,
  EXIT_USAGE = 2,
  OUT_BUFFER = 1 << 16, /* bytes */
  BAD_SIZE = 64
};

struct settings
{
  double weight_completion, weight_fragmentation;
  const char *policy, *faults, *emit;
  int64_t spare_workers;
  int random, no_check, costs, large;
  int64_t seed, events, workers, accounts, equipped, load, tasks;
};

#define FIELD(f) offsetof (struct settings, f)

static const struct opt_def defs[] = {
  { "weight-completion", OPT_REAL, "", 0, 1000, "1",
    "weight of completion time in scheduling decisions",
    FIELD (weight_completion) },
  { "weight-fragmentation", OPT_REAL, "", 0, 1000, "1",
    "weight of fragmentation in scheduling decisions",
    FIELD (weight_fragmentation) },
  { "policy", OPT_STRING, "", 1, 32, "default",
    "scheduling policy: default, fifo-first-fit or best-fit", FIELD (policy) },
  { "spare-workers", OPT_INT, "workers", 0, 1000, "0",
    "number of workers whose loss all guarantees must survive",
    FIELD (spare_workers) },
  { "random", OPT_FLAG, "", 0, 1, "0", "run random events instead of a TRACE",
    FIELD (random) },
  { "seed", OPT_INT, "", 0, UINT32_MAX, "1", "seed of the random events",
    FIELD (seed) },
  { "events", OPT_INT, "events", 1, 100000000, "10000",
    "number of random events to run, not counting `end`", FIELD (events) },
  { "workers", OPT_INT, "workers", 1, 100000, "24",
    "number of workers in the random run", FIELD (workers) },
  { "accounts", OPT_INT, "accounts", 1, 1000, "4",
    "number of client accounts in the random run", FIELD (accounts) },
  { "faults", OPT_STRING, "", 1, 400, "all",
    "faults to inject: all, none, or a list of estimates, impossible, "
    "job-fails, worker-fails, cancel-wave, down, rack-down, domain-down, "
    "leaving, plan-race, plan-misfit, burst-small, burst-large",
    FIELD (faults) },
  { "emit", OPT_STRING, "path", 0, 4096, "",
    "write the random run as a trace to this file", FIELD (emit) },
  { "load", OPT_INT, "percent", 0, 200, "0",
    "steady load of the accelerators; 0: a random run", FIELD (load) },
  { "equipped", OPT_INT, "percent", 0, 100, "0",
    "share of workers that have 8 accelerators; 0: workers of mixed shapes",
    FIELD (equipped) },
  { "tasks", OPT_INT, "tasks", 0, 10000000, "0",
    "number of long tasks at the start of a steady load", FIELD (tasks) },
  { "large", OPT_FLAG, "", 0, 1, "0",
    "make the steady load mostly large gangs", FIELD (large) },
  { "no-check", OPT_FLAG, "", 0, 1, "0", "skip the checks of invariants",
    FIELD (no_check) },
  { "costs", OPT_FLAG, "", 0, 1, "0",
    "print the cost of the scheduling decisions to standard error",
    FIELD (costs) },
  { NULL, OPT_INT, NULL, 0, 0, NULL, NULL, 0 }
};

static void
usage_error (const char *what, const char *value)
{
  fprintf (stderr, "skr-replay: %s \"%s\"\n", what, value);
  exit (EXIT_USAGE);
}

static enum dc_policy
policy_of (const char *name)
{
  if (strcmp (name, "default") == 0)
    return DC_POLICY_DEFAULT;
  if (strcmp (name, "fifo-first-fit") == 0)
    return DC_POLICY_FIFO_FIRST_FIT;
  if (strcmp (name, "best-fit") == 0)
    return DC_POLICY_BEST_FIT;
  usage_error ("--policy (SKR_POLICY) must be default, fifo-first-fit or "
               "best-fit, not",
               name);
  return DC_POLICY_DEFAULT;
}

static void
open_trace (struct rp_run *run, const char *path)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");

  if (!file)
    {
      fprintf (stderr, "%s: %s\n", path, strerror (errno));
      exit (EXIT_USAGE);
    }
  run->source.kind = RP_SOURCE_TRACE;
  run->source.path = path;
  tr_reader_init (&run->source.reader, file, &run->tables);
}

static void
open_random (struct rp_run *run, const struct settings *s)
{
  struct rp_gen_config config
      = { s->seed,  s->events, s->workers, s->accounts, s->equipped, s->load,
          s->tasks, s->large,  0 };
  char bad[BAD_SIZE];

  if (rp_parse_faults (s->faults, &config.faults, bad, sizeof bad))
    usage_error ("--faults (SKR_FAULTS) has no fault", bad);
  run->source.kind = RP_SOURCE_RANDOM;
  run->source.seed = s->seed;
  run->source.gen = rp_gen_new (&config, &run->tables);
  if (!*s->emit)
    return;
  run->source.emit = fopen (s->emit, "w");
  if (!run->source.emit)
    {
      fprintf (stderr, "%s: %s\n", s->emit, strerror (errno));
      exit (EXIT_USAGE);
    }
}

static void
close_source (struct rp_run *run)
{
  struct rp_source *source = &run->source;

  if (source->kind == RP_SOURCE_RANDOM)
    {
      rp_gen_free (source->gen);
      if (source->emit && fclose (source->emit))
        fprintf (stderr, "skr-replay: --emit: %s\n", strerror (errno));
      return;
    }
  if (source->reader.file != stdin)
    fclose (source->reader.file);
  tr_reader_fini (&source->reader);
}

static int
run_all (const struct settings *s, const char *path)
{
  struct dc_config config
      = { policy_of (s->policy), s->weight_completion, s->weight_fragmentation,
          (int32_t)s->spare_workers, !s->no_check };
  struct rp_run run;
  struct rp_cost cost;
  int rc;

  if (rp_run_init (&run, &config, stdout))
    return EXIT_BROKEN;
  if (s->random)
    open_random (&run, s);
  else
    open_trace (&run, path);
  rp_cost_init (&cost);
  run.cost = s->costs ? &cost : NULL;
  rc = rp_run_all (&run);
  if (s->costs)
    rp_cost_print (stderr, &cost, &run);
  rp_cost_fini (&cost);
  close_source (&run);
  rp_run_fini (&run);
  if (fflush (stdout))
    {
      fprintf (stderr, "skr-replay: standard output: %s\n", strerror (errno));
      return EXIT_BROKEN;
    }
  return rc == RP_EINPUT ? EXIT_USAGE : rc ? EXIT_BROKEN : 0;
}

int
main (int argc, char **argv)
{
  /* Static because the strings they point to live as long as the process.  */
  static struct settings settings;
  static struct opt_arguments rest;

  opt_parse (defs, &settings, argc, argv,
             "[OPTION...] TRACE\n       skr-replay --random [OPTION...]",
             "Runs the scheduling decisions over a trace (\"-\": standard "
             "input)\nor over random events and prints every action.",
             &rest);
  if (rest.count != !settings.random)
    usage_error (settings.random ? "--random takes no trace, count"
                                 : "one TRACE is needed; see --help, not",
                 rest.count ? rest.args[rest.count - 1] : "");
  setvbuf (stdout, NULL, _IOFBF, OUT_BUFFER);
  if (bs_init ())
    return EXIT_BROKEN;
  return run_all (&settings, rest.count ? rest.args[0] : NULL);
}
