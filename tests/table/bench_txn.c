/* Compares accepting a job in one transaction (request record, job, and the
   hint that is still to be sent) with three separate writes: the number of
   writes, the time, and the partial requests that a crash after any of the
   writes leaves in the table.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "skr/base.h"
#include "skr/table.h"

enum
{
  REQUESTS = 300,
  STEPS = 3, /* claim, job, hint */
  TIMEOUT_MS = 5000
};

static const char *const tables[STEPS] = { "requests", "jobs.x", "hints" };

static json_t *
value_of (int step)
{
  return json_pack ("{s:s,s:i}", "state", "queued", "step", step);
}

static void
add_step (struct tb_txn *txn, int step, const char *key)
{
  tb_txn_check (txn, tables[step], key, 0);
  tb_txn_put (txn, tables[step], key, value_of (step));
}

/* Accepts a job, with a crash after WRITES_BEFORE_CRASH writes.  Returns the
   number of writes made.  */
static int
accept_in_one_txn (struct tb_client *tb, const char *key,
                   int writes_before_crash)
{
  struct tb_txn txn;

  if (writes_before_crash < 1)
    return 0;
  tb_txn_init (&txn);
  for (int s = 0; s < STEPS; s++)
    add_step (&txn, s, key);
  tb_commit_wait (tb, &txn, NULL);
  tb_txn_fini (&txn);
  return 1;
}

static int
accept_in_separate_txns (struct tb_client *tb, const char *key,
                         int writes_before_crash)
{
  int writes = 0;

  for (int s = 0; s < STEPS && writes < writes_before_crash; s++)
    {
      struct tb_txn txn;

      tb_txn_init (&txn);
      add_step (&txn, s, key);
      tb_commit_wait (tb, &txn, NULL);
      tb_txn_fini (&txn);
      writes++;
    }
  return writes;
}

/* True when some of the request's rows exist, but not all.  */
static int
is_partial (struct tb_client *tb, const char *key)
{
  int rows = 0;

  for (int s = 0; s < STEPS; s++)
    rows += tb_get_wait (tb, tables[s], key, NULL) == TB_OK;
  return rows != 0 && rows != STEPS;
}

static void
measure (struct tb_client *tb, const char *name,
         int (*accept) (struct tb_client *, const char *, int))
{
  struct bs_clock clock = bs_clock_system ();
  int64_t start = bs_now_ms (&clock), took;
  int writes = 0, partial = 0;
  char key[64];

  for (int i = 0; i < REQUESTS; i++)
    {
      snprintf (key, sizeof key, "%s-%d", name, i);
      writes += accept (tb, key, STEPS);
    }
  took = bs_now_ms (&clock) - start;
  for (int writes_before_crash = 0; writes_before_crash <= STEPS;
       writes_before_crash++)
    {
      snprintf (key, sizeof key, "%s-dies-%d", name, writes_before_crash);
      accept (tb, key, writes_before_crash);
      partial += is_partial (tb, key);
    }
  printf ("%-8s %6.2f writes, %7.2f ms a request, %d of %d crashes leave a "
          "partial request\n",
          name, (double)writes / REQUESTS, (double)took / REQUESTS, partial,
          STEPS + 1);
}

int
main (int argc, char **argv)
{
  struct hc_config config
      = { .max_in_progress = 8, .connections_per_host = 2 };
  struct tb_config table = { .timeout_ms = TIMEOUT_MS };
  struct hc_client *hc;
  struct tb_client *tb;

  if (argc != 2 || bs_init ())
    return EXIT_FAILURE;
  table.url = argv[1];
  hc = hc_new (&config);
  tb = tb_new (hc, &table);
  measure (tb, "whole", accept_in_one_txn);
  measure (tb, "apart", accept_in_separate_txns);
  tb_free (tb);
  hc_free (hc);
  return EXIT_SUCCESS;
}
