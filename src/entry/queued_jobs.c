/* How many jobs of each account wait in all cells, for the limit of its
   plan: the changed rows of each cell's table are read in turn.  Jobs that
   other VMs accept within one round are not seen yet, so that the limit may
   be passed by what they accept in that time.  */
#include <stdio.h>
#include <string.h>

#include "entry/entry.h"

enum
{
  SCAN_ROWS = 500,
  READS_PER_SECOND = 200 /* by all entry VMs together */
};

static void
scan (struct en_core *core)
{
  struct en_queued *q = &core->queued;
  char table[PR_ID + 8];

  if (q->cell >= core->fleet.cells)
    {
      core->polls &= ~(1 << EN_TAG_POLL_JOBS);
      return;
    }
  g_strlcpy (q->name, core->fleet.cell[q->cell].cell, sizeof q->name);
  snprintf (table, sizeof table, "jobs.%s", q->name);
  en_scan (core, NULL, EN_TAG_POLL_JOBS,
           &(struct tb_scan){ .table = table,
                              .after = q->after,
                              .since = core->fleet.cell[q->cell].jobs_rev,
                              .limit = SCAN_ROWS });
}

/* With many cells and VMs a round is begun less often than each second.  */
void
en_queued_poll (struct en_core *core)
{
  struct en_queued *q = &core->queued;
  int vms = core->pool.entries ? core->pool.entries : 1;
  int64_t period = 1000LL * core->fleet.cells * vms / READS_PER_SECOND;

  if (core->polls & 1 << EN_TAG_POLL_JOBS
      || core->now_ms - q->begun_ms < period)
    return;
  core->polls |= 1 << EN_TAG_POLL_JOBS;
  q->begun_ms = core->now_ms;
  q->cell = 0;
  *q->after = '\0';
  scan (core);
}

static int
handle_of (const struct en_core *core, const char *account)
{
  for (int i = 0; account && i < core->env.accounts; i++)
    if (!strcmp (core->env.account[i].name, account))
      return i;
  return FL_NO_ACCOUNT;
}

static void
drop (struct en_core *core, const char *job)
{
  gpointer held = g_hash_table_lookup (core->queued.jobs, job);

  if (!held)
    return;
  core->env.account[GPOINTER_TO_INT (held) - 1].queued--;
  g_hash_table_remove (core->queued.jobs, job);
}

void
en_queued_add (struct en_core *core, const char *job, int account)
{
  if (g_hash_table_contains (core->queued.jobs, job))
    return;
  core->env.account[account].queued++;
  g_hash_table_insert (core->queued.jobs, g_strdup (job),
                       GINT_TO_POINTER (account + 1));
}

static void
take_row (struct en_core *core, const json_t *row)
{
  const char *job = json_string_value (json_object_get (row, "key"));
  const json_t *value = json_object_get (row, "value");
  const char *state = json_string_value (json_object_get (value, "state"));
  int account = handle_of (
      core, json_string_value (json_object_get (value, "account")));

  /* A row that was left behind says nothing: the one elsewhere does.  */
  if (!job || json_object_get (value, "moved_to"))
    return;
  if (state && !strcmp (state, "queued") && account >= 0)
    en_queued_add (core, job, account);
  else
    drop (core, job);
}

/* The table was set back: what is known of the cell is read anew.  */
static void
forget_cell (struct en_core *core, const char *cell)
{
  size_t n = strlen (cell);
  GHashTableIter it;
  gpointer job, held;

  g_hash_table_iter_init (&it, core->queued.jobs);
  while (g_hash_table_iter_next (&it, &job, &held))
    if (!strncmp (job, cell, n) && ((char *)job)[n] == '~')
      {
        core->env.account[GPOINTER_TO_INT (held) - 1].queued--;
        g_hash_table_iter_remove (&it);
      }
}

void
en_queued_rows (struct en_core *core, const json_t *data)
{
  struct en_queued *q = &core->queued;
  int64_t rev = json_integer_value (json_object_get (data, "rev"));
  const json_t *rows = json_object_get (data, "rows");
  struct fl_cell *cell;
  size_t i;
  json_t *row;

  while (strcmp (core->fleet.cell[q->cell].cell, q->name) != 0)
    q->cell++;
  cell = &core->fleet.cell[q->cell];
  if (rev < cell->jobs_rev)
    {
      forget_cell (core, q->name);
      cell->jobs_rev = 0;
      *q->after = '\0';
    }
  else
    {
      if (!*q->after)
        q->next_rev = rev;
      json_array_foreach (rows, i, row)
      {
        take_row (core, row);
        g_strlcpy (q->after, json_string_value (json_object_get (row, "key")),
                   sizeof q->after);
      }
      if (!json_is_true (json_object_get (data, "more")))
        {
          cell->jobs_rev = q->next_rev;
          q->cell++;
          *q->after = '\0';
        }
    }
  core->polls |= 1 << EN_TAG_POLL_JOBS;
  scan (core);
}
