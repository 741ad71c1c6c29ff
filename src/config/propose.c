#include <stdio.h>
#include <string.h>

#include "config/config.h"

static int64_t
row_version (const json_t *row)
{
  return json_integer_value (json_object_get (row, "version"));
}

/* The newest known value of LIST: the table's, or the one in force if the
   table was restored to an older state.  */
static json_t *
newest_list (struct cf_store *store, const struct cf_reader *r,
             const char *list)
{
  json_t *table = cf_read_list (r, list), *held = cf_list (store, list);

  if (cf_value_version (held) > cf_value_version (table))
    {
      json_decref (table);
      return held;
    }
  json_decref (held);
  return table;
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

/* Makes the transaction depend on the versions of all three heads.  Otherwise
   two concurrent changes of different lists could both commit, each validated
   without the other.  */
static void
add_version_checks (struct tb_txn *txn, const json_t *rows)
{
  static const char *const key[] = { CF_PLANS, CF_ALLOWANCES, CF_SPLIT };

  for (size_t i = 0; i < sizeof key / sizeof key[0]; i++)
    tb_txn_check (txn, CF_TABLE, key[i], row_version (cf_row (rows, key[i])));
}

static void
put_head (struct tb_txn *txn, const char *list, const json_t *value,
          const json_t *rows)
{
  if (value)
    tb_txn_put (txn, CF_TABLE, list, cf_encode_head (list, value, rows));
}

/* Fills TXN with the heads of all three lists and with the rows that differ
   from those of TABLE.  */
static void
fill_txn (struct tb_txn *txn, const struct cf_reader *table,
          const json_t *plans, const json_t *allowances, const json_t *split)
{
  json_t *rows = cf_encode_rows (plans, allowances, split, table->rows),
         *value;
  const char *key;

  add_version_checks (txn, table->heads);
  put_head (txn, CF_PLANS, plans, rows);
  put_head (txn, CF_ALLOWANCES, allowances, rows);
  put_head (txn, CF_SPLIT, split, rows);
  json_object_foreach (rows, key, value)
  {
    json_t *old = json_object_get (table->rows, key);

    if (!old || !json_equal (old, value))
      tb_txn_put (txn, CF_ROWS_TABLE, key, json_incref (value));
  }
  json_object_foreach (table->rows, key, value)
  {
    if (!json_object_get (rows, key))
      tb_txn_delete (txn, CF_ROWS_TABLE, key);
  }
  json_decref (rows);
}

static json_t *
split_value (const json_t *plans, const json_t *allowances, json_t *split,
             int64_t version)
{
  return json_pack ("{s:I,s:I,s:I,s:O}", "version", (json_int_t)version,
                    "plans", (json_int_t)cf_value_version (plans),
                    "allowances", (json_int_t)cf_value_version (allowances),
                    "split", split);
}

static json_t *
next_value (const json_t *before, const json_t *list)
{
  return json_pack ("{s:I,s:O}", "version",
                    (json_int_t)cf_value_version (before) + 1, "list",
                    (json_t *)list);
}

int
cf_propose (struct cf_store *store, const struct cf_reader *table,
            const char *list, int64_t version, const json_t *new_list,
            const struct cf_worker *fleet, int workers, int32_t spare_workers,
            struct tb_txn *txn, char *reason)
{
  json_t *plans, *allowances, *before, *next, *split = NULL, *old_split;
  int is_plans = !strcmp (list, CF_PLANS);
  int error = check_form (list, new_list, reason);

  if (error)
    return error;
  plans = newest_list (store, table, CF_PLANS);
  allowances = newest_list (store, table, CF_ALLOWANCES);
  old_split = newest_list (store, table, CF_SPLIT);
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
    error = cf_check_plan_references (json_object_get (plans, "list"),
                                      json_object_get (allowances, "list"),
                                      reason);
  if (!error)
    split = cf_make_split (json_object_get (plans, "list"),
                           json_object_get (allowances, "list"), fleet,
                           workers, spare_workers, reason);
  if (!error && !split)
    error = CF_EFIT;
  if (!error)
    {
      next = split_value (plans, allowances, split,
                          cf_value_version (old_split) + 1);
      fill_txn (txn, table, plans, allowances, next);
      json_decref (next);
    }
  json_decref (split);
  json_decref (old_split);
  json_decref (before);
  json_decref (plans);
  json_decref (allowances);
  return error;
}

int
cf_repair (struct cf_store *store, const struct cf_reader *table,
           struct tb_txn *txn)
{
  const json_t *head
      = json_object_get (cf_row (table->heads, CF_SPLIT), "value");
  json_t *plans, *allowances, *split;

  if (cf_version (store, CF_SPLIT) <= cf_value_version (head))
    return 0;
  plans = cf_list (store, CF_PLANS);
  allowances = cf_list (store, CF_ALLOWANCES);
  split = cf_list (store, CF_SPLIT);
  fill_txn (txn, table, plans, allowances, split);
  json_decref (plans);
  json_decref (allowances);
  json_decref (split);
  return 1;
}

enum cf_change_end
cf_judge_change (const struct cf_reader *table, const char *list,
                 int64_t version, const json_t *new_list)
{
  json_t *value = cf_read_list (table, list);
  int64_t stored = cf_value_version (value);
  int is_same = json_equal (json_object_get (value, "list"), new_list);

  json_decref (value);
  if (stored > version + 1)
    return CF_CHANGE_UNKNOWN;
  return stored == version + 1 && is_same ? CF_CHANGE_STORED
                                          : CF_CHANGE_NOT_STORED;
}
