/* A job of tasks that last, whose worker crashes three times.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "review/stand/world.h"

enum
{
  TASKS = 2,
  CRASHES = 3,
  FIRST_CRASH_MS = 5000,
  CALM_MS = 6000, /* at work before the next crash */
  DOWN_MS = 4500, /* for_s of srv_crash */
  WAIT_MS = 70000,
  AFTER_MS = 12000, /* 6 s after the last run, and 3 s, with margin */
  POLL_MS = 100
};

static struct wd_world world;
static const char id[] = "5c0e7a21d94b36f8", path[] = "/desk/5c0e7a21d94b36f8",
                  key[] = "key-inn";

static void
on_start (struct wd_world *w, struct wd_worker *k, struct wd_run *run)
{
  run->lasts = 1;
  wd_note (w, "run      %s run %lld on %s", run->task, (long long)run->number,
           k->id);
}

static void
on_end (struct wd_world *w, struct wd_worker *k, const struct wd_run *run,
        const char *how)
{
  if (strcmp (how, "lost") != 0)
    wd_note (w, "end      %s run %lld %s on %s", run->task,
             (long long)run->number, how, k->id);
}

static void
configure (void)
{
  wd_put (&world, "op", "config",
          "{\"version\":7,\"routes\":["
          "{\"name\":\"r-desk\",\"host\":\"desk.example\",\"prefix\":\"/desk/"
          "\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
          "\"target_duration_ms\":1000,\"priority\":1,\"service\":\"desk\","
          "\"max_attempts\":3,\"stretch\":3.0,\"public\":false}],"
          "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
          "\"connection_limit\":64,\"protocol\":\"h1\",\"tls\":false,"
          "\"rejects_overload\":false,\"spare\":false}],\"limits\":{},"
          "\"tenants\":[{\"name\":\"inn\",\"api_keys\":[\"key-inn\"],"
          "\"guaranteed\":{\"gpu\":8}}]}");
}

/* Waits until TASK has been at work for CALM_MS.  Returns its worker's number,
   or -1.  */
static int
wait_at_work (const char *task)
{
  int64_t deadline = wd_now_ms () + WAIT_MS / 2, since = 0;
  struct wd_worker *k, *last = NULL;

  while (wd_now_ms () < deadline)
    {
      wd_lock (&world);
      k = wd_find_run (&world, task);
      wd_unlock (&world);
      if (!k || k != last)
        since = wd_now_ms ();
      last = k;
      if (k && wd_now_ms () - since >= CALM_MS)
        return k->n;
      usleep (POLL_MS * 1000);
    }
  return -1;
}

static void
crash (int n)
{
  wd_lock (&world);
  wd_crash (&world, n);
  wd_unlock (&world);
  usleep (DOWN_MS * 1000);
  wd_lock (&world);
  wd_restart (&world, n);
  wd_unlock (&world);
}

int
main (void)
{
  struct wd_settings set = { .vms = 3,
                             .workers = 8,
                             .hold_max_ms = 10000,
                             .stop_ms = 200,
                             .checkpoint_interval_s = 2,
                             .reclaim_ms = 2700,
                             .cpu = 128000,
                             .memory_mb = 262144,
                             .gpu = 8 };
  int trouble = !getenv ("TROUBLE") || atoi (getenv ("TROUBLE"));
  char task[40], answer[WD_ANSWER_SIZE] = "";
  int status, away = 0, failed;
  int64_t end;

  wd_init (&world, &set);
  world.on_start = on_start;
  world.on_end = on_end;
  configure ();
  for (int n = 0; n < set.vms; n++)
    wd_start_vm (&world, n);
  wd_wait_ready (&world);
  usleep (3000000);
  status = wd_submit (&world, 0, path, key,
                      "{\"specification\":\"serve\",\"steps\":[{\"count\":2,"
                      "\"cpu\":4000,\"memory_request_mb\":4096,"
                      "\"estimated_ms\":1000,\"long_running\":true}]}");
  if (status / 100 != 2)
    {
      wd_fini (&world);
      return 2;
    }
  snprintf (task, sizeof task, "%s.0.0.0", id);
  for (int i = 0; i < CRASHES; i++)
    {
      int n = wait_at_work (task);

      if (n < 0)
        break;
      if (trouble)
        crash (n);
      else
        usleep (DOWN_MS * 1000);
    }
  /* Ten seconds are more than contact_ms and the longest lease.  */
  usleep (10000000);
  for (end = wd_now_ms () + AFTER_MS; wd_now_ms () < end;
       usleep (POLL_MS * 1000))
    {
      wd_lock (&world);
      away += wd_running (&world, id) < TASKS;
      wd_unlock (&world);
    }
  status = wd_call (&world, 1, "GET", path, key, NULL, answer);
  failed = status == 200 && strstr (answer, "\"failed\"") != NULL;
  wd_note (&world,
           "result   the job is shown as %s; tasks missing for %d ms of the "
           "last %d",
           answer, away * POLL_MS, AFTER_MS);
  printf ("the job is shown as %s; tasks missing for %d ms of the last %d\n",
          answer, away * POLL_MS, AFTER_MS);
  wd_fini (&world);
  return failed || away * POLL_MS >= AFTER_MS / 2;
}
