/* Gangs on workers of which two fail all that they start for a while.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "review/stand/world.h"

enum
{
  WORKERS = 24,
  WIDTH = 18, /* of slot-check, at most */
  ATTEMPTS = 2,
  WORK_MS = 2500,
  GREY = 2,       /* workers: 0.083 of them */
  GREY_MS = 6500, /* for_s of srv_grey */
  FAIL_MS = 300,  /* from the beginning of a task's work to its failure */
  JOB_GAP_MS = 3500,
  JOBS = 6,
  GREY_FROM = 1, /* job with which the workers turn grey */
  SETTLE_MS = 15000
};

struct job
{
  char path[40];
  int accepted, failed_runs;
  int64_t last_failed_run;
};

static struct wd_world world;
static struct job job[JOBS];

static struct job *
find_job (const char *task)
{
  unsigned n = JOBS;

  return sscanf (task, "5c0e7a21d94b%4x", &n) == 1 && n < JOBS ? &job[n]
                                                               : NULL;
}

static void
on_start (struct wd_world *w, struct wd_worker *k, struct wd_run *run)
{
  run->work_ms = WORK_MS;
  run->gang = WIDTH;
  wd_note (w, "run      %s run %lld on %s", run->task, (long long)run->number,
           k->id);
}

static void
on_end (struct wd_world *w, struct wd_worker *k, const struct wd_run *run,
        const char *how)
{
  struct job *j = find_job (run->task);

  wd_note (w, "end      %s run %lld on %s: %s", run->task,
           (long long)run->number, k->id, how);
  if (!j || strcmp (how, "failed") != 0 || j->last_failed_run == run->number)
    return;
  j->last_failed_run = run->number;
  j->failed_runs++;
}

static void
configure (void)
{
  wd_put (&world, "op", "config",
          "{\"version\":7,\"routes\":["
          "{\"name\":\"r-slot\",\"host\":\"desk.example\",\"prefix\":\"/slot/"
          "\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
          "\"target_duration_ms\":250,\"priority\":0,\"service\":\"desk\","
          "\"max_attempts\":2,\"stretch\":1.5,\"public\":false}],"
          "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
          "\"connection_limit\":64,\"protocol\":\"h1\",\"tls\":false,"
          "\"rejects_overload\":false,\"spare\":false}],\"limits\":{},"
          "\"tenants\":[{\"name\":\"inn\",\"api_keys\":[\"key-inn\"],"
          "\"guaranteed\":{\"gpu\":192}}]}");
}

static void
set_grey (int yes)
{
  wd_lock (&world);
  for (int n = 0; n < GREY; n++)
    {
      struct wd_worker *k = &world.worker[n];

      k->fail_after_ms = yes ? FAIL_MS : 0;
      wd_note (&world, "worker   %s %s", k->id,
               yes ? "fails all that it starts" : "is sound again");
    }
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
  int wrong = 0, failed = 0;
  int64_t sound_at = 0;

  wd_init (&world, &set);
  world.on_start = on_start;
  world.on_end = on_end;
  configure ();
  for (int n = 0; n < set.vms; n++)
    wd_start_vm (&world, n);
  wd_wait_ready (&world);
  usleep (3000000);
  for (int i = 0; i < JOBS; i++)
    {
      char body[300];

      if (trouble && i == GREY_FROM)
        {
          set_grey (1);
          sound_at = wd_now_ms () + GREY_MS;
        }
      snprintf (job[i].path, sizeof job[i].path, "/slot/5c0e7a21d94b%04x", i);
      snprintf (body, sizeof body,
                "{\"specification\":\"check\",\"steps\":[{\"count\":%d,"
                "\"cpu\":15000,\"memory_request_mb\":22000,\"gpu\":8,"
                "\"estimated_ms\":%d,\"gang\":true}]}",
                WIDTH, WORK_MS);
      job[i].accepted
          = wd_submit (&world, i % set.vms, job[i].path, "key-inn", body) / 100
            == 2;
      for (int64_t end = wd_now_ms () + JOB_GAP_MS; wd_now_ms () < end;
           usleep (10000))
        if (sound_at && wd_now_ms () >= sound_at)
          {
            set_grey (0);
            sound_at = 0;
          }
    }
  usleep (SETTLE_MS * 1000);
  for (int i = 0; i < JOBS; i++)
    {
      char answer[WD_ANSWER_SIZE] = "";

      wd_call (&world, i % set.vms, "GET", job[i].path, "key-inn", NULL,
               answer);
      if (!job[i].accepted || !strstr (answer, "\"failed\""))
        continue;
      failed++;
      wrong += job[i].failed_runs < ATTEMPTS;
      wd_note (&world, "job      %s is shown as failed after %d failed runs",
               job[i].path, job[i].failed_runs);
    }
  wd_note (&world,
           "result   %d jobs, %d shown as failed, %d of them before the gang "
           "failed %d times",
           JOBS, failed, wrong, ATTEMPTS);
  printf ("%d jobs, %d shown as failed, %d of them before the gang failed %d "
          "times\n",
          JOBS, failed, wrong, ATTEMPTS);
  wd_fini (&world);
  return wrong > 0;
}
