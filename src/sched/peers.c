/* Exchanges heartbeats, hints and grants with the daemons of all VMs.  */
#include <stdio.h>
#include <string.h>

#include "sched/sched.h"

enum
{
  ENTRY_LIVE_MS = 5000, /* an entry silent for longer gets no grants */
  ENTRY_FORGET_MS = 60000,
  GRANT_MARGIN_MS = 500, /* clocks run at unequal speed */
  QUEUE_MESSAGES = 256
};

static void
on_message (void *arg, const struct pr_message *m)
{
  struct sched *s = arg;
  struct sc_event *e;

  /* Messages beyond the limit are dropped; hints are repeated.  */
  if (atomic_fetch_add (&s->peer_queued, 1) >= SC_MAX_PEER_EVENTS)
    {
      atomic_fetch_sub (&s->peer_queued, 1);
      return;
    }
  e = sc_new_event (s, SC_PEER);
  e->message = g_memdup2 (m, sizeof *m);
  sc_push (s, e);
}

int
sc_peers_start (struct sched *s)
{
  const struct sc_settings *set = s->settings;

  s->peer_config = (struct pr_daemon_settings){ .vm = set->vm,
                                                .domain = set->domain,
                                                .listen = set->peer,
                                                .peers = set->peers,
                                                .keys_path = set->peer_keys,
                                                .role = PR_SCHED,
                                                .queue = QUEUE_MESSAGES };
  return pr_open (&s->net, &s->keys, &s->peer_config, on_message, s);
}

void
sc_reload_keys (void *sched, int64_t now_ms)
{
  struct sched *s = sched;

  (void)now_ms;
  pr_reload_keys (s->net, &s->keys, &s->peer_config);
}

/* Connects to the peers of the VM list, to entries with a recent heartbeat,
   and to the peers of the settings.  */
void
sc_connect_peers (struct sched *s)
{
  GPtrArray *out = g_ptr_array_new ();
  const json_t *vm;
  size_t i;

  json_array_foreach (s->vms, i, vm)
  {
    g_ptr_array_add (
        out, (gpointer)json_string_value (json_object_get (vm, "peer")));
  }
  for (int e = 0; e < s->entries; e++)
    if (s->now_ms - s->entry[e].last_heartbeat_ms < ENTRY_FORGET_MS)
      g_ptr_array_add (out, s->entry[e].address);
  pr_connect_peers (s->net, &s->peer_config, (const char *const *)out->pdata,
                    (int)out->len);
  g_ptr_array_free (out, TRUE);
}

void
sc_heartbeat (void *sched, int64_t now_ms)
{
  struct sched *s = sched;
  struct pr_message *m = g_new (struct pr_message, 1);
  struct pr_heartbeat *h = &m->u.heartbeat;

  sc_connect_peers (s);
  pr_init_heartbeat (m, &s->peer_config, atomic_load (&s->stop), now_ms);
  h->plans_version = cf_version (&s->config, CF_PLANS);
  h->allowances_version = cf_version (&s->config, CF_ALLOWANCES);
  for (int i = 0; i < s->cells && h->cells < PR_MAX_CELLS; i++)
    {
      struct cl_cell *c = s->cell[i];

      if (c->phase == CL_WATCHING)
        continue;
      g_strlcpy (h->cell[h->cells].cell, c->name, PR_ID_SIZE);
      h->cell[h->cells++].epoch = c->lease.row.epoch;
    }
  pr_send (s->net, NULL, m);
  g_free (m);
}

void
sc_send_job_changed (struct sched *s, const char *cell, const char *job)
{
  struct pr_message *m = g_new0 (struct pr_message, 1);

  m->kind = PR_JOB_ENDED;
  g_strlcpy (m->u.job.cell, cell, sizeof m->u.job.cell);
  g_strlcpy (m->u.job.job, job, sizeof m->u.job.job);
  pr_send (s->net, NULL, m);
  g_free (m);
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (((const struct sc_entry *)a)->vm,
                 ((const struct sc_entry *)b)->vm);
}

static void
record_heartbeat (struct sched *s, const struct pr_heartbeat *h)
{
  struct sc_entry *e = NULL;
  int is_new;

  if (h->role != PR_ENTRY)
    return;
  for (int i = 0; i < s->entries && !e; i++)
    if (!strcmp (s->entry[i].vm, h->vm))
      e = &s->entry[i];
  if (!e && s->entries == SC_MAX_VMS)
    return;
  if (!e)
    {
      e = &s->entry[s->entries++];
      memset (e, 0, sizeof *e);
      g_strlcpy (e->vm, h->vm, sizeof e->vm);
    }
  is_new = strcmp (e->address, h->address) != 0;
  g_strlcpy (e->address, h->address, sizeof e->address);
  e->stamp_ms = h->stamp_ms;
  e->last_heartbeat_ms = s->now_ms;
  qsort (s->entry, (size_t)s->entries, sizeof *s->entry, compare_names);
  if (is_new)
    sc_connect_peers (s);
  if (h->plans_version > cf_version (&s->config, CF_PLANS)
      || h->allowances_version > cf_version (&s->config, CF_ALLOWANCES))
    sc_poll_config (s, s->now_ms);
}

void
sc_on_peer_message (struct sched *s, const struct pr_message *m)
{
  struct cl_cell *c;

  switch (m->kind)
    {
    case PR_HEARTBEAT:
      vl_on_heartbeat (&s->vm_list, s->now_ms, &m->u.heartbeat);
      record_heartbeat (s, &m->u.heartbeat);
      for (int i = 0; i < m->u.heartbeat.cells; i++)
        if ((c = sc_find_cell (s, m->u.heartbeat.cell[i].cell))
            && strcmp (m->u.heartbeat.vm, s->settings->vm) != 0)
          cl_observe_epoch (c, s->now_ms, m->u.heartbeat.cell[i].epoch);
      return;
    case PR_JOB:
      c = sc_find_cell (s, m->u.job.cell);
      if (c)
        cl_request_scan (c);
      return;
    case PR_CONFIG:
      if (m->u.config.version > cf_version (&s->config, m->u.config.list))
        sc_poll_config (s, s->now_ms);
      return;
    case PR_VMS:
      sc_on_vms_message (s, &m->u.vms);
      return;
    case PR_JOB_ENDED:
    case PR_CREDITS:
    case PR_USAGE:
      return; /* meant for entry VMs only */
    }
}

/* An entry VM that leaves counts as live while it sends heartbeats, which it
   does until its calls that wait for a slot have ended.  */
static int
is_live (const struct sched *s, const struct sc_entry *e)
{
  return s->now_ms - e->last_heartbeat_ms < ENTRY_LIVE_MS;
}

/* The share of worker W that may be granted for calls: the slots reserved for
   them, and the connections that the holder does not reserve.  */
static struct gr_amount
grantable (const struct sched *s, const struct mb_worker *w)
{
  struct gr_amount all
      = { (int32_t)s->settings->reserve_slots,
          w->connections - (int32_t)s->settings->reserve_connections };

  if (all.slots > w->slots)
    all.slots = w->slots;
  if (all.connections < 0)
    all.connections = 0;
  return all;
}

static void
fill_credits (struct sched *s, struct cl_cell *c, const struct sc_entry *e,
              int index, int entries, struct pr_credits *out)
{
  int64_t until = s->now_ms + s->settings->grant_ms + GRANT_MARGIN_MS;

  out->count = 0;
  for (guint i = 0; i < c->workers->len && out->count < PR_MAX_CREDITS; i++)
    {
      const struct mb_worker *w
          = &g_array_index (c->workers, struct mb_worker, i);
      struct pr_credit *credit = &out->credit[out->count];
      struct gr_amount give;

      if (w->state != MB_UP)
        continue;
      give = gr_grant (&s->grants, w->id, grantable (s, w), e->vm, index,
                       entries, s->now_ms, until);
      g_strlcpy (credit->worker, w->id, sizeof credit->worker);
      g_strlcpy (credit->address, w->address, sizeof credit->address);
      credit->slots = give.slots;
      credit->connections = give.connections;
      out->count++;
    }
}

static void
grant_cell (struct sched *s, struct cl_cell *c, int live, struct pr_message *m)
{
  struct pr_credits *out = &m->u.credits;
  int index = 0;

  m->kind = PR_CREDITS;
  g_strlcpy (out->cell, c->name, sizeof out->cell);
  out->epoch = c->lease.row.epoch;
  out->valid_ms = s->settings->grant_ms;
  for (int i = 0; i < s->entries; i++)
    {
      const struct sc_entry *e = &s->entry[i];

      if (!is_live (s, e))
        continue;
      fill_credits (s, c, e, index++, live, out);
      out->stamp_ms = e->stamp_ms;
      pr_send (s->net, e->address, m);
    }
}

/* After a take-over no grants are made until those of the previous holder,
   which may still be in use, have expired.  */
static int
may_grant (const struct sched *s, const struct cl_cell *c)
{
  return c->phase == CL_SERVING && !c->releasing && cl_may_act (c)
         && s->now_ms - c->taken_ms > s->settings->grant_ms + GRANT_MARGIN_MS;
}

void
sc_send_grants (void *sched, int64_t now_ms)
{
  struct sched *s = sched;
  struct pr_message *m = g_new0 (struct pr_message, 1);
  int live = 0;

  (void)now_ms;
  for (int i = 0; i < s->entries; i++)
    live += is_live (s, &s->entry[i]);
  for (int i = 0; i < s->cells && live; i++)
    if (may_grant (s, s->cell[i]))
      grant_cell (s, s->cell[i], live, m);
  g_free (m);
}
