/* Exchanges the usage of client accounts with the other entry VMs and sets the
   limits of this VM from it.  */
#include <string.h>

#include "entry/entry.h"

void
en_send_usage (struct en_core *core)
{
  struct pr_message *m = g_new0 (struct pr_message, 1);
  struct pr_usage *u = &m->u.usage;

  m->kind = PR_USAGE;
  g_strlcpy (u->vm, core->settings->vm, sizeof u->vm);
  for (int i = 0; i < core->env.accounts && u->count < PR_MAX_USAGE; i++)
    {
      const struct fl_account *a = &core->env.account[i];
      struct pr_use *use = &u->use[u->count];

      if (!a->limit.admitted && !a->limit.peak_in_progress)
        continue;
      g_strlcpy (use->account, a->name, sizeof use->account);
      use->calls_in_progress = a->limit.peak_in_progress;
      use->calls_last_second = a->limit.admitted;
      u->count++;
    }
  en_send_all (core, m);
  g_free (m);
}

static int
find_account (const struct en_core *core, const char *name)
{
  for (int i = 0; i < core->env.accounts; i++)
    if (!strcmp (core->env.account[i].name, name))
      return i;
  return FL_NO_ACCOUNT;
}

void
en_on_usage (struct en_core *core, const struct pr_usage *u)
{
  struct en_peer *p = en_find_peer (core, u->vm, PR_ENTRY, 0);

  if (!p)
    return;
  if (p->account_capacity < core->env.accounts)
    {
      p->account_capacity = core->env.accounts;
      p->calls_per_second
          = g_renew (int32_t, p->calls_per_second, p->account_capacity);
      p->calls_in_progress
          = g_renew (int32_t, p->calls_in_progress, p->account_capacity);
    }
  if (p->account_capacity)
    {
      memset (p->calls_per_second, 0,
              sizeof *p->calls_per_second * (size_t)p->account_capacity);
      memset (p->calls_in_progress, 0,
              sizeof *p->calls_in_progress * (size_t)p->account_capacity);
    }
  p->usage_ms = core->now_ms;
  for (int i = 0; i < u->count; i++)
    {
      int a = find_account (core, u->use[i].account);

      if (a < 0)
        continue;
      p->calls_per_second[a] = u->use[i].calls_last_second;
      p->calls_in_progress[a] = u->use[i].calls_in_progress;
    }
}

/* True when a recent usage message of every listed entry VM is known.  */
static int
all_entries_heard (struct en_core *core)
{
  for (int i = 0; i < core->pool.entries; i++)
    {
      const struct en_peer *p;

      if (!strcmp (core->pool.entry[i], core->settings->vm))
        continue;
      p = en_find_peer (core, core->pool.entry[i], PR_ENTRY, 0);
      if (!p || core->now_ms - p->usage_ms > FL_LIMIT_STALE_MS)
        return 0;
    }
  return 1;
}

void
en_update_limits (struct en_core *core)
{
  int vms = core->pool.entries ? core->pool.entries : 1;
  int heard = all_entries_heard (core);

  for (int a = 0; a < core->env.accounts; a++)
    {
      int32_t per_second = 0, in_progress = 0;

      for (int i = 0; i < core->peer_count; i++)
        {
          const struct en_peer *p = &core->peer[i];

          if (a >= p->account_capacity
              || core->now_ms - p->usage_ms > FL_LIMIT_STALE_MS)
            continue;
          per_second += p->calls_per_second[a];
          in_progress += p->calls_in_progress[a];
        }
      fl_limit_end_period (&core->env.account[a].limit, vms, per_second,
                           in_progress, heard);
    }
}
