/* Crowds of clients that don't behave: connections at a VM that hold
   unfinished heads and bodies open.  They are no fault of the VM, so that all
   promises to the other callers hold meanwhile.  */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/soak/soak.h"

enum
{
  TEXT_SIZE = 60000,
  TRICKLE_MS = 400 /* between two bytes on a connection */
};

/* What each connection sends; the rest of the text is blanks.  */
static const char *const heads[] = {
  "GET /desk/0",
  "GET /desk/0 HTTP/1.1\r\nX: ",
  "POST /desk/00000000000000ff HTTP/1.1\r\nHost: " SO_HOST "\r\n"
  "Authorization: Bearer " SO_PERMANENT_KEY "\r\n"
  "Content-Length: 250000\r\n\r\n",
  "POST /desk/00000000000000ff HTTP/1.1\r\nHost: " SO_HOST "\r\n"
  "Authorization: Bearer " SO_PERMANENT_KEY "\r\n"
  "Transfer-Encoding: chunked\r\n\r\nFFFF\r\n",
};
static const int lengths[] = { 11, 20000, 50000, 60000 };

static int
open_connection (const struct soak *s, int vm)
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)s->vm_port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  char ip[SF_ADDRESS_SIZE];

  snprintf (ip, sizeof ip, "127.0.%d.%d", SO_VM_NET, vm + 1);
  inet_pton (AF_INET, ip, &a.sin_addr);
  if (fd >= 0 && connect (fd, (struct sockaddr *)&a, sizeof a)
      && errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  return fd;
}

void
so_crowd_come (struct so_crowd *c, const struct soak *s, int vm, int kind)
{
  if (c->count)
    return;
  c->kind = (int)((unsigned)kind % G_N_ELEMENTS (heads));
  c->count = SO_CROWD;
  for (int i = 0; i < c->count; i++)
    {
      c->fd[i] = open_connection (s, vm);
      c->sent[i] = 0;
    }
}

void
so_crowd_leave (struct so_crowd *c)
{
  for (int i = 0; i < c->count; i++)
    if (c->fd[i] >= 0)
      close (c->fd[i]);
  c->count = 0;
}

static void
send_next (struct so_crowd *c, int i, const char *text, int is_trickle_due)
{
  int left = lengths[c->kind] - c->sent[i];
  ssize_t n;

  if (c->fd[i] < 0 || (left <= 0 && !is_trickle_due))
    return;
  n = send (c->fd[i], left > 0 ? text + c->sent[i] : " ",
            left > 0 ? (size_t)left : 1, MSG_NOSIGNAL);
  if (n > 0)
    c->sent[i] += (int)n;
  else if (errno != EAGAIN)
    {
      close (c->fd[i]);
      c->fd[i] = -1;
    }
}

void
so_crowd_tick (struct so_crowd *c)
{
  static char text[TEXT_SIZE];
  int64_t now_ms = sf_now_ms ();
  int is_trickle_due = now_ms >= c->trickle_ms;

  if (!c->count)
    return;
  if (is_trickle_due)
    c->trickle_ms = now_ms + TRICKLE_MS;
  memset (text, ' ', sizeof text);
  memcpy (text, heads[c->kind], strlen (heads[c->kind]));
  for (int i = 0; i < c->count; i++)
    send_next (c, i, text, is_trickle_due);
}
