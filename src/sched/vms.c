/* Reads the VM list from the platform or from peers' messages, and derives the
   workers of each cell.  */
#include <string.h>

#include "sched/sched.h"

void
sc_poll_vms (void *sched, int64_t now_ms)
{
  struct sched *s = sched;
  struct sc_event *e;

  if (!vl_read_is_due (&s->vm_list, now_ms,
                       now_ms - s->vm_list.read_started_ms
                           >= VL_READ_INTERVAL_MS))
    return;
  e = sc_new_event (s, SC_VMS);
  if (tb_vms (s->tb, sc_table_done, e))
    sc_free_event (e);
  else
    vl_begin_read (&s->vm_list, now_ms);
}

static void
add_worker (struct sched *s, json_t *vm, int per_domain)
{
  char cell[CF_NAME_SIZE];
  json_t *list;

  cf_cell_name (cell, sc_json_string (vm, "domain"),
                sc_json_string (vm, "rack"), per_domain);
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
rebuild_fleet (struct sched *s)
{
  int per_domain = cf_cells_per_domain (&s->config);
  json_t *all = vl_list_json (&s->vm_list.list), *vm;
  size_t i;

  json_decref (s->vms);
  json_decref (s->workers);
  s->vms = json_incref (json_object_get (all, "vms"));
  s->workers = json_object ();
  json_decref (all);
  json_array_foreach (s->vms, i, vm)
  {
    if (per_domain && !strcmp (sc_json_string (vm, "role"), "worker"))
      add_worker (s, vm, per_domain);
  }
  sc_update_vm_counts (s);
  sc_connect_peers (s);
}

/* Passes C its list of workers.  A new holder decides nothing before it has
   received one.  */
static void
update_workers (struct sched *s, struct cl_cell *c)
{
  cl_update_workers (c, s->now_ms, json_object_get (s->workers, c->name));
}

void
sc_update_loading_cells (struct sched *s)
{
  for (int c = 0; c < s->cells; c++)
    if (s->cell[c]->phase == CL_LOADING && !s->cell[c]->lists_received
        && vl_is_fresh (&s->vm_list, s->now_ms))
      update_workers (s, s->cell[c]);
}

static void
update_held_cells (struct sched *s)
{
  if (!vl_is_fresh (&s->vm_list, s->now_ms))
    return;
  for (int c = 0; c < s->cells; c++)
    if (s->cell[c]->phase != CL_WATCHING)
      update_workers (s, s->cell[c]);
}

/* Cells that are not held are updated too: whoever takes a cell must know its
   workers, also those that leave the list as they end their work.  */
void
sc_apply_fleet (struct sched *s)
{
  rebuild_fleet (s);
  for (int c = 0; c < s->cells; c++)
    update_workers (s, s->cell[c]);
}

void
sc_vms_done (struct sched *s, int error, json_t *data)
{
  json_t *vms = error ? NULL : json_object_get (data, "vms");

  if (vl_finish_read (&s->vm_list, s->now_ms, vms))
    sc_apply_fleet (s);
  if (json_is_array (vms))
    update_held_cells (s);
}

void
sc_on_vms_message (struct sched *s, const struct pr_vms *message)
{
  /* Changes apply at once, even while parts of the list are missing.  */
  if (vl_on_message (&s->vm_list, s->now_ms, message))
    sc_apply_fleet (s);
  else if (!message->more)
    update_held_cells (s);
}
