#include <string.h>

#include "gen.h"

enum
{
  DOMAINS = 3,
  RACK_SIZE = 8,   /* workers */
  FULL_SIZE = 8,   /* accelerators and slots of a full worker */
  BACK_MS = 20000, /* median time until a worker comes back */
  HEAL_MS = 30000,
  LEAVE_MS = 8000, /* median time from leaving to down */
  MAX_AWAY_MS = 200000,
  BURST_JOBS = 30,
  LARGE_BURST_JOBS = 8,
  WAVE_JOBS = 24,
  FREE_PERCENT = 45 /* of the accelerators that no plan guarantees */
};

static const char *const fault_name[RP_FAULTS]
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
  for (int i = 0; i < RP_FAULTS; i++)
    if (strlen (fault_name[i]) == length
        && strncmp (fault_name[i], name, length) == 0)
      return i;
  return -1;
}

int
rp_faults (const char *list, unsigned *faults, char *bad, size_t size)
{
  *faults = 0;
  if (strcmp (list, "all") == 0)
    *faults = (1U << RP_FAULTS) - 1;
  if (strcmp (list, "all") == 0 || strcmp (list, "none") == 0)
    return RP_OK;
  for (;;)
    {
      size_t length = strcspn (list, ",");
      int fault = find_fault (list, length);

      if (fault < 0)
        {
          g_strlcpy (bad, list, MIN (length + 1, size));
          return RP_EBAD;
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

  w->accelerators = accelerators[rp_gen_below (gen, 7)];
  w->slots = MAX (slots[rp_gen_below (gen, 4)], w->accelerators);
  if (!percent)
    return;
  w->slots = FULL_SIZE;
  w->accelerators
      = (int64_t)w->id * percent / 100 < ((int64_t)w->id + 1) * percent / 100
            ? FULL_SIZE
            : 0;
}

/* Whole racks of each failure domain in turn.  */
void
rp_gen_fleet (struct rp_gen *gen)
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
      g_array_append_val (gen->worker, w);
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
      = (int32_t)(share * (2 + rp_gen_below (gen, 3)) / 5 / FULL_SIZE);
  share -= (int64_t)plan->shape[0].count * FULL_SIZE;
  plan->shape[1].size = 1 << rp_gen_below (gen, 3);
  plan->shape[1].count = (int32_t)(share / plan->shape[1].size);
  plan->shapes = 2;
  gen->version[account] = MAX (gen->version[account], version);
  rp_gen_push (gen, &event);
}

void
rp_gen_plans (struct rp_gen *gen)
{
  for (int64_t i = 0; i < gen->config.accounts; i++)
    {
      uint32_t account = tr_name_next (&gen->tables->account, "a");

      push_plan (gen, account, 1, 100 - FREE_PERCENT);
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
      = g_array_index (gen->worker, struct rp_gen_worker, id).worker;
  rp_gen_push (gen, &event);
}

static void
lose (struct rp_gen *gen, uint32_t id)
{
  push_state (gen, TR_DOWN, id, gen->next_ms);
  push_return (gen, id,
               gen->next_ms + rp_gen_time (gen, BACK_MS, 1, MAX_AWAY_MS));
}

static void
lose_group (struct rp_gen *gen, const struct tr_worker *like, int whole_domain)
{
  for (guint i = 0; i < gen->worker->len; i++)
    {
      const struct tr_worker *w
          = &g_array_index (gen->worker, struct rp_gen_worker, i).worker;

      if (whole_domain ? w->domain == like->domain : w->rack == like->rack)
        lose (gen, i);
    }
}

/* Leaves and goes down, or thinks better of it.  */
static void
leave (struct rp_gen *gen, uint32_t id)
{
  int64_t then_ms = gen->next_ms + rp_gen_time (gen, LEAVE_MS, 1, MAX_AWAY_MS);

  push_state (gen, TR_LEAVING, id, gen->next_ms);
  if (rp_gen_chance (gen, 800))
    push_state (gen, TR_DOWN, id, then_ms);
  push_return (gen, id, then_ms + rp_gen_time (gen, BACK_MS, 1, MAX_AWAY_MS));
}

static void
fail_all (struct rp_gen *gen, uint32_t id)
{
  push_state (gen, TR_FAILS_ALL, id, gen->next_ms);
  push_state (gen, TR_HEALS, id,
              gen->next_ms + rp_gen_time (gen, HEAL_MS, 1, MAX_AWAY_MS));
}

static void
cancel_wave (struct rp_gen *gen)
{
  struct tr_event event = { TR_CANCEL, gen->next_ms };

  for (int i = 0; i < WAVE_JOBS && i < gen->submitted; i++)
    {
      event.u.job = gen->recent[rp_gen_below (
          gen, (int)MIN (gen->submitted, RP_RECENT_JOBS))];
      rp_gen_push (gen, &event);
    }
}

static void
race_plans (struct rp_gen *gen)
{
  uint32_t account = (uint32_t)rp_gen_below (gen, (int)gen->config.accounts);
  int64_t version = gen->version[account] + rp_gen_below (gen, 3);

  for (int i = 0; i < 2; i++)
    push_plan (gen, account, version + rp_gen_below (gen, 2),
               20 + rp_gen_below (gen, 60));
}

static void
burst (struct rp_gen *gen, int large)
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
rp_gen_fault (struct rp_gen *gen)
{
  static const int rare[RP_FAULTS]
      = { [RP_FAULT_RACK_DOWN] = 300, [RP_FAULT_DOMAIN_DOWN] = 60 };
  enum rp_fault fault = (enum rp_fault)rp_gen_below (gen, RP_FAULTS);
  uint32_t id = (uint32_t)rp_gen_below (gen, (int)gen->worker->len);
  const struct tr_worker *like
      = &g_array_index (gen->worker, struct rp_gen_worker, id).worker;
  uint32_t account;

  if (!rp_gen_has (gen, fault)
      || (rare[fault] && !rp_gen_chance (gen, rare[fault])))
    return;
  switch (fault)
    {
    case RP_FAULT_WORKER_FAILS:
      fail_all (gen, id);
      break;
    case RP_FAULT_CANCEL_WAVE:
      cancel_wave (gen);
      break;
    case RP_FAULT_DOWN:
      lose (gen, id);
      break;
    case RP_FAULT_RACK_DOWN:
    case RP_FAULT_DOMAIN_DOWN:
      lose_group (gen, like, fault == RP_FAULT_DOMAIN_DOWN);
      break;
    case RP_FAULT_LEAVING:
      leave (gen, id);
      break;
    case RP_FAULT_PLAN_RACE:
      race_plans (gen);
      break;
    case RP_FAULT_PLAN_MISFIT:
      account = (uint32_t)rp_gen_below (gen, (int)gen->config.accounts);
      push_plan (gen, account, gen->version[account] + 1,
                 150 + rp_gen_below (gen, 1000));
      break;
    case RP_FAULT_BURST_SMALL:
    case RP_FAULT_BURST_LARGE:
      burst (gen, fault == RP_FAULT_BURST_LARGE);
      break;
    default:
      break;
    }
}
