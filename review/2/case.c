/* Workers that fail part of the starts that they get: some are answered with
   503, and some are executed and their connection is closed.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "review/stand/world.h"

enum
{
  WORKERS = 12,
  TASKS = 6,
  WORK_MS = 1500,
  JOB_GAP_MS = 250,
  MAX_JOBS = 400,
  ROUNDS = 5,
  GREY_MS = 6500, /* for_s of srv_grey */
  CALM_MS = 2000,
  SETTLE_MS = 8000,
  REFUSED_PERCENT = 30,
  UNANSWERED_PERCENT = 30
};

struct task
{
  int running;
  int64_t since_ms;
  char worker[32];
};

static struct wd_world world;
static struct task task[MAX_JOBS][TASKS];
static int jobs, twice;

static struct task *
find_task (const char *name)
{
  unsigned job = 0;
  int occurrence, step, index;

  if (sscanf (name, "5c0e7a21d94b%4x.%d.%d.%d", &job, &occurrence, &step,
              &index)
          != 4
      || job >= MAX_JOBS || index >= TASKS)
    return NULL;
  return &task[job][index];
}

static void
on_start (struct wd_world *w, struct wd_worker *k, struct wd_run *run)
{
  struct task *t = find_task (run->task);

  run->work_ms = WORK_MS;
  wd_note (w, "run      %s run %lld on %s", run->task, (long long)run->number,
           k->id);
  if (!t)
    return;
  if (t->running)
    {
      twice++;
      wd_note (w, "TWICE    %s run %lld begins on %s while a run on %s works",
               run->task, (long long)run->number, k->id, t->worker);
      printf ("%s run %lld begins on %s while a run on %s works\n", run->task,
              (long long)run->number, k->id, t->worker);
    }
  t->running++;
  t->since_ms = wd_now_ms ();
  g_strlcpy (t->worker, k->id, sizeof t->worker);
}

static void
on_end (struct wd_world *w, struct wd_worker *k, const struct wd_run *run,
        const char *how)
{
  struct task *t = find_task (run->task);

  wd_note (w, "end      %s run %lld on %s: %s", run->task,
           (long long)run->number, k->id, how);
  if (!t)
    return;
  t->running--;
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

static void
hand_in_for (int64_t ms)
{
  int64_t end = wd_now_ms () + ms;

  for (; wd_now_ms () < end && jobs < MAX_JOBS; usleep (JOB_GAP_MS * 1000))
    {
      char path[40], body[200];

      snprintf (path, sizeof path, "/desk/5c0e7a21d94b%04x", jobs++);
      snprintf (body, sizeof body,
                "{\"specification\":\"check\",\"steps\":[{\"count\":%d,"
                "\"cpu\":15000,\"memory_request_mb\":22000,"
                "\"estimated_ms\":%d}]}",
                TASKS, WORK_MS);
      wd_submit (&world, jobs % world.set.vms, path, "key-inn", body);
    }
}

static void
set_grey (int worker, int yes)
{
  struct wd_worker *k = &world.worker[worker];

  wd_lock (&world);
  k->refused_percent = yes ? REFUSED_PERCENT : 0;
  k->unanswered_percent = yes ? UNANSWERED_PERCENT : 0;
  wd_note (&world, "worker   %s %s", k->id,
           yes ? "fails part of its starts" : "is sound again");
  wd_unlock (&world);
}

int
main (void)
{
  struct wd_settings set = { .vms = 3,
                             .workers = WORKERS,
                             .hold_max_ms = 10000,
                             .stop_ms = 200,
                             .checkpoint_interval_s = 2,
                             .reclaim_ms = 2700,
                             .cpu = 128000,
                             .memory_mb = 262144,
                             .gpu = 8 };
  int trouble = !getenv ("TROUBLE") || atoi (getenv ("TROUBLE"));

  wd_init (&world, &set);
  world.on_start = on_start;
  world.on_end = on_end;
  configure ();
  for (int n = 0; n < set.vms; n++)
    wd_start_vm (&world, n);
  wd_wait_ready (&world);
  usleep (3000000);
  hand_in_for (CALM_MS);
  for (int i = 0; i < ROUNDS; i++)
    {
      if (trouble)
        set_grey (i, 1);
      hand_in_for (GREY_MS);
      if (trouble)
        set_grey (i, 0);
      hand_in_for (CALM_MS);
    }
  usleep (SETTLE_MS * 1000);
  wd_note (&world, "result   %d jobs, %d times two runs of one task at once",
           jobs, twice);
  printf ("%d jobs, %d times two runs of one task at once\n", jobs, twice);
  wd_fini (&world);
  return twice > 0;
}
