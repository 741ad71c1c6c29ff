/* The loop thread, and the process's start and stop.  */
#include <string.h>

#include "batch/batch.h"

enum
{
  RING_EVENTS = 8192,
  MAX_IN_PROGRESS = 2048, /* calls of the HTTP client */
  CONNECTIONS_PER_HOST = 16,
  CONNECT_MS = 500,
  MAX_CONNECTIONS = 2048,
  MAX_BODY = 262144, /* bytes; the largest job is far below */
  IDLE_S = 30,
  BATCH = 256, /* events between two ticks */
  HOLDER_TICK_MS = 40,
  ROUND_GAP_MS = 8,       /* between two rounds of decisions, at least, */
  ROUND_PAUSE = 2,        /* and so many times what the last one took, */
  ROUND_GAP_MAX_MS = 200, /* up to this */
  FOLLOWER_TICK_MS = 80,
  COUNT_MS = 1000,
  UNAVAILABLE = 503,
  CLOSE_WAIT_MS = 20 /* for a request that is being handed over */
};

/* An event that the loop does not take.  Only requests can outrun it: calls
   in progress are bounded.  */
static void
refuse (struct ba_event *e)
{
  if (e->kind == BA_REQUEST || e->kind == BA_SHOW)
    fr_refuse (e->u.request, UNAVAILABLE,
               "{\"error\":\"not run: overloaded or stopping\"}");
  g_free (e);
}

void
ba_push (struct batch *b, struct ba_event *e)
{
  if (atomic_load (&b->closed) || rg_push (&b->ring, e))
    refuse (e);
}

static void
rows_event (struct batch *b, struct ba_ask *ask, struct po_rows *rows)
{
  ba_heard_store (b, rows);
  switch (ask->purpose)
    {
    case BA_READ:
    case BA_FOLLOW:
      fo_answer (ask->follow, ask, rows);
      break;
    case BA_LOAD_RECORDS:
    case BA_LOAD_JOBS:
      ho_loaded (b, ask, rows);
      break;
    case BA_COMMIT:
      ho_committed (b, ask, rows);
      break;
    case BA_SUBMIT:
    case BA_LOOKUP:
    case BA_CANCEL:
      pe_answer (ask->pending, rows);
      break;
    }
  po_rows_free (rows);
  g_free (ask);
}

static void
dispatch (struct batch *b, struct ba_event *e)
{
  switch (e->kind)
    {
    case BA_ROWS:
      rows_event (b, e->u.rows.ask, e->u.rows.rows);
      break;
    case BA_REQUEST:
      fr_request (b, e->u.request);
      break;
    case BA_SHOW:
      sh_answer (b, e->u.request);
      break;
    case BA_ORDER:
      wk_order_answered (b, e->u.order.order, &e->u.order.answer);
      break;
    case BA_LISTING:
      wk_listed (b, e->u.listing.order, e->u.listing.listing);
      wk_free_order (e->u.listing.order);
      po_listing_free (e->u.listing.listing);
      break;
    }
  g_free (e);
}

static void
take_events (struct batch *b, int wait_ms)
{
  void *item;

  for (int n = 0; n < BATCH; n++)
    {
      if (rg_pop (&b->ring, &item, n ? 0 : wait_ms) != BS_OK)
        return;
      b->now = bs_now_ms (&b->clock);
      dispatch (b, item);
    }
}

static void
tick (struct batch *b)
{
  b->now = b->ticked_ms = bs_now_ms (&b->clock);
  ba_watch_store (b);
  fo_tick (&b->config_follow);
  fo_tick (&b->job_follow);
  fo_tick (&b->worker_follow);
  pe_tick (b);
  ho_tick (b);
  if (b->now - b->counted_ms >= COUNT_MS)
    {
      b->counted_ms = b->now;
      co_tick (b);
    }
  atomic_store (&b->ready, b->config && b->job_follow.whole && ba_is_fresh (b)
                               && !b->stopping_at_ms && !b->store_down);
}

static int
is_stopped (struct batch *b)
{
  enum ba_stage stage;

  if (!atomic_load (&b->stop))
    return 0;
  if (!b->stopping_at_ms)
    b->stopping_at_ms = b->now;
  stage = ba_stop_stage (b->now - b->stopping_at_ms, b->set->grace_ms,
                         hs_connections (b->front), b->phase != BA_FOLLOWS);
  if (stage != BA_SERVE)
    hs_drain (b->front);
  return stage == BA_END;
}

/* A round of decisions costs the same for one event as for many: those that
   follow at once are taken along.  A round that took long is followed by a
   longer pause, so that leases are renewed in time whatever waits.  */
static void
gather_events (struct batch *b)
{
  int64_t gap = b->tick_took_ms * ROUND_PAUSE, left;

  if (b->phase == BA_FOLLOWS)
    return;
  if (gap < ROUND_GAP_MS)
    gap = ROUND_GAP_MS;
  if (gap > ROUND_GAP_MAX_MS)
    gap = ROUND_GAP_MAX_MS;
  while ((left = b->ticked_ms + gap - b->now) > 0)
    {
      take_events (b, (int)left);
      b->now = bs_now_ms (&b->clock);
    }
}

/* From now on nothing is taken in; whoever still waits is told so.  */
static void
refuse_left (struct batch *b)
{
  void *item;

  atomic_store (&b->closed, 1);
  while (rg_pop (&b->ring, &item, CLOSE_WAIT_MS) == BS_OK)
    refuse (item);
  pe_end (b);
}

static void *
loop_main (void *arg)
{
  struct batch *b = arg;

  while (!is_stopped (b))
    {
      take_events (b,
                   b->phase == BA_FOLLOWS ? FOLLOWER_TICK_MS : HOLDER_TICK_MS);
      gather_events (b);
      tick (b);
      b->tick_took_ms = bs_now_ms (&b->clock) - b->ticked_ms;
    }
  refuse_left (b);
  return NULL;
}

static int
start_server (struct batch *b, struct hs_server **out, const char *listen,
              hs_handle *handle, int connections)
{
  struct hs_config c = { .listen = listen,
                         .threads = 1,
                         .max_connections = connections,
                         .max_body = MAX_BODY,
                         .idle_s = IDLE_S,
                         .handle = handle,
                         .arg = b };
  int error = *listen ? hs_new (out, &c) : 0;

  if (error)
    {
      struct lg_field f[] = { lg_str ("address", listen),
                              lg_str ("reason", hs_strerror (error)) };

      lg_log (LG_LISTEN_FAILED, 2, f);
    }
  return error;
}

int
ba_start (struct batch *b, const struct ba_settings *set)
{
  struct hc_config hc = { .max_in_progress = MAX_IN_PROGRESS,
                          .connections_per_host = CONNECTIONS_PER_HOST,
                          .connect_timeout_ms = CONNECT_MS };
  struct le_settings le = { .valid_ms = set->lease_ms,
                            .take_ms = set->take_ms,
                            .renew_ms = set->renew_ms };

  memset (b, 0, sizeof *b);
  b->set = set;
  b->clock = bs_clock_boot ();
  b->now = b->store_ok_ms = bs_now_ms (&b->clock);
  bs_random_hex (b->token, (sizeof b->token - 1) / 2);
  le_init (&b->lease, &le, set->vm, b->token);
  vw_init (&b->view);
  b->pending = g_ptr_array_new_with_free_func (pe_free);
  if (co_init (b) || rg_init (&b->ring, RING_EVENTS))
    return BS_ENOMEM;
  b->client = hc_new (&hc);
  if (!b->client)
    return BS_ENOMEM;
  b->port = (struct po_port){ b->client, set->store };
  ta_init (b);
  if (start_server (b, &b->ready_server, set->ready_listen, fr_ready, 64)
      || start_server (b, &b->metrics_server, set->metrics_listen, sh_handle,
                       16)
      || start_server (b, &b->front, set->listen, fr_handle, MAX_CONNECTIONS))
    return BS_EOS;
  return bs_thread_start (&b->thread, loop_main, b);
}

void
ba_stop (struct batch *b)
{
  atomic_store (&b->stop, 1);
  bs_thread_join (&b->thread);
}
