/* Initializes and frees the core.  */
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

enum
{
  CORE_EVENTS = 64 /* ring capacity for operations of the core itself */
};

static const char *const fault_names[]
    = { "none", "before-claim", "after-claim", "after-dispatch",
        "before-answer" };

static int
parse_fault_point (const char *name)
{
  for (int i = 0; i <= EN_FAULT_BEFORE_ANSWER; i++)
    if (!strcmp (name, fault_names[i]))
      return i;
  return BS_EINVAL;
}

static int
start_clients (struct en_core *core)
{
  const struct en_settings *settings = core->settings;
  int max_http_requests = (int)settings->max_requests * EN_EVENTS_PER_REQUEST;

  core->table_http = hc_new (&(struct hc_config){
      .max_in_progress = max_http_requests,
      .connections_per_host = (int)settings->connections,
      .connect_timeout_ms = (int)settings->connect_timeout_ms });
  core->upstream_http = hc_new (&(struct hc_config){
      .max_in_progress = max_http_requests,
      .connections_per_host = (int)settings->upstream_connections,
      .connect_timeout_ms = (int)settings->connect_timeout_ms });
  core->table
      = tb_new (core->table_http,
                &(struct tb_config){ settings->platform,
                                     (int)settings->table_timeout_ms });
  return core->table_http && core->upstream_http && core->table ? BS_OK
                                                                : BS_ENOMEM;
}

static void
start_timers (struct en_core *core)
{
  int64_t now = core->now_ms;

  tm_init (&core->timers);
  tm_subscribe (&core->timers, now + EN_TICK_MS, EN_TICK_MS, en_tick, core);
  tm_subscribe (&core->timers, now, EN_POLL_MS, en_poll, core);
  tm_subscribe (&core->timers, now, EN_WATCH_MS, en_watch, core);
  tm_subscribe (&core->timers, now, EN_VMS_CHECK_MS, en_vms_check, core);
  tm_subscribe (&core->timers, now + (int64_t)(en_jitter (core) * EN_POLL_MS),
                EN_POLL_MS, en_heartbeat, core);
  tm_subscribe (&core->timers,
                now + EN_KEY_CLEANUP_MS
                    + (int64_t)(en_jitter (core) * EN_KEY_CLEANUP_MS),
                EN_KEY_CLEANUP_MS, en_key_cleanup_scan, core);
}

int
en_core_init (struct en_core *core, const struct en_settings *settings)
{
  int fault = parse_fault_point (settings->fault_point);
  unsigned ring_capacity
      = (unsigned)settings->max_requests * EN_EVENTS_PER_REQUEST
        + EN_PEER_QUEUE_SIZE + CORE_EVENTS;
  unsigned long seed;

  memset (core, 0, sizeof *core);
  if (fault < 0)
    return BS_EINVAL;
  core->settings = settings;
  core->fault_point = (enum en_fault_point)fault;
  core->clock = bs_clock_system ();
  core->now_ms = core->started_ms = bs_now_ms (&core->clock);
  bs_random_hex (core->incarnation, EN_INCARNATION_DIGITS / 2);
  seed = strtoul (core->incarnation, NULL, EN_INCARNATION_DIGITS);
  core->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (core->rng, seed);
  g_queue_init (&core->slot_waiters);
  core->queued_jobs.jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  st_init (&core->stat);
  fl_pool_init (&core->pool, settings->vm);
  vl_init (&core->vms, settings->vm, settings->domain, 1,
           (int64_t)(seed >> 1));
  fl_budget_init (&core->retry_budget, core->now_ms);
  core->fleet.worker = g_new0 (struct fl_fleet_worker, EN_MAX_WORKERS);
  core->requests
      = g_new0 (struct en_request *, (gsize)settings->max_requests + 1);
  core->env
      = (struct fl_env){ .operator_digest = settings->operator_digest,
                         .fleet = &core->fleet,
                         .max_in_progress = (int)settings->max_requests };
  if (cf_init (&core->config) || rg_init (&core->events, ring_capacity)
      || start_clients (core))
    return BS_ENOMEM;
  start_timers (core);
  return en_peers_start (core);
}

void
en_core_fini (struct en_core *core)
{
  void *item;

  if (core->net)
    pr_free (core->net);
  hc_free (core->upstream_http);
  hc_free (core->table_http);
  while (rg_pop (&core->events, &item, 0) == BS_OK)
    g_free (item);
  tb_free (core->table);
  rg_fini (&core->events);
  cf_reader_fini (&core->config_reader);
  cf_fini (&core->config);
  for (int i = 0; i < core->peer_count; i++)
    {
      g_free (core->peer[i].calls_per_second);
      g_free (core->peer[i].calls_in_progress);
    }
  g_queue_clear (&core->slot_waiters);
  g_hash_table_destroy (core->queued_jobs.jobs);
  g_free (core->env.account);
  g_free (core->fleet.worker);
  g_free (core->requests);
  vl_fini (&core->vms);
  json_decref (core->cells_json);
  gsl_rng_free (core->rng);
  st_fini (&core->stat);
}
