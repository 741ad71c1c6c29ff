/* Time to check a change of the plans list whole, by accounts and workers;
   each account has two groups of eight accelerators.  */
#include <stdio.h>
#include <stdlib.h>

#include "skr/config.h"

enum
{
  CELL_WORKERS = 236,
  RACK_WORKERS = 8
};

static json_t *
make_plans (int accounts)
{
  json_t *list = json_array ();

  for (int i = 0; i < accounts; i++)
    {
      char name[32], digest[BS_DIGEST_SIZE];

      snprintf (name, sizeof name, "team-%d", i);
      bs_digest (digest, name);
      json_array_append_new (list,
                             json_pack ("{s:s,s:s,s:s}", "account", name,
                                        "plan", "gold", "key_digest", digest));
    }
  return list;
}

static json_t *
allowances_rows (void)
{
  json_t *shapes = json_pack ("[{s:i,s:i}]", "size", 8, "count", 2);
  json_t *list = json_pack ("[{s:s,s:o,s:i,s:i,s:i}]", "plan", "gold",
                            "guarantee", shapes, "calls_per_second", 1,
                            "concurrent_calls", 1, "queued_jobs", 1);

  return json_pack ("[{s:s,s:i,s:{s:i,s:o}}]", "key", CF_ALLOWANCES, "version",
                    1, "value", "version", 1, "list", list);
}

static void
fill_fleet (struct cf_worker *fleet, int workers)
{
  for (int i = 0; i < workers; i++)
    {
      fleet[i] = (struct cf_worker){ .accelerators = 8, .slots = 16 };
      snprintf (fleet[i].cell, CF_NAME_SIZE, "c%04d", i / CELL_WORKERS);
      snprintf (fleet[i].rack, CF_NAME_SIZE, "r%d", i / RACK_WORKERS);
    }
}

static int
measure (int accounts, int workers)
{
  struct cf_worker *fleet = calloc ((size_t)workers, sizeof *fleet);
  struct bs_clock clock = bs_clock_system ();
  json_t *rows = allowances_rows (), *plans = make_plans (accounts);
  char reason[CF_REASON_SIZE] = "";
  struct cf_store store;
  struct tb_txn txn;
  int64_t start;
  int error;

  fill_fleet (fleet, workers);
  cf_init (&store);
  tb_txn_init (&txn);
  start = bs_now_ms (&clock);
  error = cf_propose (&store, rows, CF_PLANS, 0, plans, fleet, workers, 1,
                      &txn, reason);
  printf ("%8d %8d %8lld %8zu %s\n", accounts, workers,
          (long long)(bs_now_ms (&clock) - start),
          json_dumpb (txn.ops, NULL, 0, JSON_COMPACT), reason);
  tb_txn_fini (&txn);
  cf_fini (&store);
  json_decref (plans);
  json_decref (rows);
  free (fleet);
  return error;
}

int
main (void)
{
  int error = 0;

  bs_init ();
  printf ("accounts  workers       ms    bytes\n");
  error |= measure (8, 150);
  error |= measure (61, 3250);
  error |= measure (122, 6500);
  error |= measure (245, 13000);
  error |= measure (490, 26000);
  return error ? EXIT_FAILURE : EXIT_SUCCESS;
}
