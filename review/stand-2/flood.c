/* A scheduled job comes that can never be done, and all its occurrences are
   due.  The other jobs must run, and the processes must live.  */
#include <string.h>

#include "play.h"

enum
{
  VMS = 4,
  WORKERS = 8,
  TASKS = 1000, /* of an occurrence */
  TIMES = 1800, /* one a second */
  OTHERS = 20,  /* jobs that can be done: one in 21 is poison */
  WATCH_MS = 20000,
  FINISH_MS = 14000,
  OWN_ENDS = 3 /* in a day, of at least two machines, are a fault */
};

int
main (int argc, char **argv)
{
  static struct play play;
  struct play *p = &play;
  struct sf_work work = { .work_ms = 500, .need = { 1000, 100, 1 } };
  struct pl_job *j[OTHERS];
  int accepted[OTHERS] = { 0 }, sent = 0, ending = 0, done = 0, n_accepted = 0;
  int64_t next_ms, end_ms;
  struct pl_answer a;
  char body[500], path[80];

  pl_init (p, argc, argv, VMS, WORKERS);
  snprintf (body, sizeof body,
            "{\"specification\":\"s\",\"first_run_ms\":%lld,"
            "\"interval_ms\":1000,\"repetitions\":%d,\"steps\":[{\"count\":%d,"
            "\"cpu\":10,\"memory_request_mb\":1,\"estimated_ms\":300,"
            "\"requirements\":\"none-has-it\"}]}",
            (long long)bs_wall_ms () - TIMES * 1000LL, TIMES, TASKS);
  if (!pl_is_calm () && pl_submit (p, 0, "/night/00000000000000e0", body) < 0)
    pl_exit (p, PL_NOT_RUN);
  next_ms = pl_ms (p) + 1000;
  end_ms = pl_ms (p) + WATCH_MS + FINISH_MS;
  while (pl_ms (p) < end_ms)
    {
      pl_limit_memory (p);
      pl_sleep_until (p, pl_ms (p) + 20);
      if (sent == OTHERS || pl_ms (p) < next_ms)
        continue;
      next_ms += WATCH_MS / OTHERS;
      snprintf (path, sizeof path, "%015de", sent + 1);
      j[sent] = pl_add_job (p, path, &work);
      snprintf (path, sizeof path, "/desk/%015de", sent + 1);
      pl_call (p, sent % VMS, "POST", path,
               "{\"specification\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1000,"
               "\"memory_request_mb\":100,\"gpu\":1,\"estimated_ms\":500}]}",
               500, &a);
      accepted[sent++] = a.status == 200;
    }
  for (int i = 0; i < sent; i++)
    {
      n_accepted += accepted[i];
      done += accepted[i] && pl_job_now (p, j[i]).ends[SJ_END_DONE] > 0;
    }
  for (int n = 0; n < VMS; n++)
    {
      pl_note (p, "vm%d: %d ends by itself", n, p->own_ends[n]);
      ending += p->own_ends[n] >= OWN_ENDS;
    }
  pl_note (p, "%d of the other jobs were accepted, %d of these are done",
           n_accepted, done);
  if (!n_accepted)
    pl_exit (p, ending >= 2 ? PL_BROKEN : PL_NOT_RUN);
  pl_exit (p, ending >= 2 || done < n_accepted ? PL_BROKEN : PL_HELD);
}
