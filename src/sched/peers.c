/* Messages with the daemons of all VMs: heartbeats, hints, grants.  */
#include <stdio.h>
#include <string.h>

#include "sched/sched.h"

enum
{
  ENTRY_DEAD_MS = 5000, /* silent for longer: it gets no grants */
  ENTRY_FORGET_MS = 60000,
  GRANT_MARGIN_MS = 500, /* for clocks that run at unequal speed */
  QUEUE = 256
};

static void
on_message (void *arg, const struct pr_message *m)
{
  struct sched *s = arg;
  struct sc_event *e;

  /* Hints are repeated: what does not fit is dropped.  */
  if (atomic_fetch_add (&s->peer_queued, 1) >= SC_PEER_EVENTS)
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
  const struct sc_settings *set = s->set;

  s->place = (struct pr_place){ .vm = set->vm,
                                .domain = set->domain,
                                .listen = set->peer,
                                .peers = set->peers,
                                .keys_path = set->peer_keys,
                                .role = PR_SCHED,
                                .queue = QUEUE };
  return pr_open (&s->net, &s->keys, &s->place, on_message, s);
}

void
sc_read_keys (void *sched, int64_t now_ms)
{
  struct sched *s = sched;

  (void)now_ms;
  pr_reread_keys (s->net, &s->keys, &s->place);
}

/* The listed entry VMs, those heard of, and those of the settings.  */
void
sc_dial (struct sched *s)
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
    if (s->now_ms - s->entry[e].heard_ms < ENTRY_FORGET_MS)
      g_ptr_array_add (out, s->entry[e].address);
  pr_dial (s->net, &s->place, (const char *const *)out->pdata, (int)out->len);
  g_ptr_array_free (out, TRUE);
}

void
sc_heartbeat (void *sched, int64_t now_ms)
{
  struct sched *s = sched;
  struct pr_message *m = g_new (struct pr_message, 1);
  struct pr_heartbeat *h = &m->u.heartbeat;

  sc_dial (s);
  pr_begin_heartbeat (m, &s->place, atomic_load (&s->stop), now_ms);
  h->plans_version = cf_version (&s->config, CF_PLANS);
  h->allowances_version = cf_version (&s->config, CF_ALLOWANCES);
  for (int i = 0; i < s->cells && h->cells < PR_MAX_CELLS; i++)
    {
      struct cl_cell *c = s->cell[i];

      if (c->phase == CL_WATCHING)
        continue;
      g_strlcpy (h->cell[h->cells].cell, c->name, PR_ID);
      h->cell[h->cells++].epoch = c->lease.row.epoch;
    }
  pr_send (s->net, NULL, m);
  g_free (m);
}

void
sc_tell_ended (struct sched *s, const char *cell, const char *job)
{
  struct pr_message *m = g_new0 (struct pr_message, 1);

  m->kind = PR_JOB_ENDED;
  g_strlcpy (m->u.job.cell, cell, sizeof m->u.job.cell);
  g_strlcpy (m->u.job.job, job, sizeof m->u.job.job);
  pr_send (s->net, NULL, m);
  g_free (m);
}

static int
by_name (const void *a, const void *b)
{
  return strcmp (((const struct sc_entry *)a)->vm,
                 ((const struct sc_entry *)b)->vm);
}

static void
take_heartbeat (struct sched *s, const struct pr_heartbeat *h)
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
  e->heard_ms = s->now_ms;
  qsort (s->entry, (size_t)s->entries, sizeof *s->entry, by_name);
  if (is_new)
    sc_dial (s);
  if (h->plans_version > cf_version (&s->config, CF_PLANS)
      || h->allowances_version > cf_version (&s->config, CF_ALLOWANCES))
    sc_poll_config (s, s->now_ms);
}

void
sc_on_peer (struct sched *s, const struct pr_message *m)
{
  struct cl_cell *c;

  switch (m->kind)
    {
    case PR_HEARTBEAT:
      vl_heard (&s->follow, s->now_ms, &m->u.heartbeat);
      take_heartbeat (s, &m->u.heartbeat);
      for (int i = 0; i < m->u.heartbeat.cells; i++)
        if ((c = sc_find_cell (s, m->u.heartbeat.cell[i].cell))
            && strcmp (m->u.heartbeat.vm, s->set->vm) != 0)
          cl_saw_epoch (c, s->now_ms, m->u.heartbeat.cell[i].epoch);
      return;
    case PR_JOB:
      c = sc_find_cell (s, m->u.job.cell);
      if (c)
        cl_job_written (c);
      return;
    case PR_CONFIG:
      if (m->u.config.version > cf_version (&s->config, m->u.config.list))
        sc_poll_config (s, s->now_ms);
      return;
    case PR_VMS:
      sc_vms_told (s, &m->u.vms);
      return;
    case PR_JOB_ENDED:
    case PR_CREDITS:
    case PR_USAGE:
      return; /* for entry VMs */
    }
}

/* One that leaves still has calls that wait for a slot; it is heard until they
   have ended.  */
static int
is_live (const struct sched *s, const struct sc_entry *e)
{
  return s->now_ms - e->heard_ms < ENTRY_DEAD_MS;
}

/* What calls may use of a worker: the slots kept for them.  */
static struct gr_amount
whole (const struct sched *s, const struct mb_worker *w)
{
  struct gr_amount all
      = { (int32_t)s->set->reserve_slots,
          w->connections - (int32_t)s->set->reserve_connections };

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
  int64_t until = s->now_ms + s->set->grant_ms + GRANT_MARGIN_MS;

  out->count = 0;
  for (guint i = 0; i < c->workers->len && out->count < PR_MAX_CREDITS; i++)
    {
      const struct mb_worker *w
          = &g_array_index (c->workers, struct mb_worker, i);
      struct pr_credit *credit = &out->credit[out->count];
      struct gr_amount give;

      if (w->state != MB_UP)
        continue;
      give = gr_grant (&s->book, w->id, whole (s, w), e->vm, index, entries,
                       s->now_ms, until);
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
  out->valid_ms = s->set->grant_ms;
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

/* Grants of the holder before may be in use for a while after a take-over.  */
static int
may_grant (const struct sched *s, const struct cl_cell *c)
{
  return c->phase == CL_SERVING && !c->releasing && cl_may_act (c)
         && s->now_ms - c->took_ms > s->set->grant_ms + GRANT_MARGIN_MS;
}

void
sc_grant (void *sched, int64_t now_ms)
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
