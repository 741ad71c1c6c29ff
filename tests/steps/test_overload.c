/* The decision round of a full fleet before which many jobs of few shapes
   wait: urgent gangs, wide gangs and single tasks, as on a busy morning.  */
#include <stdio.h>
#include <string.h>

#include "steps/state.h"
#include "suite.h"

enum
{
  WORKERS = 200,
  WORKERS_PER_RACK = 20,
  JOBS = 600,
  SHAPES = 12,
  ROUND_MS = 20,
  ROUNDS = 20
};

static struct sj_cluster *c;
static int64_t now;
static int jobs;

static int stops;
static struct sj_order last_stop;

static void
count_stops (void *arg, const struct sj_order *order)
{
  (void)arg;
  if (order->kind != SJ_STOP)
    return;
  stops++;
  last_stop = *order;
}

static void
add_worker (int n)
{
  char id[16], rack[16];
  struct sj_worker_info info = { .id = id,
                                 .incarnation = 1,
                                 .service = "s",
                                 .kind = "k",
                                 .rack = rack,
                                 .capacity = { 128000, 262144, 8 } };
  struct sj_listing empty = { .requested_ms = now };

  snprintf (id, sizeof id, "w%d", n);
  snprintf (rack, sizeof rack, "r%d", n / WORKERS_PER_RACK);
  sj_worker_set (c, &info, now);
  sj_listing_apply (c, id, &empty, now);
}

/* A job of one of SHAPES shapes, by its number.  */
static void
add_job (void)
{
  struct sj_job *j = g_new0 (struct sj_job, 1);
  struct sj_step *s = g_new0 (struct sj_step, 1);
  int shape = jobs % SHAPES;

  snprintf (j->id, sizeof j->id, "%016x", (unsigned)++jobs);
  j->queue = g_strdup ("q");
  j->account = g_strdup (shape % 2 ? "a" : "b");
  j->service = g_strdup ("s");
  j->payload = g_strdup ("");
  j->priority = shape % 3;
  j->max_attempts = 3;
  j->stretch = 2;
  j->target_ms = 1000;
  j->step_count = 1;
  j->step = s;
  s->gang = j->priority < 2;
  s->one_rack = shape % 4 == 0;
  s->count = 4 + shape;
  s->need = (struct sj_resources){ 11000, 16000, 1 << shape % 4 };
  s->estimate_ms = 5000 + shape * 500;
  s->checkpoints = shape % 2;
  sj_job_add (c, j, NULL, 0, now);
}

static void
set_up (void)
{
  struct sj_settings set = { 3, 0 };

  now = 1000;
  jobs = 0;
  c = sj_new (&set, count_stops, NULL);
  sj_set_guarantee (c, "a", 100);
  for (int i = 0; i < WORKERS; i++)
    add_worker (i);
  for (int i = 0; i < JOBS; i++)
    add_job ();
}

static void
run_round (void)
{
  struct sj_dirty dirty;

  sj_decide (c, now, now);
  while (sj_dirty (c, &dirty, 1))
    json_decref (dirty.record);
  sj_committed (c, 1, now);
  sj_check (c);
  now += ROUND_MS;
}

static int
count_ready (void)
{
  int n = 0;

  for (guint i = 0; i < c->job_list->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->job_list, i);

      for (guint k = 0; k < j->units->len; k++)
        n += ((struct unit *)g_ptr_array_index (j->units, k))->state
             == UN_READY;
    }
  return n;
}

/* The work of a round grows with the shapes that wait, not with the jobs.  */
static void
test_searches_are_few (void)
{
  set_up ();
  run_round ();
  for (int i = 0; i < ROUNDS; i++)
    {
      int placed = count_ready ();

      run_round ();
      placed -= count_ready ();
      CU_ASSERT (count_ready () > 10 * SHAPES);
      /* Each shape with and without the permission to leave its rack.  */
      CU_ASSERT (c->searches <= (placed > 0 ? placed : 0) + 2 * SHAPES);
    }
  sj_free (c);
}

/* No unit is passed over that would fit: an urgent unit that still waits
   after a round fits nowhere.  */
static void
test_nothing_that_fits_is_skipped (void)
{
  set_up ();
  for (int i = 0; i < ROUNDS; i++)
    {
      run_round ();
      for (guint k = 0; k < c->job_list->len; k++)
        {
          const struct job *j = g_ptr_array_index (c->job_list, k);
          struct unit *u = g_ptr_array_index (j->units, 0);
          struct worker *placement[64];
          int off_rack;

          if (j->spec->priority == 0 && u->state == UN_READY)
            CU_ASSERT_FALSE (pl_place (c, u, 0, 0, placement, &off_rack));
        }
    }
  sj_free (c);
}

/* A stop that waits behind many others, or whose worker is silent, is not
   repeated before it has an outcome: else the stops that wait grow in number
   until no start is sent any more.  */
static void
test_stop_is_not_repeated_while_pending (void)
{
  set_up ();
  run_round ();
  stops = 0;
  sj_job_cancel (c, "0000000000000001", now);
  CU_ASSERT (stops > 0);
  stops = 0;
  for (int i = 0; i < 200; i++)
    run_round ();
  CU_ASSERT_EQUAL (stops, 0);
  sj_stop_answered (c, last_stop.worker, &last_stop.run, SJ_UNANSWERED, now);
  run_round ();
  CU_ASSERT_EQUAL (stops, 1);
  sj_free (c);
}

/* A worker changes its rack and leaves; nothing refers to it afterwards.  */
static void
test_racks_follow_workers (void)
{
  struct sj_worker_info info = { .id = "w0",
                                 .incarnation = 1,
                                 .service = "s",
                                 .kind = "k",
                                 .rack = "other",
                                 .capacity = { 128000, 262144, 8 } };

  set_up ();
  CU_ASSERT_EQUAL (c->rack_list->len, WORKERS / WORKERS_PER_RACK);
  sj_worker_set (c, &info, now);
  CU_ASSERT_EQUAL (rk_find (c, "other")->workers->len, 1);
  CU_ASSERT_EQUAL (rk_find (c, "r0")->workers->len, WORKERS_PER_RACK - 1);
  sj_worker_unlisted (c, "w0");
  sj_decide (c, now, now);
  CU_ASSERT_PTR_NULL (rk_find (c, "other"));
  CU_ASSERT_EQUAL (c->rack_list->len, WORKERS / WORKERS_PER_RACK);
  sj_free (c);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "few searches", test_searches_are_few },
    { "nothing skipped", test_nothing_that_fits_is_skipped },
    { "pending stops", test_stop_is_not_repeated_while_pending },
    { "racks", test_racks_follow_workers },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("overload", tests);
}
