/* Starts, signals and reaps the processes under test.  */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/soak/soak.h"

enum
{
  MAX_ARGS = 24,
  ARG_SIZE = 400,
  LONG_GAP_MS = 1000,
  LAST_DEFAULT_SEED = 9999 /* those of seeds.txt were found at the defaults */
};

void
so_lock (struct soak *s)
{
  pthread_mutex_lock (&s->lock);
}

void
so_unlock (struct soak *s)
{
  pthread_mutex_unlock (&s->lock);
}

int
so_vm_port (void)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t size = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int port = 0;

  if (!bind (fd, (struct sockaddr *)&a, sizeof a)
      && !getsockname (fd, (struct sockaddr *)&a, &size))
    port = ntohs (a.sin_port);
  close (fd);
  return port;
}

static int
spawn (const struct soak *s, char *const *argv, int n, pid_t *pid)
{
  posix_spawn_file_actions_t files;
  char log[ARG_SIZE];
  int error;

  snprintf (log, sizeof log, "%s/vm%d.log", s->dir, n);
  posix_spawn_file_actions_init (&files);
  posix_spawn_file_actions_addopen (&files, 1, log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2 (&files, 1, 2);
  error = posix_spawn (pid, s->program, &files, NULL, argv, environ);
  posix_spawn_file_actions_destroy (&files);
  return error;
}

/* Adds the scheduling settings of deploy/batch.conf, with bounds that the
   platform would fill in.  Returns the new number of arguments.  */
static int
add_deployed (char arg[MAX_ARGS][ARG_SIZE], int count)
{
  static const char *const deployed[]
      = { "--speed-aware=1", "--headroom-forecast=4", "--reclaim-ms=2700",
          "--stop-ms=200", "--checkpoint-interval-s=1" };

  for (size_t i = 0; i < sizeof deployed / sizeof *deployed; i++)
    snprintf (arg[count++], ARG_SIZE, "%s", deployed[i]);
  return count;
}

void
so_vm_start (struct soak *s, int n)
{
  char arg[MAX_ARGS][ARG_SIZE];
  char *argv[MAX_ARGS + 1] = { NULL };
  struct so_vm *vm = &s->vm[n];
  int count = 0, error;

  snprintf (arg[count++], ARG_SIZE, "%s", s->program);
  snprintf (arg[count++], ARG_SIZE, "--vm=vm%d", n);
  snprintf (arg[count++], ARG_SIZE, "--listen=127.0.%d.%d:%d", SO_VM_NET,
            n + 1, s->vm_port);
  snprintf (arg[count++], ARG_SIZE, "--ready-listen=127.0.%d.%d:%d",
            SO_READY_NET, n + 1, s->vm_port);
  snprintf (arg[count++], ARG_SIZE, "--metrics-listen=127.0.%d.%d:%d",
            SO_METRICS_NET, n + 1, s->vm_port);
  snprintf (arg[count++], ARG_SIZE, "--store=127.%d.%d.1:%d", SF_LINK_NET + n,
            SO_STORE_NET, s->proxy.port);
  snprintf (arg[count++], ARG_SIZE, "--hold-ms=%d", SF_MAX_LEASE_MS);
  snprintf (arg[count++], ARG_SIZE, "--grace-ms=%d", SO_STOP_GRACE_MS);
  snprintf (arg[count++], ARG_SIZE, "--revoke-ms=%d", SO_REVOKE_MS);
  snprintf (arg[count++], ARG_SIZE, "--evacuation-ms=%d", SF_EVACUATION_MS);
  snprintf (arg[count++], ARG_SIZE, "--max-connections=%d", SO_CONNECTIONS);
  snprintf (arg[count++], ARG_SIZE, "--settings=%s/vm%d.conf", s->dir, n);
  /* Odd seeds also play the settings of access to the store.  */
  if (s->seed % 2)
    {
      snprintf (arg[count++], ARG_SIZE, "--refuse-stalled-writes=1");
      snprintf (arg[count++], ARG_SIZE, "--relay-listen=127.0.%d.%d:%d",
                SO_RELAY_NET, n + 1, s->vm_port);
    }
  if (s->seed > LAST_DEFAULT_SEED && s->seed / 2 % 2)
    count = add_deployed (arg, count);
  for (int i = 0; i < count; i++)
    argv[i] = arg[i];
  so_lock (s);
  error = spawn (s, argv, n, &vm->pid);
  vm->up = !error;
  vm->frozen = vm->stopping = vm->ready = vm->missed_probes = 0;
  vm->seen_version = 0;
  vm->has_been_ready = 0;
  vm->incarnation++;
  so_unlock (s);
  if (error)
    bk_report_violation (&s->model, "%s: %s", s->program, strerror (error));
}

static void
record_exit (struct soak *s, int n, int status)
{
  struct so_vm *vm = &s->vm[n];
  int killed = WIFSIGNALED (status) && WTERMSIG (status) == SIGKILL;
  int stopped
      = vm->stopping && WIFEXITED (status) && WEXITSTATUS (status) == 0;

  vm->up = 0;
  if (s->aborting && WIFSIGNALED (status) && WTERMSIG (status) == SIGABRT
      && s->aborts++ < SO_MAX_ABORTS)
    vm->aborted = 1;
  else if (!killed && !stopped)
    bk_report_violation (&s->model, "vm%d ended by itself, wait status %d", n,
                         status);
}

/* The platform starts a process again that has ended by itself.  */
static void
restart_aborted (struct soak *s)
{
  for (int n = 0; n < s->vms; n++)
    if (s->vm[n].aborted)
      {
        s->vm[n].aborted = 0;
        so_vm_start (s, n);
      }
}

/* Prints how long the soak has reaped nothing, which it does every 200 ms at
   most: an end that is seen late may have been in time.  */
static void
note_reaping_gap (struct soak *s)
{
  int64_t now = sf_now_ms (), gap_ms = now - s->reaped_ms;

  if (s->reaped_ms && gap_ms > LONG_GAP_MS)
    printf ("%6lld ms  the soak has not reaped for %lld ms\n",
            (long long)(now - s->model.started_ms), (long long)gap_ms);
  s->reaped_ms = now;
}

void
so_vm_reap (struct soak *s)
{
  note_reaping_gap (s);
  so_lock (s);
  for (int n = 0; n < s->vms; n++)
    {
      struct so_vm *vm = &s->vm[n];
      int status;

      if (vm->up && waitpid (vm->pid, &status, WNOHANG) == vm->pid)
        record_exit (s, n, status);
      if (vm->up && vm->stopping
          && sf_now_ms () - vm->stop_sent_ms > SO_STOP_GRACE_MS)
        {
          /* A VM that was frozen meanwhile could not finish in time.  */
          if (so_is_undisturbed (s, n, vm->stop_sent_ms))
            bk_report_violation (&s->model,
                                 "vm%d did not end within its grace", n);
          kill (vm->pid, SIGKILL);
          vm->stopping = 0;
        }
    }
  so_unlock (s);
  restart_aborted (s);
}

/* Returns whether SIGNAL must not be sent before the process has installed its
   handlers.  */
static int
needs_handler (int signal)
{
  return signal == SIGTERM || signal == SIGHUP;
}

void
so_vm_signal (struct soak *s, int n, int signal)
{
  struct so_vm *vm = &s->vm[n];

  so_lock (s);
  if (vm->up && (vm->has_been_ready || !needs_handler (signal)))
    {
      if (signal == SIGTERM && !vm->stopping)
        {
          vm->stopping = 1;
          vm->stop_sent_ms = sf_now_ms ();
        }
      vm->frozen = signal == SIGSTOP || (vm->frozen && signal != SIGCONT);
      kill (vm->pid, signal);
    }
  so_unlock (s);
}

void
so_vm_set_fault_until (struct soak *s, int n, int64_t until_ms)
{
  so_lock (s);
  s->vm[n].faulty_until_ms = MAX (s->vm[n].faulty_until_ms, until_ms);
  so_unlock (s);
}

void
so_store_set_fault_until (struct soak *s, int64_t until_ms)
{
  so_lock (s);
  s->store_faulty_until_ms = MAX (s->store_faulty_until_ms, until_ms);
  so_unlock (s);
}

int
so_is_undisturbed (const struct soak *s, int n, int64_t from_ms)
{
  int64_t quiet = from_ms - SO_RECOVERY_MS;

  return s->vm[n].faulty_until_ms <= quiet
         && s->store_faulty_until_ms <= quiet;
}
