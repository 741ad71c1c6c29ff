/* The holder's talk with workers: leases are renewed by long waits that also
   bring ends, and an end is let go only once its record is stored.  */
#include <string.h>

#include "batch/batch.h"

enum
{
  HOLD_WAIT_MS = 1500,     /* a quarter of the shortest lease */
  WATCH_WAIT_MS = 500,     /* while runs are watched closely */
  WAIT_PER_1000_MS = 1200, /* of a wait for each thousand busy workers */
  LONGEST_WAIT_MS = 2000,  /* that a worker allows */
  LONGEST_PAUSE_MS = 1500, /* with the wait, well within a lease */
  HOLD_SLACK_MS = 800,     /* for the answer on its way */
  PROBE_MS = 600,          /* of a question that does not wait */
  PROBE_GAP_MS = 400,      /* between questions to one that is silent */
  UNSTORED_GAP_MS = 800,   /* while ends can't be stored */
  LEASE_MAX_MS = 6000,     /* covers the take-over by another VM */
  START_LEASE_MS = 2500,   /* a late start is refused after this */
  ORDER_TIMEOUT_MS = 700,
  SILENT_AFTER = 2 /* unanswered questions before a worker is silent */
};

void
wk_free (void *worker)
{
  struct ba_worker *w = worker;

  g_free (w->id);
  g_free (w->address);
  g_free (w);
}

void
wk_free_order (struct ba_order *order)
{
  g_free (order->worker);
  g_free (order);
}

static struct ba_worker *
find (struct batch *b, const char *id)
{
  return b->workers ? g_hash_table_lookup (b->workers, id) : NULL;
}

/* What its clock shows now, or a little less.  */
static int64_t
clock_of (const struct batch *b, const struct ba_worker *w)
{
  return w->clock_ms + b->now - w->clock_at_ms;
}

/* On this clock, when a lease of MS that is sent now has surely ended: the
   worker's clock may be a fiftieth slow.  */
static int64_t
surely_over (const struct batch *b, int64_t ms)
{
  return b->now + ms + ms / 50 + 50;
}

static struct ba_order *
new_order (struct batch *b, const struct ba_worker *w)
{
  struct ba_order *o = g_new0 (struct ba_order, 1);

  o->b = b;
  o->serial = b->turn;
  o->worker = g_strdup (w->id);
  o->sent_ms = b->now;
  return o;
}

static void
on_order (void *arg, const struct po_order_answer *answer)
{
  struct ba_order *o = arg;
  struct ba_event *e = g_new (struct ba_event, 1);

  e->kind = BA_ORDER;
  e->u.order.order = o;
  e->u.order.answer = *answer;
  ba_push (o->b, e);
}

static void
on_listing (void *arg, struct po_listing *listing)
{
  struct ba_order *o = arg;
  struct ba_event *e = g_new (struct ba_event, 1);

  e->kind = BA_LISTING;
  e->u.listing.order = o;
  e->u.listing.listing = listing;
  ba_push (o->b, e);
}

static int
send_order (struct batch *b, struct ba_worker *w, struct ba_order *o,
            const struct sj_order *order)
{
  struct po_target t = { w->address, w->id, b->lease.epoch };

  if (!le_valid (&b->lease, b->now) || !w->clock_at_ms)
    return PO_EINVAL;
  if (order->kind == SJ_STOP)
    {
      co_add (b, b->count.stops, 1);
      return po_stop (&b->port, &t, &order->run, ORDER_TIMEOUT_MS, on_order,
                      o);
    }
  co_add (b, b->count.starts, 1);
  sj_worker_leased (b->cluster, w->id, surely_over (b, START_LEASE_MS));
  if (!w->holding)
    w->next_hold_ms = b->now;
  return po_start (&b->port, &t, order, clock_of (b, w) + START_LEASE_MS,
                   ORDER_TIMEOUT_MS, on_order, o);
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
          lg_int ("took_ms", a->took_ms) };

  lg_log (o->kind == SJ_START ? LG_RUN_STARTED : LG_RUN_STOPPED, 11, f);
}

void
wk_do_order (void *arg, const struct sj_order *order)
{
  struct batch *b = arg;
  struct ba_worker *w = find (b, order->worker);
  struct po_order_answer unsent
      = { .answer = order->kind == SJ_START ? SJ_REFUSED : SJ_UNKNOWN,
          .reason = "not sent" };
  struct ba_order *o;

  if (!w)
    {
      struct ba_worker unknown = { .id = (char *)(uintptr_t)order->worker };

      o = new_order (b, &unknown);
    }
  else
    o = new_order (b, w);
  o->kind = order->kind;
  o->run = order->run;
  o->cause = order->kind == SJ_STOP ? order->cause : SJ_NO_CAUSE;
  if (!w || send_order (b, w, o, order))
    on_order (o, &unsent);
}

static void
heard_clock (struct batch *b, struct ba_worker *w, int64_t clock_ms)
{
  if (!clock_ms)
    return;
  w->clock_ms = clock_ms;
  w->clock_at_ms = b->now;
}

static void
log_worker (const struct ba_worker *w, const char *belief, const char *reason)
{
  struct lg_field f[] = { lg_str ("worker", w->id), lg_str ("belief", belief),
                          lg_str ("reason", reason), lg_int ("life", w->life),
                          lg_int ("failures", w->failures) };

  lg_log (LG_WORKER_BELIEF, 5, f);
}

static void
was_silent (struct batch *b, struct ba_worker *w)
{
  w->failures++;
  w->next_hold_ms = b->now + (w->failures > 1 ? PROBE_GAP_MS : 0);
  if (w->failures != SILENT_AFTER)
    return;
  sj_worker_reachable (b->cluster, w->id, 0, b->now);
  log_worker (w, "silent", "questions were not answered");
}

static void
was_heard (struct batch *b, struct ba_worker *w)
{
  if (w->failures >= SILENT_AFTER)
    log_worker (w, "heard", "it answers again");
  w->failures = 0;
  sj_worker_reachable (b->cluster, w->id, 1, b->now);
}

/* A higher token was seen: another VM is the holder by now.  */
static int
check_fence (struct batch *b, const struct po_order_answer *a)
{
  if (!a->fenced)
    return 0;
  ho_step_down (b, "a worker has seen a higher token");
  return 1;
}

void
wk_order_answered (struct batch *b, struct ba_order *o,
                   const struct po_order_answer *a)
{
  struct ba_worker *w = find (b, o->worker);

  if (o->serial != b->turn)
    return;
  log_order (b, o, a);
  if (check_fence (b, a))
    return;
  if (w)
    heard_clock (b, w, a->clock_ms);
  if (w && a->answer == SJ_UNKNOWN)
    was_silent (b, w);
  if (o->kind == SJ_START)
    sj_start_answered (b->cluster, o->worker, &o->run, a->answer, b->now);
  else
    sj_stop_answered (b->cluster, o->worker, &o->run, a->answer, b->now);
}

static void
log_end (struct batch *b, const struct ba_worker *w, const struct sj_listed *e)
{
  static const char *const names[]
      = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
  struct lg_field f[] = {
    lg_str ("id", e->run.job),     lg_int ("occurrence", e->run.occurrence),
    lg_int ("step", e->run.step),  lg_int ("task", e->run.index),
    lg_int ("run", e->run.number), lg_str ("worker", w->id),
    lg_str ("end", names[e->end])
  };

  lg_log (LG_RUN_ENDED, 7, f);
  co_add (b, b->count.ends, 1);
}

static void
begin_life (struct batch *b, struct ba_worker *w, int64_t life)
{
  log_worker (w, "restarted", "another incarnation");
  w->life = life;
  w->seen = w->taken = w->committing = w->told = 0;
  w->clock_ms = w->clock_at_ms = 0;
  w->surveyed = 0;
  w->next_hold_ms = b->now;
}

/* The worker's answer may be ahead of the list.  Returns 1 when LISTING is
   of another life than the one known.  */
static int
check_life (struct batch *b, struct ba_worker *w,
            const struct po_listing *listing)
{
  if (!listing->life || listing->life == w->life)
    return 0;
  if (w->life && listing->life < w->life)
    return 1;
  if (w->life)
    {
      begin_life (b, w, listing->life);
      sj_worker_dead (b->cluster, w->id, b->now);
      return 1;
    }
  w->life = listing->life;
  return 0;
}

/* With many workers each is asked less often, so that questions stay within
   what a quarter of a core can do.  */
static int
wait_for (struct batch *b, const struct ba_worker *w)
{
  int least
      = sj_watch_closely (b->cluster, w->id) ? WATCH_WAIT_MS : HOLD_WAIT_MS;
  int by_number = b->busy_workers * WAIT_PER_1000_MS / 1000;

  if (by_number < least)
    return least;
  return by_number < LONGEST_WAIT_MS ? by_number : LONGEST_WAIT_MS;
}

static int
pause_after (const struct batch *b)
{
  int beyond = b->busy_workers * WAIT_PER_1000_MS / 1000 - LONGEST_WAIT_MS;

  if (beyond < 0)
    return 0;
  return beyond < LONGEST_PAUSE_MS ? beyond : LONGEST_PAUSE_MS;
}

static void
take_listing (struct batch *b, struct ba_worker *w, struct ba_order *o,
              struct po_listing *listing)
{
  struct sj_listing *list = &listing->list;

  list->sent_ms = o->sent_ms;
  /* Those not let go are listed again; the new ones come last.  */
  for (int i = 0; i < list->ended; i++)
    if (listing->last_end - (list->ended - 1 - i) > w->taken)
      log_end (b, w, &list->end[i]);
  if (listing->unread)
    log_worker (w, "odd", "entries of its lists can't be read");
  w->surveyed = 1;
  if (listing->last_end > w->taken)
    w->taken = listing->last_end;
  sj_listing_take (b->cluster, w->id, list, b->now);
  w->next_hold_ms = b->now + pause_after (b);
}

void
wk_listed (struct batch *b, struct ba_order *o, struct po_listing *listing)
{
  struct ba_worker *w = find (b, o->worker);
  const struct po_order_answer *a = &listing->answer;

  if (o->serial != b->turn || !w)
    return;
  w->holding = 0;
  if (check_fence (b, a))
    return;
  if (a->answer != SJ_TAKEN)
    {
      was_silent (b, w);
      return;
    }
  was_heard (b, w);
  if (check_life (b, w, listing))
    return;
  heard_clock (b, w, a->clock_ms);
  if (o->run.number > w->told)
    w->told = o->run.number;
  take_listing (b, w, o, listing);
}

static void
hold (struct batch *b, struct ba_worker *w, int busy)
{
  struct po_target t = { w->address, w->id, b->lease.epoch };
  struct ba_order *o = new_order (b, w);
  int waits = busy && w->surveyed && !w->failures && w->taken == w->seen;
  int64_t lease
      = b->set->hold_ms < LEASE_MAX_MS ? b->set->hold_ms : LEASE_MAX_MS;
  int wait = wait_for (b, w);
  /* A silent worker is only asked: were its lease renewed by questions that
     may have reached it, its runs would never be known to have ended.  */
  int64_t until
      = busy && w->clock_at_ms && !w->failures ? clock_of (b, w) + lease : 0;

  o->run.number = w->seen; /* what the worker may forget */
  if (until)
    sj_worker_leased (b->cluster, w->id, surely_over (b, lease));
  w->holding = 1;
  w->hold_sent_ms = b->now;
  w->next_hold_ms = b->now + UNSTORED_GAP_MS;
  co_add (b, b->count.holds, 1);
  if (!po_hold (&b->port, &t, w->seen, until, waits ? wait : 0,
                waits ? wait + HOLD_SLACK_MS : PROBE_MS, on_listing, o))
    return;
  w->holding = 0;
  wk_free_order (o);
}

static void
tend (struct batch *b, struct ba_worker *w)
{
  int busy, wanted;

  if (w->holding || b->now < w->next_hold_ms)
    return;
  busy = sj_worker_busy (b->cluster, w->id);
  wanted = busy || (w->listed && (!w->surveyed || w->failures))
           || w->seen > w->told;
  if (!wanted)
    return;
  /* Asked now, the worker would list the same ends at once.  */
  if (w->surveyed && w->taken > w->seen
      && b->now - w->hold_sent_ms < UNSTORED_GAP_MS)
    return;
  hold (b, w, busy);
}

void
wk_tick (struct batch *b)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    tend (b, value);
}

void
wk_commit_begins (struct batch *b)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct ba_worker *)value)->committing
        = ((struct ba_worker *)value)->taken;
}

void
wk_commit_ends (struct batch *b, int ok)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (ok && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ba_worker *w = value;

      if (w->committing > w->seen)
        w->seen = w->committing;
    }
}

static void
unlist (struct batch *b, const char *id, const char *reason)
{
  struct ba_worker *w = find (b, id);

  if (!w || !w->listed)
    return;
  w->listed = 0;
  log_worker (w, "unlisted", reason);
  sj_worker_unlisted (b->cluster, id, b->now);
}

static struct ba_worker *
find_or_make (struct batch *b, const char *id)
{
  struct ba_worker *w = find (b, id);

  if (w)
    return w;
  w = g_new0 (struct ba_worker, 1);
  w->id = g_strdup (id);
  w->next_hold_ms = b->now;
  g_hash_table_insert (b->workers, w->id, w);
  return w;
}

static void
take_worker (struct batch *b, const struct po_worker *p, int generation)
{
  struct ba_worker *w = find_or_make (b, p->id);
  struct sj_worker_info info = { .id = p->id,
                                 .life = p->life,
                                 .service = p->service,
                                 .kind = p->kind,
                                 .rack = p->rack,
                                 .capacity = p->capacity,
                                 .draining = p->draining,
                                 .remaining_ms = p->remaining_ms };

  if (w->life && p->life && p->life < w->life)
    return;
  if (p->life > w->life && w->life)
    begin_life (b, w, p->life);
  if (p->life)
    w->life = p->life;
  if (g_strcmp0 (w->address, p->address))
    {
      g_free (w->address);
      w->address = g_strdup (p->address);
    }
  if (!w->listed)
    log_worker (w, "listed", p->draining ? "draining" : "ready");
  else if (w->draining != p->draining)
    log_worker (w, p->draining ? "draining" : "ready", "by the list");
  w->listed = 1;
  w->draining = p->draining;
  w->generation = generation;
  sj_worker_set (b->cluster, &info, b->now);
}

void
wk_row (struct batch *b, const struct po_row *row, int generation)
{
  const char *reason = NULL;
  struct po_worker *p;

  if (!b->cluster)
    return;
  if (row->deleted)
    {
      unlist (b, row->key, "its row was removed");
      return;
    }
  p = po_worker_read (row, &reason);
  if (p)
    take_worker (b, p, generation);
  else
    {
      unlist (b, row->key, reason);
      ba_log_bad_row (row->table, row->key);
    }
  po_worker_free (p);
}

void
wk_whole (struct batch *b, int generation)
{
  GHashTableIter iter;
  gpointer value;

  if (!b->workers)
    return;
  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ba_worker *w = value;

      if (w->generation != generation)
        unlist (b, w->id, "a whole reading did not show it");
    }
}
