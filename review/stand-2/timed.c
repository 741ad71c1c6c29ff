/* A job that runs ten times is accepted, and all VMs lose power until its runs
   are due.  Afterwards they have to take place.  */
#include <string.h>

#include "play.h"

enum
{
  VMS = 3,
  WORKERS = 12,
  TASKS = 1000, /* of an occurrence */
  TIMES = 10,
  INTERVAL_MS = 900,
  FIRST_AFTER_MS = 1500,
  DARK_FROM_MS = 700, /* after the acknowledgement */
  DARK_MS = 9500,
  FINISH_MS = 14000,
  IDLE_MS = 3000,
  LONGEST_MS = 60000 /* from when the last occurrence is due */
};

static const char id[] = "00000000000000a1";

static int
shows (struct play *p, const char *state)
{
  struct pl_answer a;

  pl_call (p, 0, "GET", "/night/00000000000000a1", NULL, 3000, &a);
  return a.status == 200 && strstr (a.body, state) != NULL;
}

int
main (int argc, char **argv)
{
  static struct play play;
  struct play *p = &play;
  struct sf_work work = { .work_ms = 300, .need = { 10, 1, 0 } };
  int64_t accepted_ms, due_ms, wall_ms, idle_since_ms = 0;
  struct pl_job *j, now;
  char body[400];

  pl_init (p, argc, argv, VMS, WORKERS);
  j = pl_add_job (p, id, &work);
  wall_ms = bs_wall_ms ();
  snprintf (
      body, sizeof body,
      "{\"specification\":\"s\",\"first_run_ms\":%lld,\"interval_ms\":%d,"
      "\"repetitions\":%d,\"steps\":[{\"count\":%d,\"cpu\":10,"
      "\"memory_request_mb\":1,\"estimated_ms\":300}]}",
      (long long)wall_ms + FIRST_AFTER_MS, INTERVAL_MS, TIMES, TASKS);
  accepted_ms = pl_submit (p, 0, "/night/00000000000000a1", body);
  if (accepted_ms < 0)
    pl_exit (p, PL_NOT_RUN);
  due_ms = accepted_ms + FIRST_AFTER_MS + (TIMES - 1) * INTERVAL_MS;
  pl_sleep_until (p, accepted_ms + DARK_FROM_MS);
  now = pl_job_now (p, j);
  pl_note (p, "%d starts, %d done, %d running", now.starts,
           now.ends[SJ_END_DONE], now.running);
  if (!pl_is_calm ())
    {
      for (int n = 0; n < VMS; n++)
        pl_vm_kill (p, n);
      pl_sleep_until (p, accepted_ms + DARK_FROM_MS + DARK_MS);
      for (int n = 0; n < VMS; n++)
        pl_vm_start (p, n);
    }
  pl_note (p, "the last occurrence is due at %lld ms", (long long)due_ms);
  while (pl_ms (p) < due_ms + LONGEST_MS)
    {
      pl_sleep_until (p, pl_ms (p) + 500);
      now = pl_job_now (p, j);
      pl_note (p, "%d starts, %d done, %d running", now.starts,
               now.ends[SJ_END_DONE], now.running);
      if (now.ends[SJ_END_DONE] >= TASKS * TIMES && shows (p, "completed"))
        pl_exit (p, PL_HELD);
      if (now.running || pl_ms (p) < due_ms + FINISH_MS)
        idle_since_ms = 0;
      else if (!idle_since_ms)
        idle_since_ms = pl_ms (p);
      else if (pl_ms (p) - idle_since_ms > IDLE_MS)
        {
          shows (p, "?");
          pl_note (p,
                   "nothing of the job has run for %d ms; %d of %d tasks "
                   "are done",
                   IDLE_MS, now.ends[SJ_END_DONE], TASKS * TIMES);
          pl_exit (p, PL_BROKEN);
        }
    }
  pl_note (p, "the job still runs");
  pl_exit (p, PL_NOT_RUN);
}
