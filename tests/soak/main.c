#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include "skr/opt.h"
#include "tests/soak/soak.h"

enum
{
  POLL_MS = 200,
  MAX_SECONDS = 86400
};

#define FIELD(name) offsetof (struct soak, name)

static const struct opt_def defs[]
    = { { "seed", OPT_INT, "", 0, UINT32_MAX, "1", "seed of faults and load",
          FIELD (seed) },
        { "vms", OPT_INT, "", 1, SF_MAX_VMS - 1, "4", "processes under test",
          FIELD (vms) },
        { "workers", OPT_INT, "", 1, SF_MAX_WORKERS, "8",
          "workers of the fake platform", FIELD (workers) },
        { "clients", OPT_INT, "", 1, SO_MAX_CLIENTS, "8", "threads that call",
          FIELD (clients) },
        { "seconds", OPT_INT, "s", 1, MAX_SECONDS, "20",
          "duration of the fault injection", FIELD (seconds) },
        { "settle", OPT_INT, "s", 1, MAX_SECONDS, "60",
          "time for accepted jobs to end afterwards", FIELD (settle_s) },
        { "gangs", OPT_INT, "", 0, 4, "1", "gangs of four steps",
          FIELD (gangs) },
        { "aborting", OPT_INT, "", 0, 1, "0",
          "1: one job ends the process that decides on it; needs the program "
          "of make abort-bin",
          FIELD (aborting) },
        { "only", OPT_STRING, "faults", 0, 300, "",
          "names of the faults to play, with commas; then no job crashes its "
          "workers; all but \"grey reborn\" and \"grey replaced\" by default",
          FIELD (only) },
        { "program", OPT_STRING, "file", 1, 400, "bin/skr-batch",
          "program under test", FIELD (program) },
        { "dir", OPT_STRING, "directory", 1, 300, "/tmp/soak",
          "directory of logs and settings", FIELD (dir) },
        { NULL, OPT_INT, "", 0, 0, NULL, NULL, 0 } };

static void
fail (const char *what)
{
  fprintf (stderr, "soak: %s\n", what);
  exit (2);
}

static void
write_settings (const struct soak *s)
{
  mkdir (s->dir, 0755);
  for (int n = 0; n < s->vms; n++)
    {
      char path[400];
      FILE *f;

      snprintf (path, sizeof path, "%s/vm%d.conf", s->dir, n);
      f = fopen (path, "w");
      if (!f || fputs ("log-rate=2000\n", f) < 0 || fclose (f))
        fail ("cannot write to the directory");
    }
}

static void
set_up (struct soak *s)
{
  struct sf_observer watch;

  pthread_mutex_init (&s->lock, NULL);
  bk_init (&s->model, s->seed);
  s->model.gangs = (int)s->gangs;
  s->model.none_deadly = *s->only != '\0';
  bk_init_observer (&s->model, &watch);
  if (px_init (&s->proxy, (int)s->vms, (int)s->workers)
      || sf_init (&s->platform, (int)s->vms, (int)s->workers, s->proxy.port,
                  &watch))
    fail ("cannot listen on a local address");
  s->vm_port = so_vm_port ();
  s->proxy.platform_port = sf_port (&s->platform);
  s->proxy.vm_port = s->vm_port;
  if (px_start (&s->proxy))
    fail ("cannot create a thread");
  so_change_config (s);
  write_settings (s);
  for (int n = 0; n < s->vms; n++)
    so_vm_start (s, n);
}

/* Waits until all accepted jobs have ended.  */
static void
wait_for_jobs (struct soak *s)
{
  int64_t deadline_ms = sf_now_ms () + s->settle_s * 1000;

  atomic_store (&s->no_new_work, 1);
  while (bk_count_open (&s->model) > 0 && sf_now_ms () < deadline_ms)
    {
      so_vm_reap (s);
      usleep (POLL_MS * 1000);
    }
  printf ("%6lld ms  settled, %d jobs open\n",
          (long long)(sf_now_ms () - s->model.started_ms),
          bk_count_open (&s->model));
  bk_check_end (&s->model);
}

/* Stops all VMs.  Those that never became ready are killed at the deadline. */
static void
stop_all (struct soak *s)
{
  int64_t deadline_ms = sf_now_ms () + 2 * (int64_t)SO_STOP_GRACE_MS;
  int left = 1;

  while (left)
    {
      left = 0;
      for (int n = 0; n < s->vms; n++)
        {
          so_vm_signal (s, n, sf_now_ms () < deadline_ms ? SIGTERM : SIGKILL);
          so_lock (s);
          left += s->vm[n].up;
          so_unlock (s);
        }
      usleep (POLL_MS * 1000);
      so_vm_reap (s);
    }
}

static int
report (const struct soak *s)
{
  int accepted = 0, starts = 0;

  for (guint i = 0; i < s->model.jobs->len; i++)
    {
      const struct bk_job *j = s->model.jobs->pdata[i];

      accepted += j->accepted_submits > 0;
      starts += j->starts;
    }
  if (s->aborting)
    printf ("%d processes have ended by the job at fault\n", s->aborts);
  printf ("seed %llu: %ld faults, %ld calls (%ld answered, %ld lost, %ld "
          "submits refused), %u jobs, %d accepted, %d starts, %d breaches, %d "
          "starts beside a run of the task, %d "
          "starts over a capacity\n",
          (unsigned long long)s->seed, atomic_load (&s->faults),
          atomic_load (&s->calls), atomic_load (&s->answered),
          atomic_load (&s->lost), atomic_load (&s->refused),
          s->model.jobs->len, accepted, starts, s->model.violations,
          s->model.twice, s->platform.over_capacity);
  return s->model.violations ? EXIT_FAILURE : EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  static struct soak soak;
  static struct so_client client[SO_MAX_CLIENTS];
  struct soak *s = &soak;
  pthread_t ready;
  int error = 0, result;

  opt_parse (defs, s, argc, argv, "[OPTION...]",
             "Plays faults of chance against skr-batch and checks what must "
             "hold.",
             NULL);
  if (bs_init () != BS_OK)
    fail ("a library could not be initialised");
  if (so_choose_faults (s))
    fail ("--only names an unknown fault");
  signal (SIGPIPE, SIG_IGN);
  set_up (s);
  error |= pthread_create (&ready, NULL, so_poll_readiness, s);
  for (int i = 0; i < s->clients; i++)
    {
      client[i] = (struct so_client){
        .soak = s, .seed = (uint32_t)(s->seed * SO_MAX_CLIENTS) + (uint32_t)i
      };
      error |= pthread_create (&client[i].thread, NULL, so_client_run,
                               &client[i]);
    }
  if (error)
    fail ("cannot create a thread");
  if (s->aborting)
    so_submit (s, bk_add_aborting_job (&s->model));
  so_run_faults (s);
  wait_for_jobs (s);
  stop_all (s);
  atomic_store (&s->stopping, 1);
  for (int i = 0; i < s->clients; i++)
    pthread_join (client[i].thread, NULL);
  pthread_join (ready, NULL);
  px_fini (&s->proxy);
  sf_fini (&s->platform);
  result = report (s);
  bk_fini (&s->model);
  return result;
}
