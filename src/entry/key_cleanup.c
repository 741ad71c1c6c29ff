/* Rows of keys that are old are deleted, a few at a time: a walk through the
   keys of the accounts that fall to this VM, one account after the other.  */
#include <stdio.h>
#include <string.h>

#include "entry/entry.h"
#include "filter/keep.h"

enum
{
  READ = 64, /* rows read for one group */
  ROWS = 32, /* rows deleted at most for one */
  HOUR_MS = 3600000
};

/* Goes on to the next account of this VM; returns 0 when there is none.  */
static int
next_account (struct en_core *core)
{
  struct en_old *o = &core->old;

  *o->after = '\0';
  for (int n = 0; n < core->env.accounts; n++)
    {
      o->account = (o->account + 1) % core->env.accounts;
      if (fl_keep_is_mine (&core->pool, core->env.account[o->account].name))
        return 1;
    }
  return 0;
}

static int
is_mine (const struct en_core *core)
{
  return core->old.account < core->env.accounts
         && fl_keep_is_mine (&core->pool,
                             core->env.account[core->old.account].name);
}

void
en_old_step (void *arg, int64_t now_ms)
{
  struct en_core *core = arg;
  struct en_old *o = &core->old;
  char prefix[PR_ID + 1];

  (void)now_ms;
  if (core->env.table_down
      || core->polls & (1 << EN_TAG_OLD | 1 << EN_TAG_OLD_GONE)
      || (!is_mine (core) && !next_account (core)))
    return;
  core->polls |= 1 << EN_TAG_OLD;
  snprintf (prefix, sizeof prefix, "%s/", core->env.account[o->account].name);
  en_scan (core, NULL, EN_TAG_OLD,
           &(struct tb_scan){ .table = EN_REQUESTS,
                              .prefix = prefix,
                              .after = *o->after ? o->after : NULL,
                              .limit = READ });
}

/* Adds the old rows to TXN.  Returns 0 when the group is full before the
   rows' end.  */
static int
take_rows (struct en_core *core, const json_t *rows, struct tb_txn *txn)
{
  int64_t wall_ms = bs_wall_ms ();
  const json_t *row;
  size_t i;

  json_array_foreach (rows, i, row)
  {
    const char *key = json_string_value (json_object_get (row, "key"));

    if (!key)
      continue;
    if (json_array_size (txn->ops) == ROWS)
      return 0;
    if (fl_keep_is_old (json_object_get (row, "value"), wall_ms,
                        core->set->keep_keys_h * HOUR_MS))
      {
        tb_txn_check (txn, EN_REQUESTS, key,
                      json_integer_value (json_object_get (row, "version")));
        tb_txn_delete (txn, EN_REQUESTS, key);
      }
    g_strlcpy (core->old.after, key, sizeof core->old.after);
  }
  return 1;
}

/* What is not written is found again in the next round.  */
void
en_old_rows (struct en_core *core, const json_t *data)
{
  struct tb_txn txn;
  int whole;

  tb_txn_init (&txn);
  whole = take_rows (core, json_object_get (data, "rows"), &txn);
  if (json_array_size (txn.ops))
    {
      core->polls |= 1 << EN_TAG_OLD_GONE;
      en_commit (core, NULL, EN_TAG_OLD_GONE, &txn);
    }
  tb_txn_fini (&txn);
  if (whole && !json_is_true (json_object_get (data, "more")))
    next_account (core);
}
