/* A VM is cut off from the store while it hands a job to it.  The client gets
   no certain answer, cancels the job at another VM, and is told that there is
   no such job.  Nothing of the job may start later than CANCEL_MS after
   that.  */
#include <string.h>

#include "play.h"

enum
{
  VMS = 3,
  WORKERS = 8,
  CUT_MS = 5500,
  CANCEL_MS = 3000,
  WATCH_MS = 12000
};

/* The VM that holds the lease, or -1.  */
static int
holder (struct play *p)
{
  const struct sf_row *row;
  json_t *o;
  int vm = -1;

  sf_lock (&p->platform);
  row = g_tree_lookup (p->platform.rows, "jobs/~lease");
  o = row ? json_loads (row->value, 0, NULL) : NULL;
  if (json_string_value (json_object_get (o, "vm")))
    sscanf (json_string_value (json_object_get (o, "vm")), "vm%d", &vm);
  json_decref (o);
  sf_unlock (&p->platform);
  return vm;
}

static void
cut_store (struct play *p, int vm, int cut)
{
  pl_note (p, "vm%d: %s the store", vm, cut ? "is cut off from" : "reaches");
  for (int i = 0; i < 2; i++)
    atomic_store (&px_store_link (&p->proxy, vm)->paused[i], cut);
}

int
main (int argc, char **argv)
{
  static struct play play;
  struct play *p = &play;
  struct sf_work work = { .work_ms = 8000, .need = { 1000, 100, 1 } };
  int64_t cut_ms, cancelled_ms = -1;
  int first, other, lead;
  struct pl_job *j, now;
  struct pl_answer a;

  pl_init (p, argc, argv, VMS, WORKERS);
  lead = holder (p);
  if (lead < 0)
    pl_exit (p, PL_NOT_RUN);
  first = (lead + 1) % VMS;
  other = (lead + 2) % VMS;
  pl_note (p, "vm%d holds the lease", lead);
  j = pl_add_job (p, "00000000000000d1", &work);
  cut_ms = pl_ms (p);
  if (!pl_is_calm ())
    cut_store (p, first, 1);
  pl_call (p, first, "POST", "/desk/00000000000000d1",
           "{\"specification\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1000,"
           "\"memory_request_mb\":100,\"gpu\":1,\"estimated_ms\":8000}]}",
           3000, &a);
  for (int i = 0; i < 3 && cancelled_ms < 0; i++)
    {
      pl_call (p, other, "DELETE", "/desk/00000000000000d1", NULL, 3000, &a);
      if (a.status == 410 || (a.status >= 200 && a.status < 300))
        cancelled_ms = pl_ms (p);
    }
  if (cancelled_ms < 0)
    pl_exit (p, PL_NOT_RUN);
  if (!pl_is_calm ())
    {
      pl_sleep_until (p, cut_ms + CUT_MS);
      cut_store (p, first, 0);
    }
  pl_sleep_until (p, cancelled_ms + WATCH_MS);
  now = pl_job_now (p, j);
  pl_call (p, other, "GET", "/desk/00000000000000d1", NULL, 3000, &a);
  pl_note (p, "cancelled at %lld ms, first start at %lld ms, %d starts",
           (long long)cancelled_ms, (long long)now.first_start_ms, now.starts);
  if (now.starts && now.first_start_ms > cancelled_ms + CANCEL_MS)
    pl_exit (p, PL_BROKEN);
  pl_exit (p, PL_HELD);
}
