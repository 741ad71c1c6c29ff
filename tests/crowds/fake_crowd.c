#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fake_crowd.h"

enum
{
  HANG_MS = 20000, /* only bounds a hang */
  SEND_MS = 5000,  /* bounds the wait for a process that reads nothing more */
  POLL_MS = 100,
  TRICKLE_MS = 500,
  CONNECT_MS = 1000,
  BUFFER_SIZE = 4096
};

static void
fail (const char *what)
{
  fprintf (stderr, "crowd: %s: %s\n", what, strerror (errno));
  exit (EXIT_FAILURE);
}

static struct sockaddr_in
parse (const char *address)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  const char *colon = strchr (address, ':');
  char ip[CR_ADDRESS_SIZE] = "";

  memcpy (ip, address, (size_t)(colon - address));
  a.sin_port = htons ((uint16_t)strtol (colon + 1, NULL, 10));
  inet_pton (AF_INET, ip, &a.sin_addr);
  return a;
}

void
cr_free_address (char out[CR_ADDRESS_SIZE])
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (bind (fd, (struct sockaddr *)&a, sizeof a)
      || getsockname (fd, (struct sockaddr *)&a, &size))
    fail ("no free port");
  close (fd);
  snprintf (out, CR_ADDRESS_SIZE, "127.0.0.1:%d", ntohs (a.sin_port));
}

void
cr_start (struct cr_process *p, const char *const *argv)
{
  const char *folder = getenv ("BIN");
  posix_spawn_file_actions_t files;
  char program[512];
  int fd;

  snprintf (p->log, sizeof p->log, "/tmp/skr-crowd-XXXXXX");
  fd = mkstemp (p->log);
  if (fd < 0)
    fail ("mkstemp");
  snprintf (program, sizeof program, "%s/%s", folder ? folder : "bin",
            argv[0]);
  posix_spawn_file_actions_init (&files);
  posix_spawn_file_actions_adddup2 (&files, fd, 1);
  posix_spawn_file_actions_adddup2 (&files, fd, 2);
  if (posix_spawn (&p->pid, program, &files, NULL, (char *const *)(size_t)argv,
                   environ))
    fail (program);
  posix_spawn_file_actions_destroy (&files);
  close (fd);
}

int
cr_is_alive (struct cr_process *p)
{
  return p->pid && waitpid (p->pid, NULL, WNOHANG) == 0;
}

int
cr_stop (struct cr_process *p)
{
  int status = 0, waited_ms = 0;
  pid_t ended;

  kill (p->pid, SIGTERM);
  while ((ended = waitpid (p->pid, &status, WNOHANG)) == 0
         && waited_ms < HANG_MS)
    {
      usleep (POLL_MS * 1000);
      waited_ms += POLL_MS;
    }
  if (!ended)
    {
      kill (p->pid, SIGKILL);
      waitpid (p->pid, &status, 0);
    }
  unlink (p->log);
  return ended == p->pid && WIFEXITED (status) && !WEXITSTATUS (status);
}

long
cr_peak_kib (const struct cr_process *p)
{
  char path[64], line[256];
  long kib = -1;
  FILE *f;

  snprintf (path, sizeof path, "/proc/%d/status", (int)p->pid);
  f = fopen (path, "r");
  if (!f)
    fail (path);
  while (fgets (line, sizeof line, f))
    if (!strncmp (line, "VmHWM:", 6))
      kib = strtol (line + 6, NULL, 10);
  fclose (f);
  return kib;
}

/* Adds up the receive queues of the connections to the port of ADDRESS.  */
long
cr_unread_kib (const char *address)
{
  unsigned local, state, sent, received;
  unsigned port = ntohs (parse (address).sin_port);
  FILE *f = fopen ("/proc/net/tcp", "r");
  char line[256];
  long bytes = 0;

  if (!f)
    fail ("/proc/net/tcp");
  while (fgets (line, sizeof line, f))
    if (sscanf (line, "%*d: %*8x:%x %*8x:%*x %x %x:%x", &local, &state, &sent,
                &received)
            == 4
        && local == port)
      bytes += received;
  fclose (f);
  return bytes / CR_KIB;
}

int
cr_descriptors (const struct cr_process *p)
{
  char path[64];
  int n = 0;
  DIR *d;

  snprintf (path, sizeof path, "/proc/%d/fd", (int)p->pid);
  d = opendir (path);
  if (!d)
    fail (path);
  while (readdir (d))
    n++;
  closedir (d);
  return n - 2;
}

/* Returns a connection, or -1 if it was refused or is not made in time.  */
static int
connect_to (const char *address, int timeout_ms)
{
  struct sockaddr_in a = parse (address);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct pollfd p = { .fd = fd, .events = POLLOUT };
  int error = 0;
  socklen_t size = sizeof error;

  if (fd < 0)
    fail ("socket");
  if (connect (fd, (struct sockaddr *)&a, sizeof a) && errno != EINPROGRESS)
    error = errno;
  else if (poll (&p, 1, timeout_ms) != 1)
    error = ETIMEDOUT;
  else
    getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (!error)
    return fd;
  close (fd);
  return -1;
}

static void *
trickle_main (void *arg)
{
  struct cr_crowd *c = arg;

  while (!atomic_load (&c->leaving))
    {
      for (int i = 0; i < c->count; i++)
        if (c->fd[i] >= 0)
          (void)!send (c->fd[i], &c->trickle, 1, MSG_NOSIGNAL);
      usleep (TRICKLE_MS * 1000);
    }
  return NULL;
}

/* Sends TEXT on all connections at once.  */
static void
send_all (struct cr_crowd *c, const char *text, size_t size)
{
  static size_t sent[CR_MAX_CONNECTIONS];
  static struct pollfd p[CR_MAX_CONNECTIONS];
  int ready = 1;

  memset (sent, 0, sizeof sent);
  while (ready > 0)
    {
      int n = 0;

      for (int i = 0; i < c->count; i++)
        {
          ssize_t done = 0;

          if (c->fd[i] >= 0 && sent[i] < size)
            done = send (c->fd[i], text + sent[i], size - sent[i],
                         MSG_NOSIGNAL);
          if (done > 0)
            sent[i] += (size_t)done;
          else if (done < 0 && errno != EAGAIN)
            sent[i] = size;
          if (c->fd[i] >= 0 && sent[i] < size)
            p[n++] = (struct pollfd){ .fd = c->fd[i], .events = POLLOUT };
        }
      ready = n ? poll (p, (nfds_t)n, SEND_MS) : 0;
    }
}

void
cr_crowd_come (struct cr_crowd *c, const char *address, int count,
               const char *text, size_t size, char trickle)
{
  *c = (struct cr_crowd){ .address = address,
                          .count = count,
                          .trickle = trickle };
  for (int i = 0; i < count; i++)
    c->fd[i] = connect_to (address, CONNECT_MS);
  send_all (c, text, size);
  if (trickle && pthread_create (&c->thread, NULL, trickle_main, c))
    fail ("pthread_create");
}

void
cr_crowd_leave (struct cr_crowd *c)
{
  atomic_store (&c->leaving, 1);
  if (c->trickle)
    pthread_join (c->thread, NULL);
  for (int i = 0; i < c->count; i++)
    if (c->fd[i] >= 0)
      close (c->fd[i]);
  c->count = 0;
}

int
cr_request (const char *address, const char *method, const char *path,
            const char *headers, const char *body)
{
  char text[BUFFER_SIZE], answer[64] = "";
  int status = 0, fd = connect_to (address, HANG_MS);
  struct pollfd p = { .fd = fd, .events = POLLIN };
  int size = snprintf (text, sizeof text,
                       "%s %s HTTP/1.1\r\n%sConnection: close\r\n"
                       "Content-Length: %zu\r\n\r\n%s",
                       method, path, headers, body ? strlen (body) : 0,
                       body ? body : "");

  if (fd < 0)
    return 0;
  if (send (fd, text, (size_t)size, MSG_NOSIGNAL) == size
      && poll (&p, 1, HANG_MS) == 1
      && recv (fd, answer, sizeof answer - 1, 0) > 0)
    sscanf (answer, "HTTP/1.1 %d", &status);
  close (fd);
  return status;
}

void
cr_await (struct cr_process *p, const char *address, const char *path)
{
  while (cr_request (address, "GET", path, "Host: x\r\n", NULL) != 200)
    {
      if (!cr_is_alive (p))
        fail ("the process has ended");
      usleep (POLL_MS * 1000);
    }
}
