/* What the lease holder's processor time goes to.  */
#include "batch/batch.h"

static void
read_totals (struct batch *b, const struct sj_counts *counts)
{
  struct ba_totals *t = &b->usage.now;
  const struct ba_counters *c = &b->counters;
  struct hc_counts http;

  hc_count (b->client, &http);
  t->at_ms = b->now_ms;
  t->process_us = bs_process_cpu_us ();
  t->loop_us = bs_thread_cpu_us ();
  t->client_us = http.cpu_us;
  t->holds = st_value (&b->stats, c->holds);
  t->starts = st_value (&b->stats, c->starts);
  t->stops = st_value (&b->stats, c->stops);
  t->ends = st_value (&b->stats, c->ends);
  t->requests = http.requests;
  t->rounds = counts->rounds;
}

static void
log_usage (struct batch *b)
{
  const struct ba_totals *n = &b->usage.now, *o = &b->usage.noted;
  int64_t event_ms[BA_EVENT_KINDS];

  for (int i = 0; i < BA_EVENT_KINDS; i++)
    event_ms[i] = n->event_ms[i] - o->event_ms[i];
  struct lg_field f[]
      = { lg_int ("interval_ms", n->at_ms - o->at_ms),
          lg_int ("process_ms", (n->process_us - o->process_us) / 1000),
          lg_int ("loop_ms", (n->loop_us - o->loop_us) / 1000),
          lg_int ("client_ms", (n->client_us - o->client_us) / 1000),
          lg_int ("polls_ms", n->polls_ms - o->polls_ms),
          lg_int ("decide_ms", n->decide_ms - o->decide_ms),
          lg_int ("store_ms", event_ms[BA_STORE_REPLY]),
          lg_int ("listing_ms", event_ms[BA_WORKER_LISTING]),
          lg_int ("order_ms", event_ms[BA_ORDER_REPLY]),
          lg_int ("caller_ms",
                  event_ms[BA_CLIENT_REQUEST] + event_ms[BA_RELAY_REPLY]),
          lg_int ("backlog_ms", b->usage.backlog_ms),
          lg_int ("rounds", n->rounds - o->rounds) };

  lg_log (LG_HOLDER_USAGE, 12, f);
}

static void
log_work (struct batch *b, const struct sj_counts *counts)
{
  const struct ba_totals *n = &b->usage.now, *o = &b->usage.noted;
  struct lg_field f[] = { lg_int ("holds", n->holds - o->holds),
                          lg_int ("starts", n->starts - o->starts),
                          lg_int ("stops", n->stops - o->stops),
                          lg_int ("ends", n->ends - o->ends),
                          lg_int ("orders_limit", b->orders.limit),
                          lg_int ("requests", n->requests - o->requests),
                          lg_int ("runs", counts->runs),
                          lg_int ("busy_workers", counts->busy_workers),
                          lg_int ("waiting_jobs", counts->waiting),
                          lg_int ("waiting_orders", oq_waiting (&b->orders)),
                          lg_int ("order_wait_ms", b->usage.order_wait_ms),
                          lg_int ("commit_ms", b->usage.commit_ms) };

  lg_log (LG_HOLDER_WORK, 12, f);
}

void
us_tick (struct batch *b, const struct sj_counts *counts)
{
  if (b->phase != BA_ACTIVE)
    {
      b->usage.noted.at_ms = 0;
      return;
    }
  read_totals (b, counts);
  if (b->usage.noted.at_ms)
    {
      log_usage (b);
      log_work (b, counts);
    }
  b->usage.noted = b->usage.now;
  b->usage.order_wait_ms = b->usage.commit_ms = b->usage.backlog_ms = 0;
}
