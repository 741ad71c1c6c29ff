#include <string.h>

#include "gen.h"

enum
{
  DOMAINS = 3,
  RACK_SIZE = 8,            /* workers */
  FULL_SIZE = 8,            /* accelerators and slots of a full worker */
  MEDIAN_RETURN_MS = 20000, /* until a worker joins again */
  MEDIAN_HEAL_MS = 30000,
  MEDIAN_LEAVE_MS = 8000, /* from leaving to down */
  MAX_UNAVAILABLE_MS = 200000,
  BURST_JOBS = 30,
  LARGE_BURST_JOBS = 8,
  CANCEL_WAVE_JOBS = 24,
  UNGUARANTEED_PERCENT = 45 /* accelerators outside all guarantees */
};

static const char *const fault_name[RP_FAULT_COUNT]
    = { [RP_FAULT_ESTIMATES] = "estimates",
        [RP_FAULT_IMPOSSIBLE] = "impossible",
        [RP_FAULT_JOB_FAILS] = "job-fails",
        [RP_FAULT_WORKER_FAILS] = "worker-fails",
        [RP_FAULT_CANCEL_WAVE] = "cancel-wave",
        [RP_FAULT_DOWN] = "down",
        [RP_FAULT_RACK_DOWN] = "rack-down",
        [RP_FAULT_DOMAIN_DOWN] = "domain-down",
        [RP_FAULT_LEAVING] = "leaving",
        [RP_FAULT_PLAN_RACE] = "plan-race",
        [RP_FAULT_PLAN_MISFIT] = "plan-misfit",
        [RP_FAULT_BURST_SMALL] = "burst-small",
        [RP_FAULT_BURST_LARGE] = "burst-large" };

static int
find_fault (const char *name, size_t length)
{
  for (int i = 0; i < RP_FAULT_COUNT; i++)
    if (strlen (fault_name[i]) == length
        && strncmp (fault_name[i], name, length) == 0)
      return i;
  return -1;
}

int
rp_parse_faults (const char *list, unsigned *faults, char *bad, size_t size)
{
  *faults = 0;
  if (strcmp (list, "all") == 0)
    *faults = (1U << RP_FAULT_COUNT) - 1;
  if (strcmp (list, "all") == 0 || strcmp (list, "none") == 0)
    return RP_OK;
  for (;;)
    {
      size_t length = strcspn (list, ",");
      int fault = find_fault (list, length);

      if (fault < 0)
        {
          g_strlcpy (bad, list, MIN (length + 1, size));
          return RP_EINPUT;
        }
      *faults |= 1U << fault;
      if (!list[length])
        return RP_OK;
      list += length + 1;
    }
}

static void
shape_worker (struct rp_gen *gen, struct tr_worker *w)
{
  static const int32_t accelerators[] = { 0, 2, 4, 8, 8, 8, 8 };
  static const int32_t slots[] = { 4, 8, 8, 8 };
  int64_t percent = gen->config.equipped_percent;

  w->accelerators = accelerators[rp_gen_uniform (gen, 7)];
  w->slots = MAX (slots[rp_gen_uniform (gen, 4)], w->accelerators);
  if (!percent)
    return;
  w->slots = FULL_SIZE;
  w->accelerators
      = (int64_t)w->id * percent / 100 < ((int64_t)w->id + 1) * percent / 100
            ? FULL_SIZE
            : 0;
}

/* Assigns whole racks to the failure domains in turn.  */
void
rp_gen_push_workers (struct rp_gen *gen)
{
  struct tr_tables *t = gen->tables;
  struct tr_event event = { TR_WORKER, 0 };
  int64_t rack_size = gen->config.load_percent ? RACK_SIZE : 1 + RACK_SIZE / 2;

  for (int i = 0; i < DOMAINS; i++)
    tr_name_next (&t->domain, "d");
  for (int64_t i = 0; i < gen->config.workers; i++)
    {
      struct rp_gen_worker w = { 0 };

      w.worker.id = tr_name_next (&t->worker, "w");
      if (i % rack_size == 0)
        tr_name_next (&t->rack, "r");
      w.worker.rack = t->rack.value->len - 1;
      w.worker.domain = w.worker.rack % DOMAINS;
      shape_worker (gen, &w.worker);
      gen->accelerators += w.worker.accelerators;
      gen->slots += w.worker.slots;
      g_array_append_val (gen->workers, w);
      event.u.worker = w.worker;
      rp_gen_push (gen, &event);
    }
}

static void
push_plan (struct rp_gen *gen, uint32_t account, int64_t version, int percent)
{
  struct tr_event event = { TR_PLAN, gen->next_ms };
  struct tr_plan *plan = &event.u.plan;
  int64_t share = gen->accelerators * percent / 100 / gen->config.accounts;

  plan->account = account;
  plan->version = version;
  plan->shape[0].size = FULL_SIZE;
  plan->shape[0].count
      = (int32_t)(share * (2 + rp_gen_uniform (gen, 3)) / 5 / FULL_SIZE);
  share -= (int64_t)plan->shape[0].count * FULL_SIZE;
  plan->shape[1].size = 1 << rp_gen_uniform (gen, 3);
  plan->shape[1].count = (int32_t)(share / plan->shape[1].size);
  plan->shapes = 2;
  gen->plan_version[account] = MAX (gen->plan_version[account], version);
  rp_gen_push (gen, &event);
}

void
rp_gen_push_plans (struct rp_gen *gen)
{
  for (int64_t i = 0; i < gen->config.accounts; i++)
    {
      uint32_t account = tr_name_next (&gen->tables->account, "a");

      push_plan (gen, account, 1, 100 - UNGUARANTEED_PERCENT);
    }
}

static void
push_state (struct rp_gen *gen, enum tr_kind kind, uint32_t id, int64_t at_ms)
{
  struct tr_event event = { kind, at_ms };

  event.u.worker_id = id;
  rp_gen_push (gen, &event);
}

static void
push_return (struct rp_gen *gen, uint32_t id, int64_t at_ms)
{
  struct tr_event event = { TR_WORKER, at_ms };

  event.u.worker
      = g_array_index (gen->workers, struct rp_gen_worker, id).worker;
  rp_gen_push (gen, &event);
}

static void
push_crash (struct rp_gen *gen, uint32_t id)
{
  push_state (gen, TR_DOWN, id, gen->next_ms);
  push_return (
      gen, id,
      gen->next_ms
          + rp_gen_duration_ms (gen, MEDIAN_RETURN_MS, 1, MAX_UNAVAILABLE_MS));
}

static void
push_group_crash (struct rp_gen *gen, const struct tr_worker *like,
                  int whole_domain)
{
  for (guint i = 0; i < gen->workers->len; i++)
    {
      const struct tr_worker *w
          = &g_array_index (gen->workers, struct rp_gen_worker, i).worker;

      if (whole_domain ? w->domain == like->domain : w->rack == like->rack)
        push_crash (gen, i);
    }
}

/* Lets a worker leave.  In 80 % of the cases it goes down before it joins
   again.  */
static void
push_leave (struct rp_gen *gen, uint32_t id)
{
  int64_t then_ms
      = gen->next_ms
        + rp_gen_duration_ms (gen, MEDIAN_LEAVE_MS, 1, MAX_UNAVAILABLE_MS);

  push_state (gen, TR_LEAVING, id, gen->next_ms);
  if (rp_gen_chance_per_mille (gen, 800))
    push_state (gen, TR_DOWN, id, then_ms);
  push_return (
      gen, id,
      then_ms
          + rp_gen_duration_ms (gen, MEDIAN_RETURN_MS, 1, MAX_UNAVAILABLE_MS));
}

static void
push_fails_all (struct rp_gen *gen, uint32_t id)
{
  push_state (gen, TR_FAILS_ALL, id, gen->next_ms);
  push_state (
      gen, TR_HEALS, id,
      gen->next_ms
          + rp_gen_duration_ms (gen, MEDIAN_HEAL_MS, 1, MAX_UNAVAILABLE_MS));
}

static void
push_cancel_wave (struct rp_gen *gen)
{
  struct tr_event event = { TR_CANCEL, gen->next_ms };

  for (int i = 0; i < CANCEL_WAVE_JOBS && i < gen->submitted_jobs; i++)
    {
      event.u.job = gen->recent_jobs[rp_gen_uniform (
          gen, (int)MIN (gen->submitted_jobs, RP_RECENT_JOBS))];
      rp_gen_push (gen, &event);
    }
}

static void
push_racing_plans (struct rp_gen *gen)
{
  uint32_t account = (uint32_t)rp_gen_uniform (gen, (int)gen->config.accounts);
  int64_t version = gen->plan_version[account] + rp_gen_uniform (gen, 3);

  for (int i = 0; i < 2; i++)
    push_plan (gen, account, version + rp_gen_uniform (gen, 2),
               20 + rp_gen_uniform (gen, 60));
}

static void
push_burst (struct rp_gen *gen, int large)
{
  struct tr_submit submit;

  for (int i = 0; i < (large ? LARGE_BURST_JOBS : BURST_JOBS); i++)
    {
      if (large)
        rp_gen_large_job (gen, &submit);
      else
        rp_gen_small_job (gen, &submit);
      rp_gen_push_job (gen, gen->next_ms, &submit);
    }
}

void
rp_gen_push_fault (struct rp_gen *gen)
{
  static const int rare_per_mille[RP_FAULT_COUNT]
      = { [RP_FAULT_RACK_DOWN] = 300, [RP_FAULT_DOMAIN_DOWN] = 60 };
  enum rp_fault fault = (enum rp_fault)rp_gen_uniform (gen, RP_FAULT_COUNT);
  uint32_t id = (uint32_t)rp_gen_uniform (gen, (int)gen->workers->len);
  const struct tr_worker *like
      = &g_array_index (gen->workers, struct rp_gen_worker, id).worker;
  uint32_t account;

  if (!rp_gen_is_enabled (gen, fault)
      || (rare_per_mille[fault]
          && !rp_gen_chance_per_mille (gen, rare_per_mille[fault])))
    return;
  switch (fault)
    {
    case RP_FAULT_WORKER_FAILS:
      push_fails_all (gen, id);
      break;
    case RP_FAULT_CANCEL_WAVE:
      push_cancel_wave (gen);
      break;
    case RP_FAULT_DOWN:
      push_crash (gen, id);
      break;
    case RP_FAULT_RACK_DOWN:
    case RP_FAULT_DOMAIN_DOWN:
      push_group_crash (gen, like, fault == RP_FAULT_DOMAIN_DOWN);
      break;
    case RP_FAULT_LEAVING:
      push_leave (gen, id);
      break;
    case RP_FAULT_PLAN_RACE:
      push_racing_plans (gen);
      break;
    case RP_FAULT_PLAN_MISFIT:
      account = (uint32_t)rp_gen_uniform (gen, (int)gen->config.accounts);
      push_plan (gen, account, gen->plan_version[account] + 1,
                 150 + rp_gen_uniform (gen, 1000));
      break;
    case RP_FAULT_BURST_SMALL:
    case RP_FAULT_BURST_LARGE:
      push_burst (gen, fault == RP_FAULT_BURST_LARGE);
      break;
    default:
      break;
    }
}
