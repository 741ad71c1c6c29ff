/* A worker is lost for good as a job comes that only it has room for.  The
   job has begun nowhere, so its queue's count of waiting jobs must name it. */
#include <string.h>

#include "play.h"

enum
{
  VMS = 3,
  WORKERS = 12,
  FILL_MS = 11000, /* duration of the work that fills the other workers */
  VISIBLE_MS = 3000,
  ROW_LAPSE_MS = 4500, /* three heartbeats */
  WATCH_MS = 8500
};

/* The worker on which nothing runs.  */
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

static void
remove_row (struct play *p, int worker)
{
  sf_lock (&p->platform);
  sf_row_delete (&p->platform, po_worker_table (),
                 p->platform.worker[worker].id);
  sf_unlock (&p->platform);
  pl_note (p, "worker %d: its row has lapsed", worker);
}

/* Returns the queue's count at VM, or -1 without a 200.  */
static int
count_at (struct play *p, int vm)
{
  struct pl_answer a;
  json_t *o;
  int n = -1;

  pl_call (p, vm, "GET", "/night/", NULL, 3000, &a);
  o = a.status == 200 ? json_loads (a.body, 0, NULL) : NULL;
  if (o)
    n = (int)json_integer_value (json_object_get (o, "waiting"));
  json_decref (o);
  return n;
}

int
main (int argc, char **argv)
{
  static struct play play;
  struct play *p = &play;
  struct sf_work fill = { .work_ms = FILL_MS, .need = { 52000, 1000, 0 } };
  struct sf_work work = { .work_ms = 11000, .need = { 52000, 1000, 0 } };
  struct pl_job *filler, *j;
  int64_t accepted_ms;
  int idle, broken = 0, row_removed = 0;
  struct pl_answer a;

  pl_init (p, argc, argv, VMS, WORKERS);
  filler = pl_add_job (p, "00000000000000b1", &fill);
  j = pl_add_job (p, "00000000000000b2", &work);
  if (pl_submit (p, 0, "/night/00000000000000b1",
                 "{\"specification\":\"s\",\"steps\":[{\"count\":11,\"cpu\":"
                 "52000,\"memory_request_mb\":1000,\"estimated_ms\":11000}]}")
      < 0)
    pl_exit (p, PL_NOT_RUN);
  pl_sleep_until (p, pl_ms (p) + 800);
  idle = idle_worker (p);
  if (idle < 0 || pl_job_now (p, filler).running != WORKERS - 1)
    pl_exit (p, PL_NOT_RUN);
  if (!pl_is_calm ())
    {
      pl_note (p, "worker %d: is lost for good", idle);
      sf_worker_kill (&p->platform, idle);
    }
  accepted_ms = pl_submit (
      p, 1, "/night/00000000000000b2",
      "{\"specification\":\"s\",\"steps\":[{\"count\":1,\"cpu\":"
      "52000,\"memory_request_mb\":1000,\"estimated_ms\":11000}]}");
  if (accepted_ms < 0)
    pl_exit (p, PL_NOT_RUN);
  while (pl_ms (p) < accepted_ms + WATCH_MS)
    {
      pl_sleep_until (p, pl_ms (p) + 1000);
      if (!pl_is_calm () && !row_removed
          && pl_ms (p) > accepted_ms + ROW_LAPSE_MS)
        {
          remove_row (p, idle);
          row_removed = 1;
        }
      if (pl_ms (p) < accepted_ms + VISIBLE_MS + 2000 + 500)
        continue;
      pl_call (p, 0, "GET", "/night/00000000000000b2", NULL, 3000, &a);
      for (int vm = 0; vm < VMS; vm++)
        if (count_at (p, vm) == 0 && !pl_job_now (p, j).starts)
          {
            pl_note (p,
                     "vm%d counts 0 waiting jobs, but job b2 was accepted "
                     "%lld ms before and has not begun",
                     vm, (long long)(pl_ms (p) - accepted_ms));
            broken++;
          }
    }
  pl_note (p, "%d wrong counts", broken);
  pl_exit (p, broken ? PL_BROKEN : PL_HELD);
}
