/* Messages to the daemons on other VMs.  */
#include <string.h>

#include "entry/entry.h"

void
en_send_all (struct en_core *core, const struct pr_message *m)
{
  if (core->net)
    pr_send (core->net, NULL, m);
}

void
en_send_domain (struct en_core *core, const struct pr_message *m)
{
  for (int i = 0; i < core->peer_count; i++)
    {
      const struct en_peer *p = &core->peer[i];

      if (core->net && !strcmp (p->domain, core->settings->domain)
          && core->now_ms - p->heard_ms <= EN_PEER_TIMEOUT_MS)
        pr_send (core->net, p->address, m);
    }
}

static const char *
holder_address (struct en_core *core, const char *cell)
{
  for (int i = 0; i < core->fleet.cells; i++)
    if (!strcmp (core->fleet.cell[i].cell, cell))
      {
        struct en_peer *p
            = en_find_peer (core, core->fleet.cell[i].holder, PR_SCHED, 0);

        return p ? p->address : NULL;
      }
  return NULL;
}

void
en_notify_job (struct en_core *core, const char *cell, const char *job)
{
  struct pr_message *m;

  if (!core->net)
    return;
  m = g_new0 (struct pr_message, 1);
  m->kind = PR_JOB;
  g_strlcpy (m->u.job.cell, cell, sizeof m->u.job.cell);
  g_strlcpy (m->u.job.job, job, sizeof m->u.job.job);
  pr_send (core->net, holder_address (core, cell), m);
  g_free (m);
}

void
en_notify_config (struct en_core *core, const char *list)
{
  struct pr_message *m = g_new0 (struct pr_message, 1);

  m->kind = PR_CONFIG;
  g_strlcpy (m->u.config.list, list, sizeof m->u.config.list);
  m->u.config.version = cf_version (&core->config, list) + 1;
  en_send_all (core, m);
  g_free (m);
}
