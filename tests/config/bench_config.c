/* Measures the time to validate a change of the plans list, and the size of
   its transaction, for several numbers of accounts and workers.  Each account
   has two groups of eight accelerators.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

/* Applies the writes of TXN to TABLE.  */
static void
write_table (struct cf_reader *table, const struct tb_txn *txn)
{
  size_t i;
  json_t *o;

  json_decref (table->heads);
  table->heads = json_array ();
  json_array_foreach (txn->ops, i, o)
  {
    const char *key = json_string_value (json_object_get (o, "key"));
    json_t *value = json_object_get (o, "value");

    if (strcmp (json_string_value (json_object_get (o, "table")),
                CF_ROWS_TABLE)
        == 0)
      json_object_set (table->rows, key, value);
    else
      json_array_append_new (table->heads,
                             json_pack ("{s:s,s:i,s:O}", "key", key, "version",
                                        1, "value", value));
  }
}

/* Proposes PLANS and prints the time in ms and the bytes of the
   transaction.  */
static int
write_plans (struct cf_reader *table, int64_t version, const json_t *plans,
             const struct cf_worker *fleet, int workers)
{
  struct bs_clock clock = bs_clock_system ();
  int64_t start = bs_now_ms (&clock);
  char reason[CF_REASON_SIZE] = "";
  struct cf_store store;
  struct tb_txn txn;
  int error;

  cf_init (&store);
  tb_txn_init (&txn);
  error = cf_propose (&store, table, CF_PLANS, version, plans, fleet, workers,
                      1, &txn, reason);
  printf (" %8lld %8zu %s", (long long)(bs_now_ms (&clock) - start),
          json_dumpb (txn.ops, NULL, 0, JSON_COMPACT), reason);
  write_table (table, &txn);
  tb_txn_fini (&txn);
  cf_fini (&store);
  return error;
}

static int
measure (int accounts, int workers)
{
  struct cf_worker *fleet = calloc ((size_t)workers, sizeof *fleet);
  json_t *plans = make_plans (accounts);
  struct cf_reader table;
  char digest[BS_DIGEST_SIZE];
  int error;

  fill_fleet (fleet, workers);
  cf_reader_init (&table, 1);
  table.heads = allowances_rows ();
  table.rows = json_object ();
  printf ("%8d %8d", accounts, workers);
  error = write_plans (&table, 0, plans, fleet, workers);
  bs_digest (digest, "another key");
  json_object_set_new (json_array_get (plans, 0), "key_digest",
                       json_string (digest));
  error |= write_plans (&table, 1, plans, fleet, workers);
  json_array_remove (plans, (size_t)accounts / 2);
  error |= write_plans (&table, 2, plans, fleet, workers);
  printf ("\n");
  cf_reader_fini (&table);
  json_decref (plans);
  free (fleet);
  return error;
}

int
main (void)
{
  int error = 0;

  bs_init ();
  printf (
      "                  all               a key             an account "
      "less\naccounts  workers       ms    bytes       ms    bytes       ms"
      "    bytes\n");
  error |= measure (8, 150);
  error |= measure (61, 3250);
  error |= measure (122, 6500);
  error |= measure (245, 13000);
  error |= measure (490, 26000);
  return error ? EXIT_FAILURE : EXIT_SUCCESS;
}
