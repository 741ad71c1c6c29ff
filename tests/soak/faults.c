/* Faults of chance, in series and overlapping.  Each holds for a time and is
   then undone.  */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "tests/soak/soak.h"

enum
{
  TICK_MS = 10,
  GAP_MS = 900,        /* at most, between two faults */
  LONG_MS = 6000,      /* the longest fault */
  SHORT_MS = 200,      /* the shortest */
  MAX_HOLDING = 64,    /* faults at once */
  DELAY_MS = 300,      /* at most, of a slow link */
  LATE_MS = 2000,      /* orders are carried out so late */
  START_MS = 300,      /* a VM is started so long after it ended */
  MEMBERSHIP_MS = 4000 /* the store tells of a worker that came or went */
};

enum fault
{
  KILL_VM,
  KILL_ALL,
  STOP_VM,
  FREEZE_VM,
  RELOAD_VM,
  CUT_STORE,
  CUT_WORKERS,
  CUT_CALLERS,
  SLOW_LINKS,
  RESET_LINKS,
  STORE_FAULT,
  STORE_FAULT_ONE,
  FORGET_HISTORY,
  CRASH_WORKER,
  REBORN_WORKER,
  LATE_WORKER,
  FAILING_WORKER,
  LOST_WORKER,
  LEAVING_WORKER,
  CHANGE_CONFIG,
  FAULTS
};

static const char *const names[FAULTS]
    = { "kill VM",      "kill all VMs", "stop VM",       "freeze VM",
        "reload VM",    "cut store",    "cut workers",   "cut callers",
        "slow links",   "reset links",  "store fault",   "store fault, one",
        "history gone", "worker crash", "worker reborn", "worker late",
        "worker fails", "worker cut",   "worker leaves", "configuration" };

/* A fault that holds.  */
struct held
{
  enum fault kind;
  int vm, worker;
  int64_t until_ms;
};

struct plan
{
  struct soak *soak;
  GRand *rand;
  struct held held[MAX_HOLDING];
  int count;
};

static int
draw (struct plan *p, int64_t limit)
{
  return g_rand_int_range (p->rand, 0, (gint32)limit);
}

/* Direction 0, 1 or both are silent.  */
static void
cut (struct px_link *link, int which, int yes)
{
  if (which != 1)
    atomic_store (&link->silent[0], yes);
  if (which != 0)
    atomic_store (&link->silent[1], yes);
}

static void
cut_workers (struct soak *s, int vm, int which, int yes)
{
  for (int w = 0; w < s->workers; w++)
    cut (px_of_worker (&s->proxy, vm, w), which, yes);
}

static void
cut_worker (struct soak *s, int worker, int which, int yes)
{
  for (int vm = 0; vm < s->vms; vm++)
    cut (px_of_worker (&s->proxy, vm, worker), which, yes);
}

static void
slow_links (struct soak *s, int vm, int delay_ms)
{
  atomic_store (&px_of_callers (&s->proxy, vm)->delay_ms, delay_ms);
  atomic_store (&px_of_store (&s->proxy, vm)->delay_ms, delay_ms);
  for (int w = 0; w < s->workers; w++)
    atomic_store (&px_of_worker (&s->proxy, vm, w)->delay_ms, delay_ms);
}

static void
reset_links (struct soak *s, int vm)
{
  atomic_fetch_add (&px_of_callers (&s->proxy, vm)->resets, 1);
  atomic_fetch_add (&px_of_store (&s->proxy, vm)->resets, 1);
  for (int w = 0; w < s->workers; w++)
    atomic_fetch_add (&px_of_worker (&s->proxy, vm, w)->resets, 1);
}

/* The connections of a worker end with it.  */
static void
kill_worker (struct soak *s, int worker)
{
  sf_worker_kill (&s->farm, worker);
  for (int vm = 0; vm < s->vms; vm++)
    atomic_fetch_add (&px_of_worker (&s->proxy, vm, worker)->resets, 1);
}

static void
set_store (struct soak *s, enum sf_store_fault fault)
{
  for (int vm = 0; vm < s->vms; vm++)
    sf_set_store (&s->farm, vm, fault);
  sf_set_store (&s->farm, SF_REPORTS, fault);
}

static enum sf_store_fault
some_store_fault (struct plan *p)
{
  return (enum sf_store_fault) (SF_STORE_DOWN + draw (p, SF_STORE_BUSY));
}

static void
begin_vm (struct plan *p, struct held *h)
{
  struct soak *s = p->soak;

  switch (h->kind)
    {
    case KILL_VM:
      so_vm_signal (s, h->vm, SIGKILL);
      break;
    case KILL_ALL:
      for (int vm = 0; vm < s->vms; vm++)
        {
          so_vm_signal (s, vm, SIGKILL);
          so_vm_trouble (s, vm, h->until_ms + START_MS);
        }
      break;
    case STOP_VM:
      so_vm_signal (s, h->vm, SIGTERM);
      return; /* planned */
    case FREEZE_VM:
      so_vm_signal (s, h->vm, SIGSTOP);
      break;
    case RELOAD_VM:
      so_vm_signal (s, h->vm, SIGHUP);
      return; /* planned */
    case CUT_STORE:
      cut (px_of_store (&s->proxy, h->vm), h->worker % 3, 1);
      break;
    case CUT_WORKERS:
      cut_workers (s, h->vm, h->worker % 3, 1);
      break;
    case CUT_CALLERS:
      cut (px_of_callers (&s->proxy, h->vm), h->worker % 3, 1);
      break;
    case SLOW_LINKS:
      slow_links (s, h->vm, 1 + draw (p, DELAY_MS));
      break;
    case RESET_LINKS:
      reset_links (s, h->vm);
      break;
    default:
      break;
    }
  so_vm_trouble (s, h->vm, h->until_ms + START_MS);
}

static void
begin_store (struct plan *p, struct held *h)
{
  struct soak *s = p->soak;

  so_store_trouble (s, h->until_ms);
  if (h->kind == STORE_FAULT)
    set_store (s, some_store_fault (p));
  else if (h->kind == STORE_FAULT_ONE)
    sf_set_store (&s->farm, h->vm, some_store_fault (p));
  else
    sf_forget_history (&s->farm);
}

static void
begin_worker (struct plan *p, struct held *h)
{
  struct soak *s = p->soak;

  switch (h->kind)
    {
    case CRASH_WORKER:
    case REBORN_WORKER:
      kill_worker (s, h->worker);
      break;
    case LATE_WORKER:
      sf_worker_fault (&s->farm, h->worker, 0, LATE_MS);
      break;
    case FAILING_WORKER:
      sf_worker_fault (&s->farm, h->worker, 1, 0);
      break;
    case LOST_WORKER:
      cut_worker (s, h->worker, h->vm % 3, 1);
      break;
    case LEAVING_WORKER:
      sf_worker_drain (&s->farm, h->worker, 1);
      h->until_ms = sf_now () + MEMBERSHIP_MS;
      break;
    default:
      so_configure (s);
      break;
    }
}

static void
begin (struct plan *p, struct held *h)
{
  printf ("%6lld ms  %s, VM %d, worker %d, for %lld ms\n",
          (long long)(sf_now () - p->soak->book.begun_ms), names[h->kind],
          h->vm, h->worker, (long long)(h->until_ms - sf_now ()));
  fflush (stdout);
  atomic_fetch_add (&p->soak->faults, 1);
  if (h->kind <= RESET_LINKS)
    begin_vm (p, h);
  else if (h->kind <= FORGET_HISTORY)
    begin_store (p, h);
  else
    begin_worker (p, h);
}

static void
undo (struct plan *p, const struct held *h)
{
  struct soak *s = p->soak;

  switch (h->kind)
    {
    case FREEZE_VM:
      so_vm_signal (s, h->vm, SIGCONT);
      break;
    case CUT_STORE:
      cut (px_of_store (&s->proxy, h->vm), 2, 0);
      break;
    case CUT_WORKERS:
      cut_workers (s, h->vm, 2, 0);
      break;
    case CUT_CALLERS:
      cut (px_of_callers (&s->proxy, h->vm), 2, 0);
      break;
    case SLOW_LINKS:
      slow_links (s, h->vm, 0);
      break;
    case STORE_FAULT:
      set_store (s, SF_STORE_FINE);
      break;
    case STORE_FAULT_ONE:
      sf_set_store (&s->farm, h->vm, SF_STORE_FINE);
      break;
    case CRASH_WORKER:
    case LEAVING_WORKER:
      kill_worker (s, h->worker);
      sf_worker_start (&s->farm, h->worker, 1);
      break;
    case REBORN_WORKER:
      kill_worker (s, h->worker);
      sf_worker_start (&s->farm, h->worker, 0);
      break;
    case LATE_WORKER:
    case FAILING_WORKER:
      sf_worker_fault (&s->farm, h->worker, 0, 0);
      break;
    case LOST_WORKER:
      cut_worker (s, h->worker, 2, 0);
      break;
    default:
      break;
    }
}

static void
undo_due (struct plan *p, int64_t now)
{
  for (int i = p->count - 1; i >= 0; i--)
    {
      struct held h = p->held[i];

      if (h.until_ms > now)
        continue;
      p->held[i] = p->held[--p->count];
      undo (p, &h);
    }
}

/* VMs that ended come back once their fault is over.  */
static void
restart_vms (struct plan *p)
{
  struct soak *s = p->soak;

  for (int n = 0; n < s->vms; n++)
    {
      int down, held = 0;

      for (int i = 0; i < p->count; i++)
        held |= p->held[i].kind == KILL_ALL
                || (p->held[i].kind == KILL_VM && p->held[i].vm == n);
      so_lock (s);
      down = !s->vm[n].up;
      so_unlock (s);
      if (down && !held)
        so_vm_start (s, n);
    }
}

static void
inject (struct plan *p, int64_t now)
{
  struct held h = { (enum fault)draw (p, FAULTS), draw (p, p->soak->vms),
                    draw (p, p->soak->workers),
                    now + SHORT_MS + draw (p, LONG_MS - SHORT_MS) };

  if (p->count == MAX_HOLDING || (h.kind == KILL_ALL && draw (p, 3) > 0))
    return;
  if (h.kind == RELOAD_VM || h.kind == RESET_LINKS || h.kind == CHANGE_CONFIG
      || h.kind == FORGET_HISTORY || h.kind == STOP_VM)
    h.until_ms = now;
  begin (p, &h);
  p->held[p->count++] = h;
}

void
so_plan_run (struct soak *s)
{
  struct plan p
      = { .soak = s, .rand = g_rand_new_with_seed ((guint32)s->seed) };
  int64_t end = sf_now () + s->seconds * 1000, next = sf_now ();

  while (sf_now () < end)
    {
      int64_t now = sf_now ();

      if (now >= next)
        {
          inject (&p, now);
          next = now + draw (&p, GAP_MS);
        }
      undo_due (&p, now);
      so_vm_watch (s);
      restart_vms (&p);
      usleep (TICK_MS * 1000);
    }
  undo_due (&p, INT64_MAX);
  so_vm_watch (s);
  restart_vms (&p);
  g_rand_free (p.rand);
}
