/* Deletes expired rows of idempotency keys in small batches.  The scan goes
   through the keys of the accounts that this VM is responsible for, one
   account after the other.  */
#include <stdio.h>
#include <string.h>

#include "entry/entry.h"
#include "filter/retention.h"

enum
{
  SCAN_ROWS = 64,   /* rows read for one batch */
  MAX_DELETES = 32, /* rows deleted at most in one batch */
  HOUR_MS = 3600000
};

/* Moves to the start of this VM's next account.  Returns 0 when there is
   none.  */
static int
next_account (struct en_core *core)
{
  struct en_key_cleanup *o = &core->key_cleanup;

  *o->after = '\0';
  for (int n = 0; n < core->env.accounts; n++)
    {
      o->account = (o->account + 1) % core->env.accounts;
      if (fl_retention_is_owner (&core->pool,
                                 core->env.account[o->account].name))
        return 1;
    }
  return 0;
}

static int
is_responsible_for (const struct en_core *core)
{
  return core->key_cleanup.account < core->env.accounts
         && fl_retention_is_owner (
             &core->pool, core->env.account[core->key_cleanup.account].name);
}

void
en_key_cleanup_scan (void *arg, int64_t now_ms)
{
  struct en_core *core = arg;
  struct en_key_cleanup *o = &core->key_cleanup;
  char prefix[PR_ID_SIZE + 1];

  (void)now_ms;
  if (core->env.table_down
      || core->polls_in_progress
             & (1 << EN_TABLE_SCAN_KEYS | 1 << EN_TABLE_DELETE_KEYS)
      || (!is_responsible_for (core) && !next_account (core)))
    return;
  core->polls_in_progress |= 1 << EN_TABLE_SCAN_KEYS;
  snprintf (prefix, sizeof prefix, "%s/", core->env.account[o->account].name);
  en_table_scan (core, NULL, EN_TABLE_SCAN_KEYS,
                 &(struct tb_scan){ .table = EN_REQUESTS_TABLE,
                                    .prefix = prefix,
                                    .after = *o->after ? o->after : NULL,
                                    .limit = SCAN_ROWS });
}

/* Adds the deletion of the expired ROWS to TXN.  Returns 0 when the batch is
   full before all ROWS are examined.  */
static int
add_expired_rows (struct en_core *core, const json_t *rows, struct tb_txn *txn)
{
  int64_t wall_ms = bs_wall_ms ();
  const json_t *row;
  size_t i;

  json_array_foreach (rows, i, row)
  {
    const char *key = json_string_value (json_object_get (row, "key"));

    if (!key)
      continue;
    if (json_array_size (txn->ops) == MAX_DELETES)
      return 0;
    if (fl_retention_is_over (json_object_get (row, "value"), wall_ms,
                              core->settings->keep_keys_h * HOUR_MS))
      {
        tb_txn_check (txn, EN_REQUESTS_TABLE, key,
                      json_integer_value (json_object_get (row, "version")));
        tb_txn_delete (txn, EN_REQUESTS_TABLE, key);
      }
    g_strlcpy (core->key_cleanup.after, key, sizeof core->key_cleanup.after);
  }
  return 1;
}

/* Rows whose deletion fails are found again in the next round.  */
void
en_key_cleanup_on_rows (struct en_core *core, const json_t *data)
{
  struct tb_txn txn;
  int all_read;

  tb_txn_init (&txn);
  all_read = add_expired_rows (core, json_object_get (data, "rows"), &txn);
  if (json_array_size (txn.ops))
    {
      core->polls_in_progress |= 1 << EN_TABLE_DELETE_KEYS;
      en_table_commit (core, NULL, EN_TABLE_DELETE_KEYS, &txn);
    }
  tb_txn_fini (&txn);
  if (all_read && !json_is_true (json_object_get (data, "more")))
    next_account (core);
}
