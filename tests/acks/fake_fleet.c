#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "acks/fake_fleet.h"
#include "batch/worker_events.h"

enum
{
  TICK_MS = 8,
  MAX_LISTED = 500,
  MS_PER_S = 1000,
  KEPT_MS = 100000000
};

struct call
{
  struct ff_worker *worker;
  enum
  {
    START,
    STOP,
    HOLD
  } kind;
  po_order_done *order_done;
  po_listing_done *listing_done;
  void *arg;
  struct sj_run run;
  int64_t token, seen, wait_ms;
  int64_t arrive_ms, answer_ms; /* 0: never; not yet */
  int64_t timeout_ms;           /* time at which the caller gives up */
  int is_lost;                  /* its answer, if there is one */
  int is_answered;              /* for the caller */
  int is_executed;
  struct po_order_answer answer;
  struct po_listing *listing;
};

static struct ff_fleet fleet;
static struct ba_settings settings = { .vm = "vm1",
                                       .hold_ms = 6000,
                                       .far_factor = 3,
                                       .take_ms = 1600,
                                       .keep_s = 240,
                                       .processor = 0.5 };
static void *commit_call;
static int64_t commit_answer_ms, store_answered_ms;

static int
draw (struct ff_fleet *f, int ms)
{
  return f->conditions.is_random
             ? 1 + (int)g_rand_int_range (f->random, 0, 2 * ms)
             : ms;
}

static struct call *
add_call (const struct po_target *t, int timeout_ms)
{
  struct ff_fleet *f = &fleet;
  struct call *c = g_new0 (struct call, 1);

  c->worker = &f->worker[atoi (t->id + 2)];
  c->token = t->token;
  c->arrive_ms = f->batch.now_ms + draw (f, f->conditions.way_ms);
  c->timeout_ms = f->batch.now_ms + timeout_ms;
  if (f->conditions.lost_percent
      && g_rand_int_range (f->random, 0, 100) < f->conditions.lost_percent)
    {
      int how = g_rand_int_range (f->random, 0, 3);

      c->is_lost = 1;
      if (!how)
        c->arrive_ms = 0;
      else if (how == 1)
        c->arrive_ms
            += g_rand_int_range (f->random, 0, f->conditions.max_late_ms);
    }
  g_ptr_array_add (f->calls, c);
  return c;
}

/* Keeps C if WANTED.  */
static void
keep (struct call *c, int *wanted)
{
  if (!*wanted)
    return;
  *wanted = 0;
  c->arrive_ms = KEPT_MS;
  c->is_lost = 1;
}

void
ff_deliver (struct ff_fleet *f)
{
  for (guint i = 0; i < f->calls->len; i++)
    {
      struct call *c = g_ptr_array_index (f->calls, i);

      if (c->arrive_ms == KEPT_MS)
        c->arrive_ms = f->batch.now_ms;
    }
}

int
po_hold (struct po_port *port, const struct po_target *target, int64_t seen,
         int64_t until_ms, int wait_ms, int timeout_ms, po_listing_done *done,
         void *arg)
{
  struct call *c = add_call (target, timeout_ms);

  (void)port;
  (void)until_ms;
  c->kind = HOLD;
  c->listing_done = done;
  c->arg = arg;
  c->seen = seen;
  c->wait_ms = wait_ms;
  fleet.holds++;
  fleet.acks += seen > 0;
  if (seen)
    keep (c, &fleet.conditions.keeps_ack);
  return 0;
}

int
po_start (struct po_port *port, const struct po_target *target,
          const struct sj_order *order, int64_t until_ms, int timeout_ms,
          po_order_done *done, void *arg)
{
  struct call *c = add_call (target, timeout_ms);
  int64_t waited_ms = fleet.batch.now_ms - store_answered_ms;

  (void)port;
  (void)until_ms;
  c->kind = START;
  c->order_done = done;
  c->arg = arg;
  c->run = order->run;
  fleet.sum_start_ms += waited_ms;
  fleet.longest_start_ms = MAX (fleet.longest_start_ms, waited_ms);
  keep (c, &fleet.conditions.keeps_start);
  return 0;
}

int
po_stop (struct po_port *port, const struct po_target *target,
         const struct sj_run *run, int timeout_ms, po_order_done *done,
         void *arg)
{
  struct call *c = add_call (target, timeout_ms);

  (void)port;
  c->kind = STOP;
  c->order_done = done;
  c->arg = arg;
  c->run = *run;
  return 0;
}

int
po_write (struct po_port *port, const struct po_entry *entry, int count,
          int timeout_ms, po_rows_done *done, void *arg)
{
  (void)port;
  (void)entry;
  (void)count;
  (void)timeout_ms;
  (void)done;
  commit_call = arg;
  commit_answer_ms
      = fleet.batch.now_ms + draw (&fleet, fleet.conditions.commit_ms);
  return 0;
}

/* Nothing is read here.  */
int
po_read (struct po_port *port, const char *table, const char *from,
         const char *to, int timeout_ms, po_rows_done *done, void *arg)
{
  (void)port;
  (void)table;
  (void)from;
  (void)to;
  (void)timeout_ms;
  (void)done;
  (void)arg;
  return PO_EFULL;
}

int
po_follow (struct po_port *port, const char *table, int64_t after, int wait_ms,
           int timeout_ms, po_rows_done *done, void *arg)
{
  (void)port;
  (void)table;
  (void)after;
  (void)wait_ms;
  (void)timeout_ms;
  (void)done;
  (void)arg;
  return PO_EFULL;
}

void
po_rows_free (struct po_rows *rows)
{
  (void)rows;
}

void
po_listing_free (struct po_listing *l)
{
  if (!l)
    return;
  g_free ((void *)(uintptr_t)l->list.runs);
  g_free ((void *)(uintptr_t)l->list.ends);
  g_free (l);
}

/* The run in LIST, or NULL.  With ANY_NUMBER, of any start of its task.  */
static struct ff_run *
find_run (GArray *list, const struct sj_run *run, int any_number)
{
  for (guint i = 0; i < list->len; i++)
    {
      struct ff_run *r = &g_array_index (list, struct ff_run, i);

      if (!strcmp (r->run.job, run->job) && r->run.index == run->index
          && (any_number || r->run.number == run->number))
        return r;
    }
  return NULL;
}

static char *
task_name (const struct sj_run *run)
{
  return g_strdup_printf ("%s.%d", run->job, run->index);
}

static void
execute_start (struct ff_fleet *f, struct call *c)
{
  struct ff_worker *w = c->worker;
  struct ff_run r = { .run = c->run };
  char *name = task_name (&c->run);

  r.end_ms = f->batch.now_ms + draw (f, f->conditions.run_ms);
  c->answer.answer = SJ_EXECUTED;
  if (!find_run (w->runs, &c->run, 0) && !find_run (w->ends, &c->run, 0))
    {
      f->starts++;
      f->started_again += g_hash_table_contains (f->done, name);
      g_array_append_val (w->runs, r);
    }
  g_free (name);
}

static void
end_run (struct ff_worker *w, guint i, int64_t now)
{
  struct ff_run r = g_array_index (w->runs, struct ff_run, i);

  g_array_remove_index (w->runs, i);
  r.number = ++w->ends_total;
  r.end_ms = now;
  g_array_append_val (w->ends, r);
}

void
ff_end_runs (struct ff_fleet *f, struct ff_worker *w)
{
  while (w->runs->len)
    end_run (w, 0, f->batch.now_ms);
}

static void
execute_stop (struct ff_fleet *f, struct call *c)
{
  GArray *runs = c->worker->runs;
  struct ff_run *r = find_run (runs, &c->run, 0);

  /* What is stopped counts as done here, which is the harder case.  */
  if (r)
    end_run (c->worker, (guint)(r - &g_array_index (runs, struct ff_run, 0)),
             f->batch.now_ms);
  c->answer.answer = SJ_EXECUTED;
}

static void
forget_ends (struct ff_fleet *f, struct ff_worker *w, int64_t seen)
{
  while (w->ends->len
         && g_array_index (w->ends, struct ff_run, 0).number <= seen)
    {
      struct ff_run *r = &g_array_index (w->ends, struct ff_run, 0);
      int64_t waited_ms = r->listed_ms ? f->batch.now_ms - r->listed_ms : 0;

      f->forgotten_unseen += !r->is_received;
      f->ends++;
      f->sum_ack_ms += waited_ms;
      f->longest_ack_ms = MAX (f->longest_ack_ms, waited_ms);
      g_hash_table_add (f->done, task_name (&r->run));
      g_array_remove_index (w->ends, 0);
    }
}

static struct po_listing *
list_runs (struct ff_fleet *f, struct ff_worker *w)
{
  struct po_listing *l = g_new0 (struct po_listing, 1);
  struct sj_listed_run *run = g_new0 (struct sj_listed_run, w->runs->len + 1);
  struct sj_listed_run *end = g_new0 (struct sj_listed_run, MAX_LISTED);

  for (guint i = 0; i < w->runs->len; i++)
    run[l->list.run_count++] = (struct sj_listed_run){
      .run = g_array_index (w->runs, struct ff_run, i).run, .checkpoint = ""
    };
  for (guint i = 0; i < w->ends->len && i < MAX_LISTED; i++)
    {
      struct ff_run *r = &g_array_index (w->ends, struct ff_run, i);

      r->listed_ms = r->listed_ms ? r->listed_ms : f->batch.now_ms;
      end[l->list.end_count++] = (struct sj_listed_run){ .run = r->run,
                                                         .end = SJ_END_DONE,
                                                         .checkpoint = "" };
      l->last_end = r->number;
    }
  l->list.runs = run;
  l->list.ends = end;
  l->incarnation = w->born_ms;
  return l;
}

/* Executes a hold as it arrives, and answers it once it has waited.  */
static void
execute_hold (struct ff_fleet *f, struct call *c)
{
  struct ff_worker *w = c->worker;

  if (!c->is_executed)
    forget_ends (f, w, c->seen);
  if (!w->ends->len && f->batch.now_ms < c->arrive_ms + c->wait_ms)
    return;
  c->answer.answer = SJ_EXECUTED;
  c->listing = list_runs (f, w);
}

static void
execute (struct ff_fleet *f, struct call *c)
{
  struct ff_worker *w = c->worker;

  c->answer = (struct po_order_answer){ .answer = SJ_UNANSWERED };
  if (!w->is_up)
    c->is_lost = 1;
  else if (c->token < w->token && !c->is_executed)
    c->answer = (struct po_order_answer){ .answer = SJ_REFUSED,
                                          .fenced = 1,
                                          .status = 409 };
  else
    {
      w->token = MAX (w->token, c->token);
      if (c->kind == START)
        execute_start (f, c);
      else if (c->kind == STOP)
        execute_stop (f, c);
      else
        execute_hold (f, c);
      c->answer.status = 200;
      c->answer.clock_ms = f->batch.now_ms - w->born_ms + 1;
    }
  c->is_executed = 1;
  if (c->answer.answer != SJ_UNANSWERED)
    c->answer_ms = f->batch.now_ms + draw (f, f->conditions.way_ms);
}

/* The holder gets the listing of C, so that the ends in it are seen.  */
static void
note_received (struct call *c)
{
  const struct sj_listing *l = &c->listing->list;

  for (int i = 0; i < l->end_count; i++)
    {
      struct ff_run *r = c->listing->incarnation == c->worker->born_ms
                             ? find_run (c->worker->ends, &l->ends[i].run, 0)
                             : NULL;

      if (r)
        r->is_received = 1;
    }
}

static void
answer_caller (struct call *c, int is_lost)
{
  struct po_order_answer lost = { .answer = SJ_UNANSWERED };

  c->is_answered = 1;
  if (c->kind != HOLD)
    {
      c->order_done (c->arg, is_lost ? &lost : &c->answer);
      return;
    }
  if (is_lost)
    {
      po_listing_free (c->listing);
      c->listing = g_new0 (struct po_listing, 1);
      c->listing->answer = lost;
    }
  else if (!c->listing)
    {
      c->listing = g_new0 (struct po_listing, 1);
      c->listing->answer = c->answer;
    }
  else
    {
      note_received (c);
      c->listing->answer = c->answer;
    }
  c->listing_done (c->arg, c->listing);
  c->listing = NULL;
}

static void
handle_events (struct ff_fleet *f)
{
  int64_t begin_us = bs_thread_cpu_us ();

  if (!rg_count (&f->batch.events))
    return;
  handle_worker_events (&f->batch);
  f->holder_us += bs_thread_cpu_us () - begin_us;
}

/* Returns 1 while C may still be executed or answered.  */
static int
step_call (struct ff_fleet *f, struct call *c)
{
  int64_t now = f->batch.now_ms;

  if (c->arrive_ms && c->arrive_ms <= now && !c->answer_ms
      && !(c->is_lost && c->is_executed))
    execute (f, c);
  if (!c->is_answered && c->answer_ms && c->answer_ms <= now && !c->is_lost)
    answer_caller (c, 0);
  else if (!c->is_answered && now >= c->timeout_ms)
    answer_caller (c, 1);
  handle_events (f);
  return !c->is_answered || (c->arrive_ms && !c->is_executed);
}

static void
free_call (struct call *c)
{
  po_listing_free (c->listing);
  g_free (c);
}

static void
step_calls (struct ff_fleet *f)
{
  for (guint i = 0; i < f->calls->len;)
    {
      struct call *c = g_ptr_array_index (f->calls, i);

      if (step_call (f, c))
        i++;
      else
        free_call (g_ptr_array_remove_index_fast (f->calls, i));
    }
}

static void
set_row (struct ff_fleet *f, struct ff_worker *w)
{
  static int64_t version;
  char value[300];
  struct po_row row = { .table = (char *)"servers",
                        .key = w->id,
                        .value = value,
                        .version = ++version };

  snprintf (value, sizeof value,
            "{\"service\":\"s\",\"address\":\"10.0.%d.%d:80\",\"state\":"
            "\"ready\",\"born\":%lld,\"capacity\":{\"cpu\":64000,"
            "\"memory_request_mb\":8000,\"gpu\":8},\"labels\":[\"a\",\"r\"]}",
            atoi (w->id + 2) / 250, atoi (w->id + 2) % 250 + 1,
            (long long)w->born_ms);
  wk_on_row (&f->batch, &row, 1);
}

void
ff_crash (struct ff_fleet *f, struct ff_worker *w, int down_ms, int report_ms)
{
  w->is_up = 0;
  w->up_at_ms = f->batch.now_ms + down_ms;
  w->row_at_ms = w->up_at_ms + report_ms;
  w->crashes++;
  g_array_set_size (w->runs, 0);
  g_array_set_size (w->ends, 0);
}

static void
step_worker (struct ff_fleet *f, struct ff_worker *w)
{
  int64_t now = f->batch.now_ms;

  if (!w->is_up && now >= w->up_at_ms)
    {
      w->is_up = 1;
      w->born_ms = now;
      w->token = w->ends_total = 0;
    }
  if (w->row_at_ms && now >= w->row_at_ms)
    {
      w->row_at_ms = 0;
      set_row (f, w);
    }
  for (guint i = w->runs->len; i-- > 0;)
    if (g_array_index (w->runs, struct ff_run, i).end_ms <= now)
      end_run (w, i, now);
  if (w->is_up && f->conditions.crash_percent
      && g_rand_int_range (f->random, 0, 100 * MS_PER_S)
             < f->conditions.crash_percent)
    ff_crash (f, w, draw (f, 40), draw (f, 800));
}

static void
answer_commit (struct ff_fleet *f)
{
  struct po_rows rows = { .result = PO_DONE };
  struct ba_store_call *call = commit_call;
  int64_t begin_us;

  if (!call || f->batch.now_ms < commit_answer_ms)
    return;
  commit_call = NULL;
  rows.version = f->batch.lease.version + 1;
  store_answered_ms = f->batch.now_ms;
  begin_us = bs_thread_cpu_us ();
  ho_on_commit_reply (&f->batch, call, &rows);
  f->holder_us += bs_thread_cpu_us () - begin_us;
  g_free (call);
  handle_events (f);
}

void
ff_step (struct ff_fleet *f)
{
  struct sj_counts counts;
  int64_t begin_us;

  f->batch.now_ms++;
  f->batch.worker_follower.fresh_ms = f->batch.now_ms;
  for (int i = 0; i < f->workers; i++)
    step_worker (f, &f->worker[i]);
  step_calls (f);
  answer_commit (f);
  if (f->batch.now_ms % MS_PER_S == 0)
    co_tick (&f->batch, &counts);
  if (f->batch.now_ms % TICK_MS == 0)
    {
      begin_us = bs_thread_cpu_us ();
      ho_tick (&f->batch);
      f->holder_us += bs_thread_cpu_us () - begin_us;
      handle_events (f);
    }
}

void
ff_run_ms (struct ff_fleet *f, int64_t ms)
{
  while (ms-- > 0)
    ff_step (f);
}

void
ff_add_job (struct ff_fleet *f, int number, int tasks)
{
  struct sj_job *job = g_new0 (struct sj_job, 1);

  snprintf (job->id, sizeof job->id, "%016x", (unsigned)number);
  job->service = g_strdup ("s");
  job->payload = g_strdup ("");
  job->max_attempts = 100;
  job->stretch = 3;
  job->step_count = 1;
  job->step = g_new0 (struct sj_step, 1);
  job->step[0].count = tasks;
  job->step[0].estimate_ms = f->conditions.run_ms;
  job->step[0].need.accelerators = 1;
  sj_job_add (f->batch.cluster, job, NULL, 0, f->batch.now_ms);
}

static int64_t
fake_now_ms (void *arg)
{
  (void)arg;
  return fleet.batch.now_ms;
}

static void
begin_term (struct batch *b)
{
  struct le_settings le
      = { .valid_ms = 10000000, .takeover_ms = 20000000, .renew_ms = 500 };
  struct sj_settings sj = { .off_rack_factor = 3, .silent_timeout_ms = 6000 };

  b->settings = &settings;
  b->clock = (struct bs_clock){ fake_now_ms, NULL };
  b->now_ms = FF_BEGIN_MS;
  rg_init (&b->events, 16384);
  co_init (b);
  vw_init (&b->view);
  wk_init_orders (b);
  le_init (&b->lease, &le, "vm1", "token");
  free (le_acquire_value (&b->lease, &(struct le_end){ 0 }));
  le_acquired (&b->lease, 1, b->now_ms, b->now_ms);
  b->phase = BA_ACTIVE;
  b->cluster = sj_new (&sj, wk_send_order, b);
  wk_init_workers (b);
}

struct ff_fleet *
ff_init (int workers, unsigned seed)
{
  struct ff_fleet *f = &fleet;

  memset (f, 0, sizeof *f);
  commit_call = NULL;
  f->conditions
      = (struct ff_conditions){ .way_ms = 1, .commit_ms = 8, .run_ms = 200 };
  f->workers = workers;
  f->calls = g_ptr_array_new ();
  f->random = g_rand_new_with_seed (seed);
  f->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  begin_term (&f->batch);
  for (int i = 0; i < workers; i++)
    {
      struct ff_worker *w = &f->worker[i];

      snprintf (w->id, sizeof w->id, "i-%d", i);
      w->runs = g_array_new (FALSE, TRUE, sizeof (struct ff_run));
      w->ends = g_array_new (FALSE, TRUE, sizeof (struct ff_run));
      w->is_up = 1;
      w->born_ms = FF_BEGIN_MS - 1000;
      set_row (f, w);
    }
  ff_run_ms (f, 100);
  return f;
}

void
ff_fini (struct ff_fleet *f)
{
  struct batch *b = &f->batch;

  for (guint i = 0; i < f->calls->len; i++)
    {
      struct call *c = g_ptr_array_index (f->calls, i);

      if (!c->is_answered)
        wk_free_order (c->arg);
      free_call (c);
    }
  g_ptr_array_free (f->calls, TRUE);
  g_rand_free (f->random);
  g_hash_table_destroy (f->done);
  g_free (commit_call);
  wk_clear_orders (b);
  sj_free (b->cluster);
  wk_fini_workers (b);
  vw_fini (&b->view);
  rg_fini (&b->events);
  st_fini (&b->stats);
  if (b->commit.strings)
    g_ptr_array_free (b->commit.strings, TRUE);
  for (int i = 0; i < f->workers; i++)
    {
      g_array_free (f->worker[i].runs, TRUE);
      g_array_free (f->worker[i].ends, TRUE);
    }
}
