/* A worker crashes three times, each time the one that runs a task that lasts.
   Such a task must be started again however it ends, so its job must not be
   shown as failed.  */
#include <string.h>

#include "play.h"

enum
{
  VMS = 3,
  WORKERS = 12,
  CRASHES = 4,
  CRASH_AFTER_MS = 2500, /* a run has begun */
  DOWN_MS = 2500,
  WAIT_MS = 20000, /* for the next run */
  WORK_MS = 600000,
  TASKS = 3,
  END_MS = 12000
};

static int
is_shown_as (struct play *p, const char *state)
{
  struct pl_answer a;

  pl_call (p, 1, "GET", "/night/00000000000000c1", NULL, 3000, &a);
  return a.status == 200 && strstr (a.body, state) != NULL;
}

static void
check_failed (struct play *p, const struct pl_job *j)
{
  struct pl_job now = pl_job_now (p, j);

  if (!is_shown_as (p, "failed"))
    return;
  pl_note (p,
           "the job is shown as failed: %d runs ended as failed, %d were "
           "lost with their workers, %d run",
           now.ends[SJ_END_FAILED], now.lost, now.running);
  pl_exit (p, now.ends[SJ_END_FAILED] ? PL_NOT_RUN : PL_BROKEN);
}

int
main (int argc, char **argv)
{
  static struct play play;
  struct play *p = &play;
  struct sf_work work = { .work_ms = WORK_MS, .need = { 52000, 1000, 1 } };
  struct pl_job *j, now;
  int64_t end_ms;

  pl_init (p, argc, argv, VMS, WORKERS);
  j = pl_add_job (p, "00000000000000c1", &work);
  if (pl_submit (p, 0, "/night/00000000000000c1",
                 "{\"specification\":\"s\",\"steps\":[{\"count\":3,\"cpu\":"
                 "52000,\"memory_request_mb\":1000,\"gpu\":1,"
                 "\"estimated_ms\":6000,\"long_running\":true}]}")
      < 0)
    pl_exit (p, PL_NOT_RUN);
  for (int i = 0; i < CRASHES && !pl_is_calm (); i++)
    {
      int64_t until_ms = pl_ms (p) + WAIT_MS;

      while (pl_job_now (p, j).starts < TASKS + i && pl_ms (p) < until_ms)
        {
          pl_sleep_until (p, pl_ms (p) + 250);
          check_failed (p, j);
        }
      now = pl_job_now (p, j);
      if (now.starts < TASKS + i)
        break;
      pl_sleep_until (p, pl_ms (p) + CRASH_AFTER_MS);
      sf_worker_kill (&p->platform, now.last_worker);
      pl_sleep_until (p, pl_ms (p) + DOWN_MS);
      sf_worker_start (&p->platform, now.last_worker, 0);
      pl_note (p, "worker %d: is back", now.last_worker);
    }
  end_ms = pl_ms (p) + END_MS;
  while (pl_ms (p) < end_ms)
    {
      pl_sleep_until (p, pl_ms (p) + 1000);
      check_failed (p, j);
    }
  now = pl_job_now (p, j);
  pl_note (p, "%d tasks run", now.running);
  pl_exit (p, now.running == TASKS ? PL_HELD : PL_NOT_RUN);
}
