#include "platform.h"
#include "skr/base.h"

enum
{
  MAX_VM_LISTS = 4096 /* versions of the VM list */
};

/* A version of the VM list, valid from AT_MS.  */
struct vm_list
{
  int64_t at_ms;
  json_t *vms; /* array */
};

static int64_t
now_ms (void)
{
  struct bs_clock clock = bs_clock_system ();

  return bs_now_ms (&clock);
}

static void
vm_list_free (void *arg)
{
  struct vm_list *list = arg;

  json_decref (list->vms);
  g_free (list);
}

void
sp_record_vms (struct sp_platform *sp)
{
  struct vm_list *list = g_new (struct vm_list, 1);
  const char *id;
  json_t *vm;

  list->at_ms = now_ms ();
  list->vms = json_array ();
  json_object_foreach (sp->vms, id, vm) { json_array_append (list->vms, vm); }
  g_queue_push_head (sp->vm_lists, list);
  if (g_queue_get_length (sp->vm_lists) > MAX_VM_LISTS)
    vm_list_free (g_queue_pop_tail (sp->vm_lists));
}

json_t *
sp_lagging_vms (struct sp_platform *sp)
{
  int64_t as_of_ms = now_ms () - sp->list_lag_ms;

  for (GList *l = sp->vm_lists->head; l; l = l->next)
    {
      const struct vm_list *list = l->data;

      if (list->at_ms <= as_of_ms)
        return json_pack ("{s:O}", "vms", list->vms);
    }
  return json_pack ("{s:[]}", "vms");
}

void
sp_vm_lists_fini (struct sp_platform *sp)
{
  g_queue_free_full (sp->vm_lists, vm_list_free);
}
