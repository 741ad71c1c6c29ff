/* Bytes, rows and time of the commit of one ended task, by the size of its
   job.  Prints a line for each size.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "skr/steps.h"

#include <glib.h>

enum
{
  WORKER_TASKS = 50,
  ENDS = 100, /* at most, for each size */
  MAX_ROWS = 64
};

struct worker
{
  char id[24];
  GArray *runs; /* struct sj_listed_run */
};

struct bench
{
  struct sj_cluster *c;
  struct worker *worker;
  int workers, tasks;
  int64_t now;
  GArray *starts; /* int, indexes of workers: starts without an answer */
};

struct cost
{
  int64_t ns, bytes, rows;
};

static int64_t
now_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

static void
on_order (void *arg, const struct sj_order *order)
{
  struct bench *b = arg;
  struct sj_listed_run run
      = { .run = order->run, .checkpoint = "00000bb87a21d94b", .percent = 10 };
  int w = atoi (order->worker + strlen (order->worker) - 5);

  if (order->kind != SJ_START)
    return;
  g_array_append_val (b->worker[w].runs, run);
  g_array_append_val (b->starts, w);
}

/* Stores all changes, and adds what that costs to COST.  */
static void
commit (struct bench *b, struct cost *cost)
{
  struct sj_dirty row[MAX_ROWS];
  int64_t begin = now_ns ();

  while (sj_is_dirty (b->c))
    {
      int n = sj_dirty (b->c, row, MAX_ROWS);

      for (int i = 0; i < n; i++)
        {
          char *text = row[i].record ? json_dumps (row[i].record, JSON_COMPACT)
                                     : NULL;

          cost->bytes += text ? (int64_t)strlen (text) : 0;
          cost->rows++;
          free (text);
          json_decref (row[i].record);
        }
      sj_committed (b->c, 1, b->now);
    }
  cost->ns += now_ns () - begin;
}

static void
answer_starts (struct bench *b)
{
  for (int w = 0; w < b->workers; w++)
    for (guint i = 0; i < b->worker[w].runs->len; i++)
      {
        const struct sj_listed_run *r
            = &g_array_index (b->worker[w].runs, struct sj_listed_run, i);

        sj_start_answered (b->c, b->worker[w].id, &r->run, SJ_EXECUTED,
                           b->now);
      }
  g_array_set_size (b->starts, 0);
}

/* Lists the runs of W, of which the first has ended if HAS_END.  */
static void
list_runs (struct bench *b, struct worker *w, int has_end)
{
  struct sj_listed_run end;
  struct sj_listing l = { .requested_ms = b->now, .ends = &end };

  if (!w->runs)
    return;
  if (has_end)
    {
      end = g_array_index (w->runs, struct sj_listed_run, 0);
      end.end = SJ_END_DONE;
      l.end_count = 1;
      g_array_remove_index (w->runs, 0);
    }
  l.run_count = (int)w->runs->len;
  l.runs = (struct sj_listed_run *)(void *)w->runs->data;
  sj_listing_apply (b->c, w->id, &l, b->now);
}

static void
add_worker (struct bench *b, int i)
{
  struct worker *w = &b->worker[i];
  struct sj_worker_info info = { .id = w->id,
                                 .incarnation = 1700000000000 + i,
                                 .service = "s",
                                 .kind = "a",
                                 .rack = "r",
                                 .capacity = { WORKER_TASKS, 0, 0 },
                                 .version = 1 };

  snprintf (w->id, sizeof w->id, "i-0a1b2c3d4e%05d", i);
  w->runs = g_array_new (FALSE, FALSE, sizeof (struct sj_listed_run));
  sj_worker_set (b->c, &info, b->now);
  sj_worker_set_reachable (b->c, w->id, 1);
  list_runs (b, w, 0);
}

static void
add_job (struct bench *b)
{
  struct sj_job *job = g_new0 (struct sj_job, 1);

  snprintf (job->id, sizeof job->id, "%016x", 1);
  job->service = g_strdup ("s");
  job->payload = g_strdup ("");
  job->max_attempts = 3;
  job->step_count = (b->tasks + 3999) / 4000;
  job->step = g_new0 (struct sj_step, job->step_count);
  for (int i = 0; i < job->step_count; i++)
    job->step[i] = (struct sj_step){ .count = MIN (b->tasks - i * 4000, 4000),
                                     .need = { 1, 0, 0 },
                                     .estimate_ms = 60000,
                                     .checkpoints = 1 };
  if (!sj_job_add (b->c, job, NULL, 0, b->now))
    return;
  printf ("%d tasks: not accepted\n", b->tasks);
  exit (1);
}

static void
measure (int tasks, int pieces)
{
  struct sj_settings set = { .off_rack_factor = 3, .record_pieces = pieces };
  struct bench b = { .tasks = tasks,
                     .workers = (tasks + WORKER_TASKS - 1) / WORKER_TASKS,
                     .now = 100000 };
  struct cost first = { 0 }, ends = { 0 };
  int64_t rounds_ns = 0;
  int count = MIN (tasks - 1, ENDS);

  b.c = sj_new (&set, on_order, &b);
  b.worker = g_new0 (struct worker, b.workers);
  b.starts = g_array_new (FALSE, FALSE, sizeof (int));
  for (int i = 0; i < b.workers; i++)
    add_worker (&b, i);
  add_job (&b);
  sj_decide (b.c, b.now, b.now);
  commit (&b, &first);
  answer_starts (&b);
  b.now += 500;
  for (int i = 0; i < b.workers; i++)
    list_runs (&b, &b.worker[i], 0);
  for (int i = 0; i < count; i++)
    {
      struct worker *w = &b.worker[i % b.workers];
      int64_t begin;

      b.now += 10;
      list_runs (&b, w, 1);
      commit (&b, &ends);
      begin = now_ns ();
      sj_decide (b.c, b.now, b.now);
      rounds_ns += now_ns () - begin;
    }
  printf ("%6d tasks, %s: all starts %lld rows, %lld bytes, %lld us; one end "
          "%.2f rows, %lld bytes, %.1f us, decision %.1f us\n",
          tasks, pieces ? "in pieces" : "one row", (long long)first.rows,
          (long long)first.bytes, (long long)first.ns / 1000,
          (double)ends.rows / count, (long long)ends.bytes / count,
          (double)ends.ns / 1000 / count, (double)rounds_ns / 1000 / count);
  sj_free (b.c);
  for (int i = 0; i < b.workers; i++)
    g_array_free (b.worker[i].runs, TRUE);
  g_array_free (b.starts, TRUE);
  g_free (b.worker);
}

int
main (void)
{
  for (int pieces = 0; pieces < 2; pieces++)
    for (int tasks = 10; tasks <= 10000; tasks *= 10)
      measure (tasks, pieces);
  return 0;
}
