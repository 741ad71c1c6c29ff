/* A scheduled job's runs pile up while all VMs are without power.  Afterwards
   an ordinary job, handed in without any disruption, has to be done.  */
#include <string.h>

#include "play.h"

enum
{
  VMS = 3,
  WORKERS = 12,
  TASKS = 1000, /* of an occurrence of the scheduled job */
  TIMES = 10,
  INTERVAL_MS = 900,
  FIRST_AFTER_MS = 1500,
  FIRST_WORK_MS = 800, /* the first occurrence takes longer */
  DARK_FROM_MS = 2050, /* after the acknowledgement */
  DARK_MS = 9500,
  CALM_MS = 4000,    /* from the VMs' start to the ordinary jobs */
  OTHER_TASKS = 900, /* of the first step; the second has one */
  OTHERS = 8,
  FINISH_MS = 14000,
  IDLE_MS = 3000,
  LONGEST_MS = 40000
};

static const char scheduled[] = "00000000000000f0";

/* Whether all jobs of J are done.  */
static int
are_done (struct play *p, struct pl_job *const *j)
{
  int done = 1;

  for (int i = 0; i < OTHERS; i++)
    {
      struct pl_job now = pl_job_now (p, j[i]);

      pl_note (p, "%s: %d starts, %d done, %d running", now.id, now.starts,
               now.ends[SJ_END_DONE], now.running);
      done &= now.ends[SJ_END_DONE] == OTHER_TASKS + 1;
    }
  return done;
}

/* Whether a job has nothing running, though all tasks of its first step are
   done and its second step has not begun.  */
static int
is_idle (struct play *p, struct pl_job *const *j)
{
  for (int i = 0; i < OTHERS; i++)
    {
      struct pl_job now = pl_job_now (p, j[i]);

      if (!now.running && now.starts == OTHER_TASKS
          && now.ends[SJ_END_DONE] == OTHER_TASKS)
        return 1;
    }
  return 0;
}

int
main (int argc, char **argv)
{
  static struct play play;
  struct play *p = &play;
  struct sf_work work = { .work_ms = 300, .need = { 10, 1, 0 } };
  struct sf_work other = { .work_ms = 200, .need = { 10, 1, 0 } };
  int64_t accepted_ms, sent_ms, idle_since_ms = 0;
  struct pl_job *j[OTHERS];
  struct pl_answer a;
  char body[500], path[60];

  pl_init (p, argc, argv, VMS, WORKERS);
  pl_add_job (p, scheduled, &work)->first_work_ms = FIRST_WORK_MS;
  snprintf (
      body, sizeof body,
      "{\"specification\":\"s\",\"first_run_ms\":%lld,\"interval_ms\":%d,"
      "\"repetitions\":%d,\"steps\":[{\"count\":%d,\"cpu\":10,"
      "\"memory_request_mb\":1,\"estimated_ms\":300}]}",
      (long long)bs_wall_ms () + FIRST_AFTER_MS, INTERVAL_MS, TIMES, TASKS);
  accepted_ms = pl_submit (p, 0, "/night/00000000000000f0", body);
  if (accepted_ms < 0)
    pl_exit (p, PL_NOT_RUN);
  pl_sleep_until (p, accepted_ms + DARK_FROM_MS);
  for (int n = 0; n < VMS && !pl_is_calm (); n++)
    pl_vm_kill (p, n);
  pl_sleep_until (p, accepted_ms + DARK_FROM_MS + DARK_MS);
  for (int n = 0; n < VMS && !pl_is_calm (); n++)
    pl_vm_start (p, n);
  pl_sleep_until (p, pl_ms (p) + CALM_MS);
  for (int i = 0; i < OTHERS; i++)
    {
      snprintf (path, sizeof path, "%015df", i + 1);
      j[i] = pl_add_job (p, path, &other);
      snprintf (path, sizeof path, "/desk/%015df", i + 1);
      snprintf (body, sizeof body,
                "{\"specification\":\"s\",\"steps\":[{\"count\":%d,\"cpu\":10,"
                "\"memory_request_mb\":1,\"estimated_ms\":200},{\"count\":1,"
                "\"cpu\":10,\"memory_request_mb\":1,\"estimated_ms\":200,"
                "\"after\":[0]}]}",
                OTHER_TASKS);
      if (pl_submit (p, i, path, body) < 0)
        pl_exit (p, PL_NOT_RUN);
    }
  sent_ms = pl_ms (p);
  while (pl_ms (p) < sent_ms + LONGEST_MS)
    {
      pl_sleep_until (p, pl_ms (p) + 1000);
      if (are_done (p, j))
        pl_exit (p, PL_HELD);
      if (!is_idle (p, j) || pl_ms (p) < sent_ms + FINISH_MS)
        idle_since_ms = 0;
      else if (!idle_since_ms)
        idle_since_ms = pl_ms (p);
      else if (pl_ms (p) - idle_since_ms > IDLE_MS)
        {
          for (int i = 0; i < OTHERS; i++)
            {
              snprintf (path, sizeof path, "/desk/%015df", i + 1);
              pl_call (p, 0, "GET", path, NULL, 3000, &a);
            }
          pl_note (p,
                   "the first step of a job is done, and its second one has "
                   "not begun");
          pl_exit (p, PL_BROKEN);
        }
    }
  pl_exit (p, PL_NOT_RUN);
}
