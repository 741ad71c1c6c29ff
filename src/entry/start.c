/* What the core needs, made and ended.  */
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

static const char *const fault_names[]
    = { "none", "before-claim", "after-claim", "after-dispatch",
        "before-answer" };

static int
find_fault (const char *name)
{
  for (int i = 0; i <= EN_FAULT_BEFORE_ANSWER; i++)
    if (!strcmp (name, fault_names[i]))
      return i;
  return BS_EINVAL;
}

static int
start_clients (struct en_core *core)
{
  const struct en_settings *set = core->set;
  int most = (int)set->max_requests * EN_EVENTS_FOR_REQUEST;

  core->hc_table = hc_new (&(struct hc_config){
      .max_in_progress = most,
      .connections_per_host = (int)set->connections,
      .connect_timeout_ms = (int)set->connect_timeout_ms });
  core->hc_up = hc_new (&(struct hc_config){
      .max_in_progress = most,
      .connections_per_host = (int)set->upstream_connections,
      .connect_timeout_ms = (int)set->connect_timeout_ms });
  core->tb = tb_new (
      core->hc_table,
      &(struct tb_config){ set->platform, (int)set->table_timeout_ms });
  return core->hc_table && core->hc_up && core->tb ? BS_OK : BS_ENOMEM;
}

static void
start_timers (struct en_core *core)
{
  int64_t now = core->now_ms;

  tm_init (&core->timers);
  tm_subscribe (&core->timers, now + EN_TICK_MS, EN_TICK_MS, en_tick, core);
  tm_subscribe (&core->timers, now, EN_POLL_MS, en_poll, core);
  tm_subscribe (&core->timers, now, EN_VMS_MS, en_vms_poll, core);
  tm_subscribe (&core->timers, now + (int64_t)(en_jitter (core) * EN_POLL_MS),
                EN_POLL_MS, en_heartbeat, core);
  tm_subscribe (&core->timers,
                now + EN_OLD_MS + (int64_t)(en_jitter (core) * EN_OLD_MS),
                EN_OLD_MS, en_old_step, core);
}

int
en_core_init (struct en_core *core, const struct en_settings *set)
{
  int fault = find_fault (set->fault_point);
  unsigned room = (unsigned)set->max_requests * EN_EVENTS_FOR_REQUEST
                  + EN_PEER_QUEUE + 64;
  unsigned long seed;

  memset (core, 0, sizeof *core);
  if (fault < 0)
    return BS_EINVAL;
  core->set = set;
  core->fault = (enum en_fault)fault;
  core->clock = bs_clock_system ();
  core->now_ms = core->started_ms = bs_now_ms (&core->clock);
  bs_random_hex (core->incarnation, EN_INCARNATION / 2);
  seed = strtoul (core->incarnation, NULL, EN_INCARNATION);
  core->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (core->rng, seed);
  g_queue_init (&core->wanting);
  core->queued.jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  st_init (&core->stat);
  fl_pool_init (&core->pool, set->vm);
  vl_init (&core->vms, set->vm, set->domain, 1, (int64_t)(seed >> 1));
  fl_budget_init (&core->budget, core->now_ms);
  core->fleet.worker = g_new0 (struct fl_fleet_worker, EN_FLEET);
  core->live = g_new0 (struct en_request *, (gsize)set->max_requests + 1);
  core->env = (struct fl_env){ .operator_digest = set->operator_digest,
                               .fleet = &core->fleet,
                               .max_in_progress = (int)set->max_requests };
  if (cf_init (&core->config) || rg_init (&core->ring, room)
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
  hc_free (core->hc_up);
  hc_free (core->hc_table);
  while (rg_pop (&core->ring, &item, 0) == BS_OK)
    g_free (item);
  tb_free (core->tb);
  rg_fini (&core->ring);
  cf_reader_fini (&core->reader);
  cf_fini (&core->config);
  for (int i = 0; i < core->peers; i++)
    {
      g_free (core->peer[i].rate);
      g_free (core->peer[i].busy);
    }
  g_queue_clear (&core->wanting);
  g_hash_table_destroy (core->queued.jobs);
  g_free (core->env.account);
  g_free (core->fleet.worker);
  g_free (core->live);
  vl_fini (&core->vms);
  json_decref (core->cells);
  gsl_rng_free (core->rng);
  st_fini (&core->stat);
}
