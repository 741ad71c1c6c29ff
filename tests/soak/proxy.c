#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/stand/fake_platform.h"
#include "tests/soak/proxy.h"
#include "tests/soak/soak.h"

enum
{
  TICK_MS = 5,
  CHUNK_SIZE = 16384,   /* bytes read at once */
  MAX_QUEUED = 4 << 20, /* bytes queued in one direction */
  BACKLOG = 256
};

struct chunk
{
  int64_t deliver_ms;
  size_t size, sent; /* bytes; size 0: end of the stream */
  char data[];
};

struct pair
{
  int fd[2]; /* the connecting side and the target */
  int handled_resets, failed;
  struct px_link *link;
  GQueue *queue[2]; /* read from fd[i], for fd[1 - i] */
  size_t queued_bytes[2];
  int received_eof[2]; /* fd[i] has sent its end of stream */
  int sent_eof[2];     /* it was forwarded to fd[1 - i] */
};

struct px_link *
px_callers_link (struct px_proxy *px, int vm)
{
  return &px->links[vm * (px->workers + 2)];
}

struct px_link *
px_store_link (struct px_proxy *px, int vm)
{
  return px_callers_link (px, vm) + 1;
}

struct px_link *
px_worker_link (struct px_proxy *px, int vm, int worker)
{
  return px_callers_link (px, vm) + 2 + worker;
}

static void
set_nonblocking (int fd)
{
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
}

int
px_init (struct px_proxy *px, int vms, int workers)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t size = sizeof a;

  memset (px, 0, sizeof *px);
  px->vms = vms;
  px->workers = workers;
  px->links = g_new0 (struct px_link, vms * (workers + 2));
  px->pairs = g_ptr_array_new ();
  px->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (px->listener, (struct sockaddr *)&a, sizeof a)
      || listen (px->listener, BACKLOG)
      || getsockname (px->listener, (struct sockaddr *)&a, &size))
    return -1;
  set_nonblocking (px->listener);
  px->port = ntohs (a.sin_port);
  return 0;
}

/* Returns the link of the local address IP, or NULL, and sets the address and
   port of its target.  */
static struct px_link *
route (struct px_proxy *px, const char *ip, char target[SF_ADDRESS_SIZE],
       int *port)
{
  unsigned b = 0, c = 0, d = 0;
  int vm, worker;

  if (sscanf (ip, "127.%u.%u.%u", &b, &c, &d) != 3)
    return NULL;
  *port = px->platform_port;
  vm = (int)b - SF_LINK_NET;
  worker = (int)d - 1;
  if (b == SO_CALLERS_NET && d >= 1 && (int)d <= px->vms)
    {
      snprintf (target, SF_ADDRESS_SIZE, "127.0.%d.%u", SO_VM_NET, d);
      *port = px->vm_port;
      return px_callers_link (px, worker);
    }
  if (vm < 0 || vm >= px->vms)
    return NULL;
  if (c == SO_STORE_NET)
    {
      sf_store_ip (target, vm);
      return px_store_link (px, vm);
    }
  if (worker < 0 || worker >= px->workers)
    return NULL;
  sf_worker_ip (target, worker);
  return px_worker_link (px, vm, worker);
}

static void
reset_connection (int fd)
{
  struct linger now = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (fd);
}

/* Answers a caller that its request was not forwarded because the VM accepted
   no connection.  */
static void
answer_not_sent (int fd)
{
  static const char answer[] = "HTTP/1.1 502 not sent\r\nContent-Length: 0"
                               "\r\nConnection: close\r\n\r\n";

  if (send (fd, answer, sizeof answer - 1, MSG_NOSIGNAL) < 0)
    reset_connection (fd);
  else
    close (fd);
}

static void
add_pair (struct px_proxy *px, int fd)
{
  struct sockaddr_in a = { 0 };
  socklen_t size = sizeof a;
  char ip[INET_ADDRSTRLEN], target[SF_ADDRESS_SIZE];
  int port = 0, back = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct px_link *link;
  struct pair *p;

  getsockname (fd, (struct sockaddr *)&a, &size);
  inet_ntop (AF_INET, &a.sin_addr, ip, sizeof ip);
  link = route (px, ip, target, &port);
  a = (struct sockaddr_in){ .sin_family = AF_INET };
  if (link)
    {
      inet_pton (AF_INET, target, &a.sin_addr);
      a.sin_port = htons ((uint16_t)port);
    }
  /* On loopback, connect returns immediately.  */
  if (!link || connect (back, (struct sockaddr *)&a, sizeof a))
    {
      close (back);
      if (port == px->vm_port)
        answer_not_sent (fd);
      else
        reset_connection (fd);
      return;
    }
  set_nonblocking (fd);
  set_nonblocking (back);
  p = g_new0 (struct pair, 1);
  p->fd[0] = fd;
  p->fd[1] = back;
  p->link = link;
  p->handled_resets = atomic_load (&link->resets);
  p->queue[0] = g_queue_new ();
  p->queue[1] = g_queue_new ();
  g_ptr_array_add (px->pairs, p);
}

static void
free_pair (struct pair *p)
{
  for (int i = 0; i < 2; i++)
    {
      if (p->failed)
        reset_connection (p->fd[i]);
      else
        close (p->fd[i]);
      g_queue_free_full (p->queue[i], g_free);
    }
  g_free (p);
}

static void
enqueue (struct pair *p, int from, const char *data, size_t size)
{
  struct chunk *c = g_malloc (sizeof *c + size);

  c->deliver_ms = sf_now_ms () + atomic_load (&p->link->delay_ms);
  c->size = size;
  c->sent = 0;
  memcpy (c->data, data, size);
  g_queue_push_tail (p->queue[from], c);
  p->queued_bytes[from] += size;
}

static void
read_side (struct pair *p, int from)
{
  char data[CHUNK_SIZE];
  ssize_t n = recv (p->fd[from], data, sizeof data, 0);

  if (n < 0)
    {
      p->failed |= errno != EAGAIN && errno != EINTR;
      return;
    }
  p->received_eof[from] = n == 0;
  enqueue (p, from, data, (size_t)n);
}

static struct chunk *
next_due_chunk (const struct pair *p, int from)
{
  struct chunk *c = g_queue_peek_head (p->queue[from]);

  if (!c || c->deliver_ms > sf_now_ms ()
      || atomic_load (&p->link->paused[from]))
    return NULL;
  return c;
}

static void
write_side (struct pair *p, int from)
{
  struct chunk *c;

  while ((c = next_due_chunk (p, from)) != NULL)
    {
      ssize_t n = 0;

      if (c->size == 0)
        {
          shutdown (p->fd[1 - from], SHUT_WR);
          p->sent_eof[from] = 1;
        }
      else
        n = send (p->fd[1 - from], c->data + c->sent, c->size - c->sent,
                  MSG_NOSIGNAL);
      if (n < 0)
        {
          p->failed |= errno != EAGAIN && errno != EINTR;
          return;
        }
      c->sent += (size_t)n;
      if (c->sent < c->size)
        return;
      p->queued_bytes[from] -= c->size;
      g_free (g_queue_pop_head (p->queue[from]));
    }
}

static int
is_finished (struct pair *p)
{
  if (p->handled_resets != atomic_load (&p->link->resets))
    p->failed = 1;
  return p->failed || (p->sent_eof[0] && p->sent_eof[1]);
}

static void
set_poll_events (const struct pair *p, struct pollfd out[2])
{
  for (int i = 0; i < 2; i++)
    {
      out[i] = (struct pollfd){ p->fd[i], 0, 0 };
      if (!p->received_eof[i] && p->queued_bytes[i] < MAX_QUEUED)
        out[i].events |= POLLIN;
      if (next_due_chunk (p, 1 - i))
        out[i].events |= POLLOUT;
      /* poll would report POLLHUP repeatedly although no event is
         requested.  */
      if (!out[i].events)
        out[i].fd = -1;
    }
}

static void
handle_pairs (struct px_proxy *px, const struct pollfd *fds, guint polled)
{
  for (guint i = polled; i > 0; i--)
    {
      struct pair *p = px->pairs->pdata[i - 1];

      for (int side = 0; side < 2; side++)
        {
          short got = fds[1 + 2 * (i - 1) + (guint)side].revents;

          if (got & (POLLIN | POLLHUP | POLLERR) && !p->received_eof[side])
            read_side (p, side);
        }
      write_side (p, 0);
      write_side (p, 1);
      if (!is_finished (p))
        continue;
      free_pair (p);
      g_ptr_array_remove_index_fast (px->pairs, i - 1);
    }
}

static void *
run (void *arg)
{
  struct px_proxy *px = arg;
  struct pollfd *fds = NULL;

  while (!atomic_load (&px->stopping))
    {
      guint n = px->pairs->len;
      int fd;

      fds = g_realloc_n (fds, 1 + 2 * n, sizeof *fds);
      fds[0] = (struct pollfd){ px->listener, POLLIN, 0 };
      for (guint i = 0; i < n; i++)
        set_poll_events (px->pairs->pdata[i], &fds[1 + 2 * i]);
      poll (fds, 1 + 2 * n, TICK_MS);
      handle_pairs (px, fds, n);
      while ((fd = accept4 (px->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
        add_pair (px, fd);
    }
  g_free (fds);
  return NULL;
}

int
px_start (struct px_proxy *px)
{
  return pthread_create (&px->thread, NULL, run, px) ? -1 : 0;
}

void
px_fini (struct px_proxy *px)
{
  atomic_store (&px->stopping, 1);
  pthread_join (px->thread, NULL);
  for (guint i = 0; i < px->pairs->len; i++)
    free_pair (px->pairs->pdata[i]);
  g_ptr_array_free (px->pairs, TRUE);
  close (px->listener);
  g_free (px->links);
}
