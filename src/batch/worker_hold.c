/* Leases of workers are renewed by long waits that also bring ends, and an end
   is let go only once its record is stored.  */
#include "batch/workers.h"

enum
{
  HOLD_WAIT_MS = 1500,     /* a quarter of the shortest lease */
  WATCH_WAIT_MS = 500,     /* while runs are watched closely */
  WAIT_PER_1000_MS = 1200, /* of a wait for each thousand busy workers */
  LONGEST_WAIT_MS = 2000,  /* that a worker allows */
  LONGEST_PAUSE_MS = 1500, /* with the wait, well within a lease */
  HOLD_SLACK_MS = 800,     /* for the answer on its way */
  PROBE_MS = 600,          /* of a question that does not wait */
  UNSTORED_GAP_MS = 800,   /* while ends can't be stored */
  LEASE_MAX_MS = 6000      /* covers the take-over by another VM */
};

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

static void
log_end (struct batch *b, const struct ba_worker *w, const struct sj_listed *e)
{
  struct lg_field f[] = { lg_str ("id", e->run.job),
                          lg_int ("occurrence", e->run.occurrence),
                          lg_int ("step", e->run.step),
                          lg_int ("task", e->run.index),
                          lg_int ("run", e->run.number),
                          lg_str ("worker", w->id),
                          lg_str ("end", sj_end_name (e->end)) };

  lg_log (LG_RUN_ENDED, 7, f);
  co_add (b, b->count.ends, 1);
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
      wk_begin_life (b, w, listing->life);
      sj_worker_reborn (b->cluster, w->id, w->life, b->now);
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
    wk_log (w, "odd", "entries of its lists can't be read");
  w->surveyed = 1;
  if (listing->last_end > w->taken)
    w->taken = listing->last_end;
  sj_listing_take (b->cluster, w->id, list, b->now);
  w->next_hold_ms = b->now + pause_after (b);
}

void
wk_listed (struct batch *b, struct ba_order *o, struct po_listing *listing)
{
  struct ba_worker *w = wk_find (b, o->worker);
  const struct po_order_answer *a = &listing->answer;

  if (o->serial != b->turn || !w)
    return;
  w->holding = 0;
  if (wk_check_fence (b, a))
    return;
  if (a->answer != SJ_TAKEN)
    {
      wk_was_silent (b, w);
      return;
    }
  wk_was_heard (b, w);
  if (check_life (b, w, listing))
    return;
  wk_heard_clock (b, w, a->clock_ms);
  if (o->run.number > w->told)
    w->told = o->run.number;
  take_listing (b, w, o, listing);
}

static void
hold (struct batch *b, struct ba_worker *w, int busy)
{
  struct po_target t = { w->address, w->id, b->lease.epoch };
  struct ba_order *o = wk_new_order (b, w);
  int waits = busy && w->surveyed && !w->failures && w->taken == w->seen;
  int64_t lease
      = b->set->hold_ms < LEASE_MAX_MS ? b->set->hold_ms : LEASE_MAX_MS;
  int wait = waits ? wait_for (b, w) : 0;
  /* A silent worker is only asked: were its lease renewed by questions that
     may have reached it, its runs would never be known to have ended.  */
  int64_t until
      = busy && w->clock_at_ms && !w->failures ? wk_clock (b, w) + lease : 0;

  o->run.number = w->seen; /* what the worker may forget */
  if (until)
    sj_worker_leased (b->cluster, w->id, wk_surely_over (b, lease));
  w->holding = 1;
  w->hold_sent_ms = b->now;
  w->next_hold_ms = b->now + UNSTORED_GAP_MS;
  co_add (b, b->count.holds, 1);
  if (!po_hold (&b->port, &t, w->seen, until, wait,
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
