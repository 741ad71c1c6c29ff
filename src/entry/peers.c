/* The daemons on other VMs: their liveness and the messages that they
   send.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

enum
{
  PEER_FORGET_MS = 60000 /* a silent peer is no longer dialled */
};

/* Runs on the peer network's thread.  Messages are hints and are repeated, so
   those that exceed the queue are dropped.  */
static void
on_message (void *arg, const struct pr_message *m)
{
  struct en_core *core = arg;
  struct en_event *ev;

  if (atomic_fetch_add (&core->queued_peer_messages, 1) >= EN_PEER_QUEUE_SIZE)
    {
      atomic_fetch_sub (&core->queued_peer_messages, 1);
      return;
    }
  ev = g_new0 (struct en_event, 1);
  ev->kind = EN_EV_PEER;
  ev->u.peer = g_memdup2 (m, sizeof *m);
  en_push_event (core, ev);
}

int
en_peers_start (struct en_core *core)
{
  const struct en_settings *settings = core->settings;

  core->peer_place
      = (struct pr_daemon_settings){ .vm = settings->vm,
                                     .domain = settings->domain,
                                     .listen = settings->peer,
                                     .peers = settings->peers,
                                     .keys_path = settings->peer_keys,
                                     .role = PR_ENTRY,
                                     .queue = EN_PEER_QUEUE_SIZE };
  if (!*settings->peer)
    return BS_OK;
  return pr_open (&core->net, &core->peer_keys, &core->peer_place, on_message,
                  core);
}

static void
send_heartbeat (struct en_core *core)
{
  struct pr_message *m = g_new (struct pr_message, 1);
  struct pr_heartbeat *h = &m->u.heartbeat;

  pr_init_heartbeat (m, &core->peer_place, atomic_load (&core->leaving),
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
  GPtrArray *addresses;
  int n;

  if (!core->net)
    return;
  addresses = g_ptr_array_new ();
  for (GTreeNode *node = g_tree_node_first (line); node;
       node = g_tree_node_next (node))
    {
      struct pr_vm *vm = g_tree_node_value (node);

      if (vm->is_entry)
        g_ptr_array_add (addresses, vm->peer);
    }
  for (int p = 0; p < core->peer_count; p++)
    if (core->now_ms - core->peer[p].heard_ms < PEER_FORGET_MS)
      g_ptr_array_add (addresses, core->peer[p].address);
  n = pr_connect_peers (core->net, &core->peer_place,
                        (const char *const *)addresses->pdata,
                        (int)addresses->len);
  g_ptr_array_free (addresses, TRUE);
  if (n != core->dialled_peers)
    send_heartbeat (core);
  core->dialled_peers = n;
}

void
en_heartbeat (void *arg, int64_t now_ms)
{
  struct en_core *core = arg;

  (void)now_ms;
  pr_reload_keys (core->net, &core->peer_keys, &core->peer_place);
  en_peers_dial (core);
  send_heartbeat (core);
  en_send_usage (core);
  en_update_limits (core);
}

struct en_peer *
en_find_peer (struct en_core *core, const char *vm, int role, int add)
{
  struct en_peer *p;

  for (int i = 0; i < core->peer_count; i++)
    if (core->peer[i].role == role && !strcmp (core->peer[i].vm, vm))
      return &core->peer[i];
  if (!add)
    return NULL;
  for (int i = 0; i < core->peer_count; i++)
    if (core->now_ms - core->peer[i].heard_ms > PEER_FORGET_MS)
      {
        p = &core->peer[i];
        g_free (p->calls_per_second);
        g_free (p->calls_in_progress);
        *p = (struct en_peer){ .role = role };
        g_strlcpy (p->vm, vm, sizeof p->vm);
        return p;
      }
  if (core->peer_count == EN_MAX_PEERS)
    return NULL;
  p = &core->peer[core->peer_count++];
  *p = (struct en_peer){ .role = role };
  g_strlcpy (p->vm, vm, sizeof p->vm);
  return p;
}

static int
has_newer_lists (struct en_core *core, const struct pr_heartbeat *h)
{
  return h->plans_version > cf_version (&core->config, CF_PLANS)
         || h->allowances_version > cf_version (&core->config, CF_ALLOWANCES);
}

static int
has_older_lists (struct en_core *core, const struct pr_heartbeat *h)
{
  return h->plans_version < cf_version (&core->config, CF_PLANS)
         || h->allowances_version < cf_version (&core->config, CF_ALLOWANCES);
}

static void
on_heartbeat (struct en_core *core, const struct pr_heartbeat *h)
{
  struct en_peer *p;
  int is_new;

  if (h->role == PR_ENTRY && !strcmp (h->vm, core->settings->vm))
    return;
  vl_on_heartbeat (&core->vms, core->now_ms, h);
  p = en_find_peer (core, h->vm, h->role, 1);
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
  /* When a new peer has read older lists, the table may have been restored to
     an older state.  */
  if (has_newer_lists (core, h) || (is_new && has_older_lists (core, h)))
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
      fl_pool_apply_grant (&core->pool, &m->u.credits, core->now_ms);
      en_assign_slots (core);
      break;
    case PR_USAGE:
      en_on_usage (core, &m->u.usage);
      break;
    case PR_VMS:
      en_vms_on_message (core, &m->u.vms);
      break;
    case PR_JOB:
      break; /* handled by skr-sched only */
    }
}

static int
is_unheard_peer (struct en_core *core, const char *vm)
{
  return strcmp (vm, core->settings->vm) != 0
         && !en_find_peer (core, vm, PR_ENTRY, 0);
}

int
en_lists_are_newest (struct en_core *core, int64_t plans, int64_t allowances)
{
  for (int i = 0; i < core->peer_count; i++)
    {
      const struct en_peer *p = &core->peer[i];

      if (core->now_ms - p->heard_ms <= EN_PEER_TIMEOUT_MS
          && (p->plans_version > plans || p->allowances_version > allowances))
        return 0;
    }
  if (core->now_ms - core->started_ms >= EN_PEER_DISCOVERY_MS)
    return 1;
  for (int i = 0; i < core->pool.entries; i++)
    if (is_unheard_peer (core, core->pool.entry[i]))
      return 0;
  return 1;
}

static int
is_listed_entry (const struct en_core *core, const char *vm)
{
  for (int i = 0; i < core->pool.entries; i++)
    if (!strcmp (core->pool.entry[i], vm))
      return 1;
  return 0;
}

int
en_is_incarnation_gone (struct en_core *core, const char *vm,
                        const char *token)
{
  const struct en_peer *p;

  if (!strcmp (vm, core->settings->vm))
    return strncmp (token, core->incarnation, EN_INCARNATION_DIGITS) != 0;
  p = en_find_peer (core, vm, PR_ENTRY, 0);
  if (p)
    return core->now_ms - p->heard_ms > EN_PEER_TIMEOUT_MS;
  return !is_listed_entry (core, vm)
         && core->now_ms - core->started_ms > EN_PEER_TIMEOUT_MS;
}
