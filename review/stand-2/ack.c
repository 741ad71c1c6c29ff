/* A worker crashes and comes back under its id while the holder stores the end
   of a run, and the store is slow.  The next poll acknowledges that end by its
   number, with which the new incarnation has counted the end of another run.
   A task of which an end "done" is taken note of must not start again.  */
#include <string.h>

#include "play.h"

enum
{
  VMS = 3,
  WORKERS = 8,
  TRIES = 5,
  WAY_MS = 120,    /* to and from the store, in all 60 times 4 ms */
  SLOW_MS = 4500,  /* for which the store is slow, at most */
  LIST_MS = 20,    /* from an end until the holder has it listed */
  DOWN_MS = 40,    /* of the worker */
  REPORT_MS = 800, /* until its entry shows the new incarnation */
  FIRST_MS = 5000, /* the first task ends when the play says so */
  SECOND_MS = 60,
  FILL_MS = 600000,
  WATCH_MS = 6000
};

static void
slow_store (struct play *p, int slow)
{
  pl_note (p, "the store: %s", slow ? "answers after 240 ms" : "is fast");
  for (int vm = 0; vm < VMS; vm++)
    atomic_store (&px_store_link (&p->proxy, vm)->delay_ms, slow ? WAY_MS : 0);
}

static int
idle_worker (struct play *p)
{
  int idle = -1;

  sf_lock (&p->platform);
  for (int n = 0; n < WORKERS; n++)
    if (!p->platform.worker[n].runs->len)
      idle = n;
  sf_unlock (&p->platform);
  return idle;
}

/* Waits until the store has the record of job ID.  */
static int
wait_for_record (struct play *p, const char *id, int64_t until_ms)
{
  char name[40];
  int found = 0;

  snprintf (name, sizeof name, "runs/%s", id);
  while (!found && pl_ms (p) < until_ms)
    {
      sf_lock (&p->platform);
      found = g_tree_lookup (p->platform.rows, name) != NULL;
      sf_unlock (&p->platform);
      usleep (1000);
    }
  return found;
}

/* Lets the run of worker N end as done.  */
static void
end_run (struct play *p, int n)
{
  sf_lock (&p->platform);
  for (guint i = 0; i < p->platform.worker[n].runs->len; i++)
    {
      struct sf_run *r
          = &g_array_index (p->platform.worker[n].runs, struct sf_run, i);

      r->work.work_ms = MAX (sf_work_done_ms (r), 1);
    }
  sf_unlock (&p->platform);
}

static const char *const body[2]
    = { "{\"specification\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1000,"
        "\"memory_request_mb\":100,\"gpu\":1,\"estimated_ms\":5000}]}",
        "{\"specification\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1000,"
        "\"memory_request_mb\":100,\"gpu\":1,\"estimated_ms\":60}]}" };

/* Plays one try.  Returns 1 if the second job's task was started again after
   its end was taken note of, -1 if the play went wrong.  */
static int
play_try (struct play *p, int try, int worker)
{
  struct sf_work first = { .work_ms = FIRST_MS, .need = { 1000, 100, 1 } };
  struct sf_work second = { .work_ms = SECOND_MS, .need = { 1000, 100, 1 } };
  char id[2][20], path[2][60];
  struct pl_job *j[2], now;
  int64_t begin_ms;

  for (int i = 0; i < 2; i++)
    {
      snprintf (id[i], sizeof id[i], "%015d%c", try + 1, i ? 'b' : 'a');
      snprintf (path[i], sizeof path[i], "/desk/%s", id[i]);
      j[i] = pl_add_job (p, id[i], i ? &second : &first);
    }
  if (pl_submit (p, 0, path[0], body[0]) < 0)
    return -1;
  pl_sleep_until (p, pl_ms (p) + 1500);
  now = pl_job_now (p, j[0]);
  if (now.running != 1 || now.last_worker != worker)
    return -1;
  begin_ms = pl_ms (p);
  if (!pl_is_calm ())
    slow_store (p, 1);
  if (pl_submit (p, 1, path[1], body[1]) < 0
      || !wait_for_record (p, id[1], pl_ms (p) + 3000))
    return -1;
  end_run (p, worker);
  pl_sleep_until (p, pl_ms (p) + LIST_MS);
  if (!pl_is_calm ())
    {
      /* The entry of a worker that has come back is written later.  */
      sf_set_store_fault (&p->platform, SF_REPORTS, SF_STORE_DOWN);
      sf_worker_kill (&p->platform, worker);
      pl_note (p, "worker %d: has crashed", worker);
      pl_sleep_until (p, pl_ms (p) + DOWN_MS);
      sf_worker_start (&p->platform, worker, 0);
      pl_note (p, "worker %d: is back under its id", worker);
      pl_sleep_until (p, pl_ms (p) + REPORT_MS);
      sf_set_store_fault (&p->platform, SF_REPORTS, SF_STORE_HEALTHY);
      pl_sleep_until (p, begin_ms + SLOW_MS);
      slow_store (p, 0);
    }
  pl_sleep_until (p, pl_ms (p) + WATCH_MS);
  now = pl_job_now (p, j[1]);
  pl_note (p,
           "%s: %d starts, %d done, %d of these taken note of, %d starts "
           "after that",
           now.id, now.starts, now.ends[SJ_END_DONE], now.noted,
           now.starts_after_noted);
  return now.starts_after_noted > 0;
}

int
main (int argc, char **argv)
{
  static struct play play;
  struct play *p = &play;
  struct sf_work fill = { .work_ms = FILL_MS, .need = { 64000, 1000, 0 } };
  int worker, result = 0;

  pl_init (p, argc, argv, VMS, WORKERS);
  pl_add_job (p, "00000000000000f1", &fill);
  if (pl_submit (p, 0, "/night/00000000000000f1",
                 "{\"specification\":\"s\",\"steps\":[{\"count\":7,\"cpu\":"
                 "64000,\"memory_request_mb\":1000,\"estimated_ms\":600000}]}")
      < 0)
    pl_exit (p, PL_NOT_RUN);
  pl_sleep_until (p, pl_ms (p) + 3000);
  worker = idle_worker (p);
  if (worker < 0)
    pl_exit (p, PL_NOT_RUN);
  for (int i = 0; i < TRIES && !result; i++)
    result = play_try (p, i, worker);
  pl_exit (p, result < 0 ? PL_NOT_RUN : result ? PL_BROKEN : PL_HELD);
}
