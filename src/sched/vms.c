/* The VM list: read or told, then taken up.  */
#include <string.h>

#include "sched/sched.h"

void
sc_poll_vms (void *sched, int64_t now_ms)
{
  struct sched *s = sched;
  struct sc_event *e;

  if (!vl_due (&s->follow, now_ms, now_ms - s->follow.begun_ms >= VL_READ_MS))
    return;
  e = sc_new_event (s, SC_VMS);
  if (tb_vms (s->tb, sc_table_done, e))
    sc_free_event (e);
  else
    vl_begin (&s->follow, now_ms);
}

static void
add_worker (struct sched *s, json_t *vm, int per_domain)
{
  char cell[CF_NAME_SIZE];
  json_t *list;

  cf_cell_name (cell, sc_text (vm, "domain"), sc_text (vm, "rack"),
                per_domain);
  list = json_object_get (s->workers, cell);
  if (!list)
    {
      list = json_array ();
      json_object_set_new (s->workers, cell, list);
      sc_add_cell (s, cell);
    }
  json_array_append (list, vm);
}

static void
take_up (struct sched *s)
{
  int per_domain = cf_cells (&s->config);
  json_t *all = vl_list_json (&s->follow.list), *vm;
  size_t i;

  json_decref (s->vms);
  json_decref (s->workers);
  s->vms = json_incref (json_object_get (all, "vms"));
  s->workers = json_object ();
  json_decref (all);
  json_array_foreach (s->vms, i, vm)
  {
    if (per_domain && !strcmp (sc_text (vm, "role"), "worker"))
      add_worker (s, vm, per_domain);
  }
  sc_count_vms (s);
  sc_dial (s);
}

/* A cell's new holder waits until it has been shown a list.  */
static void
show (struct sched *s, struct cl_cell *c)
{
  cl_fleet (c, s->now_ms, json_object_get (s->workers, c->name));
}

void
sc_show_new_holders (struct sched *s)
{
  for (int c = 0; c < s->cells; c++)
    if (s->cell[c]->phase == CL_LOADING && !s->cell[c]->fleet_listed
        && vl_is_fresh (&s->follow, s->now_ms))
      show (s, s->cell[c]);
}

static void
show_if_fresh (struct sched *s)
{
  if (!vl_is_fresh (&s->follow, s->now_ms))
    return;
  for (int c = 0; c < s->cells; c++)
    if (s->cell[c]->phase != CL_WATCHING)
      show (s, s->cell[c]);
}

/* Who takes a cell knows its workers before, also those that leave the list
   as they end their work.  */
void
sc_fleet_changed (struct sched *s)
{
  take_up (s);
  for (int c = 0; c < s->cells; c++)
    show (s, s->cell[c]);
}

void
sc_vms_done (struct sched *s, int error, json_t *data)
{
  json_t *vms = error ? NULL : json_object_get (data, "vms");

  if (vl_end (&s->follow, s->now_ms, vms))
    sc_fleet_changed (s);
  if (json_is_array (vms))
    show_if_fresh (s);
}

void
sc_vms_told (struct sched *s, const struct pr_vms *word)
{
  /* What is told is in force at once, whether or not all of it is here.  */
  if (vl_told (&s->follow, s->now_ms, word))
    sc_fleet_changed (s);
  else if (!word->more)
    show_if_fresh (s);
}
