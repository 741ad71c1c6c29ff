/* The daemons on other entry VMs: who lives, what they use, what they
   grant.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

enum
{
  PEER_FORGET_MS = 60000
};

/* Runs on the peers' thread.  Messages are hints and are repeated: what does
   not fit is dropped.  */
static void
on_message (void *arg, const struct pr_message *m)
{
  struct en_core *core = arg;
  struct en_event *ev;

  if (atomic_fetch_add (&core->peer_queued, 1) >= EN_PEER_QUEUE)
    {
      atomic_fetch_sub (&core->peer_queued, 1);
      return;
    }
  ev = g_new0 (struct en_event, 1);
  ev->kind = EN_EV_PEER;
  ev->u.peer = g_memdup2 (m, sizeof *m);
  en_push (core, ev);
}

int
en_peers_start (struct en_core *core)
{
  const struct en_settings *set = core->set;

  core->place = (struct pr_place){ .vm = set->vm,
                                   .domain = set->domain,
                                   .listen = set->peer,
                                   .peers = set->peers,
                                   .keys_path = set->peer_keys,
                                   .role = PR_ENTRY,
                                   .queue = EN_PEER_QUEUE };
  if (!*set->peer)
    return BS_OK;
  return pr_open (&core->net, &core->keys, &core->place, on_message, core);
}

static void
send_heartbeat (struct en_core *core)
{
  struct pr_message *m = g_new (struct pr_message, 1);
  struct pr_heartbeat *h = &m->u.heartbeat;

  pr_begin_heartbeat (m, &core->place, atomic_load (&core->leaving),
                      core->now_ms);
  h->plans_version = cf_version (&core->config, CF_PLANS);
  h->allowances_version = cf_version (&core->config, CF_ALLOWANCES);
  en_send_all (core, m);
  g_free (m);
}

void
en_peers_dial (struct en_core *core)
{
  GTree *line = core->vms.list.line;
  GPtrArray *out;
  int n;

  if (!core->net)
    return;
  out = g_ptr_array_new ();
  for (GTreeNode *node = g_tree_node_first (line); node;
       node = g_tree_node_next (node))
    {
      struct pr_vm *vm = g_tree_node_value (node);

      if (vm->is_entry)
        g_ptr_array_add (out, vm->peer);
    }
  for (int p = 0; p < core->peers; p++)
    if (core->now_ms - core->peer[p].heard_ms < PEER_FORGET_MS)
      g_ptr_array_add (out, core->peer[p].address);
  n = pr_dial (core->net, &core->place, (const char *const *)out->pdata,
               (int)out->len);
  g_ptr_array_free (out, TRUE);
  if (n != core->dialled)
    send_heartbeat (core);
  core->dialled = n;
}

void
en_heartbeat (void *arg, int64_t now_ms)
{
  struct en_core *core = arg;

  (void)now_ms;
  pr_reread_keys (core->net, &core->keys, &core->place);
  en_peers_dial (core);
  send_heartbeat (core);
  en_send_usage (core);
  en_limits (core);
}

struct en_peer *
en_peer_of (struct en_core *core, const char *vm, int role, int add)
{
  struct en_peer *p;

  for (int i = 0; i < core->peers; i++)
    if (core->peer[i].role == role && !strcmp (core->peer[i].vm, vm))
      return &core->peer[i];
  if (!add)
    return NULL;
  for (int i = 0; i < core->peers; i++)
    if (core->now_ms - core->peer[i].heard_ms > PEER_FORGET_MS)
      {
        p = &core->peer[i];
        g_free (p->rate);
        g_free (p->busy);
        *p = (struct en_peer){ .role = role };
        g_strlcpy (p->vm, vm, sizeof p->vm);
        return p;
      }
  if (core->peers == EN_PEERS)
    return NULL;
  p = &core->peer[core->peers++];
  *p = (struct en_peer){ .role = role };
  g_strlcpy (p->vm, vm, sizeof p->vm);
  return p;
}

static int
lists_newer (struct en_core *core, const struct pr_heartbeat *h)
{
  return h->plans_version > cf_version (&core->config, CF_PLANS)
         || h->allowances_version > cf_version (&core->config, CF_ALLOWANCES);
}

static int
lists_older (struct en_core *core, const struct pr_heartbeat *h)
{
  return h->plans_version < cf_version (&core->config, CF_PLANS)
         || h->allowances_version < cf_version (&core->config, CF_ALLOWANCES);
}

static void
on_heartbeat (struct en_core *core, const struct pr_heartbeat *h)
{
  struct en_peer *p;
  int is_new;

  if (h->role == PR_ENTRY && !strcmp (h->vm, core->set->vm))
    return;
  vl_heard (&core->vms, core->now_ms, h);
  p = en_peer_of (core, h->vm, h->role, 1);
  if (!p)
    return;
  is_new = strcmp (p->address, h->address) != 0;
  g_strlcpy (p->address, h->address, sizeof p->address);
  g_strlcpy (p->domain, h->domain, sizeof p->domain);
  p->leaving = h->leaving;
  p->plans_version = h->plans_version;
  p->allowances_version = h->allowances_version;
  p->heard_ms = core->now_ms;
  if (is_new)
    {
      en_peers_dial (core);
      send_heartbeat (core);
    }
  /* A new peer that has read older lists: the table may have been set
     back.  */
  if (lists_newer (core, h) || (is_new && lists_older (core, h)))
    en_poll_config (core);
}

void
en_on_peer (struct en_core *core, const struct pr_message *m)
{
  switch (m->kind)
    {
    case PR_HEARTBEAT:
      on_heartbeat (core, &m->u.heartbeat);
      break;
    case PR_JOB_ENDED:
      en_job_ended (core, m->u.job.job);
      break;
    case PR_CONFIG:
      if (m->u.config.version > cf_version (&core->config, m->u.config.list))
        en_poll_config (core);
      break;
    case PR_CREDITS:
      fl_pool_credits (&core->pool, &m->u.credits, core->now_ms);
      en_feed (core);
      break;
    case PR_USAGE:
      en_on_usage (core, &m->u.usage);
      break;
    case PR_VMS:
      en_vms_told (core, &m->u.vms);
      break;
    case PR_JOB:
      break; /* for schedulers */
    }
}

static int
is_silent (struct en_core *core, const char *vm)
{
  return strcmp (vm, core->set->vm) != 0
         && !en_peer_of (core, vm, PR_ENTRY, 0);
}

int
en_lists_are_newest (struct en_core *core, int64_t plans, int64_t allowances)
{
  for (int i = 0; i < core->peers; i++)
    {
      const struct en_peer *p = &core->peer[i];

      if (core->now_ms - p->heard_ms <= EN_PEER_DEAD_MS
          && (p->plans_version > plans || p->allowances_version > allowances))
        return 0;
    }
  if (core->now_ms - core->started_ms >= EN_PEER_FIRST_MS)
    return 1;
  for (int i = 0; i < core->pool.entries; i++)
    if (is_silent (core, core->pool.entry[i]))
      return 0;
  return 1;
}

static int
is_listed (const struct en_core *core, const char *vm)
{
  for (int i = 0; i < core->pool.entries; i++)
    if (!strcmp (core->pool.entry[i], vm))
      return 1;
  return 0;
}

int
en_is_dead (struct en_core *core, const char *vm, const char *token)
{
  const struct en_peer *p;

  if (!strcmp (vm, core->set->vm))
    return strncmp (token, core->incarnation, EN_INCARNATION) != 0;
  p = en_peer_of (core, vm, PR_ENTRY, 0);
  if (p)
    return core->now_ms - p->heard_ms > EN_PEER_DEAD_MS;
  return !is_listed (core, vm)
         && core->now_ms - core->started_ms > EN_PEER_DEAD_MS;
}
