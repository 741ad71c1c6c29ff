/* Sends starts and stops to workers and handles the replies.  */
#include "batch/workers.h"

enum
{
  /* Starts and stops in progress.  Workers answer within a few ms, so that a
     few are enough; the others allow for workers that do not answer.  */
  MAX_ORDERS = 256,
  MIN_ORDERS = 64, /* when answers are slow, on a small or busy VM */
  /* The worker refuses a start that arrives later than this.  */
  START_LEASE_MS = 2500,
  START_TIMEOUT_MS = 300, /* workers answer within a few ms; an unanswered
                             start is sent again, as starts are idempotent */
  /* A unit whose start is unanswered this many times is given up.  */
  MAX_START_TRIES = 3,
  STOP_TIMEOUT_MS = 700
};

void
wk_free_order (struct ba_order *order)
{
  g_free (order->worker);
  g_free (order->payload);
  g_free (order->checkpoint);
  g_free (order);
}

struct ba_order *
wk_new_order (struct batch *b, const char *worker)
{
  struct ba_order *o = g_new0 (struct ba_order, 1);

  o->b = b;
  o->term = b->term;
  o->worker = g_strdup (worker);
  o->sent_ms = b->now_ms;
  return o;
}

static void
on_order_reply (void *arg, const struct po_order_answer *answer)
{
  struct ba_order *o = arg;
  struct ba_event *e = g_new (struct ba_event, 1);

  e->kind = BA_ORDER_REPLY;
  e->u.order.order = o;
  e->u.order.answer = *answer;
  ba_push (o->b, e);
}

static int
send_start (struct batch *b, struct ba_worker *w, struct ba_order *o)
{
  struct po_target t = wk_target (b, w, o);
  struct sj_order order = { .kind = SJ_START,
                            .worker = o->worker,
                            .run = o->run,
                            .payload = o->payload,
                            .checkpoint = o->checkpoint };

  o->tries++;
  ak_start_sent (&w->ends);
  sj_start_sent (b->cluster, w->id, &o->run);
  co_add (b, b->counters.starts, 1);
  return po_start (&b->port, &t, &order, o->expires_ms,
                   oq_timeout_ms (&b->orders, START_TIMEOUT_MS),
                   on_order_reply, o);
}

static int
send_stop (struct batch *b, struct ba_worker *w, struct ba_order *o)
{
  struct po_target t = wk_target (b, w, o);

  co_add (b, b->counters.stops, 1);
  return po_stop (&b->port, &t, &o->run,
                  oq_timeout_ms (&b->orders, STOP_TIMEOUT_MS), on_order_reply,
                  o);
}

/* Whether start O, which has not been sent, is still wanted: its worker may
   have begun to leave and its job may have been cancelled meanwhile.  */
static int
is_wanted (struct batch *b, const struct ba_worker *w,
           const struct ba_order *o)
{
  return w->clock_at_ms && w->listed && !w->draining
         && ak_may_start (&w->ends, b->lease.epoch)
         && sj_may_send_start (b->cluster, o->worker, &o->run);
}

/* Returns 0 if O was sent.  */
static int
send_order (struct batch *b, struct ba_order *o)
{
  struct ba_worker *w = wk_find (b, o->worker);
  int64_t limit_ms = ev_start_limit_ms (b, START_LEASE_MS);

  if (!w || !le_valid (&b->lease, b->now_ms))
    return PO_EINVAL;
  o->target_serial = w->target_serial;
  b->usage.order_wait_ms
      = MAX (b->usage.order_wait_ms, b->now_ms - o->sent_ms);
  o->sent_ms = b->now_ms;
  if (o->kind == SJ_STOP)
    return send_stop (b, w, o);
  if (!limit_ms || !is_wanted (b, w, o))
    return PO_EINVAL;
  o->expires_ms = wk_clock_now_ms (b, w) + limit_ms;
  sj_worker_set_lease (b->cluster, w->id, wk_lease_end_bound_ms (b, limit_ms));
  if (!w->hold_in_flight)
    w->next_hold_ms = b->now_ms;
  return send_start (b, w, o);
}

/* Sends an unanswered start again if it is still wanted.  All tries have the
   same deadline, on the clock of one incarnation.  Returns 1 if it was sent.
 */
static int
resend_start (struct batch *b, struct ba_worker *w, struct ba_order *o,
              enum sj_answer answer)
{
  return o->kind == SJ_START && answer == SJ_UNANSWERED && w
         && wk_is_current (w, o) && o->tries < MAX_START_TRIES
         && le_valid (&b->lease, b->now_ms)
         && sj_may_send_start (b->cluster, o->worker, &o->run)
         && !send_start (b, w, o);
}

static void
log_order (struct batch *b, const struct ba_order *o,
           const struct po_order_answer *a)
{
  static const char *const answers[] = { "taken", "refused", "unknown" };
  struct lg_field f[]
      = { lg_str ("id", o->run.job),
          lg_int ("occurrence", o->run.occurrence),
          lg_int ("step", o->run.step),
          lg_int ("task", o->run.index),
          lg_int ("run", o->run.number),
          lg_str ("worker", o->worker),
          lg_int ("epoch", b->lease.epoch),
          lg_str ("answer", answers[a->answer]),
          lg_int ("status", a->status),
          lg_str ("reason", *a->reason ? a->reason : sj_cause_name (o->cause)),
          lg_int ("tries", o->tries),
          lg_int ("sends", a->sends),
          lg_int ("took_ms", a->took_ms) };

  lg_log (o->kind == SJ_START ? LG_RUN_STARTED : LG_RUN_STOPPED, 13, f);
}

/* Sends waiting orders until the limit of orders in progress is reached.  */
static void
send_waiting (struct batch *b)
{
  struct ba_order *o;

  while ((o = oq_pop (&b->orders)))
    {
      struct po_order_answer unsent
          = { .answer = o->kind == SJ_START ? SJ_REFUSED : SJ_UNANSWERED,
              .reason = "not sent" };

      o->is_sent = 1;
      if (!send_order (b, o))
        continue;
      o->is_sent = 0;
      on_order_reply (o, &unsent);
    }
}

void
wk_init_orders (struct batch *b)
{
  oq_init (&b->orders, MIN_ORDERS, MAX_ORDERS);
}

void
wk_clear_orders (struct batch *b)
{
  oq_clear (&b->orders, (GDestroyNotify)wk_free_order);
  b->surveys = 0;
}

static enum oq_class
order_class (const struct sj_order *order)
{
  switch (order->kind)
    {
    case SJ_STOP:
      return OQ_STOP;
    case SJ_START:
      break;
    }
  return order->priority == 0 ? OQ_URGENT : OQ_BATCH;
}

void
wk_send_order (void *arg, const struct sj_order *order)
{
  struct batch *b = arg;
  struct ba_order *o = wk_new_order (b, order->worker);
  struct ba_worker *w = wk_find (b, order->worker);

  o->kind = order->kind;
  o->run = order->run;
  o->cause = order->kind == SJ_STOP ? order->cause : SJ_NO_CAUSE;
  if (order->kind == SJ_START)
    {
      o->payload = g_strdup (order->payload);
      o->checkpoint = g_strdup (order->checkpoint);
      o->is_pending = w != NULL;
      if (w)
        ak_start_queued (&w->ends);
    }
  o->class = order_class (order);
  oq_push (&b->orders, o->class, o);
  send_waiting (b);
}

/* Returns the answer that holds for all tries of order O to W.  The refusal of
   a repeated start says nothing about the earlier try, whose run may have
   started and even ended.  A stop that an earlier incarnation accepted says
   nothing about the present one.  */
static enum sj_answer
effective_answer (const struct ba_worker *w, const struct ba_order *o,
                  enum sj_answer answer)
{
  if (o->kind == SJ_STOP)
    return w && wk_is_current (w, o) ? answer : SJ_UNANSWERED;
  return o->tries > 1 && answer == SJ_REFUSED ? SJ_UNANSWERED : answer;
}

/* Notes the outcome of a try of start O, after which others follow or not.  */
static void
note_try (struct batch *b, struct ba_worker *w, const struct ba_order *o,
          enum sj_answer answer)
{
  if (o->kind == SJ_START && w && o->is_sent && answer == SJ_UNANSWERED)
    ak_start_unanswered (&w->ends, b->now_ms);
}

static void
apply_answer (struct batch *b, struct ba_worker *w, const struct ba_order *o,
              const struct po_order_answer *a)
{
  enum sj_answer answer = effective_answer (w, o, a->answer);

  if (wk_check_fence (b, o, a))
    return;
  if (w && wk_is_current (w, o))
    wk_set_clock (b, w, a->clock_ms);
  if (w && o->is_sent && a->answer == SJ_UNANSWERED)
    wk_note_no_reply (b, w);
  if (o->kind == SJ_START)
    sj_start_answered (b->cluster, o->worker, &o->run, answer, b->now_ms);
  else
    sj_stop_answered (b->cluster, o->worker, &o->run, answer, b->now_ms);
  /* After the answer, so that a start that was refused counts as such.  */
  if (w)
    wk_check_replaced (b, w, o, a);
}

void
wk_on_order_reply (struct batch *b, struct ba_order *o,
                   const struct po_order_answer *a)
{
  struct ba_worker *w = wk_find (b, o->worker);

  if (o->term == b->term)
    {
      log_order (b, o, a);
      if (a->status)
        oq_note_answer (&b->orders, a->took_ms, b->now_ms);
      else if (o->is_sent && a->answer == SJ_UNANSWERED)
        oq_note_timeout (&b->orders, b->now_ms);
      note_try (b, w, o, a->answer);
      if (resend_start (b, w, o, a->answer))
        return;
      if (w && o->is_pending)
        ak_start_done (&w->ends);
      oq_done (&b->orders, o->class);
      apply_answer (b, w, o, a);
    }
  wk_free_order (o);
  if (b->cluster)
    send_waiting (b);
}
