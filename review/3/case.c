/* Tasks with long checkpoint names that are not ASCII, and a kill of the
   process that holds the lease.  */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "review/stand/world.h"

enum
{
  TASKS = 6,
  FIRST_WORK_MS = 5000,
  MORE_WORK_MS = 1200, /* by task; the last one takes 11 s */
  KILL_MS = 6500,      /* after the first start */
  DOWN_MS = 3500,      /* for_s of node_kill */
  FINISH_MS = 14000,   /* finish_s, after the last task would have ended */
  AFTER_MS = 8000,
  IDLE_MS = 3000, /* LOST: so long nothing runs */
  POLL_MS = 50
};

/* "voice matching, drama series seventeen, episode four, third casting".  */
static char prefix[]
    = "save/성우매칭-드라마시리즈십칠-사화-세번째캐스팅-중간저장";

static struct wd_world world;
static const char id[] = "5c0e7a21d94b36f8", path[] = "/desk/5c0e7a21d94b36f8",
                  key[] = "key-inn";
static int done;

static void
on_start (struct wd_world *w, struct wd_worker *k, struct wd_run *run)
{
  int index = atoi (strrchr (run->task, '.') + 1);

  run->work_ms = FIRST_WORK_MS + index * MORE_WORK_MS;
  run->checkpoints = 1;
  wd_note (w, "run      %s run %lld on %s%s%s", run->task,
           (long long)run->number, k->id, *run->resumed ? " from " : "",
           run->resumed);
}

static void
on_end (struct wd_world *w, struct wd_worker *k, const struct wd_run *run,
        const char *how)
{
  wd_note (w, "end      %s run %lld on %s: %s", run->task,
           (long long)run->number, k->id, how);
  done += !strcmp (how, "done");
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
  int status, holder, open;
  int64_t now, end, idle = 0, longest = 0;
  char answer[WD_ANSWER_SIZE] = "";

  wd_init (&world, &set);
  world.arg = prefix;
  world.on_start = on_start;
  world.on_end = on_end;
  configure ();
  for (int n = 0; n < set.vms; n++)
    wd_start_vm (&world, n);
  wd_wait_ready (&world);
  usleep (3000000);
  status = wd_submit (&world, 0, path, key,
                      "{\"specification\":\"match\",\"steps\":[{\"count\":6,"
                      "\"cpu\":11000,\"memory_request_mb\":16000,"
                      "\"estimated_ms\":8000,\"checkpointing\":true}]}");
  holder = wd_holder (&world);
  if (status / 100 != 2 || holder < 0)
    {
      wd_fini (&world);
      return 2;
    }
  usleep (KILL_MS * 1000);
  if (trouble)
    wd_signal_vm (&world, holder, SIGKILL);
  usleep (DOWN_MS * 1000);
  if (trouble)
    wd_start_vm (&world, holder);
  usleep ((FIRST_WORK_MS + (TASKS - 1) * MORE_WORK_MS - KILL_MS - DOWN_MS
           + FINISH_MS)
          * 1000);
  wd_note (&world, "finish_s after the last task could have ended");
  for (now = wd_now_ms (), end = now + AFTER_MS; now < end; now = wd_now_ms ())
    {
      wd_lock (&world);
      open = done < TASKS && !wd_running (&world, id);
      wd_unlock (&world);
      if (!open)
        idle = 0;
      else if (!idle)
        idle = now;
      if (idle)
        longest = MAX (longest, now - idle);
      usleep (POLL_MS * 1000);
    }
  wd_call (&world, (holder + 1) % set.vms, "GET", path, key, NULL, answer);
  wd_note (&world,
           "result   %d of %d tasks done; nothing of the job ran for %lld ms; "
           "it is shown as %s",
           done, TASKS, (long long)longest, answer);
  printf ("%d of %d tasks done; nothing of the job ran for %lld ms; it is "
          "shown as %s\n",
          done, TASKS, (long long)longest, answer);
  wd_fini (&world);
  return longest >= IDLE_MS;
}
