/* State of each worker as the lease holder knows it, from the worker table
   and from its replies.  */
#include <string.h>

#include "batch/workers.h"

enum
{
  PROBE_INTERVAL_MS = 400, /* between polls of an unreachable worker */
  /* Polls of an address at which another worker is listed too.  */
  MAX_ADDRESS_PROBES = 10,
  /* Unanswered requests after which a worker is unreachable.  */
  UNREACHABLE_FAILURES = 2
};

static void
wk_free (void *worker)
{
  struct ba_worker *w = worker;

  g_free (w->id);
  g_free (w->address);
  g_free (w);
}

void
wk_init_workers (struct batch *b)
{
  b->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, wk_free);
  b->by_address
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
wk_fini_workers (struct batch *b)
{
  if (!b->workers)
    return;
  g_hash_table_destroy (b->by_address);
  g_hash_table_destroy (b->workers);
  b->by_address = b->workers = NULL;
}

struct ba_worker *
wk_find (struct batch *b, const char *id)
{
  return b->workers ? g_hash_table_lookup (b->workers, id) : NULL;
}

/* Returns a lower bound of the worker's clock now, as it may run 2 % slow.  */
int64_t
wk_clock_now_ms (const struct batch *b, const struct ba_worker *w)
{
  return w->clock_ms + (b->now_ms - w->clock_at_ms) * 49 / 50;
}

/* Returns the time on the local clock at which a lease of MS that is sent
   now has certainly ended, as the worker's clock may run 2 % slow, plus
   50 ms.  */
int64_t
wk_lease_end_bound_ms (const struct batch *b, int64_t ms)
{
  return b->now_ms + ms + ms / 50 + 50;
}

void
wk_set_clock (struct batch *b, struct ba_worker *w, int64_t clock_ms)
{
  if (!clock_ms)
    return;
  w->clock_ms = clock_ms;
  w->clock_at_ms = b->now_ms;
}

struct po_target
wk_target (const struct batch *b, const struct ba_worker *w,
           struct ba_order *o)
{
  o->token = b->lease.epoch;
  return (struct po_target){ w->address, w->id, o->token,
                             b->lease.valid_until_ms };
}

int
wk_is_fenced (const struct batch *b, const struct ba_worker *w)
{
  return b->lease.epoch >= w->least_token;
}

int
wk_is_current (const struct ba_worker *w, const struct ba_order *o)
{
  return o->target_serial == w->target_serial;
}

void
wk_log_state (const struct ba_worker *w, const char *state, const char *reason)
{
  struct lg_field f[]
      = { lg_str ("worker", w->id), lg_str ("belief", state),
          lg_str ("reason", reason), lg_int ("life", w->incarnation),
          lg_int ("failures", w->failures) };

  lg_log (LG_WORKER_BELIEF, 5, f);
}

void
wk_note_no_reply (struct batch *b, struct ba_worker *w)
{
  w->failures++;
  w->probes_left -= w->probes_left > 0;
  w->next_hold_ms = b->now_ms + (w->failures > 1 ? PROBE_INTERVAL_MS : 0);
  if (w->failures != UNREACHABLE_FAILURES)
    return;
  sj_worker_set_reachable (b->cluster, w->id, 0);
  wk_log_state (w, "silent", "requests were not answered");
}

void
wk_note_reply (struct batch *b, struct ba_worker *w)
{
  if (w->failures >= UNREACHABLE_FAILURES)
    wk_log_state (w, "heard", "it answers again");
  w->failures = w->probes_left = w->replaced = 0;
  sj_worker_set_reachable (b->cluster, w->id, 1);
}

static void
note_replaced (struct batch *b, struct ba_worker *w)
{
  if (!w->replaced)
    wk_log_state (w, "replaced", "another worker is at its address");
  w->replaced = 1;
  w->probes_left = 0;
  sj_worker_replaced (b->cluster, w->id, b->now_ms);
}

void
wk_check_replaced (struct batch *b, struct ba_worker *w,
                   const struct ba_order *o, const struct po_order_answer *a)
{
  if (a->replaced && wk_is_current (w, o))
    note_replaced (b, w);
}

/* Another VM is the holder if the worker refuses this one's latest fencing
   token.  */
int
wk_check_fence (struct batch *b, const struct ba_order *o,
                const struct po_order_answer *a)
{
  if (!a->fenced || o->token < b->lease.epoch)
    return 0;
  ho_step_down (b, "a worker has seen a higher fencing token");
  return 1;
}

void
wk_begin_incarnation (struct batch *b, struct ba_worker *w,
                      int64_t incarnation)
{
  wk_log_state (w, "restarted", "another incarnation");
  w->incarnation = incarnation;
  w->target_serial++;
  /* An order names the worker's id only, so that one to the earlier
     incarnation is kept from this one by a higher token.  */
  w->least_token = le_raise (&b->lease);
  w->replaced = 0;
  ak_begin_incarnation (&w->ends);
  w->clock_ms = w->clock_at_ms = 0;
  w->runs_known = 0;
  w->next_hold_ms = b->now_ms;
}

static void
unlist (struct batch *b, const char *id, const char *reason)
{
  struct ba_worker *w = wk_find (b, id);

  if (!w || !w->listed)
    return;
  w->listed = 0;
  wk_log_state (w, "unlisted", reason);
  sj_worker_unlisted (b->cluster, id);
}

static struct ba_worker *
find_or_add (struct batch *b, const char *id)
{
  struct ba_worker *w = wk_find (b, id);

  if (w)
    return w;
  w = g_new0 (struct ba_worker, 1);
  w->id = g_strdup (id);
  w->next_hold_ms = b->now_ms;
  ak_init (&w->ends, b->term_began_ms);
  g_hash_table_insert (b->workers, w->id, w);
  return w;
}

static void
probe_address (const struct batch *b, struct ba_worker *w)
{
  if (w->replaced)
    return;
  w->probes_left = MAX_ADDRESS_PROBES;
  w->next_hold_ms = b->now_ms;
}

/* Of two workers at one address the one that started earlier has ended, unless
   a row is wrong.  Its address tells.  */
static void
check_address (struct batch *b, struct ba_worker *w)
{
  struct ba_worker *other = g_hash_table_lookup (b->by_address, w->address);

  if (other == w || !w->incarnation)
    return;
  if (other && other->incarnation > w->incarnation)
    {
      probe_address (b, w);
      return;
    }
  if (other && !strcmp (other->address, w->address))
    probe_address (b, other);
  g_hash_table_replace (b->by_address, g_strdup (w->address), w);
}

static void
apply_worker (struct batch *b, const struct po_worker *p, int64_t version,
              int generation)
{
  struct ba_worker *w = find_or_add (b, p->id);
  struct sj_worker_info info = { .id = p->id,
                                 .incarnation = p->incarnation,
                                 .service = p->service,
                                 .kind = p->kind,
                                 .rack = p->rack,
                                 .domain = p->domain,
                                 .capacity = p->capacity,
                                 .draining = p->draining,
                                 .remaining_ms = p->remaining_ms,
                                 .cold_remaining_ms = p->cold_remaining_ms,
                                 .version = version };

  if (w->incarnation && p->incarnation && p->incarnation < w->incarnation)
    return;
  if (p->incarnation > w->incarnation && w->incarnation)
    wk_begin_incarnation (b, w, p->incarnation);
  if (p->incarnation)
    w->incarnation = p->incarnation;
  if (g_strcmp0 (w->address, p->address))
    {
      w->target_serial++;
      g_free (w->address);
      w->address = g_strdup (p->address);
    }
  if (!w->listed)
    {
      wk_log_state (w, "listed", p->draining ? "draining" : "ready");
      /* The scheduler may have dropped the worker's runs while it was not
         listed.  */
      w->runs_known = 0;
    }
  else if (w->draining != p->draining)
    wk_log_state (w, p->draining ? "draining" : "ready",
                  "by the worker table");
  w->listed = 1;
  w->draining = p->draining;
  w->generation = generation;
  sj_worker_set (b->cluster, &info, b->now_ms);
  check_address (b, w);
}

void
wk_on_row (struct batch *b, const struct po_row *row, int generation)
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
    apply_worker (b, p, row->version, generation);
  else
    {
      unlist (b, row->key, reason);
      ba_log_unreadable_row (row->table, row->key);
    }
  po_worker_free (p);
}

void
wk_on_synced (struct batch *b, int generation)
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
        unlist (b, w->id, "missing from a full scan");
    }
}
