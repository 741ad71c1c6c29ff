/* Holds: long polls that renew a worker's lease and return the runs that
   ended.  An end is acknowledged only once its record is stored.  */
#include "batch/poll_pace.h"
#include "batch/workers.h"

enum
{
  DEFAULT_WAIT_MS = 1500, /* a quarter of the default lease */
  /* Long poll of a worker whose runs need frequent listing.  */
  CLOSE_WATCH_WAIT_MS = 500,
  HOLD_SLACK_MS = 800, /* added to a long poll's duration, for the transmission
                          of the answer */
  PROBE_TIMEOUT_MS = 600, /* timeout of a hold that is no long poll */
  UNSTORED_GAP_MS = 800,  /* between holds while ends are not yet stored */
  /* The same while stored ends can't be acknowledged: a hold returns them at
     once, so that it can't wait for new ones.  */
  UNACKED_GAP_MS = 200,
  /* An idle worker is asked again after this time, as a start's deadline is
     set by a clock that may have run 2 % slow since it was heard.  */
  MAX_CLOCK_AGE_MS = 20000,
  MAX_LEASE_MS = 6000 /* long enough for another VM to take over */
};

static void poll_worker (struct batch *b, struct ba_worker *w);

static void
on_listing (void *arg, struct po_listing *listing)
{
  struct ba_order *o = arg;
  struct ba_event *e = g_new (struct ba_event, 1);

  e->kind = BA_WORKER_LISTING;
  e->u.listing.order = o;
  e->u.listing.listing = listing;
  ba_push (o->b, e);
}

static void
log_run_end (struct batch *b, const struct ba_worker *w,
             const struct sj_listed_run *e)
{
  struct lg_field f[] = { lg_str ("id", e->run.job),
                          lg_int ("occurrence", e->run.occurrence),
                          lg_int ("step", e->run.step),
                          lg_int ("task", e->run.index),
                          lg_int ("run", e->run.number),
                          lg_str ("worker", w->id),
                          lg_str ("end", sj_end_name (e->end)) };

  lg_log (LG_RUN_ENDED, 7, f);
  co_add (b, b->counters.ends, 1);
}

/* Returns 1 if LISTING, the answer to O, is of another incarnation than the
   known one, or may be.  The listing may be ahead of the worker table.  */
static int
incarnation_changed (struct batch *b, struct ba_worker *w,
                     const struct ba_order *o,
                     const struct po_listing *listing)
{
  if (!listing->incarnation)
    return !wk_is_current (w, o);
  if (listing->incarnation == w->incarnation)
    return 0;
  if (w->incarnation && listing->incarnation < w->incarnation)
    return 1;
  if (w->incarnation)
    {
      wk_begin_incarnation (b, w, listing->incarnation);
      sj_worker_restarted (b->cluster, w->id, w->incarnation, b->now_ms);
      return 1;
    }
  w->incarnation = listing->incarnation;
  return 0;
}

static struct pp_load
poll_load (const struct batch *b)
{
  return (struct pp_load){ .busy_workers = b->busy_workers,
                           .cores = b->settings->processor,
                           .is_overloaded = b->orders.is_overloaded };
}

static int
long_poll_ms (struct batch *b, const struct ba_worker *w)
{
  struct pp_load load = poll_load (b);

  return pp_wait_ms (&load, sj_poll_closely (b->cluster, w->id)
                                ? CLOSE_WATCH_WAIT_MS
                                : DEFAULT_WAIT_MS);
}

static int
has_end_of_aside_job (struct batch *b, const struct sj_listing *list)
{
  for (int i = 0; i < list->end_count; i++)
    if (sj_is_aside (b->cluster, list->ends[i].run.job)
        || sj_is_left_alone (b->cluster, list->ends[i].run.job))
      return 1;
  return 0;
}

static void
apply_listing (struct batch *b, struct ba_worker *w, struct ba_order *o,
               struct po_listing *listing)
{
  struct sj_listing *list = &listing->list;
  struct pp_load load = poll_load (b);

  list->requested_ms = o->sent_ms;
  list->is_incomplete = listing->unreadable_count > 0;
  /* Unacknowledged ends are listed again; the new ones are the last.  */
  for (int i = 0; i < list->end_count; i++)
    if (listing->last_end - (list->end_count - 1 - i) > w->ends.received)
      log_run_end (b, w, &list->ends[i]);
  if (listing->unreadable_count)
    wk_log_state (w, "odd", "entries of its listing are unreadable");
  w->runs_known = 1;
  sj_listing_apply (b->cluster, w->id, list, b->now_ms);
  ak_listed (&w->ends, o->start_serial, listing->last_end,
             sj_change_serial (b->cluster), has_end_of_aside_job (b, list),
             b->now_ms);
  w->next_hold_ms = b->now_ms + pp_pause_ms (&load);
}

/* Keeps starts from a worker while its ends can't be acknowledged for them. */
static void
pause_starts (struct batch *b, struct ba_worker *w)
{
  int pause = !w->failures && ak_is_overdue (&w->ends, b->now_ms);

  if (pause == w->is_paused)
    return;
  w->is_paused = pause;
  sj_worker_set_paused (b->cluster, w->id, pause);
}

/* What A, the answer to a hold, tells of its acknowledgement.  */
static enum ak_outcome
ack_outcome (const struct po_order_answer *a)
{
  switch (a->answer)
    {
    case SJ_EXECUTED:
      return AK_FORGOTTEN;
    case SJ_REFUSED:
      return AK_NOT_DONE;
    case SJ_UNANSWERED:
      break;
    }
  return AK_LOST;
}

void
wk_on_listing (struct batch *b, struct ba_order *o, struct po_listing *listing)
{
  struct ba_worker *w = wk_find (b, o->worker);
  const struct po_order_answer *a = &listing->answer;
  enum ak_outcome ack = ack_outcome (a);

  if (o->term != b->term)
    return;
  b->surveys -= !o->is_long_poll;
  if (!w)
    return;
  w->hold_in_flight = 0;
  if (ack != AK_FORGOTTEN)
    ak_answered (&w->ends, o->run.number, ack, b->now_ms);
  if (wk_check_fence (b, o, a))
    return;
  if (a->fenced) /* for a token that this VM has raised since */
    {
      w->next_hold_ms = b->now_ms;
      return;
    }
  wk_check_replaced (b, w, o, a);
  if (a->answer != SJ_EXECUTED)
    {
      wk_note_no_reply (b, w);
      return;
    }
  wk_note_reply (b, w);
  /* Without the present token it would prove nothing of orders that went to
     an earlier incarnation.  */
  if (incarnation_changed (b, w, o, listing) || o->token < w->least_token)
    ack = AK_NOT_DONE;
  ak_answered (&w->ends, o->run.number,
               wk_is_current (w, o) ? ack : AK_NOT_DONE, b->now_ms);
  if (ack != AK_FORGOTTEN)
    return;
  pause_starts (b, w);
  wk_set_clock (b, w, a->clock_ms);
  apply_listing (b, w, o, listing);
  /* Before a start is sent that would ask for another listing.  */
  if (ak_number (&w->ends, b->now_ms))
    {
      w->next_hold_ms = b->now_ms;
      poll_worker (b, w);
    }
}

/* Returns the number of the last end that a hold may acknowledge now, or 0.
   A worker that left a request unanswered must be heard first.  */
static int64_t
end_to_acknowledge (const struct batch *b, const struct ba_worker *w)
{
  return w->failures ? 0 : ak_number (&w->ends, b->now_ms);
}

/* Whether the next hold may wait at the worker for an end, as no earlier one
   is left there.  */
static int
may_wait (const struct batch *b, const struct ba_worker *w, int busy)
{
  return busy && w->runs_known && !w->failures
         && (w->ends.received == w->ends.acked
             || w->ends.received == end_to_acknowledge (b, w));
}

int64_t
wk_max_lease_ms (const struct ba_settings *set)
{
  return MIN (set->hold_ms, MAX_LEASE_MS);
}

static void
send_hold (struct batch *b, struct ba_worker *w, int busy)
{
  struct ba_order *o = wk_new_order (b, w->id);
  struct po_target t = wk_target (b, w, o);
  int is_long_poll = may_wait (b, w, busy);
  int64_t seen = end_to_acknowledge (b, w);
  int64_t lease_ms = wk_max_lease_ms (b->settings);
  int wait_ms = is_long_poll ? long_poll_ms (b, w) : 0;
  /* An unreachable worker is polled without renewing its lease.  If polls
     that may have reached it renewed the lease, its runs would never be
     known to have ended.  */
  int64_t until_ms = busy && w->clock_at_ms && !w->failures
                         ? wk_clock_now_ms (b, w) + lease_ms
                         : 0;

  o->is_long_poll = is_long_poll;
  o->target_serial = w->target_serial;
  o->run.number = seen; /* ends that the worker may discard */
  o->start_serial = ak_listing_requested (&w->ends);
  if (until_ms)
    sj_worker_set_lease (b->cluster, w->id,
                         wk_lease_end_bound_ms (b, lease_ms));
  w->hold_in_flight = 1;
  b->surveys += !is_long_poll;
  w->hold_sent_ms = b->now_ms;
  w->next_hold_ms = b->now_ms + UNSTORED_GAP_MS;
  co_add (b, b->counters.holds, 1);
  if (!po_hold (&b->port, &t, seen, until_ms, wait_ms,
                is_long_poll ? wait_ms + HOLD_SLACK_MS : PROBE_TIMEOUT_MS,
                on_listing, o))
    {
      ak_sent (&w->ends, seen, o->token);
      return;
    }
  w->hold_in_flight = 0;
  b->surveys -= !is_long_poll;
  wk_free_order (o);
}

/* Whether W's clock was heard too long ago, and W was not asked since.  */
static int
is_clock_old (const struct batch *b, const struct ba_worker *w)
{
  return b->now_ms - MAX (w->clock_at_ms, w->hold_sent_ms) >= MAX_CLOCK_AGE_MS;
}

/* Whether a poll now would only return the ends that are known.  */
static int
is_poll_useless (const struct batch *b, const struct ba_worker *w)
{
  const struct ak_ends *e = &w->ends;
  int64_t gap_ms = b->now_ms - w->hold_sent_ms;

  if (!w->runs_known)
    return 0;
  /* A slow store may never have stored all ends of a busy worker.  */
  if (end_to_acknowledge (b, w)
      && ak_waited_ms (e, b->now_ms) >= UNSTORED_GAP_MS)
    return 0;
  if (e->received > e->stored)
    return gap_ms < UNSTORED_GAP_MS;
  return ak_wants (e) && !end_to_acknowledge (b, w)
         && !ak_needs_listing (e, b->now_ms)
         && gap_ms
                < (b->orders.is_overloaded ? UNSTORED_GAP_MS : UNACKED_GAP_MS);
}

static void
poll_worker (struct batch *b, struct ba_worker *w)
{
  int busy, wanted;

  pause_starts (b, w);
  if (w->hold_in_flight || b->now_ms < w->next_hold_ms || !wk_is_fenced (b, w))
    return;
  busy = sj_worker_has_runs (b->cluster, w->id);
  wanted = busy || w->probes_left > 0
           || (w->listed
               && (!w->runs_known || w->failures || is_clock_old (b, w)))
           || ak_wants (&w->ends) || w->ends.is_held;
  /* A new holder asks all workers what they run.  More at once would time out
     on a small VM, so surveys have the limit of the orders.  */
  if (!wanted || (!may_wait (b, w, busy) && b->surveys >= b->orders.limit)
      || is_poll_useless (b, w))
    return;
  send_hold (b, w, busy);
}

void
wk_tick (struct batch *b)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    poll_worker (b, value);
}

void
wk_note_stored (struct batch *b)
{
  int64_t stored_serial = sj_stored_serial (b->cluster);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ak_stored (&((struct ba_worker *)value)->ends, stored_serial, b->now_ms);
}

void
wk_hold_ends (struct batch *b)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ak_ends *e = &((struct ba_worker *)value)->ends;

      e->is_held |= e->received > e->stored;
    }
}
