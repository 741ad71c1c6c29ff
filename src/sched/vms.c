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
take_up (struct sched *s)
{
  json_t *all = vl_list_json (&s->follow.list);
  GTree *line = s->follow.list.line;

  json_decref (s->vms);
  s->vms = json_incref (json_object_get (all, "vms"));
  json_decref (all);
  for (GTreeNode *n = g_tree_node_first (line); n; n = g_tree_node_next (n))
    {
      const struct pr_vm *vm = g_tree_node_value (n);

      if (!vm->is_entry)
        sc_add_cell (s, vm->domain);
    }
  sc_dial (s);
}

/* A cell's new holder waits until it has been shown a list.  */
static void
show_cells (struct sched *s)
{
  if (!vl_is_fresh (&s->follow, s->now_ms))
    return;
  for (int c = 0; c < s->cells; c++)
    cl_fleet (s->cell[c], s->now_ms, s->vms);
}

void
sc_vms_done (struct sched *s, int error, json_t *data)
{
  json_t *vms = error ? NULL : json_object_get (data, "vms");

  if (vl_end (&s->follow, s->now_ms, vms))
    take_up (s);
  if (json_is_array (vms))
    show_cells (s);
}

void
sc_vms_told (struct sched *s, const struct pr_vms *word)
{
  int changed = vl_told (&s->follow, s->now_ms, word);

  if (changed)
    take_up (s);
  /* What is told is in force at once, whether or not all of it is here.  */
  if (changed)
    for (int c = 0; c < s->cells; c++)
      cl_fleet (s->cell[c], s->now_ms, s->vms);
  else if (!word->more)
    show_cells (s);
}
