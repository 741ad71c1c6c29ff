#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "steps/fake_cluster.h"

enum
{
  COMMIT_MS = 10,
  LIST_MS = 500, /* between two listings of a busy worker */
  STOP_MS = 200,
  START_MS = 2500, /* a start is refused later */
  CANCEL_MS = 3000,
  GANG_MS = 3000,
  HOLD_MS = 6000,
  SAVE_MS = 1000,
  MAX_LISTED = 400,
  MAX_DIRTY = 64
};

static void
name_of (char out[80], const struct sj_run *r)
{
  snprintf (out, 80, "%s.%d.%d.%d", r->job, r->occurrence, r->step, r->index);
}

static void
broken (struct fa_farm *f, const char *what, const struct sj_run *r)
{
  char name[80] = "";

  if (r)
    name_of (name, r);
  if (!f->broken_rules++)
    snprintf (f->first_broken, sizeof f->first_broken, "%s: %s at %lld", what,
              name, (long long)f->now);
}

static struct fa_worker *
worker_of (struct fa_farm *f, const char *id)
{
  for (int i = 0; i < f->workers; i++)
    if (!strcmp (f->worker[i].id, id))
      return &f->worker[i];
  return NULL;
}

static struct fa_run *
run_of (struct fa_worker *w, const struct sj_run *r)
{
  for (guint i = 0; i < w->run->len; i++)
    {
      struct fa_run *x = &g_array_index (w->run, struct fa_run, i);

      if (x->run.number == r->number && x->run.index == r->index
          && x->run.step == r->step && x->run.occurrence == r->occurrence
          && !strcmp (x->run.job, r->job))
        return x;
    }
  return NULL;
}

static void close_run (struct fa_worker *w, const struct sj_run *r);

static void
end_run (struct fa_farm *f, struct fa_worker *w, guint i, enum sj_end how)
{
  struct fa_run *x = &g_array_index (w->run, struct fa_run, i);
  struct sj_listed end = { .run = x->run, .end = how };

  close_run (w, &x->run);
  end.checkpoint = x->saves ? "saved" : "";
  if (how == SJ_END_DONE)
    {
      char name[80];

      name_of (name, &x->run);
      g_hash_table_add (f->well, g_strdup (name));
      f->done_runs++;
    }
  if (how == SJ_END_STOPPED || how == SJ_END_LAPSED)
    {
      f->stopped++;
      if (!x->saves)
        f->wasted
            += (double)(f->now - x->began_ms)
               * (double)(x->need.cpu_milli + x->need.accelerators * 8000)
               / 1e6;
    }
  if (how == SJ_END_ALONE)
    f->alone++;
  g_array_append_val (w->ended, end);
  w->end_number++;
  w->listed_at_ms = 0;
  g_array_remove_index (w->run, i);
}

static const struct sj_job *
job_of (struct fa_farm *f, const char *id)
{
  return g_hash_table_lookup (f->job, id);
}

static void
check_room (struct fa_farm *f, struct fa_worker *w, const struct sj_run *r)
{
  struct sj_need sum = { 0, 0, 0 };

  for (guint i = 0; i < w->run->len; i++)
    {
      const struct fa_run *x = &g_array_index (w->run, struct fa_run, i);

      sum.cpu_milli += x->need.cpu_milli;
      sum.memory_mb += x->need.memory_mb;
      sum.accelerators += x->need.accelerators;
    }
  if (sum.cpu_milli > w->capacity.cpu_milli
      || sum.memory_mb > w->capacity.memory_mb
      || sum.accelerators > w->capacity.accelerators)
    broken (f, "a worker is over its capacity", r);
}

static int
is_done (struct fa_farm *f, const struct sj_run *r)
{
  char name[80];

  name_of (name, r);
  return g_hash_table_contains (f->done, name);
}

/* Done, whether or not the end was let go by now.  */
static int
has_ended_well (struct fa_farm *f, const struct sj_run *r)
{
  char name[80];

  name_of (name, r);
  return g_hash_table_contains (f->well, name);
}

static void
check_start (struct fa_farm *f, const struct sj_run *r)
{
  const struct sj_job *job = job_of (f, r->job);
  const struct sj_step *s = &job->step[r->step];
  int64_t cancelled
      = (int64_t)GPOINTER_TO_SIZE (g_hash_table_lookup (f->cancelled, r->job));

  for (int i = 0; i < f->workers; i++)
    for (guint k = 0; k < f->worker[i].run->len; k++)
      {
        const struct fa_run *x
            = &g_array_index (f->worker[i].run, struct fa_run, k);

        if (f->worker[i].up && x->run.index == r->index
            && x->run.step == r->step && x->run.occurrence == r->occurrence
            && !strcmp (x->run.job, r->job))
          broken (f, "two runs of one task", r);
      }
  if (is_done (f, r))
    broken (f, "started after it was done", r);
  for (int k = 0; k < r->step; k++)
    for (int n = 0; s->after >> k & 1 && n < job->step[k].count; n++)
      {
        struct sj_run before
            = { .occurrence = r->occurrence, .step = k, .index = n };

        memcpy (before.job, r->job, sizeof before.job);
        if (!has_ended_well (f, &before))
          broken (f, "started before a step it waits for", r);
      }
  if (cancelled && f->now > cancelled + CANCEL_MS)
    broken (f, "started after it was cancelled", r);
}

/* Runs of a task up to this number were stopped or have ended there.  */
static int64_t
closed_up_to (struct fa_worker *w, const struct sj_run *r)
{
  char name[80];

  name_of (name, r);
  return (int64_t)GPOINTER_TO_SIZE (g_hash_table_lookup (w->closed, name));
}

static void
close_run (struct fa_worker *w, const struct sj_run *r)
{
  char name[80];

  name_of (name, r);
  if (r->number > closed_up_to (w, r))
    g_hash_table_replace (w->closed, g_strdup (name),
                          GSIZE_TO_POINTER ((gsize)r->number));
}

static enum sj_answer
carry_out (struct fa_farm *f, struct fa_worker *w, const struct sj_order *o,
           int64_t token, int64_t sent_ms)
{
  const struct sj_job *job = job_of (f, o->run.job);
  const struct sj_step *s = &job->step[o->run.step];
  struct fa_run x = { .run = o->run,
                      .gang = s->gang,
                      .saves = s->saves,
                      .began_ms = f->now,
                      .work_ms = s->estimate_ms,
                      .need = s->need };
  struct fa_run *old;

  if (token < w->token)
    return SJ_REFUSED;
  w->token = token;
  old = run_of (w, &o->run);
  if (o->kind == SJ_STOP)
    {
      if (old && !old->stop_at_ms)
        old->stop_at_ms = f->now + STOP_MS;
      close_run (w, &o->run);
      return SJ_TAKEN;
    }
  if (old)
    return SJ_TAKEN;
  if (o->run.number <= closed_up_to (w, &o->run)
      || f->now > sent_ms + START_MS)
    return SJ_REFUSED;
  check_start (f, &o->run);
  x.fails = w->fails_all || g_rand_double (f->rand) < f->faults.task_fails;
  g_array_append_val (w->run, x);
  f->starts++;
  if (!g_hash_table_contains (f->begun, o->run.job))
    g_hash_table_insert (f->begun, g_strdup (o->run.job),
                         GSIZE_TO_POINTER ((gsize)f->now + 1));
  check_room (f, w, &o->run);
  if (w->lease_ms < f->now + 2500)
    w->lease_ms = f->now + 2500;
  sj_worker_leased (f->cluster, w->id, f->now + HOLD_MS);
  return SJ_TAKEN;
}

static void
do_order (void *arg, const struct sj_order *o)
{
  struct fa_farm *f = arg;
  struct fa_worker *w = worker_of (f, o->worker);
  struct fa_late late = { .at_ms = f->now + 1, .order = *o };
  double luck = g_rand_double (f->rand);

  late.worker = g_strdup (o->worker);
  late.payload = NULL;
  late.token = f->token;
  late.sent_ms = f->now;
  late.life = w ? w->life : 0;
  if (w && luck < f->faults.late)
    late.at_ms = f->now + g_rand_int_range (f->rand, 500, 5000);
  late.order.life = w && luck < f->faults.late + f->faults.lost ? -1 : 0;
  g_array_append_val (f->late, late);
}

static void
answer (struct fa_farm *f, const struct fa_late *l, enum sj_answer a)
{
  if (l->token != f->token)
    return;
  if (l->order.kind == SJ_START)
    sj_start_answered (f->cluster, l->worker, &l->order.run, a, f->now);
  else
    sj_stop_answered (f->cluster, l->worker, &l->order.run, a, f->now);
}

/* An order that arrives: LATE ones were reported unknown when sent.  */
static void
deliver (struct fa_farm *f, struct fa_late *l)
{
  struct fa_worker *w = worker_of (f, l->worker);
  enum sj_answer a = SJ_UNKNOWN;

  if (!w || !w->up)
    a = SJ_REFUSED;
  else if (!w->cut)
    a = l->life == w->life ? carry_out (f, w, &l->order, l->token, l->sent_ms)
                           : SJ_REFUSED;
  if (l->order.life < 0)
    a = SJ_UNKNOWN;
  answer (f, l, a);
}

static void
deliver_orders (struct fa_farm *f)
{
  for (guint i = 0; i < f->late->len;)
    {
      struct fa_late l = g_array_index (f->late, struct fa_late, i);

      if (l.at_ms > f->now)
        {
          if (l.order.life == -1)
            {
              g_array_index (f->late, struct fa_late, i).order.life = -2;
              answer (f, &l, SJ_UNKNOWN);
            }
          i++;
          continue;
        }
      g_array_remove_index (f->late, i);
      deliver (f, &l);
      g_free (l.worker);
    }
}

static int
gang_is_whole (struct fa_farm *f, const struct sj_run *r)
{
  int n = 0;

  for (int i = 0; i < f->workers; i++)
    for (guint k = 0; k < f->worker[i].run->len; k++)
      {
        const struct fa_run *x
            = &g_array_index (f->worker[i].run, struct fa_run, k);

        n += x->run.number == r->number && x->run.step == r->step
             && x->run.occurrence == r->occurrence
             && !strcmp (x->run.job, r->job);
      }
  return n == job_of (f, r->job)->step[r->step].count;
}

static void
break_gang (struct fa_farm *f, const struct sj_run *r, enum sj_end how)
{
  for (int i = 0; i < f->workers; i++)
    for (guint k = f->worker[i].run->len; k-- > 0;)
      {
        const struct fa_run *x
            = &g_array_index (f->worker[i].run, struct fa_run, k);

        if (x->run.number == r->number && x->run.step == r->step
            && x->run.occurrence == r->occurrence
            && !strcmp (x->run.job, r->job))
          end_run (f, &f->worker[i], k, how);
      }
}

static void
advance_run (struct fa_farm *f, struct fa_worker *w, guint i)
{
  struct fa_run *x = &g_array_index (w->run, struct fa_run, i);
  struct sj_run r = x->run;
  int gang = x->gang;
  enum sj_end how;

  if (f->now >= w->lease_ms)
    how = SJ_END_LAPSED;
  else if (x->stop_at_ms && f->now >= x->stop_at_ms)
    how = SJ_END_STOPPED;
  else if (gang && !gang_is_whole (f, &r))
    {
      if (f->now - x->began_ms < GANG_MS || x->done_ms)
        return;
      how = SJ_END_ALONE;
    }
  else
    {
      if (!w->stands_still)
        x->done_ms += (int64_t)(FA_STEP_MS * w->speed);
      if (x->done_ms < x->work_ms
          && !(x->fails && x->done_ms > x->work_ms / 4))
        return;
      how = x->fails ? SJ_END_FAILED : SJ_END_DONE;
    }
  end_run (f, w, i, how);
  if (gang)
    break_gang (f, &r, how == SJ_END_DONE ? SJ_END_DONE : SJ_END_BROKEN);
}

static void
advance (struct fa_farm *f)
{
  for (int i = 0; i < f->workers; i++)
    for (guint k = f->worker[i].run->len; k-- > 0;)
      if (k < f->worker[i].run->len)
        advance_run (f, &f->worker[i], k);
}

static void
list_worker (struct fa_farm *f, int i)
{
  struct fa_worker *w = &f->worker[i];
  struct sj_listed run[MAX_LISTED], end[MAX_LISTED];
  struct sj_listing l = { .sent_ms = f->now, .run = run, .end = end };

  if (w->cut || !w->up)
    {
      sj_worker_reachable (f->cluster, w->id, 0);
      return;
    }
  w->token = f->token;
  if (sj_worker_busy (f->cluster, w->id))
    {
      w->lease_ms = f->now + HOLD_MS;
      sj_worker_leased (f->cluster, w->id, f->now + HOLD_MS * 51 / 50);
    }
  for (guint k = 0; k < w->run->len && k < MAX_LISTED; k++)
    {
      const struct fa_run *x = &g_array_index (w->run, struct fa_run, k);

      run[l.running++] = (struct sj_listed){
        .run = x->run,
        .checkpoint = x->saves && x->done_ms > SAVE_MS ? "saved" : "",
        .percent = (int)(x->done_ms * 100 / (x->work_ms + 1))
      };
    }
  for (guint k = 0; k < w->ended->len && k < MAX_LISTED; k++)
    end[l.ended++] = g_array_index (w->ended, struct sj_listed, k);
  f->taken[i] = w->seen + l.ended;
  sj_worker_reachable (f->cluster, w->id, 1);
  sj_listing_take (f->cluster, w->id, &l, f->now);
}

static void
list_all (struct fa_farm *f)
{
  for (int i = 0; i < f->workers; i++)
    {
      struct fa_worker *w = &f->worker[i];

      if (w->listed_at_ms && f->now - w->listed_at_ms < LIST_MS)
        continue;
      w->listed_at_ms = f->now;
      list_worker (f, i);
    }
}

/* Ends whose record is stored are let go: they stand for good.  */
static void
let_go (struct fa_farm *f, int i)
{
  struct fa_worker *w = &f->worker[i];

  while (w->seen < f->committing[i] && w->ended->len)
    {
      const struct sj_listed *e
          = &g_array_index (w->ended, struct sj_listed, 0);
      char name[80];

      name_of (name, &e->run);
      if (e->end == SJ_END_DONE)
        g_hash_table_add (f->done, g_strdup (name));
      g_array_remove_index (w->ended, 0);
      w->seen++;
    }
}

static void
end_commit (struct fa_farm *f)
{
  int ok = g_rand_double (f->rand) >= f->faults.store;

  f->committing_now = 0;
  for (guint i = 0; ok && i < f->commit_id->len; i++)
    {
      char *id = g_ptr_array_index (f->commit_id, i);
      int state = g_array_index (f->commit_state, int, i);

      g_hash_table_replace (
          f->record, g_strdup (id),
          g_strdup (g_ptr_array_index (f->commit_record, i)));
      g_hash_table_replace (f->state, g_strdup (id),
                            GINT_TO_POINTER (state + 1));
      if (state >= SJ_COMPLETED && !g_hash_table_contains (f->ended, id))
        g_hash_table_insert (f->ended, g_strdup (id),
                             GSIZE_TO_POINTER ((gsize)f->now + 1));
    }
  for (int i = 0; ok && i < f->workers; i++)
    let_go (f, i);
  g_ptr_array_set_size (f->commit_id, 0);
  g_ptr_array_set_size (f->commit_record, 0);
  g_array_set_size (f->commit_state, 0);
  sj_committed (f->cluster, ok, f->now);
}

static void
begin_commit (struct fa_farm *f)
{
  struct sj_dirty dirty[MAX_DIRTY];
  int n = sj_dirty (f->cluster, dirty, MAX_DIRTY);

  for (int i = 0; i < n; i++)
    {
      int state = dirty[i].state;

      g_ptr_array_add (f->commit_id, g_strdup (dirty[i].id));
      g_ptr_array_add (f->commit_record,
                       json_dumps (dirty[i].record, JSON_COMPACT));
      g_array_append_val (f->commit_state, state);
      json_decref (dirty[i].record);
    }
  memcpy (f->committing, f->taken, sizeof f->committing);
  f->committing_now = 1;
  f->commit_ms = f->now + COMMIT_MS;
}

static void
step (struct fa_farm *f)
{
  f->now += FA_STEP_MS;
  deliver_orders (f);
  advance (f);
  list_all (f);
  sj_decide (f->cluster, f->now, f->now);
  if (f->committing_now && f->now >= f->commit_ms)
    end_commit (f);
  if (!f->committing_now)
    begin_commit (f);
  sj_check (f->cluster);
}

void
fa_run_ms (struct fa_farm *f, int64_t ms)
{
  for (int64_t until = f->now + ms; f->now < until;)
    step (f);
}

static void
tell_worker (struct fa_farm *f, struct fa_worker *w)
{
  struct sj_worker_info info = { .id = w->id,
                                 .life = w->life,
                                 .service = "s",
                                 .kind = "a",
                                 .rack = w->rack,
                                 .capacity = w->capacity,
                                 .draining = w->draining,
                                 .remaining_ms = 2000 };

  sj_worker_set (f->cluster, &info, f->now);
}

static void
new_cluster (struct fa_farm *f)
{
  f->cluster = sj_new (&f->set, do_order, f);
  f->token++;
  f->committing_now = 0;
  g_ptr_array_set_size (f->commit_id, 0);
  g_ptr_array_set_size (f->commit_record, 0);
  g_array_set_size (f->commit_state, 0);
  for (int i = 0; i < f->workers; i++)
    f->taken[i] = f->worker[i].seen;
}

void
fa_init (struct fa_farm *f, int workers, int per_rack, unsigned seed)
{
  memset (f, 0, sizeof *f);
  f->set = (struct sj_settings){ .far_factor = 3,
                                 .survey_ms = HOLD_MS * 51 / 50 + 200 };
  f->rand = g_rand_new_with_seed (seed);
  f->now = 100000;
  f->workers = workers;
  f->record = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  f->job = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                  (GDestroyNotify)sj_job_free);
  f->state = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->well = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->cancelled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->accepted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->begun = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->ended = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->late = g_array_new (FALSE, FALSE, sizeof (struct fa_late));
  f->commit_id = g_ptr_array_new_with_free_func (g_free);
  f->commit_record = g_ptr_array_new_with_free_func (free);
  f->commit_state = g_array_new (FALSE, FALSE, sizeof (int));
  new_cluster (f);
  for (int i = 0; i < workers; i++)
    {
      struct fa_worker *w = &f->worker[i];

      snprintf (w->id, sizeof w->id, "w%03d", i);
      snprintf (w->rack, sizeof w->rack, "r%d", i / per_rack);
      w->capacity = (struct sj_need){ 128000, 262144, 8 };
      w->life = 1;
      w->run = g_array_new (FALSE, FALSE, sizeof (struct fa_run));
      w->ended = g_array_new (FALSE, FALSE, sizeof (struct sj_listed));
      w->closed
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      w->up = 1;
      w->speed = 1;
      tell_worker (f, w);
    }
}

void
fa_fini (struct fa_farm *f)
{
  sj_free (f->cluster);
  for (int i = 0; i < f->workers; i++)
    {
      g_array_free (f->worker[i].run, TRUE);
      g_array_free (f->worker[i].ended, TRUE);
      g_hash_table_destroy (f->worker[i].closed);
    }
  for (guint i = 0; i < f->late->len; i++)
    g_free (g_array_index (f->late, struct fa_late, i).worker);
  g_array_free (f->late, TRUE);
  g_ptr_array_free (f->commit_id, TRUE);
  g_ptr_array_free (f->commit_record, TRUE);
  g_array_free (f->commit_state, TRUE);
  g_hash_table_destroy (f->record);
  g_hash_table_destroy (f->job);
  g_hash_table_destroy (f->state);
  g_hash_table_destroy (f->done);
  g_hash_table_destroy (f->well);
  g_hash_table_destroy (f->cancelled);
  g_hash_table_destroy (f->accepted);
  g_hash_table_destroy (f->begun);
  g_hash_table_destroy (f->ended);
  g_rand_free (f->rand);
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
fa_submit (struct fa_farm *f, struct sj_job *job)
{
  g_hash_table_insert (f->job, g_strdup (job->id), copy_job (job));
  g_hash_table_insert (f->accepted, g_strdup (job->id),
                       GSIZE_TO_POINTER ((gsize)f->now + 1));
  sj_job_add (f->cluster, job, NULL, 0, f->now);
}

void
fa_cancel (struct fa_farm *f, const char *id)
{
  g_hash_table_insert (f->cancelled, g_strdup (id),
                       GSIZE_TO_POINTER ((gsize)f->now));
  sj_job_cancel (f->cluster, id, f->now);
}

static void
load_job (struct fa_farm *f, const char *id)
{
  const char *text = g_hash_table_lookup (f->record, id);
  json_t *record = text ? json_loads (text, 0, NULL) : NULL;
  int64_t accepted
      = (int64_t)GPOINTER_TO_SIZE (g_hash_table_lookup (f->accepted, id)) - 1;

  if (fa_state (f, id) < SJ_COMPLETED
      && sj_job_add (f->cluster, copy_job (job_of (f, id)), record,
                     f->now - accepted, f->now))
    broken (f, "a record can't be read", NULL);
  if (g_hash_table_contains (f->cancelled, id))
    sj_job_cancel (f->cluster, id, f->now);
  json_decref (record);
}

void
fa_take_over (struct fa_farm *f)
{
  GHashTableIter iter;
  gpointer id;

  sj_free (f->cluster);
  new_cluster (f);
  g_hash_table_iter_init (&iter, f->job);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    load_job (f, id);
  for (int i = 0; i < f->workers; i++)
    {
      f->worker[i].listed_at_ms = 0;
      if (f->worker[i].up)
        tell_worker (f, &f->worker[i]);
    }
}

void
fa_crash (struct fa_farm *f, int i)
{
  struct fa_worker *w = &f->worker[i];

  g_array_set_size (w->run, 0);
  g_hash_table_remove_all (w->closed);
  g_array_set_size (w->ended, 0);
  w->life++;
  w->token = w->seen = w->end_number = w->lease_ms = 0;
  f->taken[i] = f->committing[i] = 0;
  w->listed_at_ms = 0;
  tell_worker (f, w);
}

enum sj_state
fa_state (const struct fa_farm *f, const char *id)
{
  int state = GPOINTER_TO_INT (g_hash_table_lookup (f->state, id));

  return state ? (enum sj_state) (state - 1) : SJ_QUEUED;
}

static int64_t
since_accepted (const struct fa_farm *f, GHashTable *table, const char *id)
{
  gsize at = GPOINTER_TO_SIZE (g_hash_table_lookup (table, id));
  gsize accepted = GPOINTER_TO_SIZE (g_hash_table_lookup (f->accepted, id));

  return at ? (int64_t)(at - accepted) : -1;
}

int64_t
fa_waited (const struct fa_farm *f, const char *id)
{
  return since_accepted (f, f->begun, id);
}

int64_t
fa_took (const struct fa_farm *f, const char *id)
{
  return since_accepted (f, f->ended, id);
}

struct sj_job *
fa_job (unsigned number, int priority, int count, int gpus, int64_t run_ms)
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
  job->steps = 1;
  job->step = g_new0 (struct sj_step, 4);
  job->step[0] = (struct sj_step){ .count = count,
                                   .need = { gpus * 4000, gpus * 8000, gpus },
                                   .estimate_ms = run_ms };
  return job;
}
