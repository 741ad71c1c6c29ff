/* Sends the cells' effects as requests and queues the answers as events.  */
#include <stdio.h>
#include <string.h>

#include "sched/sched.h"

enum
{
  CONNECT_TIMEOUT_MS = 500,
  CONNECTIONS_PER_HOST = 8
};

struct sc_event *
sc_new_event (struct sched *s, enum sc_event_kind kind)
{
  struct sc_event *e = g_new0 (struct sc_event, 1);

  e->kind = kind;
  e->sched = s;
  return e;
}

void
sc_free_event (struct sc_event *event)
{
  json_decref (event->json);
  g_free (event->message);
  g_free (event);
}

/* The ring is larger than the number of events that can be in progress, so a
   push fails only after the ring has been closed at a stop.  */
void
sc_push (struct sched *s, struct sc_event *event)
{
  if (rg_push (&s->ring, event) != BS_OK)
    sc_free_event (event);
}

void
sc_table_done (void *arg, int error, json_t *data)
{
  struct sc_event *e = arg;

  e->error = error;
  e->json = json_incref (data);
  sc_push (e->sched, e);
}

static void
on_order (void *arg, const struct hc_answer *a)
{
  struct sc_event *e = arg;

  e->end = a->outcome;
  e->status = a->status;
  if (a->outcome == HC_ANSWERED && a->body_size)
    e->json = json_loadb (a->body, a->body_size, 0, NULL);
  sc_push (e->sched, e);
}

/* True when EFFECT starts or ends something and the cell's lease no longer
   permits it.  The clock is read again before each such order, because the
   process may have been paused since the decision.  */
static int
is_lease_expired (struct sched *s, const struct cl_effect *effect)
{
  return effect->u.order.ticket.request == CL_PART
         && !ce_may_act (&effect->cell->lease, bs_now_ms (&s->clock));
}

/* An order may wait for a connection, and the process may be paused then.  */
static int64_t
send_until_ms (const struct cl_effect *effect)
{
  return effect->u.order.ticket.request == CL_PART
             ? effect->cell->lease.valid_until_ms
             : 0;
}

static void
send_order (struct sched *s, const struct cl_effect *effect,
            struct sc_event *event)
{
  char url[CT_ADDRESS + 128];
  char *body = effect->u.order.body
                   ? json_dumps (effect->u.order.body, JSON_COMPACT)
                   : NULL;
  struct hc_request r
      = { .method = body ? "POST" : "GET",
          .url = url,
          .body = body,
          .header = { body ? "Content-Type: application/json" : NULL },
          .timeout_ms = effect->u.order.timeout_ms,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .send_until_ms = send_until_ms (effect),
          .done = on_order,
          .arg = event };

  event->ticket = effect->u.order.ticket;
  snprintf (url, sizeof url, "http://%s%s", effect->u.order.address,
            effect->u.order.path);
  if (is_lease_expired (s, effect) || hc_submit (s->hc, &r) != HC_OK)
    {
      event->end = HC_NOT_SENT;
      sc_push (s, event);
    }
  free (body);
}

static void
push_table_error (struct sc_event *event)
{
  event->error = TB_EDOWN;
  sc_push (event->sched, event);
}

void
sc_emit (void *arg, const struct cl_effect *effect)
{
  static const enum sc_event_kind kinds[] = { [CL_ORDER] = SC_ORDER,
                                              [CL_COMMIT] = SC_COMMIT,
                                              [CL_READ] = SC_READ,
                                              [CL_SCAN] = SC_SCAN,
                                              [CL_SWEEP] = SC_SWEEP };
  struct sched *s = arg;
  struct cl_cell *c = effect->cell;
  struct sc_event *e;
  struct tb_scan scan;

  if (effect->kind == CL_JOB_CHANGED)
    {
      sc_send_job_changed (s, c->name, effect->u.ended.job);
      if (effect->u.ended.is_end)
        sc_count_ended_job (s, effect->u.ended.row);
      return;
    }
  e = sc_new_event (s, kinds[effect->kind]);
  e->cell = c;
  e->serial = effect->serial;
  switch (effect->kind)
    {
    case CL_ORDER:
      send_order (s, effect, e);
      return;
    case CL_COMMIT:
      if (tb_commit (s->tb, effect->u.commit, sc_table_done, e))
        push_table_error (e);
      return;
    case CL_READ:
      if (tb_get (s->tb, CL_TABLE, c->name, sc_table_done, e))
        push_table_error (e);
      return;
    case CL_SCAN:
    case CL_SWEEP:
      scan = (struct tb_scan){ .table = c->table,
                               .after = effect->u.scan.after,
                               .since = effect->u.scan.since,
                               .limit = effect->u.scan.limit };
      if (tb_scan (s->tb, &scan, sc_table_done, e))
        push_table_error (e);
      return;
    case CL_JOB_CHANGED:
      return;
    }
}

int
sc_io_start (struct sched *s)
{
  struct hc_config hc = { .max_in_progress = SC_MAX_REQUESTS,
                          .connections_per_host = CONNECTIONS_PER_HOST,
                          .connect_timeout_ms = CONNECT_TIMEOUT_MS };
  struct tb_config tb = { .url = s->settings->platform,
                          .timeout_ms = (int)s->settings->table_timeout_ms };

  if (rg_init (&s->ring, SC_RING_EVENTS))
    return CT_ENOMEM;
  s->hc = hc_new (&hc);
  if (!s->hc)
    return CT_ENOMEM;
  s->tb = tb_new (s->hc, &tb);
  return s->tb ? CT_OK : CT_ENOMEM;
}

void
sc_io_stop (struct sched *s)
{
  void *item;

  pr_free (s->net);
  if (s->hc)
    hc_free (s->hc);
  tb_free (s->tb);
  while (rg_pop (&s->ring, &item, 0) == BS_OK)
    sc_free_event (item);
  rg_fini (&s->ring);
}
