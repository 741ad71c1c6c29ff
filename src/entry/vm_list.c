/* The VM list: read or told, then taken up.  */
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

static struct fl_vm
pool_line (const struct pr_vm *vm, const char *cell)
{
  return (struct fl_vm){ .id = vm->id,
                         .address = vm->address,
                         .cell = cell,
                         .is_entry = vm->is_entry,
                         .leaving = vm->state == PR_VM_LEAVING,
                         .slots = vm->slots,
                         .connections = vm->connections };
}

static void
add_worker (struct fl_fleet *f, const struct pr_vm *vm, const char *cell)
{
  struct fl_fleet_worker *w = &f->worker[f->workers];

  en_cell_of (f, cell);
  if (f->workers == EN_FLEET)
    return;
  g_strlcpy (w->cell, cell, sizeof w->cell);
  g_strlcpy (w->rack, vm->rack, sizeof w->rack);
  w->accelerators = vm->accelerators;
  w->slots = vm->slots;
  f->workers++;
}

void
en_vms_take_up (struct en_core *core)
{
  GTree *line = core->vms.list.line;
  int most = g_tree_nnodes (line) + 1, count = 0;
  struct fl_vm *vm = g_new0 (struct fl_vm, most);
  char (*cell)[CF_NAME_SIZE] = g_malloc0_n ((gsize)most, sizeof *cell);
  int per_domain = cf_cells (&core->config);

  core->fleet.workers = 0;
  for (GTreeNode *n = g_tree_node_first (line); n; n = g_tree_node_next (n))
    {
      const struct pr_vm *one = g_tree_node_value (n);

      cf_cell_name (cell[count], one->domain, one->rack, per_domain);
      vm[count] = pool_line (one, cell[count]);
      if (!one->is_entry)
        add_worker (&core->fleet, one, cell[count]);
      count++;
    }
  fl_pool_list (&core->pool, vm, count);
  g_free (vm);
  g_free (cell);
  en_peers_dial (core);
  en_feed (core);
}

static void
poll (struct en_core *core, int is_turn)
{
  core->vms.may_tell = !atomic_load (&core->leaving);
  if (!vl_due (&core->vms, core->now_ms, is_turn)
      || !en_poll_start (core, EN_TAG_POLL_VMS))
    return;
  vl_begin (&core->vms, core->now_ms);
  en_get_vms (core);
}

void
en_vms_turn (struct en_core *core)
{
  poll (core, 1);
}

void
en_vms_poll (void *arg, int64_t now_ms)
{
  (void)now_ms;
  poll (arg, 0);
}

void
en_vms_read (struct en_core *core, const json_t *data)
{
  struct pr_message *m;
  guint at = 0;

  if (vl_end (&core->vms, core->now_ms, json_object_get (data, "vms")))
    en_vms_take_up (core);
  m = g_new0 (struct pr_message, 1);
  m->kind = PR_VMS;
  while (vl_tell (&core->vms, core->now_ms, &at, &m->u.vms))
    en_send_domain (core, m);
  g_free (m);
}

void
en_vms_told (struct en_core *core, const struct pr_vms *word)
{
  if (vl_told (&core->vms, core->now_ms, word))
    en_vms_take_up (core);
}
