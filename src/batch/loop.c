/* The loop thread, and the start and stop of the process.  */
#include <string.h>

#include "batch/batch.h"

enum
{
  RING_EVENTS = 8192,
  READY_CONNECTIONS = 64,
  METRICS_CONNECTIONS = 16,
  RELAY_CONNECTIONS = 256,
  /* Requests of the HTTP client: a long poll at each worker, orders, and calls
     to the store.  */
  MAX_IN_PROGRESS = 4096,
  /* Besides the long poll, the starts of a worker's tasks.  */
  CONNECTIONS_PER_HOST = 3,
  CONNECT_TIMEOUT_MS = 500,
  /* Without answers each write keeps its connection; a probe must not wait for
     one.  */
  ENTRY_CONNECTIONS = 32,
  MAX_BODY_BYTES = 262144, /* of a request; the largest job is far smaller */
  MAX_PROBE_BODY_BYTES = 1024, /* at the listeners whose requests need none */
  IDLE_TIMEOUT_S = 30,
  MAX_EVENTS_PER_TICK = 256, /* events handled between two ticks */
  ACTIVE_TICK_MS = 40,
  MIN_ROUND_GAP_MS = 8, /* least time between two decision rounds */
  /* The gap is at least this many times the last round's duration, up to
     MAX_ROUND_GAP_MS.  */
  ROUND_GAP_FACTOR = 2,
  MAX_ROUND_GAP_MS = 200, /* longest time between two decision rounds */
  STANDBY_TICK_MS = 80,
  COUNTERS_INTERVAL_MS = 1000,
  SLOW_LOOP_MS = 300, /* a loop that takes longer is logged */
  UNAVAILABLE = 503,
  /* Wait for requests that a server thread is still enqueuing.  */
  CLOSE_WAIT_MS = 20
};

static void
refuse_request (struct hs_exchange *ex)
{
  fr_refuse (ex, UNAVAILABLE,
             "{\"error\":\"not run: overloaded or stopping\"}");
}

/* Refuses an event for which the ring has no capacity or that comes after
   the loop closed it.  Only client requests can overflow the ring, as the
   number of calls in progress is bounded.  */
static void
refuse_event (struct ba_event *e)
{
  if (e->kind == BA_CLIENT_REQUEST || e->kind == BA_STATUS_REQUEST)
    refuse_request (e->u.request);
  g_free (e);
}

void
ba_push (struct batch *b, struct ba_event *e)
{
  if (atomic_load (&b->closed) || rg_push (&b->events, e))
    refuse_event (e);
}

static void
handle_store_reply (struct batch *b, struct ba_store_call *call,
                    struct po_rows *rows)
{
  ba_note_store_reply (b, rows);
  ba_note_reply (b, call, rows->result);
  switch (call->purpose)
    {
    case BA_SCAN:
    case BA_POLL:
      fo_on_reply (call->follower, call, rows);
      break;
    case BA_LOAD_RECORDS:
    case BA_LOAD_JOBS:
      ho_on_load_reply (b, call, rows);
      break;
    case BA_COMMIT:
      ho_on_commit_reply (b, call, rows);
      break;
    case BA_SUBMIT:
    case BA_LOOKUP:
    case BA_CANCEL:
    case BA_WITHDRAW:
      if (call->pending)
        pe_on_reply (call->pending, rows);
      break;
    case BA_PROBE:
    case BA_READ_PROBE:
      break;
    case BA_PUBLISH:
      rl_on_publish_reply (b, rows);
      break;
    case BA_EXPIRE:
      wx_on_reply (b, rows);
      break;
    }
  po_rows_free (rows);
  g_free (call);
}

static void
dispatch (struct batch *b, struct ba_event *e)
{
  switch (e->kind)
    {
    case BA_STORE_REPLY:
      handle_store_reply (b, e->u.reply.call, e->u.reply.rows);
      break;
    case BA_CLIENT_REQUEST:
      cq_push (&b->requests, e->u.request);
      break;
    case BA_RELAY_REPLY:
      rl_on_reply (b, e->u.relayed);
      break;
    case BA_STATUS_REQUEST:
      sh_answer (b, e->u.request);
      break;
    case BA_ORDER_REPLY:
      wk_on_order_reply (b, e->u.order.order, &e->u.order.answer);
      break;
    case BA_WORKER_LISTING:
      wk_on_listing (b, e->u.listing.order, e->u.listing.listing);
      wk_free_order (e->u.listing.order);
      po_listing_free (e->u.listing.listing);
      break;
    }
  g_free (e);
}

static void
dispatch_timed (struct batch *b, struct ba_event *e)
{
  enum ba_event_kind kind = e->kind;
  int64_t begin_ms = b->now_ms;

  dispatch (b, e);
  b->times.events++;
  b->times.ms[kind] += bs_now_ms (&b->clock) - begin_ms;
}

/* Logs and clears the loop's times after a tick.  */
static void
note_loop_times (struct batch *b)
{
  const int64_t *ms = b->times.ms;
  int64_t took_ms = b->tick_took_ms;

  for (int i = 0; i < BA_EVENT_KINDS; i++)
    {
      took_ms += ms[i];
      b->usage.now.event_ms[i] += ms[i];
    }
  if (took_ms > SLOW_LOOP_MS)
    {
      struct lg_field f[]
          = { lg_int ("took_ms", took_ms),
              lg_int ("events", b->times.events),
              lg_int ("store_ms", ms[BA_STORE_REPLY]),
              lg_int ("caller_ms",
                      ms[BA_CLIENT_REQUEST] + ms[BA_STATUS_REQUEST]),
              lg_int ("order_ms", ms[BA_ORDER_REPLY]),
              lg_int ("listing_ms", ms[BA_WORKER_LISTING]),
              lg_int ("round_ms", b->tick_took_ms),
              lg_int ("queued", rg_count (&b->events)) };

      lg_log (LG_LOOP_SLOW, 8, f);
    }
  b->times = (struct ba_loop_times){ 0 };
}

/* Handles requests of callers for a bounded time.  */
static void
handle_requests (struct batch *b)
{
  int64_t begin_ms = bs_now_ms (&b->clock);
  struct hs_exchange *ex;

  if (!cq_count (&b->requests))
    return;
  b->now_ms = begin_ms;
  cq_begin_turn (&b->requests, begin_ms);
  while ((ex = cq_take (&b->requests, b->now_ms)))
    {
      fr_request (b, ex);
      b->now_ms = bs_now_ms (&b->clock);
    }
  b->times.ms[BA_CLIENT_REQUEST] += b->now_ms - begin_ms;
}

/* Handles the events that wait, up to a number, then requests of callers.
   Waits up to WAIT_MS if there are none.  */
static void
handle_events (struct batch *b, int wait_ms)
{
  void *item;

  if (cq_count (&b->requests))
    wait_ms = 0;
  for (int n = 0; n < MAX_EVENTS_PER_TICK; n++)
    {
      if (rg_pop (&b->events, &item, n ? 0 : wait_ms) != BS_OK)
        break;
      b->now_ms = bs_now_ms (&b->clock);
      dispatch_timed (b, item);
    }
  handle_requests (b);
}

static void
note_backlog (struct batch *b)
{
  int64_t backlog_ms = hc_backlog_ms (b->client);

  b->usage.backlog_ms = MAX (b->usage.backlog_ms, backlog_ms);
  oq_note_backlog (&b->orders, backlog_ms, b->now_ms);
}

static void
tick (struct batch *b)
{
  struct sj_counts counts;

  b->now_ms = b->ticked_ms = bs_now_ms (&b->clock);
  ba_check_store_timeout (b);
  ba_access_tick (b);
  fo_tick (&b->config_follower);
  fo_tick (&b->job_follower);
  fo_tick (&b->worker_follower);
  rl_tick (b);
  pe_tick (b);
  note_backlog (b);
  wx_tick (b);
  ho_tick (b);
  if (b->now_ms - b->counted_ms >= COUNTERS_INTERVAL_MS)
    {
      b->counted_ms = b->now_ms;
      co_tick (b, &counts);
      us_tick (b, &counts);
      for (int i = 0; i < BA_LISTENERS; i++)
        sw_tick (&b->watch[i], &b->stats, b->counters.shard);
    }
  atomic_store (&b->ready, b->config && b->job_follower.synced
                               && ba_config_is_fresh (b) && !b->stopping_at_ms
                               && !b->store_down);
}

static int
stop_is_complete (struct batch *b)
{
  enum ba_stage stage;

  if (!atomic_load (&b->stop_requested))
    return 0;
  if (!b->stopping_at_ms)
    b->stopping_at_ms = b->now_ms;
  stage = ba_stop_stage (b->now_ms - b->stopping_at_ms, b->settings->grace_ms,
                         hs_connections (b->caller_server),
                         b->phase != BA_STANDBY);
  if (stage != BA_SERVE)
    hs_drain (b->caller_server);
  if (stage != BA_SERVE && b->relay.server)
    hs_drain (b->relay.server);
  if (stage != BA_END || b->is_closed_to_callers)
    return stage == BA_END;
  /* Callers may have connected since, so the loop goes on for those.  */
  hs_stop_listening (b->caller_server);
  b->is_closed_to_callers = 1;
  return 0;
}

/* Handles events until the next decision round is due.  A round costs the
   same for one event as for many, so events that follow closely share a
   round.  A long round is followed by a longer gap, so that leases are
   renewed in time under any load.  */
static void
handle_events_until_round (struct batch *b)
{
  int64_t gap_ms = b->tick_took_ms * ROUND_GAP_FACTOR, remaining_ms;

  if (b->phase == BA_STANDBY)
    return;
  if (gap_ms < MIN_ROUND_GAP_MS)
    gap_ms = MIN_ROUND_GAP_MS;
  if (gap_ms > MAX_ROUND_GAP_MS)
    gap_ms = MAX_ROUND_GAP_MS;
  while ((remaining_ms = b->ticked_ms + gap_ms - b->now_ms) > 0)
    {
      handle_events (b, (int)remaining_ms);
      b->now_ms = bs_now_ms (&b->clock);
    }
}

/* Stops accepting events and refuses the requests that remain.  */
static void
refuse_remaining (struct batch *b)
{
  struct hs_exchange *ex;
  void *item;

  atomic_store (&b->closed, 1);
  while (rg_pop (&b->events, &item, CLOSE_WAIT_MS) == BS_OK)
    refuse_event (item);
  while ((ex = cq_take_any (&b->requests)))
    refuse_request (ex);
  pe_fail_all (b);
  rl_fail_all (b);
}

static void *
loop_main (void *arg)
{
  struct batch *b = arg;

  while (!stop_is_complete (b))
    {
      handle_events (b, b->phase == BA_STANDBY ? STANDBY_TICK_MS
                                               : ACTIVE_TICK_MS);
      handle_events_until_round (b);
      tick (b);
      b->tick_took_ms = bs_now_ms (&b->clock) - b->ticked_ms;
      note_loop_times (b);
    }
  refuse_remaining (b);
  return NULL;
}

static int
start_server (struct batch *b, struct hs_server **out, struct hs_config *c)
{
  int error;

  c->threads = 1;
  c->idle_s = IDLE_TIMEOUT_S;
  c->arg = b;
  error = *c->listen ? hs_new (out, c) : 0;
  if (error)
    {
      struct lg_field f[] = { lg_str ("address", c->listen),
                              lg_str ("reason", hs_strerror (error)) };

      lg_log (LG_LISTEN_FAILED, 2, f);
    }
  return error;
}

/* The long polls take up to CONNECTIONS_PER_HOST connections to the store, so
   that writes without an answer would delay others.  Returns 0 or a
   bs_error.  */
static int
open_entry_port (struct batch *b)
{
  struct hc_config hc = { .max_in_progress = MAX_IN_PROGRESS,
                          .connections_per_host = ENTRY_CONNECTIONS,
                          .connect_timeout_ms = CONNECT_TIMEOUT_MS };

  b->entry_port = b->port;
  if (!ba_tracks_access (b))
    return BS_OK;
  b->entry_port.client = hc_new (&hc);
  return b->entry_port.client ? BS_OK : BS_ENOMEM;
}

static int
start_servers (struct batch *b)
{
  const struct ba_settings *set = b->settings;
  struct hs_config ready = { .listen = set->ready_listen,
                             .max_connections = READY_CONNECTIONS,
                             .max_body = MAX_PROBE_BODY_BYTES,
                             .handle = fr_ready };
  struct hs_config metrics = { .listen = set->metrics_listen,
                               .max_connections = METRICS_CONNECTIONS,
                               .max_body = MAX_PROBE_BODY_BYTES,
                               .handle = sh_handle };
  struct hs_config callers = { .listen = set->listen,
                               .max_connections = (int)set->max_connections,
                               .max_body = MAX_BODY_BYTES,
                               .handle = fr_handle };
  struct hs_config relay = { .listen = set->relay_listen,
                             .max_connections = RELAY_CONNECTIONS,
                             .max_body = MAX_BODY_BYTES,
                             .wants_body = rl_wants_body,
                             .handle = rl_handle };

  if (start_server (b, &b->ready_server, &ready)
      || start_server (b, &b->metrics_server, &metrics)
      || start_server (b, &b->caller_server, &callers)
      || start_server (b, &b->relay.server, &relay))
    return BS_EOS;
  b->watch[0] = (struct sw_watch){ b->caller_server, "callers" };
  b->watch[1] = (struct sw_watch){ b->ready_server, "readiness" };
  b->watch[2] = (struct sw_watch){ b->metrics_server, "metrics" };
  b->watch[3] = (struct sw_watch){ b->relay.server, "relay" };
  return BS_OK;
}

int
ba_start (struct batch *b, const struct ba_settings *set)
{
  struct hc_config hc = { .max_in_progress = MAX_IN_PROGRESS,
                          .connections_per_host = CONNECTIONS_PER_HOST,
                          .connect_timeout_ms = CONNECT_TIMEOUT_MS };
  struct le_settings le = { .valid_ms = set->lease_ms,
                            .takeover_ms = set->take_ms,
                            .renew_ms = set->renew_ms,
                            .cpu_milli = (int64_t)(set->processor * 1000) };

  memset (b, 0, sizeof *b);
  b->settings = set;
  b->clock = bs_clock_boot ();
  b->now_ms = b->store_heard_ms = bs_now_ms (&b->clock);
  bs_random_hex (b->token, (sizeof b->token - 1) / 2);
  ac_init (&b->access, b->now_ms);
  le_init (&b->lease, &le, set->vm, b->token);
  vw_init (&b->view);
  wk_init_orders (b);
  cq_init (&b->requests);
  b->pending = g_ptr_array_new_with_free_func (pe_free);
  if (co_init (b) || rg_init (&b->events, RING_EVENTS))
    return BS_ENOMEM;
  b->client = hc_new (&hc);
  if (!b->client)
    return BS_ENOMEM;
  if (*set->relay_listen)
    rl_init (b);
  b->port = (struct po_port){ b->client, set->store };
  if (open_entry_port (b))
    return BS_ENOMEM;
  ta_init (b);
  if (start_servers (b))
    return BS_EOS;
  return bs_thread_start (&b->thread, loop_main, b);
}

void
ba_stop (struct batch *b)
{
  atomic_store (&b->stop_requested, 1);
  bs_thread_join (&b->thread);
}
