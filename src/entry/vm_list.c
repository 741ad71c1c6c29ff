/* Follows the platform's VM list, by reading it or by the messages of a VM
   that reads it, and updates the fleet, the upstream pool and the peers.  */
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

static struct fl_vm
to_pool_vm (const struct pr_vm *vm, const char *cell)
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

  en_find_or_add_cell (f, cell);
  if (f->workers == EN_MAX_WORKERS)
    return;
  g_strlcpy (w->cell, cell, sizeof w->cell);
  g_strlcpy (w->rack, vm->rack, sizeof w->rack);
  w->accelerators = vm->accelerators;
  w->slots = vm->slots;
  f->workers++;
}

void
en_vms_apply (struct en_core *core)
{
  GTree *lines = core->vms.list.line;
  int capacity = g_tree_nnodes (lines) + 1, count = 0;
  struct fl_vm *vm = g_new0 (struct fl_vm, capacity);
  char (*cell)[CF_NAME_SIZE] = g_malloc0_n ((gsize)capacity, sizeof *cell);
  int per_domain = cf_cells_per_domain (&core->config);

  core->fleet.workers = 0;
  for (GTreeNode *n = g_tree_node_first (lines); n; n = g_tree_node_next (n))
    {
      const struct pr_vm *listed_vm = g_tree_node_value (n);

      cf_cell_name (cell[count], listed_vm->domain, listed_vm->rack,
                    per_domain);
      vm[count] = to_pool_vm (listed_vm, cell[count]);
      if (!listed_vm->is_entry)
        add_worker (&core->fleet, listed_vm, cell[count]);
      count++;
    }
  fl_pool_set_vms (&core->pool, vm, count);
  g_free (vm);
  g_free (cell);
  en_peers_dial (core);
  en_assign_slots (core);
}

/* Reads the list when that is due.  IS_PERIODIC is true once per EN_POLL_MS,
   together with the other polls.  */
static void
read_if_due (struct en_core *core, int is_periodic)
{
  core->vms.may_publish = !atomic_load (&core->leaving);
  if (!vl_read_is_due (&core->vms, core->now_ms, is_periodic)
      || !en_poll_begin (core, EN_TABLE_POLL_VMS))
    return;
  vl_begin_read (&core->vms, core->now_ms);
  en_table_get_vms (core);
}

void
en_vms_poll_periodic (struct en_core *core)
{
  read_if_due (core, 1);
}

void
en_vms_check (void *arg, int64_t now_ms)
{
  (void)now_ms;
  read_if_due (arg, 0);
}

void
en_vms_on_read (struct en_core *core, const json_t *data)
{
  struct pr_message *m;
  guint at = 0;

  if (vl_finish_read (&core->vms, core->now_ms, json_object_get (data, "vms")))
    en_vms_apply (core);
  m = g_new0 (struct pr_message, 1);
  m->kind = PR_VMS;
  while (vl_next_message (&core->vms, core->now_ms, &at, &m->u.vms))
    en_send_domain (core, m);
  g_free (m);
}

void
en_vms_on_message (struct en_core *core, const struct pr_vms *message)
{
  if (vl_on_message (&core->vms, core->now_ms, message))
    en_vms_apply (core);
}
