/* What each account uses on this VM and on the others.  */
#include <string.h>

#include "entry/entry.h"

void
en_send_usage (struct en_core *core)
{
  struct pr_message *m = g_new0 (struct pr_message, 1);
  struct pr_usage *u = &m->u.usage;

  m->kind = PR_USAGE;
  g_strlcpy (u->vm, core->set->vm, sizeof u->vm);
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
account_handle (const struct en_core *core, const char *name)
{
  for (int i = 0; i < core->env.accounts; i++)
    if (!strcmp (core->env.account[i].name, name))
      return i;
  return FL_NO_ACCOUNT;
}

void
en_on_usage (struct en_core *core, const struct pr_usage *u)
{
  struct en_peer *p = en_peer_of (core, u->vm, PR_ENTRY, 0);

  if (!p)
    return;
  if (p->room < core->env.accounts)
    {
      p->room = core->env.accounts;
      p->rate = g_renew (int32_t, p->rate, p->room);
      p->busy = g_renew (int32_t, p->busy, p->room);
    }
  if (p->room)
    {
      memset (p->rate, 0, sizeof *p->rate * (size_t)p->room);
      memset (p->busy, 0, sizeof *p->busy * (size_t)p->room);
    }
  p->usage_ms = core->now_ms;
  for (int i = 0; i < u->count; i++)
    {
      int a = account_handle (core, u->use[i].account);

      if (a < 0)
        continue;
      p->rate[a] = u->use[i].calls_last_second;
      p->busy[a] = u->use[i].calls_in_progress;
    }
}

/* True when every listed entry VM has told its use lately.  */
static int
all_heard (struct en_core *core)
{
  for (int i = 0; i < core->pool.entries; i++)
    {
      const struct en_peer *p;

      if (!strcmp (core->pool.entry[i], core->set->vm))
        continue;
      p = en_peer_of (core, core->pool.entry[i], PR_ENTRY, 0);
      if (!p || core->now_ms - p->usage_ms > FL_LIMIT_STALE_MS)
        return 0;
    }
  return 1;
}

void
en_limits (struct en_core *core)
{
  int vms = core->pool.entries ? core->pool.entries : 1;
  int heard = all_heard (core);

  for (int a = 0; a < core->env.accounts; a++)
    {
      int32_t rate = 0, busy = 0;

      for (int i = 0; i < core->peers; i++)
        {
          const struct en_peer *p = &core->peer[i];

          if (a >= p->room || core->now_ms - p->usage_ms > FL_LIMIT_STALE_MS)
            continue;
          rate += p->rate[a];
          busy += p->busy[a];
        }
      fl_limit_period (&core->env.account[a].limit, vms, rate, busy, heard);
    }
}
