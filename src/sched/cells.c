/* Polls the cell rows and balances the held cells among the entry VMs.  */
#include <string.h>

#include "sched/sched.h"

struct cl_cell *
sc_find_cell (struct sched *s, const char *name)
{
  for (int i = 0; i < s->cells; i++)
    if (!strcmp (s->cell[i]->name, name))
      return s->cell[i];
  return NULL;
}

int
sc_held_count (const struct sched *s)
{
  int held = 0;

  for (int i = 0; i < s->cells; i++)
    held += s->cell[i]->phase != CL_WATCHING;
  return held;
}

struct cl_cell *
sc_add_cell (struct sched *s, const char *name)
{
  struct cl_cell *c = sc_find_cell (s, name);

  if (c || s->cells == SC_MAX_CELLS || !*name || strlen (name) >= CT_NAME)
    return c;
  c = g_new0 (struct cl_cell, 1);
  if (cl_init (c, name, &s->cell_settings, &s->config, sc_emit, s))
    {
      g_free (c);
      return NULL;
    }
  s->cell[s->cells++] = c;
  return c;
}

const char *
sc_json_string (const json_t *o, const char *name)
{
  const char *s = json_string_value (json_object_get (o, name));

  return s ? s : "";
}

void
sc_poll_cells (void *sched, int64_t now_ms)
{
  struct sched *s = sched;
  struct tb_scan what = { .table = CL_TABLE };
  struct sc_event *e;

  (void)now_ms;
  if (s->cells_scan_pending)
    return;
  e = sc_new_event (s, SC_CELLS);
  s->cells_scan_pending = tb_scan (s->tb, &what, sc_table_done, e) == TB_OK;
  if (!s->cells_scan_pending)
    sc_free_event (e);
}

static const json_t *
find_row (const json_t *rows, const char *key)
{
  const json_t *o;
  size_t i;

  json_array_foreach (rows, i, o)
  {
    if (!strcmp (sc_json_string (o, "key"), key))
      return o;
  }
  return NULL;
}

void
sc_cells_done (struct sched *s, int error, json_t *data)
{
  json_t *rows = json_object_get (data, "rows"), *o;
  size_t i;

  s->cells_scan_pending = 0;
  if (error || !json_is_array (rows))
    {
      for (int c = 0; c < s->cells; c++)
        cl_row_read_failed (s->cell[c]);
      return;
    }
  json_decref (s->cell_rows);
  s->cell_rows = json_incref (rows);
  sc_update_vm_counts (s);
  json_array_foreach (rows, i, o)
  {
    if (cf_cells_per_domain (&s->config))
      sc_add_cell (s, sc_json_string (o, "key"));
  }
  for (int c = 0; c < s->cells; c++)
    {
      const json_t *row = find_row (rows, s->cell[c]->name);

      cl_set_cell_rows (s->cell[c], rows);
      cl_observe_row (s->cell[c], s->now_ms, json_object_get (row, "value"),
                      json_integer_value (json_object_get (row, "version")));
    }
}

static int
count_held_by (const struct sched *s, const char *vm)
{
  const json_t *o;
  int n = 0;
  size_t i;

  json_array_foreach (s->cell_rows, i, o)
  {
    n += !strcmp (sc_json_string (json_object_get (o, "value"), "holder"), vm);
  }
  return n;
}

/* Counts the entry VMs that are not leaving, and finds the fewest cells that
   any other of them holds.  */
void
sc_update_vm_counts (struct sched *s)
{
  const json_t *vm;
  size_t i;

  s->live_entry_vms = 0;
  s->min_held = CF_MAX_CELLS;
  json_array_foreach (s->vms, i, vm)
  {
    int held;

    if (strcmp (sc_json_string (vm, "role"), "entry") != 0
        || strcmp (sc_json_string (vm, "state"), "leaving") == 0)
      continue;
    s->live_entry_vms++;
    if (!strcmp (sc_json_string (vm, "id"), s->settings->vm))
      continue;
    held = count_held_by (s, sc_json_string (vm, "id"));
    if (held < s->min_held)
      s->min_held = held;
  }
}

static struct sh_distribution
current_distribution (const struct sched *s)
{
  int held = sc_held_count (s);

  return (struct sh_distribution){ .held = held,
                                   .cells = s->cells,
                                   .vms = s->live_entry_vms,
                                   .min_held
                                   = held < s->min_held ? held : s->min_held };
}

int64_t
sc_take_delay (struct sched *s, struct cl_cell *c)
{
  struct sh_distribution v = current_distribution (s);

  if (atomic_load (&s->stop))
    return -1;
  return sh_take_delay (&v, c->jitter);
}

/* Releases one cell at a time.  If no other VM takes a released cell, this VM
   takes it again; therefore the interval between releases doubles, up to
   SH_RELEASE_INTERVAL_MAX_MS.  */
void
sc_rebalance (void *sched, int64_t now_ms)
{
  struct sched *s = sched;
  struct sh_distribution v = current_distribution (s);

  if (!sh_should_release (&v))
    {
      s->release_interval_ms = SH_RELEASE_INTERVAL_MS;
      s->release_at_ms = now_ms + SH_RELEASE_INTERVAL_MS;
      return;
    }
  if (now_ms < s->release_at_ms)
    return;
  s->release_at_ms = now_ms + s->release_interval_ms;
  if (s->release_interval_ms < SH_RELEASE_INTERVAL_MAX_MS)
    s->release_interval_ms *= 2;
  for (int i = 0; i < s->cells; i++)
    if (s->cell[i]->phase == CL_SERVING)
      {
        cl_release (s->cell[i]);
        return;
      }
}
