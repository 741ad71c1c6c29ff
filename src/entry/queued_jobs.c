/* Counts the queued jobs of each account in all cells, for the limit of its
   plan.  Each round scans the changed rows of each cell's job table in turn.
   Jobs that other VMs accept during a round are not counted yet, so the limit
   can be exceeded by as many.  */
#include <stdio.h>
#include <string.h>

#include "entry/entry.h"

enum
{
  SCAN_ROWS = 500,       /* rows read at most by one scan */
  READS_PER_SECOND = 200 /* by all entry VMs together */
};

static void
scan_next (struct en_core *core)
{
  struct en_queued_jobs *q = &core->queued_jobs;
  char table[PR_ID_SIZE + 8];

  if (q->cell_index >= core->fleet.cells)
    {
      core->polls_in_progress &= ~(1 << EN_TABLE_POLL_JOBS);
      return;
    }
  g_strlcpy (q->cell_name, core->fleet.cell[q->cell_index].cell,
             sizeof q->cell_name);
  snprintf (table, sizeof table, "jobs.%s", q->cell_name);
  en_table_scan (
      core, NULL, EN_TABLE_POLL_JOBS,
      &(struct tb_scan){ .table = table,
                         .after = q->after,
                         .since = core->fleet.cell[q->cell_index].jobs_rev,
                         .limit = SCAN_ROWS });
}

/* With many cells and entry VMs rounds are longer apart than EN_POLL_MS, so
   that all VMs together keep to READS_PER_SECOND.  */
void
en_queued_jobs_poll (struct en_core *core)
{
  struct en_queued_jobs *q = &core->queued_jobs;
  int vms = core->pool.entries ? core->pool.entries : 1;
  int64_t period = 1000LL * core->fleet.cells * vms / READS_PER_SECOND;

  if (core->polls_in_progress & 1 << EN_TABLE_POLL_JOBS
      || core->now_ms - q->round_began_ms < period)
    return;
  core->polls_in_progress |= 1 << EN_TABLE_POLL_JOBS;
  q->round_began_ms = core->now_ms;
  q->cell_index = 0;
  *q->after = '\0';
  scan_next (core);
}

static int
find_account (const struct en_core *core, const char *account)
{
  for (int i = 0; account && i < core->env.accounts; i++)
    if (!strcmp (core->env.account[i].name, account))
      return i;
  return FL_NO_ACCOUNT;
}

static void
remove_job (struct en_core *core, const char *job)
{
  gpointer handle = g_hash_table_lookup (core->queued_jobs.jobs, job);

  if (!handle)
    return;
  core->env.account[GPOINTER_TO_INT (handle) - 1].queued--;
  g_hash_table_remove (core->queued_jobs.jobs, job);
}

void
en_queued_jobs_add (struct en_core *core, const char *job, int account)
{
  if (g_hash_table_contains (core->queued_jobs.jobs, job))
    return;
  core->env.account[account].queued++;
  g_hash_table_insert (core->queued_jobs.jobs, g_strdup (job),
                       GINT_TO_POINTER (account + 1));
}

static void
apply_row (struct en_core *core, const json_t *row)
{
  const char *job = json_string_value (json_object_get (row, "key"));
  const json_t *value = json_object_get (row, "value");
  const char *state = json_string_value (json_object_get (value, "state"));
  int account = find_account (
      core, json_string_value (json_object_get (value, "account")));

  /* The job was moved to another cell, and its row there is the one that
     counts.  */
  if (!job || json_object_get (value, "moved_to"))
    return;
  if (state && !strcmp (state, "queued") && account >= 0)
    en_queued_jobs_add (core, job, account);
  else
    remove_job (core, job);
}

/* Drops the counted jobs of a cell.  Used when the table was restored to an
   older state and the cell must be scanned from the start.  */
static void
remove_cell_jobs (struct en_core *core, const char *cell)
{
  size_t n = strlen (cell);
  GHashTableIter it;
  gpointer job, handle;

  g_hash_table_iter_init (&it, core->queued_jobs.jobs);
  while (g_hash_table_iter_next (&it, &job, &handle))
    if (!strncmp (job, cell, n) && ((char *)job)[n] == '~')
      {
        core->env.account[GPOINTER_TO_INT (handle) - 1].queued--;
        g_hash_table_iter_remove (&it);
      }
}

void
en_queued_jobs_on_rows (struct en_core *core, const json_t *data)
{
  struct en_queued_jobs *q = &core->queued_jobs;
  int64_t rev = json_integer_value (json_object_get (data, "rev"));
  const json_t *rows = json_object_get (data, "rows");
  struct fl_cell *cell;
  size_t i;
  json_t *row;

  while (strcmp (core->fleet.cell[q->cell_index].cell, q->cell_name) != 0)
    q->cell_index++;
  cell = &core->fleet.cell[q->cell_index];
  if (rev < cell->jobs_rev)
    {
      remove_cell_jobs (core, q->cell_name);
      cell->jobs_rev = 0;
      *q->after = '\0';
    }
  else
    {
      if (!*q->after)
        q->next_rev = rev;
      json_array_foreach (rows, i, row)
      {
        apply_row (core, row);
        g_strlcpy (q->after, json_string_value (json_object_get (row, "key")),
                   sizeof q->after);
      }
      if (!json_is_true (json_object_get (data, "more")))
        {
          cell->jobs_rev = q->next_rev;
          q->cell_index++;
          *q->after = '\0';
        }
    }
  core->polls_in_progress |= 1 << EN_TABLE_POLL_JOBS;
  scan_next (core);
}
