#include <stdio.h>
#include <string.h>

#include "config/config.h"

static int64_t
row_version (const json_t *row)
{
  return json_integer_value (json_object_get (row, "version"));
}

/* The value of LIST that goes before: the table's, or that in force when the
   table was restored to an older state.  */
static json_t *
newest (struct cf_store *store, const json_t *rows, const char *list)
{
  json_t *table = json_object_get (cf_row (rows, list), "value");
  json_t *held = cf_list (store, list);

  if (cf_value_version (held) > cf_value_version (table))
    return held;
  json_decref (held);
  return json_incref (table);
}

static int
check_form (const char *list, const json_t *new_list, char *reason)
{
  if (!strcmp (list, CF_PLANS))
    return cf_check_plans (new_list, reason);
  if (!strcmp (list, CF_ALLOWANCES))
    return cf_check_allowances (new_list, reason);
  snprintf (reason, CF_REASON_SIZE, "there is no list \"%s\"", list);
  return CF_EINVAL;
}

/* All three rows are checked, so that two changes of different lists cannot
   both be accepted against a state that neither saw.  */
static void
check_rows (struct tb_txn *txn, const json_t *rows)
{
  static const char *const key[] = { CF_PLANS, CF_ALLOWANCES, CF_SPLIT };

  for (size_t i = 0; i < sizeof key / sizeof key[0]; i++)
    tb_txn_check (txn, CF_TABLE, key[i], row_version (cf_row (rows, key[i])));
}

static void
put_value (struct tb_txn *txn, const char *key, json_t *value)
{
  if (value)
    tb_txn_put (txn, CF_TABLE, key, json_incref (value));
}

static void
fill_txn (struct tb_txn *txn, const json_t *rows, json_t *plans,
          json_t *allowances, json_t *split, int64_t split_version)
{
  check_rows (txn, rows);
  put_value (txn, CF_PLANS, plans);
  put_value (txn, CF_ALLOWANCES, allowances);
  tb_txn_put (
      txn, CF_TABLE, CF_SPLIT,
      json_pack ("{s:I,s:I,s:I,s:O}", "version", (json_int_t)split_version,
                 "plans", (json_int_t)cf_value_version (plans), "allowances",
                 (json_int_t)cf_value_version (allowances), "split", split));
}

static json_t *
next_value (const json_t *before, const json_t *list)
{
  return json_pack ("{s:I,s:O}", "version",
                    (json_int_t)cf_value_version (before) + 1, "list",
                    (json_t *)list);
}

int
cf_propose (struct cf_store *store, const json_t *rows, const char *list,
            int64_t version, const json_t *new_list,
            const struct cf_worker *fleet, int workers, int32_t spare_workers,
            struct tb_txn *txn, char *reason)
{
  json_t *plans, *allowances, *before, *next, *split = NULL, *old_split;
  int is_plans = !strcmp (list, CF_PLANS);
  int error = check_form (list, new_list, reason);

  if (error)
    return error;
  plans = newest (store, rows, CF_PLANS);
  allowances = newest (store, rows, CF_ALLOWANCES);
  old_split = newest (store, rows, CF_SPLIT);
  before = is_plans ? plans : allowances;
  if (cf_value_version (before) != version)
    {
      snprintf (reason, CF_REASON_SIZE, "version %lld is in force, not %lld",
                (long long)cf_value_version (before), (long long)version);
      error = CF_ECONFLICT;
    }
  next = next_value (before, new_list);
  if (is_plans)
    plans = next;
  else
    allowances = next;
  if (!error)
    error = cf_check_together (json_object_get (plans, "list"),
                               json_object_get (allowances, "list"), reason);
  if (!error)
    split = cf_make_split (json_object_get (plans, "list"),
                           json_object_get (allowances, "list"), fleet,
                           workers, spare_workers, reason);
  if (!error && !split)
    error = CF_EFIT;
  if (!error)
    fill_txn (txn, rows, plans, allowances, split,
              cf_value_version (old_split) + 1);
  json_decref (split);
  json_decref (old_split);
  json_decref (before);
  json_decref (plans);
  json_decref (allowances);
  return error;
}

int
cf_repair (struct cf_store *store, const json_t *rows, struct tb_txn *txn)
{
  static const char *const key[] = { CF_PLANS, CF_ALLOWANCES, CF_SPLIT };
  json_t *table_split = json_object_get (cf_row (rows, CF_SPLIT), "value");

  if (cf_version (store, CF_SPLIT) <= cf_value_version (table_split))
    return 0;
  check_rows (txn, rows);
  for (size_t i = 0; i < sizeof key / sizeof key[0]; i++)
    {
      json_t *value = cf_list (store, key[i]);

      put_value (txn, key[i], value);
      json_decref (value);
    }
  return 1;
}
