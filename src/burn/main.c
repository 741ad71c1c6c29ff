#include <stdio.h>
#include <string.h>

#include "burn/burn.h"
#include "skr/base.h"
#include "skr/opt.h"

/* Exit codes; they are documented in docs/OPERATORS.md.  */
enum
{
  EXIT_OK = 0,
  EXIT_TOO_FAST = 1,
  EXIT_USAGE = 2,
  EXIT_IO = 3
};

struct settings
{
  const char *objectives, *samples, *entry, *key, *plot_dir;
  int64_t every_ms, for_ms, at_ms;
  int json;
};

static const struct opt_def defs[]
    = { { "objectives", OPT_STRING, "file", 1, 4096, "objectives.json",
          "file with the objectives and windows",
          offsetof (struct settings, objectives) },
        { "samples", OPT_STRING, "file", 1, 4096, "samples.jsonl",
          "file with the samples of the counters, one per line",
          offsetof (struct settings, samples) },
        { "entry", OPT_STRING, "IP:PORT", 9, 4096, "127.0.0.1:7100",
          "entry VMs whose counters are recorded, separated by commas",
          offsetof (struct settings, entry) },
        { "key", OPT_STRING, "", 0, 256, "", "the operator's key",
          offsetof (struct settings, key) },
        { "plot-dir", OPT_STRING, "folder", 1, 4096, ".",
          "folder for burn.tsv and burn.gp of 'plot'",
          offsetof (struct settings, plot_dir) },
        { "every-ms", OPT_INT, "ms", 10, 3600000, "10000",
          "time between two samples", offsetof (struct settings, every_ms) },
        { "for-ms", OPT_INT, "ms", 0, INT64_C (1) << 40, "3600000",
          "duration of 'record'", offsetof (struct settings, for_ms) },
        { "at-ms", OPT_INT, "ms", 0, INT64_C (1) << 50, "0",
          "time of the report in ms since 1970; 0: the last sample",
          offsetof (struct settings, at_ms) },
        { "json", OPT_FLAG, "", 0, 1, "0", "print the report as JSON",
          offsetof (struct settings, json) },
        { NULL, OPT_INT, "", 0, 0, NULL, NULL, 0 } };

static int
fail (const char *reason, int code)
{
  fprintf (stderr, "skr-burn: %s\n", reason);
  return code;
}

static int
report (const struct settings *set, const struct bn_objectives *objectives,
        const GPtrArray *samples)
{
  int64_t at = set->at_ms;
  int too_fast;
  json_t *r;

  if (!at && samples->len)
    at = json_integer_value (json_object_get (
        g_ptr_array_index (samples, samples->len - 1), "at_ms"));
  r = bn_report (objectives, samples, at, &too_fast);
  if (set->json)
    {
      json_dumpf (r, stdout, JSON_INDENT (2) | JSON_REAL_PRECISION (8));
      putchar ('\n');
    }
  else
    bn_print (r);
  json_decref (r);
  return too_fast ? EXIT_TOO_FAST : EXIT_OK;
}

static int
run_on_samples (const struct settings *set, const char *command)
{
  struct bn_objectives objectives;
  char reason[BN_REASON];
  GPtrArray *samples = NULL;
  int code = bn_read_objectives (set->objectives, &objectives, reason);

  if (code)
    return fail (reason, EXIT_USAGE);
  code = bn_read_samples (set->samples, &samples, reason);
  if (code == BN_EIO)
    return fail (reason, EXIT_IO);
  if (code)
    code = fail (reason, EXIT_USAGE);
  else if (!strcmp (command, "plot"))
    code = bn_write_plot (&objectives, samples, set->plot_dir, reason)
               ? fail (reason, EXIT_IO)
               : EXIT_OK;
  else
    code = report (set, &objectives, samples);
  g_ptr_array_free (samples, TRUE);
  return code;
}

static int
run_command (const struct settings *set, const char *command)
{
  char reason[BN_REASON];

  if (strcmp (command, "report") != 0 && strcmp (command, "plot") != 0
      && strcmp (command, "record") != 0)
    return fail ("usage: skr-burn [SETTINGS] [report|plot|record]",
                 EXIT_USAGE);
  if (strcmp (command, "record") != 0)
    return run_on_samples (set, command);
  if (bn_record (set->entry, set->key, set->samples, set->every_ms,
                 set->for_ms, reason))
    return fail (reason, EXIT_IO);
  return EXIT_OK;
}

int
main (int argc, char **argv)
{
  struct settings set;
  struct opt_arguments rest;
  int code;

  opt_parse (defs, &set, argc, argv, "[SETTINGS] [report|plot|record]",
             "Reports how fast the service-level objectives use up their "
             "error budgets, by account and cause.",
             &rest);
  if (bs_init ())
    return EXIT_IO;
  code = run_command (&set, rest.count == 0   ? "report"
                            : rest.count == 1 ? rest.args[0]
                                              : "");
  opt_arguments_fini (&rest);
  return code;
}
