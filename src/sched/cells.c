/* What is polled from the platform, and which cells to hold.  */
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
sc_held (const struct sched *s)
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
  if (cl_init (c, name, &s->cell_set, &s->config, sc_emit, s))
    {
      g_free (c);
      return NULL;
    }
  s->cell[s->cells++] = c;
  return c;
}

const char *
sc_text (const json_t *o, const char *name)
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
  if (s->asking_cells)
    return;
  e = sc_new_event (s, SC_CELLS);
  s->asking_cells = tb_scan (s->tb, &what, sc_table_done, e) == TB_OK;
  if (!s->asking_cells)
    sc_free_event (e);
}

static const json_t *
row_of (const json_t *rows, const char *key)
{
  const json_t *o;
  size_t i;

  json_array_foreach (rows, i, o)
  {
    if (!strcmp (sc_text (o, "key"), key))
      return o;
  }
  return NULL;
}

void
sc_cells_done (struct sched *s, int error, json_t *data)
{
  json_t *rows = json_object_get (data, "rows"), *o;
  size_t i;

  s->asking_cells = 0;
  if (error || !json_is_array (rows))
    {
      for (int c = 0; c < s->cells; c++)
        cl_row_failed (s->cell[c]);
      return;
    }
  json_decref (s->cell_rows);
  s->cell_rows = json_incref (rows);
  sc_count_vms (s);
  json_array_foreach (rows, i, o)
  {
    if (cf_cells (&s->config))
      sc_add_cell (s, sc_text (o, "key"));
  }
  for (int c = 0; c < s->cells; c++)
    {
      const json_t *row = row_of (rows, s->cell[c]->name);

      cl_cells (s->cell[c], rows);
      cl_row (s->cell[c], s->now_ms, json_object_get (row, "value"),
              json_integer_value (json_object_get (row, "version")));
    }
}

static int
held_by (const struct sched *s, const char *vm)
{
  const json_t *o;
  int n = 0;
  size_t i;

  json_array_foreach (s->cell_rows, i, o)
  {
    n += !strcmp (sc_text (json_object_get (o, "value"), "holder"), vm);
  }
  return n;
}

/* The entry VMs that stay, and how few cells one of the others holds.  */
void
sc_count_vms (struct sched *s)
{
  const json_t *vm;
  size_t i;

  s->live_vms = 0;
  s->least_held = CF_MAX_CELLS;
  json_array_foreach (s->vms, i, vm)
  {
    int held;

    if (strcmp (sc_text (vm, "role"), "entry") != 0
        || strcmp (sc_text (vm, "state"), "leaving") == 0)
      continue;
    s->live_vms++;
    if (!strcmp (sc_text (vm, "id"), s->set->vm))
      continue;
    held = held_by (s, sc_text (vm, "id"));
    if (held < s->least_held)
      s->least_held = held;
  }
}

static struct sh_view
view (const struct sched *s)
{
  int held = sc_held (s);

  return (struct sh_view){ .held = held,
                           .cells = s->cells,
                           .vms = s->live_vms,
                           .least
                           = held < s->least_held ? held : s->least_held };
}

int64_t
sc_take_delay (struct sched *s, struct cl_cell *c)
{
  struct sh_view v = view (s);

  if (atomic_load (&s->stop))
    return -1;
  return sh_take_delay (&v, c->jitter);
}

/* A cell that was handed over and came back found no taker: the next try
   waits for longer.  */
void
sc_rebalance (void *sched, int64_t now_ms)
{
  struct sched *s = sched;
  struct sh_view v = view (s);

  if (!sh_should_give (&v))
    {
      s->give_wait_ms = SH_GIVE_MS;
      s->give_at_ms = now_ms + SH_GIVE_MS;
      return;
    }
  if (now_ms < s->give_at_ms)
    return;
  s->give_at_ms = now_ms + s->give_wait_ms;
  if (s->give_wait_ms < SH_GIVE_MAX_MS)
    s->give_wait_ms *= 2;
  for (int i = 0; i < s->cells; i++)
    if (s->cell[i]->phase == CL_SERVING)
      {
        cl_give_up (s->cell[i]);
        return;
      }
}
