/* The simulated cluster.  */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "steps/fake_cluster.h"

enum
{
  COMMIT_MS = 10,      /* default duration of a commit */
  BEAT_MS = 1500,      /* until a change of a worker is reported */
  UNLIST_MS = 4500,    /* until the entry of a silent worker is removed */
  CONTACT_MS = 3000,   /* with a beat, until a change must be known */
  CRASHES_ALLOWED = 3, /* workers that may crash under a task */
  STARTS_ALLOWED = 2,  /* further starts after these */
  CORE_MILLI_PER_GPU = 16000, /* of a worker */
  MEMORY_PER_GPU_MB = 32768,
  POLL_MS = 500,            /* between two listings of a worker */
  STOP_TIME_MS = 200,       /* time that a run takes to stop */
  START_DEADLINE_MS = 2500, /* a start that arrives later is refused */
  START_LEASE_MS = 2500,    /* least lease that a start grants */
  CANCEL_GRACE_MS = 3000,   /* no start may follow a cancellation later */
  GANG_TIMEOUT_MS = 3000,   /* wait for the gang's other tasks */
  EVACUATION_MS = 5000, /* after a domain was closed, nothing starts there */
  RACKS_PER_DOMAIN = 2,
  LEASE_MS = 6000, /* of a worker, renewed by each poll while busy */
  FIRST_CHECKPOINT_MS = 1000, /* work done before the first checkpoint */
  LONG_FACTOR = 7,
  MAX_LISTED = 400,
  MAX_DIRTY = 64
};

/* Marks of a pending order, in place of the incarnation in its sj_order.  */
enum
{
  ANSWER_ARRIVES = 0,
  ANSWER_LOST = -1,
  ANSWER_REPORTED_LOST = -2 /* the scheduler was told SJ_UNANSWERED */
};

static void
format_task_name (char out[80], const struct sj_run *r)
{
  snprintf (out, 80, "%s.%d.%d.%d", r->job, r->occurrence, r->step, r->index);
}

/* Counts a violated rule and keeps the first for the test's output.  */
static void
report_violation (struct fa_cluster *f, const char *what,
                  const struct sj_run *r)
{
  char name[80] = "";

  if (r)
    format_task_name (name, r);
  if (!f->violations++)
    snprintf (f->first_violation, sizeof f->first_violation, "%s: %s at %lld",
              what, name, (long long)f->now);
}

static struct fa_worker *
find_worker (struct fa_cluster *f, const char *id)
{
  for (int i = 0; i < f->worker_count; i++)
    if (!strcmp (f->worker[i].id, id))
      return &f->worker[i];
  return NULL;
}

static struct fa_run *
find_run (struct fa_worker *w, const struct sj_run *r)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      struct fa_run *x = &g_array_index (w->runs, struct fa_run, i);

      if (x->run.number == r->number && x->run.index == r->index
          && x->run.step == r->step && x->run.occurrence == r->occurrence
          && !strcmp (x->run.job, r->job))
        return x;
    }
  return NULL;
}

/* Adds one to the number of R's task in TABLE and returns it.  */
static int
count_task (GHashTable *table, const struct sj_run *r)
{
  char name[80];
  int n;

  format_task_name (name, r);
  n = GPOINTER_TO_INT (g_hash_table_lookup (table, name)) + 1;
  g_hash_table_replace (table, g_strdup (name), GINT_TO_POINTER (n));
  return n;
}

static int
is_deadly (const struct fa_cluster *f, const struct sj_run *r)
{
  gpointer index;

  return g_hash_table_lookup_extended (f->deadly, r->job, NULL, &index)
         && (!index || GPOINTER_TO_INT (index) == r->index + 1);
}

/* Reports a start of a task that was started often enough after three workers
   had crashed under it.  */
static void
check_crash_budget (struct fa_cluster *f, const struct sj_run *r)
{
  char name[80];

  format_task_name (name, r);
  if (is_deadly (f, r)
      && GPOINTER_TO_INT (g_hash_table_lookup (f->crashes, name))
             >= CRASHES_ALLOWED
      && count_task (f->late_starts, r) > STARTS_ALLOWED)
    report_violation (f, "started again after it crashed three workers", r);
}

static void close_run (struct fa_worker *w, const struct sj_run *r);

static double
core_s (const struct fa_run *x, int64_t ms)
{
  return (double)ms * (double)(x->need.cpu_milli + x->need.accelerators * 8000)
         / 1e6;
}

/* Counts the work of X, which ends, and saves what its checkpoints hold.  */
static void
count_work (struct fa_cluster *f, const struct fa_run *x, enum sj_end how)
{
  int64_t interval = f->checkpoint_interval_ms, saved = 0;
  int is_stopped
      = how == SJ_END_STOPPED || (how == SJ_END_GANG_BROKEN && x->stop_at_ms);
  char name[80];

  f->stopped_runs += is_stopped;

  if (how == SJ_END_DONE)
    {
      f->done_core_s += core_s (x, x->done_ms - x->saved_ms);
      return;
    }
  if (x->saves && interval)
    saved = x->done_ms / interval * interval;
  if (is_stopped)
    f->lost_core_s += core_s (x, x->done_ms - (saved ? saved : x->saved_ms));
  format_task_name (name, &x->run);
  if (saved)
    g_hash_table_replace (f->saved_ms, g_strdup (name),
                          GSIZE_TO_POINTER ((gsize)saved));
}

/* Ends run I of W and lists its end with the next poll.  */
static void
end_run (struct fa_cluster *f, struct fa_worker *w, guint i, enum sj_end how)
{
  struct fa_run *x = &g_array_index (w->runs, struct fa_run, i);
  struct sj_listed_run end = { .run = x->run, .end = how };

  count_work (f, x, how);
  close_run (w, &x->run);
  end.checkpoint = x->saves ? "saved" : "";
  if (how == SJ_END_DONE)
    {
      char name[80];

      format_task_name (name, &x->run);
      g_hash_table_add (f->completed, g_strdup (name));
      f->done_runs++;
    }
  if (how == SJ_END_STOPPED || how == SJ_END_LEASE_EXPIRED)
    {
      f->stopped++;
      if (!x->saves)
        f->wasted_core_s
            += (double)(f->now - x->started_ms)
               * (double)(x->need.cpu_milli + x->need.accelerators * 8000)
               / 1e6;
    }
  if (how == SJ_END_GANG_TIMEOUT)
    f->gang_timeouts++;
  g_array_append_val (w->unacked_ends, end);
  w->ends_total++;
  w->polled_ms = 0;
  g_array_remove_index (w->runs, i);
}

static const struct sj_job *
find_job (struct fa_cluster *f, const char *id)
{
  return g_hash_table_lookup (f->jobs, id);
}

static int
fits (const struct sj_resources *sum, const struct sj_resources *capacity)
{
  return sum->cpu_milli <= capacity->cpu_milli
         && sum->memory_mb <= capacity->memory_mb
         && sum->accelerators <= capacity->accelerators;
}

/* Reports W's runs that together exceed its capacity.  A smaller capacity
   counts once it must be known.  */
static void
check_capacity (struct fa_cluster *f, struct fa_worker *w,
                const struct sj_run *r)
{
  struct sj_resources sum = { 0, 0, 0 };
  int is_new = w->shrunk_ms && f->now <= w->shrunk_ms + CONTACT_MS + BEAT_MS;

  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct fa_run *x = &g_array_index (w->runs, struct fa_run, i);

      sum.cpu_milli += x->need.cpu_milli;
      sum.memory_mb += x->need.memory_mb;
      sum.accelerators += x->need.accelerators;
    }
  if (!fits (&sum, &w->capacity)
      && !(is_new && fits (&sum, &w->larger_capacity)))
    report_violation (f, "worker over capacity", r);
}

static int
is_acked_done (struct fa_cluster *f, const struct sj_run *r)
{
  char name[80];

  format_task_name (name, r);
  return g_hash_table_contains (f->acked_done, name);
}

/* Whether a run of the task ended as done, acknowledged or not.  */
static int
has_completed (struct fa_cluster *f, const struct sj_run *r)
{
  char name[80];

  format_task_name (name, r);
  return g_hash_table_contains (f->completed, name);
}

/* Reports a start of R that the rules forbid: of a task that runs or is done,
   before a step that it depends on, or after a cancellation.  */
static void
check_start (struct fa_cluster *f, const struct sj_run *r)
{
  const struct sj_job *job = find_job (f, r->job);
  const struct sj_step *s = &job->step[r->step];
  int64_t cancelled
      = (int64_t)GPOINTER_TO_SIZE (g_hash_table_lookup (f->cancelled, r->job));

  for (int i = 0; i < f->worker_count; i++)
    for (guint k = 0; k < f->worker[i].runs->len; k++)
      {
        const struct fa_run *x
            = &g_array_index (f->worker[i].runs, struct fa_run, k);

        if (f->worker[i].is_up && x->run.index == r->index
            && x->run.step == r->step && x->run.occurrence == r->occurrence
            && !strcmp (x->run.job, r->job))
          report_violation (f, "two runs of one task", r);
      }
  if (is_acked_done (f, r))
    report_violation (f, "task started after it was done", r);
  for (int k = 0; k < r->step; k++)
    for (int n = 0; s->depends_on >> k & 1 && n < job->step[k].count; n++)
      {
        struct sj_run before
            = { .occurrence = r->occurrence, .step = k, .index = n };

        memcpy (before.job, r->job, sizeof before.job);
        if (!has_completed (f, &before))
          report_violation (f, "task started before a step it depends on", r);
      }
  if (cancelled && f->now > cancelled + CANCEL_GRACE_MS)
    report_violation (f, "task started after its job was cancelled", r);
}

static void
check_domain (struct fa_cluster *f, const struct fa_worker *w,
              const struct sj_run *r)
{
  const struct dm_domain *closed = dm_find (&f->domains, w->domain);

  if (closed && f->now >= closed->closed_ms + EVACUATION_MS)
    report_violation (f, "task started in a closed domain", r);
}

/* Runs of R's task up to this number were stopped or have ended on W.  */
static int64_t
highest_closed_run (struct fa_worker *w, const struct sj_run *r)
{
  char name[80];

  format_task_name (name, r);
  return (int64_t)GPOINTER_TO_SIZE (
      g_hash_table_lookup (w->closed_runs, name));
}

static void
close_run (struct fa_worker *w, const struct sj_run *r)
{
  char name[80];

  format_task_name (name, r);
  if (r->number > highest_closed_run (w, r))
    g_hash_table_replace (w->closed_runs, g_strdup (name),
                          GSIZE_TO_POINTER ((gsize)r->number));
}

/* Sets the work of run X, which is declared to take DECLARED_MS.  */
static void
draw_work (struct fa_cluster *f, struct fa_run *x, int64_t declared_ms)
{
  const struct fa_run_times *t = &f->run_times;
  double factor = 1, deviate = -6;

  if (t->declared_error > 1)
    factor
        *= pow (t->declared_error, g_str_hash (x->run.job) % 201 / 100.0 - 1);
  if (t->noise > 0)
    {
      for (int i = 0; i < 12; i++)
        deviate += g_rand_double (f->rand);
      factor *= exp (t->noise * deviate);
    }
  x->is_long = t->long_share > 0 && g_rand_double (f->rand) < t->long_share;
  if (x->is_long)
    factor *= LONG_FACTOR;
  x->work_ms = (int64_t)((double)declared_ms * factor);
}

/* Sets the work of X's task: that of its step, scattered, less what an earlier
   run saved.  */
static void
set_work (struct fa_cluster *f, struct fa_run *x)
{
  char name[80];

  format_task_name (name, &x->run);
  if (f->run_scatter > 0)
    x->work_ms
        = (int64_t)((double)x->work_ms
                    * (g_rand_double (f->rand) < 0.03
                           ? 7
                           : 1
                                 + f->run_scatter
                                       * (2 * g_rand_double (f->rand) - 1)));
  x->saved_ms
      = (int64_t)GPOINTER_TO_SIZE (g_hash_table_lookup (f->saved_ms, name));
  if (x->saved_ms)
    x->done_ms = MIN (x->saved_ms, x->work_ms - 1);
}

/* Notes the first start of each task of a job's first step.  Its run may have
   a higher number than 1, if a plan was withdrawn before.  */
static void
count_first_start (struct fa_cluster *f, const struct sj_run *r)
{
  int left = GPOINTER_TO_INT (g_hash_table_lookup (f->unstarted, r->job)) - 1;
  char name[80];

  format_task_name (name, r);
  if (r->step || r->occurrence || left < 0
      || !g_hash_table_add (f->begun_tasks, g_strdup (name)))
    return;
  g_hash_table_replace (f->unstarted, g_strdup (r->job),
                        GINT_TO_POINTER (left));
  if (!left)
    g_hash_table_insert (f->all_started_ms, g_strdup (r->job),
                         GSIZE_TO_POINTER ((gsize)f->now + 1));
}

/* Executes order O on W and returns its outcome.  Orders with an older fencing
   token than the highest seen are refused.  */
static enum sj_answer
execute_order (struct fa_cluster *f, struct fa_worker *w,
               const struct sj_order *o, int64_t token, int64_t sent_ms)
{
  const struct sj_job *job = find_job (f, o->run.job);
  const struct sj_step *s = &job->step[o->run.step];
  struct fa_run x = { .run = o->run,
                      .gang = s->gang,
                      .saves = s->checkpoints,
                      .started_ms = f->now,
                      .work_ms = s->estimate_ms,
                      .need = s->need };
  struct fa_run *old;

  if (token < w->highest_token)
    return SJ_REFUSED;
  w->highest_token = token;
  old = find_run (w, &o->run);
  if (o->kind == SJ_STOP)
    {
      if (old && !old->stop_at_ms)
        old->stop_at_ms = f->now + f->stop_ms;
      close_run (w, &o->run);
      return SJ_EXECUTED;
    }
  if (old)
    return SJ_EXECUTED;
  if (o->run.number <= highest_closed_run (w, &o->run)
      || f->now > sent_ms + START_DEADLINE_MS)
    return SJ_REFUSED;
  if (w->refuses)
    {
      f->refusals++;
      return SJ_REFUSED;
    }
  check_start (f, &o->run);
  check_domain (f, w, &o->run);
  check_crash_budget (f, &o->run);
  draw_work (f, &x, s->estimate_ms);
  x.deadly = is_deadly (f, &o->run);
  x.fails = w->fails_all || g_rand_double (f->rand) < f->faults.task_fails;
  set_work (f, &x);
  count_first_start (f, &o->run);
  g_array_append_val (w->runs, x);
  f->starts++;
  if (!g_hash_table_contains (f->started_ms, o->run.job))
    g_hash_table_insert (f->started_ms, g_strdup (o->run.job),
                         GSIZE_TO_POINTER ((gsize)f->now + 1));
  check_capacity (f, w, &o->run);
  if (w->lease_end_ms < f->now + START_LEASE_MS)
    w->lease_end_ms = f->now + START_LEASE_MS;
  sj_worker_set_lease (f->scheduler, w->id, f->now + LEASE_MS);
  return SJ_EXECUTED;
}

/* Whether R, or another run of its gang, is a long one.  */
static int
is_long (const struct fa_cluster *f, const struct sj_run *r)
{
  for (int i = 0; i < f->worker_count; i++)
    for (guint k = 0; k < f->worker[i].runs->len; k++)
      {
        const struct fa_run *x
            = &g_array_index (f->worker[i].runs, struct fa_run, k);

        if (x->is_long && x->run.number == r->number && x->run.step == r->step
            && !strcmp (x->run.job, r->job)
            && (x->gang || x->run.index == r->index))
          return 1;
      }
  return 0;
}

/* Sends an order, with the injected faults.  */
static void
do_order (void *arg, const struct sj_order *o)
{
  struct fa_cluster *f = arg;
  struct fa_worker *w = find_worker (f, o->worker);
  struct fa_pending_order pending
      = { .deliver_at_ms = f->now + 1, .order = *o };
  double draw = g_rand_double (f->rand);

  pending.worker = g_strdup (o->worker);
  pending.payload = NULL;
  pending.token = f->token;
  pending.sent_ms = f->now;
  pending.incarnation = w ? w->incarnation : 0;
  if (w && draw < f->faults.delayed)
    pending.deliver_at_ms = f->now + g_rand_int_range (f->rand, 500, 5000);
  pending.order.incarnation
      = w && draw < f->faults.delayed + f->faults.answer_lost ? ANSWER_LOST
                                                              : ANSWER_ARRIVES;
  g_array_append_val (f->pending_orders, pending);
  if (o->kind == SJ_STOP && o->cause == SJ_SLOW)
    f->needless_moves += !is_long (f, &o->run);
  if (o->kind == SJ_START)
    sj_start_sent (f->scheduler, o->worker, &o->run);
}

/* Reports the outcome of an order, unless another holder has taken over.  */
static void
report_answer (struct fa_cluster *f, const struct fa_pending_order *l,
               enum sj_answer a)
{
  if (l->token != f->token)
    return;
  if (l->order.kind == SJ_START)
    sj_start_answered (f->scheduler, l->worker, &l->order.run, a, f->now);
  else
    sj_stop_answered (f->scheduler, l->worker, &l->order.run, a, f->now);
}

/* Delivers an order to its worker.  Delayed orders were reported as unknown
   when sent.  */
static void
deliver (struct fa_cluster *f, struct fa_pending_order *l)
{
  struct fa_worker *w = find_worker (f, l->worker);
  enum sj_answer a = SJ_UNANSWERED;

  if (!w || !w->is_up)
    a = SJ_REFUSED;
  else if (!w->partitioned)
    a = l->incarnation == w->incarnation
            ? execute_order (f, w, &l->order, l->token, l->sent_ms)
            : SJ_REFUSED;
  if (l->order.incarnation < 0)
    a = SJ_UNANSWERED;
  report_answer (f, l, a);
}

/* Delivers the orders that are due, and reports delayed ones as unknown.  */
static void
deliver_orders (struct fa_cluster *f)
{
  for (guint i = 0; i < f->pending_orders->len;)
    {
      struct fa_pending_order l
          = g_array_index (f->pending_orders, struct fa_pending_order, i);

      if (l.deliver_at_ms > f->now)
        {
          if (l.order.incarnation == ANSWER_LOST)
            {
              g_array_index (f->pending_orders, struct fa_pending_order, i)
                  .order.incarnation
                  = ANSWER_REPORTED_LOST;
              report_answer (f, &l, SJ_UNANSWERED);
            }
          i++;
          continue;
        }
      g_array_remove_index (f->pending_orders, i);
      deliver (f, &l);
      g_free (l.worker);
    }
}

/* Whether all tasks of R's gang are running.  */
static int
gang_is_whole (struct fa_cluster *f, const struct sj_run *r)
{
  int n = 0;

  for (int i = 0; i < f->worker_count; i++)
    for (guint k = 0; k < f->worker[i].runs->len; k++)
      {
        const struct fa_run *x
            = &g_array_index (f->worker[i].runs, struct fa_run, k);

        n += x->run.number == r->number && x->run.step == r->step
             && x->run.occurrence == r->occurrence
             && !strcmp (x->run.job, r->job);
      }
  return n == find_job (f, r->job)->step[r->step].count;
}

/* Whether a task of R's gang has work left.  */
static int
gang_has_work (struct fa_cluster *f, const struct sj_run *r)
{
  for (int i = 0; i < f->worker_count; i++)
    for (guint k = 0; k < f->worker[i].runs->len; k++)
      {
        const struct fa_run *x
            = &g_array_index (f->worker[i].runs, struct fa_run, k);

        if (x->run.number == r->number && x->run.step == r->step
            && x->run.occurrence == r->occurrence
            && !strcmp (x->run.job, r->job) && x->done_ms < x->work_ms)
          return 1;
      }
  return 0;
}

/* Ends the remaining runs of R's gang.  */
static void
end_gang (struct fa_cluster *f, const struct sj_run *r, enum sj_end how)
{
  for (int i = 0; i < f->worker_count; i++)
    for (guint k = f->worker[i].runs->len; k-- > 0;)
      {
        const struct fa_run *x
            = &g_array_index (f->worker[i].runs, struct fa_run, k);

        if (x->run.number == r->number && x->run.step == r->step
            && x->run.occurrence == r->occurrence
            && !strcmp (x->run.job, r->job))
          end_run (f, &f->worker[i], k,
                   f->fails_together && how == SJ_END_GANG_BROKEN && x->fails
                       ? SJ_END_FAILED
                       : how);
      }
}

/* Work that X does in a tick at SPEED.  Ticks are rounded so that no speed is
   lost in a run.  */
static int64_t
work_in_tick (const struct fa_cluster *f, const struct fa_run *x, double speed)
{
  int64_t ran_ms = f->now - x->started_ms;

  return (int64_t)((double)ran_ms * speed)
         - (int64_t)((double)(ran_ms - FA_TICK_MS) * speed);
}

/* Advances run I of W by a tick and ends it if it is due.  A gang advances
   only while all its tasks run.  */
static void
advance_run (struct fa_cluster *f, struct fa_worker *w, guint i)
{
  struct fa_run *x = &g_array_index (w->runs, struct fa_run, i);
  struct sj_run r = x->run;
  int gang = x->gang;
  enum sj_end how;

  if (f->now >= w->lease_end_ms)
    how = SJ_END_LEASE_EXPIRED;
  else if (x->stop_at_ms && f->now >= x->stop_at_ms && !w->ignores_stops)
    how = SJ_END_STOPPED;
  else if (gang && !gang_is_whole (f, &r))
    {
      if (f->now - x->started_ms < GANG_TIMEOUT_MS || x->done_ms)
        return;
      how = SJ_END_GANG_TIMEOUT;
    }
  else
    {
      if (!w->stalled && !g_hash_table_contains (f->stalling, x->run.job))
        x->done_ms += work_in_tick (f, x, w->speed);
      if (x->done_ms < x->work_ms
          && !(x->fails && x->done_ms > x->work_ms / 4))
        return;
      if (gang && f->run_times.gang_waits && !x->fails
          && gang_has_work (f, &r))
        return;
      how = x->fails ? SJ_END_FAILED : SJ_END_DONE;
    }
  end_run (f, w, i, how);
  if (gang)
    end_gang (f, &r, how == SJ_END_DONE ? SJ_END_DONE : SJ_END_GANG_BROKEN);
}

/* Whether a deadly run of W is far enough to crash it.  */
static int
crashes_now (const struct fa_cluster *f, const struct fa_worker *w)
{
  for (guint k = 0; k < w->runs->len; k++)
    {
      const struct fa_run *x = &g_array_index (w->runs, struct fa_run, k);

      if (x->deadly && f->now - x->started_ms >= f->crash_mode.work_ms)
        return 1;
    }
  return 0;
}

static void
advance (struct fa_cluster *f)
{
  for (int i = 0; i < f->worker_count; i++)
    if (crashes_now (f, &f->worker[i]))
      fa_lose (f, i);
  for (int i = 0; i < f->worker_count; i++)
    for (guint k = f->worker[i].runs->len; k-- > 0;)
      if (k < f->worker[i].runs->len)
        advance_run (f, &f->worker[i], k);
}

/* Lists the runs of worker I to the scheduler, and renews its lease if it has
   runs.  */
static void
poll_worker (struct fa_cluster *f, int i)
{
  struct fa_worker *w = &f->worker[i];
  struct sj_listed_run run[MAX_LISTED], end[MAX_LISTED];
  struct sj_listing l = { .requested_ms = f->now, .runs = run, .ends = end };

  if (w->partitioned || !w->is_up)
    {
      sj_worker_set_reachable (f->scheduler, w->id, 0);
      return;
    }
  w->highest_token = f->token;
  if (sj_worker_has_runs (f->scheduler, w->id))
    {
      w->lease_end_ms = f->now + LEASE_MS;
      sj_worker_set_lease (f->scheduler, w->id, f->now + LEASE_MS * 51 / 50);
    }
  for (guint k = 0; k < w->runs->len && k < MAX_LISTED; k++)
    {
      const struct fa_run *x = &g_array_index (w->runs, struct fa_run, k);

      run[l.run_count++] = (struct sj_listed_run){
        .run = x->run,
        .checkpoint
        = x->saves && x->done_ms > FIRST_CHECKPOINT_MS ? "saved" : "",
        .percent = (int)(MIN (x->done_ms, x->work_ms) * 100 / (x->work_ms + 1))
      };
    }
  for (guint k = 0; k < w->unacked_ends->len && k < MAX_LISTED; k++)
    end[l.end_count++]
        = g_array_index (w->unacked_ends, struct sj_listed_run, k);
  sj_worker_set_reachable (f->scheduler, w->id, 1);
  sj_listing_apply (f->scheduler, w->id, &l, f->now);
  for (int k = 0; k < l.end_count; k++)
    if (sj_is_left_alone (f->scheduler, end[k].run.job))
      return;
  if (f->listed_ends[i] == w->acked_ends + l.end_count)
    return;
  f->listed_ends[i] = w->acked_ends + l.end_count;
  f->listed_serial[i] = sj_change_serial (f->scheduler);
}

static void
poll_workers (struct fa_cluster *f)
{
  for (int i = 0; i < f->worker_count; i++)
    {
      struct fa_worker *w = &f->worker[i];

      if (w->polled_ms && f->now - w->polled_ms < POLL_MS)
        continue;
      w->polled_ms = f->now;
      if (w->unlist_ms && w->is_up)
        sj_worker_replaced (f->scheduler, w->old_id, f->now);
      poll_worker (f, i);
    }
}

/* Acknowledges the ends of worker I whose records are stored; they are
   final.  */
static void
acknowledge_ends (struct fa_cluster *f, int i)
{
  struct fa_worker *w = &f->worker[i];

  if (f->committing_serial[i] > sj_stored_serial (f->scheduler))
    return;
  while (w->acked_ends < f->committing_ends[i] && w->unacked_ends->len)
    {
      const struct sj_listed_run *e
          = &g_array_index (w->unacked_ends, struct sj_listed_run, 0);
      char name[80];

      format_task_name (name, &e->run);
      if (e->end == SJ_END_DONE)
        g_hash_table_add (f->acked_done, g_strdup (name));
      g_array_remove_index (w->unacked_ends, 0);
      w->acked_ends++;
    }
  f->committing_ends[i] = f->listed_ends[i];
  f->committing_serial[i] = f->listed_serial[i];
}

/* A job that is shown as running has had a task started.  */
static void
check_has_begun (struct fa_cluster *f, const char *id, int state)
{
  struct sj_run run = { .number = 0 };

  g_strlcpy (run.job, id, sizeof run.job);
  if (state == SJ_RUNNING && !g_hash_table_contains (f->started_ms, id))
    report_violation (f, "job shown as running before a task has started",
                      &run);
}

/* Ends the commit: its records are stored, or it fails.  */
static void
end_commit (struct fa_cluster *f)
{
  int ok = g_rand_double (f->rand) >= f->faults.commit_fails;

  f->commit_pending = 0;
  f->commits += ok;
  for (guint i = 0; ok && i < f->commit_ids->len; i++)
    {
      char *key = g_ptr_array_index (f->commit_ids, i);
      const char *record = g_ptr_array_index (f->commit_records, i);
      int state = g_array_index (f->commit_states, int, i);

      if (record)
        g_hash_table_replace (f->records, g_strdup (key), g_strdup (record));
      else
        g_hash_table_remove (f->records, key);
      if (strlen (key) >= SJ_ID_SIZE)
        continue;
      check_has_begun (f, key, state);
      g_hash_table_replace (f->states, g_strdup (key),
                            GINT_TO_POINTER (state + 1));
      if (state >= SJ_COMPLETED && !g_hash_table_contains (f->ended_ms, key))
        g_hash_table_insert (f->ended_ms, g_strdup (key),
                             GSIZE_TO_POINTER ((gsize)f->now + 1));
    }
  g_ptr_array_set_size (f->commit_ids, 0);
  g_ptr_array_set_size (f->commit_records, 0);
  g_array_set_size (f->commit_states, 0);
  sj_committed (f->scheduler, ok, f->now);
  for (int i = 0; ok && i < f->worker_count; i++)
    acknowledge_ends (f, i);
}

/* Begins a commit of the changed records.  */
static void
begin_commit (struct fa_cluster *f)
{
  struct sj_dirty dirty[MAX_DIRTY];
  int n = sj_dirty (f->scheduler, dirty,
                    f->commit_rows ? f->commit_rows : MAX_DIRTY);

  for (int i = 0; i < n; i++)
    {
      int state = dirty[i].state;

      g_ptr_array_add (f->commit_ids, g_strdup (dirty[i].key));
      g_ptr_array_add (
          f->commit_records,
          dirty[i].record ? json_dumps (dirty[i].record, JSON_COMPACT) : NULL);
      g_array_append_val (f->commit_states, state);
      json_decref (dirty[i].record);
    }
  f->commit_pending = 1;
  f->commit_end_ms = f->now + f->commit_ms;
}

static void
list_worker (struct fa_cluster *f, struct fa_worker *w, const char *id,
             int64_t incarnation)
{
  struct sj_worker_info info
      = { .id = id,
          .incarnation = incarnation,
          .service = w->service,
          .kind = "a",
          .rack = w->rack,
          .domain = w->domain,
          .cold_remaining_ms = w->cold_until_ms - f->now,
          .capacity = w->capacity,
          .draining = w->draining,
          .remaining_ms = 2000,
          .version = ++f->reports };

  sj_worker_set (f->scheduler, &info, f->now);
}

static void
set_worker_info (struct fa_cluster *f, struct fa_worker *w)
{
  w->report_ms = f->now + BEAT_MS;
  list_worker (f, w, w->id, w->incarnation);
}

/* Ends W's outage, under a new id if the mode says so.  */
static void
bring_back (struct fa_cluster *f, int i)
{
  struct fa_worker *w = &f->worker[i];

  w->back_ms = 0;
  w->is_up = 1;
  w->incarnation++;
  w->highest_token = w->acked_ends = w->ends_total = w->lease_end_ms = 0;
  f->listed_ends[i] = f->committing_ends[i] = 0;
  f->listed_serial[i] = f->committing_serial[i] = 0;
  w->polled_ms = 0;
  if (f->crash_mode.new_id)
    {
      /* A holder knows the old id from its entry, or from before.  */
      if (w->unlist_ms || w->old_token == f->token)
        sj_worker_replaced (f->scheduler, w->old_id, f->now);
      snprintf (w->id, sizeof w->id, "w%03d.%d", i % FA_MAX_WORKERS,
                ++w->renames % 1000);
    }
  else
    w->unlist_ms = 0;
  set_worker_info (f, w);
}

/* Reports the state of the workers that is due.  */
static void
report_workers (struct fa_cluster *f)
{
  for (int i = 0; i < f->worker_count; i++)
    {
      struct fa_worker *w = &f->worker[i];

      if (w->back_ms && f->now >= w->back_ms)
        bring_back (f, i);
      if (w->is_up && !w->mute && f->now >= w->report_ms)
        set_worker_info (f, w);
      if (w->unlist_ms && f->now >= w->unlist_ms)
        {
          w->unlist_ms = 0;
          sj_worker_unlisted (f->scheduler, w->old_id);
        }
    }
}

static void
tick (struct fa_cluster *f)
{
  f->now += FA_TICK_MS;
  deliver_orders (f);
  advance (f);
  report_workers (f);
  poll_workers (f);
  sj_decide (f->scheduler, f->now, f->now);
  if (f->commit_pending && f->now >= f->commit_end_ms)
    end_commit (f);
  if (!f->commit_pending)
    begin_commit (f);
  sj_check (f->scheduler);
}

void
fa_run_ms (struct fa_cluster *f, int64_t ms)
{
  for (int64_t until = f->now + ms; f->now < until;)
    tick (f);
}

/* Creates a scheduler with the next fencing token.  */
static void
new_scheduler (struct fa_cluster *f)
{
  f->scheduler = sj_new (&f->settings, do_order, f);
  f->token++;
  f->commit_pending = 0;
  g_ptr_array_set_size (f->commit_ids, 0);
  g_ptr_array_set_size (f->commit_records, 0);
  g_array_set_size (f->commit_states, 0);
  for (int i = 0; i < f->worker_count; i++)
    {
      f->listed_ends[i] = f->committing_ends[i] = f->worker[i].acked_ends;
      f->listed_serial[i] = f->committing_serial[i] = 0;
    }
}

void
fa_init (struct fa_cluster *f, int workers, int per_rack, unsigned seed)
{
  memset (f, 0, sizeof *f);
  f->settings
      = (struct sj_settings){ .off_rack_factor = 3,
                              .silent_timeout_ms = LEASE_MS * 51 / 50 + 200,
                              .domains = &f->domains };
  f->rand = g_rand_new_with_seed (seed);
  f->now = 100000;
  f->worker_count = workers;
  f->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  f->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                   (GDestroyNotify)sj_job_free);
  f->states = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->acked_done
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->completed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->cancelled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->deadly = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->stalling = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->crashes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->late_starts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->crash_mode = (struct fa_crash_mode){ .work_ms = 10, .down_ms = 3500 };
  f->commit_ms = COMMIT_MS;
  f->stop_ms = STOP_TIME_MS;
  f->saved_ms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->begun_tasks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->unstarted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->all_started_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->accepted_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->started_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->ended_ms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->pending_orders
      = g_array_new (FALSE, FALSE, sizeof (struct fa_pending_order));
  f->commit_ids = g_ptr_array_new_with_free_func (g_free);
  f->commit_records = g_ptr_array_new_with_free_func (free);
  f->commit_states = g_array_new (FALSE, FALSE, sizeof (int));
  new_scheduler (f);
  for (int i = 0; i < workers; i++)
    {
      struct fa_worker *w = &f->worker[i];

      snprintf (w->id, sizeof w->id, "w%03d", i);
      snprintf (w->rack, sizeof w->rack, "r%d", i / per_rack);
      snprintf (w->domain, sizeof w->domain, "z%d",
                i / per_rack / RACKS_PER_DOMAIN);
      w->service = "s";
      w->capacity = (struct sj_resources){ 128000, 262144, 8 };
      w->incarnation = 1;
      w->runs = g_array_new (FALSE, FALSE, sizeof (struct fa_run));
      w->unacked_ends
          = g_array_new (FALSE, FALSE, sizeof (struct sj_listed_run));
      w->closed_runs
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      w->is_up = 1;
      w->speed = 1;
      set_worker_info (f, w);
    }
}

void
fa_fini (struct fa_cluster *f)
{
  sj_free (f->scheduler);
  dm_fini (&f->domains);
  for (int i = 0; i < f->worker_count; i++)
    {
      g_array_free (f->worker[i].runs, TRUE);
      g_array_free (f->worker[i].unacked_ends, TRUE);
      g_hash_table_destroy (f->worker[i].closed_runs);
    }
  for (guint i = 0; i < f->pending_orders->len; i++)
    g_free (
        g_array_index (f->pending_orders, struct fa_pending_order, i).worker);
  g_array_free (f->pending_orders, TRUE);
  g_ptr_array_free (f->commit_ids, TRUE);
  g_ptr_array_free (f->commit_records, TRUE);
  g_array_free (f->commit_states, TRUE);
  g_hash_table_destroy (f->records);
  g_hash_table_destroy (f->jobs);
  g_hash_table_destroy (f->states);
  g_hash_table_destroy (f->acked_done);
  g_hash_table_destroy (f->completed);
  g_hash_table_destroy (f->cancelled);
  g_hash_table_destroy (f->deadly);
  g_hash_table_destroy (f->crashes);
  g_hash_table_destroy (f->stalling);
  g_hash_table_destroy (f->late_starts);
  g_hash_table_destroy (f->saved_ms);
  g_hash_table_destroy (f->unstarted);
  g_hash_table_destroy (f->begun_tasks);
  g_hash_table_destroy (f->all_started_ms);
  g_hash_table_destroy (f->accepted_ms);
  g_hash_table_destroy (f->started_ms);
  g_hash_table_destroy (f->ended_ms);
  g_rand_free (f->rand);
}

int
fa_finish (struct fa_cluster *f)
{
  if (f->violations)
    printf ("\n%s\n", f->first_violation);
  fa_fini (f);
  return f->violations;
}

unsigned
fa_env (const char *name, unsigned fallback)
{
  const char *text = getenv (name);

  return text ? (unsigned)strtoul (text, NULL, 10) : fallback;
}

static struct sj_job *
copy_job (const struct sj_job *job)
{
  json_t *o = sj_job_to_json (job);
  struct sj_job *copy = sj_job_from_json (o);

  json_decref (o);
  return copy;
}

void
fa_submit (struct fa_cluster *f, struct sj_job *job)
{
  g_hash_table_insert (f->jobs, g_strdup (job->id), copy_job (job));
  g_hash_table_insert (f->accepted_ms, g_strdup (job->id),
                       GSIZE_TO_POINTER ((gsize)f->now + 1));
  g_hash_table_insert (f->unstarted, g_strdup (job->id),
                       GINT_TO_POINTER (job->step[0].count));
  sj_job_add (f->scheduler, job, NULL, 0, f->now);
}

void
fa_cancel (struct fa_cluster *f, const char *id)
{
  g_hash_table_insert (f->cancelled, g_strdup (id),
                       GSIZE_TO_POINTER ((gsize)f->now));
  sj_job_cancel (f->scheduler, id, f->now);
}

/* The stored rows of job ID, or NULL.  */
static json_t *
read_record (struct fa_cluster *f, const char *id)
{
  json_t *record = NULL;
  GHashTableIter iter;
  gpointer key, text;

  g_hash_table_iter_init (&iter, f->records);
  while (g_hash_table_iter_next (&iter, &key, &text))
    {
      if (strncmp (key, id, SJ_ID_SIZE - 1) != 0)
        continue;
      if (!record)
        record = json_object ();
      sj_record_add (record, key, json_loads (text, JSON_DECODE_ANY, NULL));
    }
  return record;
}

/* Has the pieces of job ID deleted, which has ended.  */
static void
drop_pieces (struct fa_cluster *f, const char *id, const json_t *record)
{
  const char *name;
  json_t *value;

  json_object_foreach (json_object_get (record, "rows"), name, value)
  {
    char key[SJ_KEY_SIZE];

    snprintf (key, sizeof key, "%s.%s", id, name);
    sj_drop_row (f->scheduler, key);
  }
}

/* Adds a job to a new scheduler from its stored record.  */
static void
load_job (struct fa_cluster *f, const char *id)
{
  json_t *record = read_record (f, id);
  int64_t accepted
      = (int64_t)GPOINTER_TO_SIZE (g_hash_table_lookup (f->accepted_ms, id))
        - 1;

  if (!g_strcmp0 (id, f->left_alone))
    sj_leave_alone (f->scheduler, id);
  else if (fa_state (f, id) >= SJ_COMPLETED)
    drop_pieces (f, id, record);
  else if (sj_job_add (f->scheduler, copy_job (find_job (f, id)), record,
                       f->now - accepted, f->now))
    report_violation (f, "stored record is invalid", NULL);
  if (g_hash_table_contains (f->cancelled, id))
    sj_job_cancel (f->scheduler, id, f->now);
  json_decref (record);
}

void
fa_take_over (struct fa_cluster *f)
{
  GHashTableIter iter;
  gpointer id;

  sj_free (f->scheduler);
  new_scheduler (f);
  g_hash_table_iter_init (&iter, f->jobs);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    load_job (f, id);
  for (int i = 0; i < f->worker_count; i++)
    {
      f->worker[i].polled_ms = 0;
      if (f->worker[i].unlist_ms)
        list_worker (f, &f->worker[i], f->worker[i].old_id,
                     f->worker[i].incarnation - f->worker[i].is_up);
      if (f->worker[i].is_up)
        set_worker_info (f, &f->worker[i]);
    }
}

void
fa_crash (struct fa_cluster *f, int i)
{
  struct fa_worker *w = &f->worker[i];

  g_array_set_size (w->runs, 0);
  g_hash_table_remove_all (w->closed_runs);
  g_array_set_size (w->unacked_ends, 0);
  w->incarnation++;
  w->highest_token = w->acked_ends = w->ends_total = w->lease_end_ms = 0;
  f->listed_ends[i] = f->committing_ends[i] = 0;
  f->listed_serial[i] = f->committing_serial[i] = 0;
  w->polled_ms = 0;
  set_worker_info (f, w);
}

void
fa_lose (struct fa_cluster *f, int i)
{
  struct fa_worker *w = &f->worker[i];
  GArray *lost = w->runs;

  w->runs = g_array_new (FALSE, FALSE, sizeof (struct fa_run));
  for (guint k = 0; k < lost->len; k++)
    {
      const struct fa_run *x = &g_array_index (lost, struct fa_run, k);

      count_task (f->crashes, &x->run);
      if (x->gang)
        end_gang (f, &x->run, SJ_END_GANG_BROKEN);
    }
  g_array_free (lost, TRUE);
  g_hash_table_remove_all (w->closed_runs);
  g_array_set_size (w->unacked_ends, 0);
  w->is_up = 0;
  memcpy (w->old_id, w->id, sizeof w->old_id);
  w->unlist_ms = f->now + UNLIST_MS;
  w->old_token = f->token;
  w->back_ms = f->now + f->crash_mode.down_ms;
}

void
fa_set_deadly (struct fa_cluster *f, const char *id, int index)
{
  g_hash_table_insert (f->deadly, g_strdup (id), GINT_TO_POINTER (index + 1));
}

static void
resize (struct fa_cluster *f, struct fa_worker *w, int accelerators)
{
  struct sj_resources capacity
      = { (int64_t)accelerators * CORE_MILLI_PER_GPU,
          (int64_t)accelerators * MEMORY_PER_GPU_MB, accelerators };

  if (accelerators < w->capacity.accelerators)
    {
      w->larger_capacity = w->capacity;
      w->shrunk_ms = f->now;
    }
  w->capacity = capacity;
}

void
fa_set_capacity (struct fa_cluster *f, int i, int accelerators)
{
  resize (f, &f->worker[i], accelerators);
}

void
fa_restart_with (struct fa_cluster *f, int i, int accelerators)
{
  struct fa_worker *w = &f->worker[i];

  g_array_set_size (w->runs, 0);
  g_hash_table_remove_all (w->closed_runs);
  g_array_set_size (w->unacked_ends, 0);
  w->incarnation++;
  w->highest_token = w->acked_ends = w->ends_total = w->lease_end_ms = 0;
  f->listed_ends[i] = f->committing_ends[i] = 0;
  f->listed_serial[i] = f->committing_serial[i] = 0;
  w->polled_ms = 0;
  resize (f, w, accelerators);
  w->shrunk_ms = 0;
  w->report_ms = f->now + BEAT_MS;
  sj_worker_restarted (f->scheduler, w->id, w->incarnation, f->now);
}

void
fa_close_domain (struct fa_cluster *f, const char *name)
{
  dm_close (&f->domains, name, ++f->reports, 1, f->now);
  sj_domains_changed (f->scheduler);
}

void
fa_reopen_domain (struct fa_cluster *f, const char *name)
{
  dm_reopen (&f->domains, name, ++f->reports);
  sj_domains_changed (f->scheduler);
}

int
fa_runs_in (const struct fa_cluster *f, const char *name)
{
  int n = 0;

  for (int i = 0; i < f->worker_count; i++)
    if (!strcmp (f->worker[i].domain, name))
      n += (int)f->worker[i].runs->len;
  return n;
}

int
fa_crashes_under (const struct fa_cluster *f, const char *id)
{
  GHashTableIter iter;
  gpointer name, n;
  int most = 0;

  g_hash_table_iter_init (&iter, f->crashes);
  while (g_hash_table_iter_next (&iter, &name, &n))
    if (g_str_has_prefix (name, id) && GPOINTER_TO_INT (n) > most)
      most = GPOINTER_TO_INT (n);
  return most;
}

enum sj_state
fa_state (const struct fa_cluster *f, const char *id)
{
  int state = GPOINTER_TO_INT (g_hash_table_lookup (f->states, id));

  return state ? (enum sj_state) (state - 1) : SJ_QUEUED;
}

/* Milliseconds from the job's acceptance to its time in TABLE; -1: none.  */
static int64_t
ms_since_acceptance (const struct fa_cluster *f, GHashTable *table,
                     const char *id)
{
  gsize at = GPOINTER_TO_SIZE (g_hash_table_lookup (table, id));
  gsize accepted = GPOINTER_TO_SIZE (g_hash_table_lookup (f->accepted_ms, id));

  return at ? (int64_t)(at - accepted) : -1;
}

int64_t
fa_start_delay_ms (const struct fa_cluster *f, const char *id)
{
  return ms_since_acceptance (f, f->started_ms, id);
}

int64_t
fa_whole_start_delay_ms (const struct fa_cluster *f, const char *id)
{
  return ms_since_acceptance (f, f->all_started_ms, id);
}

int64_t
fa_completion_ms (const struct fa_cluster *f, const char *id)
{
  return ms_since_acceptance (f, f->ended_ms, id);
}

struct sj_job *
fa_new_job (unsigned number, int priority, int count, int gpus, int64_t run_ms)
{
  struct sj_job *job = g_new0 (struct sj_job, 1);

  snprintf (job->id, sizeof job->id, "%016x", number);
  job->queue = g_strdup ("q");
  job->account = g_strdup ("a");
  job->service = g_strdup ("s");
  job->payload = g_strdup ("p");
  job->priority = priority;
  job->max_attempts = 3;
  job->stretch = priority ? 3 : 1.5;
  job->target_ms = 1000;
  job->step_count = 1;
  job->step = g_new0 (struct sj_step, 4);
  job->step[0] = (struct sj_step){ .count = count,
                                   .need = { gpus * 4000, gpus * 8000, gpus },
                                   .estimate_ms = run_ms };
  return job;
}
