#include "play.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  READY_WAIT_MS = 20000,
  SETTLE_MS = 4500, /* the workers' reports and the holder's first polls */
  GRACE_MS = 6000,
  REQUEST_SIZE = 8192,
  URL_SIZE = 256,
  RETRIES = 4
};

extern char **environ;

int
pl_is_calm (void)
{
  const char *trouble = getenv ("TROUBLE");

  return trouble && !strcmp (trouble, "0");
}

int64_t
pl_ms (const struct play *p)
{
  return sf_now_ms () - p->begin_ms;
}

void
pl_sleep_until (const struct play *p, int64_t ms)
{
  while (pl_ms (p) < ms)
    usleep (5000);
}

void
pl_note (struct play *p, const char *format, ...)
{
  va_list args;

  flockfile (p->record);
  fprintf (p->record, "%7lld ms  ", (long long)pl_ms (p));
  va_start (args, format);
  vfprintf (p->record, format, args);
  va_end (args);
  fputc ('\n', p->record);
  fflush (p->record);
  funlockfile (p->record);
}

static struct pl_job *
find_job (struct play *p, const char *id)
{
  for (int i = 0; i < p->jobs; i++)
    if (!strcmp (p->job[i].id, id))
      return &p->job[i];
  return NULL;
}

static void
on_start (void *arg, const struct sj_order *order, int worker,
          struct sf_work *work)
{
  struct play *p = arg;
  struct pl_job *j = find_job (p, order->run.job);

  if (!j)
    {
      pl_note (p, "worker %d: start of a job that nobody sent: %s", worker,
               order->run.job);
      p->violations++;
      return;
    }
  *work = j->work;
  if (j->first_work_ms && !order->run.occurrence)
    work->work_ms = j->first_work_ms;
  j->starts++;
  j->starts_after_noted += j->noted > 0;
  j->running++;
  j->last_worker = worker;
  if (!j->first_start_ms)
    j->first_start_ms = pl_ms (p);
  pl_note (p, "worker %d: starts %s.%d.%d.%d run %lld", worker, order->run.job,
           order->run.occurrence, order->run.step, order->run.index,
           (long long)order->run.number);
}

static void
on_end (void *arg, const struct sj_run *run, int worker, enum sj_end how)
{
  struct play *p = arg;
  struct pl_job *j = find_job (p, run->job);

  if (j)
    {
      j->ends[how]++;
      j->running--;
    }
  pl_note (p, "worker %d: %s.%d.%d.%d run %lld ends: %s", worker, run->job,
           run->occurrence, run->step, run->index, (long long)run->number,
           sj_end_name (how));
}

static void
on_acknowledged (void *arg, const struct sj_run *run, enum sj_end how,
                 int lease_expired)
{
  struct play *p = arg;
  struct pl_job *j = find_job (p, run->job);

  if (!j || how != SJ_END_DONE || lease_expired)
    return;
  j->noted++;
  pl_note (p, "an end done of %s.%d.%d.%d run %lld is taken note of", run->job,
           run->occurrence, run->step, run->index, (long long)run->number);
}

static void
on_lost (void *arg, const struct sj_run *run, int worker)
{
  struct play *p = arg;
  struct pl_job *j = find_job (p, run->job);

  if (j)
    {
      j->lost++;
      j->running--;
    }
  pl_note (p, "worker %d: crashes with %s.%d.%d.%d run %lld", worker, run->job,
           run->occurrence, run->step, run->index, (long long)run->number);
}

static void
on_violation (void *arg, const char *text)
{
  struct play *p = arg;

  pl_note (p, "worker: %s", text);
  p->violations++;
}

struct pl_job *
pl_add_job (struct play *p, const char *id, const struct sf_work *work)
{
  struct pl_job *j;

  sf_lock (&p->platform);
  j = &p->job[p->jobs++];
  g_strlcpy (j->id, id, sizeof j->id);
  j->work = *work;
  j->work.known = 1;
  j->last_worker = -1;
  sf_unlock (&p->platform);
  return j;
}

struct pl_job
pl_job_now (struct play *p, const struct pl_job *j)
{
  struct pl_job copy;

  sf_lock (&p->platform);
  copy = *j;
  sf_unlock (&p->platform);
  return copy;
}

static int
free_port (void)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t size = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), port = 0;

  if (!bind (fd, (struct sockaddr *)&a, sizeof a)
      && !getsockname (fd, (struct sockaddr *)&a, &size))
    port = ntohs (a.sin_port);
  close (fd);
  return port;
}

/* Sends TEXT to IP and reads an answer until DEADLINE_MS of sf_now_ms.  */
static void
exchange (const char *ip, int port, const char *text, int64_t deadline_ms,
          struct pl_answer *out)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  char in[PL_ANSWER_SIZE + 1024] = "", *body;
  size_t n = 0, want = 0;

  out->status = 0;
  *out->body = '\0';
  inet_pton (AF_INET, ip, &a.sin_addr);
  a.sin_port = htons ((uint16_t)port);
  if (connect (fd, (struct sockaddr *)&a, sizeof a)
      || send (fd, text, strlen (text), MSG_NOSIGNAL) < 0)
    {
      close (fd);
      return;
    }
  for (;;)
    {
      struct pollfd f = { fd, POLLIN, 0 };
      int64_t left = deadline_ms - sf_now_ms ();
      ssize_t got;
      const char *length;

      if (left <= 0 || poll (&f, 1, (int)left) <= 0)
        break;
      got = recv (fd, in + n, sizeof in - 1 - n, 0);
      if (got <= 0)
        break;
      n += (size_t)got;
      in[n] = '\0';
      body = strstr (in, "\r\n\r\n");
      if (!body)
        continue;
      length = strcasestr (in, "\nContent-Length:");
      want = length
                 ? strtoul (length + sizeof "\nContent-Length:" - 1, NULL, 10)
                 : 0;
      body += 4;
      if (n - (size_t)(body - in) < want)
        continue;
      out->status = atoi (in + sizeof "HTTP/1.1");
      g_strlcpy (out->body, body, sizeof out->body);
      break;
    }
  close (fd);
}

static void
vm_ip (char out[SF_ADDRESS_SIZE], int net, int n)
{
  snprintf (out, SF_ADDRESS_SIZE, "127.0.%d.%d", net, n + 1);
}

void
pl_call (struct play *p, int vm, const char *method, const char *path,
         const char *body, int timeout_ms, struct pl_answer *out)
{
  char text[REQUEST_SIZE], ip[SF_ADDRESS_SIZE];

  vm_ip (ip, 1, vm);
  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: " PL_HOST
            "\r\nAuthorization: Bearer " PL_KEY
            "\r\n%s: %d\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
            method, path, po_deadline_header (), timeout_ms,
            body ? strlen (body) : 0, body ? body : "");
  exchange (ip, p->vm_port, text, sf_now_ms () + timeout_ms, out);
  pl_note (p, "client: %s %s at vm%d -> %d %.80s", method, path, vm,
           out->status, out->body);
}

int64_t
pl_submit (struct play *p, int vm, const char *path, const char *body)
{
  struct pl_answer a;

  for (int i = 0; i <= RETRIES; i++)
    {
      pl_call (p, (vm + i) % p->vms, "POST", path, body, 3000, &a);
      if (a.status >= 200 && a.status < 300)
        return pl_ms (p);
      usleep (200000);
    }
  return -1;
}

static void
not_run (struct play *p, const char *why)
{
  fprintf (stderr, "the case could not run: %s\n", why);
  if (p->record)
    pl_note (p, "the case could not run: %s", why);
  pl_exit (p, PL_NOT_RUN);
}

/* The fields of deploy/batch.conf, with the bounds of sorimadang-ramp.  */
static void
write_settings (struct play *p, int n, const char *path)
{
  FILE *f = fopen (path, "w");

  if (!f)
    not_run (p, "no settings file");
  fprintf (f,
           "vm=vm%d\nlisten=127.0.1.%d:%d\nready-listen=127.0.2.%d:%d\n"
           "metrics-listen=127.0.3.%d:%d\nstore=127.%d.1.1:%d\n"
           "hold-ms=10000\nfar-factor=3\nrevoke-ms=5000\ngrace-ms=%d\n"
           "processor=0.25\nrefuse-stalled-writes=1\nspeed-aware=1\n"
           "headroom-forecast=4\nreclaim-ms=2700\nstop-ms=200\n"
           "checkpoint-interval-s=2\nrelay-listen=127.0.4.%d:%d\n",
           n, n + 1, p->vm_port, n + 1, p->vm_port, n + 1, p->vm_port,
           SF_LINK_NET + n, p->proxy.port, GRACE_MS, n + 1, p->vm_port);
  fclose (f);
}

void
pl_vm_start (struct play *p, int n)
{
  posix_spawn_file_actions_t files;
  char option[400], log[300];
  char *argv[] = { (char *)p->program, option, NULL };

  snprintf (log, sizeof log, "%s/vm%d.conf", p->dir, n);
  write_settings (p, n, log);
  snprintf (option, sizeof option, "--settings=%s", log);
  snprintf (log, sizeof log, "%s/vm%d.log", p->dir, n);
  posix_spawn_file_actions_init (&files);
  posix_spawn_file_actions_addopen (&files, 1, log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2 (&files, 1, 2);
  if (posix_spawn (&p->pid[n], p->program, &files, NULL, argv, environ))
    {
      p->pid[n] = 0;
      not_run (p, "target/bin/skr-batch does not start");
    }
  posix_spawn_file_actions_destroy (&files);
  pl_note (p, "vm%d: started", n);
}

void
pl_vm_kill (struct play *p, int n)
{
  if (!p->pid[n])
    return;
  pl_note (p, "vm%d: killed", n);
  kill (p->pid[n], SIGKILL);
  waitpid (p->pid[n], NULL, 0);
  p->pid[n] = 0;
}

void
pl_cut_worker (struct play *p, int n, int cut)
{
  pl_note (p, "worker %d: %s", n, cut ? "cut off" : "reached again");
  for (int vm = 0; vm < p->vms; vm++)
    for (int i = 0; i < 2; i++)
      atomic_store (&px_worker_link (&p->proxy, vm, n)->paused[i], cut);
}

static void
configure (struct play *p)
{
  char *keys[] = { (char *)PL_KEY };
  struct qu_queue queue[] = {
    { "desk", (char *)PL_HOST, (char *)"/desk/", "studio", 0, 3, 3, 2000, 0,
      0 },
    { "night", (char *)PL_HOST, (char *)"/night/", "studio", 2, 3, 3, 20000, 0,
      0 },
  };
  struct qu_account account = { (char *)"a", keys, 1, 4 };
  struct qu_config config = { 1, 2, 1, queue, &account };

  sf_configure (&p->platform, &config);
}

static int
is_ready (struct play *p, int n)
{
  char text[300], ip[SF_ADDRESS_SIZE];
  struct pl_answer a;

  vm_ip (ip, 2, n);
  snprintf (text, sizeof text,
            "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            sf_ready_path ());
  exchange (ip, p->vm_port, text, sf_now_ms () + 1000, &a);
  return a.status == 200;
}

static struct play *current;

/* Ends the processes when the case itself is ended or has run too long.  */
static void
end_at_once (int signal)
{
  (void)signal;
  for (int n = 0; n < current->vms; n++)
    if (current->pid[n])
      kill (current->pid[n], SIGKILL);
  _exit (PL_NOT_RUN);
}

void
pl_init (struct play *p, int argc, char **argv, int vms, int workers)
{
  struct sf_observer watch
      = { p, on_start, on_end, on_acknowledged, on_lost, on_violation };
  int64_t deadline_ms;

  if (argc != 3 || vms > PL_MAX_VMS)
    {
      fprintf (stderr, "usage: CASE PROGRAM RECORD\n");
      exit (PL_NOT_RUN);
    }
  signal (SIGPIPE, SIG_IGN);
  current = p;
  signal (SIGALRM, end_at_once);
  signal (SIGTERM, end_at_once);
  signal (SIGINT, end_at_once);
  alarm (PL_WALL_LIMIT_S);
  p->program = argv[1];
  p->vms = vms;
  p->workers = workers;
  p->begin_ms = sf_now_ms ();
  p->record = fopen (argv[2], "w");
  snprintf (p->dir, sizeof p->dir, "%s/skr-play-XXXXXX", g_get_tmp_dir ());
  if (!p->record || !mkdtemp (p->dir))
    {
      fprintf (stderr, "no record or temporary folder\n");
      exit (PL_NOT_RUN);
    }
  pl_note (p, "%s",
           pl_is_calm () ? "without the disruption" : "with the disruption");
  if (bs_init () != BS_OK || px_init (&p->proxy, vms, workers)
      || sf_init (&p->platform, vms, workers, p->proxy.port, &watch))
    not_run (p, "cannot listen on a local address");
  p->vm_port = free_port ();
  p->proxy.platform_port = sf_port (&p->platform);
  p->proxy.vm_port = p->vm_port;
  if (px_start (&p->proxy))
    not_run (p, "no thread");
  configure (p);
  for (int n = 0; n < vms; n++)
    pl_vm_start (p, n);
  deadline_ms = sf_now_ms () + READY_WAIT_MS;
  for (int n = 0; n < vms; n++)
    while (!is_ready (p, n))
      {
        if (sf_now_ms () > deadline_ms)
          not_run (p, "a VM does not become ready");
        usleep (50000);
      }
  pl_note (p, "all VMs are ready");
  usleep (SETTLE_MS * 1000);
}

static void
remove_dir (const struct play *p)
{
  char path[300];

  for (int n = 0; n < p->vms; n++)
    {
      snprintf (path, sizeof path, "%s/vm%d.conf", p->dir, n);
      unlink (path);
      snprintf (path, sizeof path, "%s/vm%d.log", p->dir, n);
      if (!getenv ("KEEP_LOGS"))
        unlink (path);
    }
  rmdir (p->dir);
}

void
pl_exit (struct play *p, int status)
{
  int64_t deadline_ms = sf_now_ms () + GRACE_MS;

  for (int n = 0; n < p->vms; n++)
    if (p->pid[n])
      kill (p->pid[n], SIGTERM);
  for (int n = 0; n < p->vms; n++)
    while (p->pid[n] && waitpid (p->pid[n], NULL, WNOHANG) == 0)
      {
        if (sf_now_ms () > deadline_ms)
          kill (p->pid[n], SIGKILL);
        usleep (20000);
      }
  if (status == PL_HELD && p->violations)
    status = PL_BROKEN;
  pl_note (p, "%s",
           status == PL_HELD     ? "the rule held"
           : status == PL_BROKEN ? "the rule was broken"
                                 : "not run");
  fflush (p->record);
  remove_dir (p);
  _exit (status);
}
