#include "platform.h"
#include "skr/base.h"

enum
{
  MAX_LISTS = 4096
};

/* The list as it was from AT_MS on.  */
struct past_list
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
past_free (void *arg)
{
  struct past_list *past = arg;

  json_decref (past->vms);
  g_free (past);
}

void
sp_vms_changed (struct sp_platform *sp)
{
  struct past_list *past = g_new (struct past_list, 1);
  const char *id;
  json_t *vm;

  past->at_ms = now_ms ();
  past->vms = json_array ();
  json_object_foreach (sp->vms, id, vm) { json_array_append (past->vms, vm); }
  g_queue_push_head (sp->lists, past);
  if (g_queue_get_length (sp->lists) > MAX_LISTS)
    past_free (g_queue_pop_tail (sp->lists));
}

json_t *
sp_vms_lagging (struct sp_platform *sp)
{
  int64_t until = now_ms () - sp->list_lag_ms;

  for (GList *l = sp->lists->head; l; l = l->next)
    {
      const struct past_list *past = l->data;

      if (past->at_ms <= until)
        return json_pack ("{s:O}", "vms", past->vms);
    }
  return json_pack ("{s:[]}", "vms");
}

void
sp_vms_fini (struct sp_platform *sp)
{
  g_queue_free_full (sp->lists, past_free);
}
