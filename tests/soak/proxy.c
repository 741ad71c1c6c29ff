#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/stand/farm.h"
#include "tests/soak/proxy.h"
#include "tests/soak/soak.h"

enum
{
  TICK_MS = 5,
  CHUNK = 16384,      /* bytes read at once */
  MAX_KEPT = 4 << 20, /* bytes kept in one direction */
  BACKLOG = 256
};

struct chunk
{
  int64_t due_ms;
  size_t size, sent; /* bytes; size 0: the end */
  char data[];
};

struct pair
{
  int fd[2]; /* who connected, and whom it reached */
  int seen_resets, dead;
  struct px_link *link;
  GQueue *kept[2]; /* read from fd[i], for fd[1 - i] */
  size_t bytes[2];
  int ended[2];  /* fd[i] sent its end */
  int closed[2]; /* the end was passed on to fd[1 - i] */
};

struct px_link *
px_of_callers (struct px_proxy *px, int vm)
{
  return &px->link[vm * (px->workers + 2)];
}

struct px_link *
px_of_store (struct px_proxy *px, int vm)
{
  return px_of_callers (px, vm) + 1;
}

struct px_link *
px_of_worker (struct px_proxy *px, int vm, int worker)
{
  return px_of_callers (px, vm) + 2 + worker;
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
  px->link = g_new0 (struct px_link, vms * (workers + 2));
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

/* The link that local address IP stands for, and the address behind it.  */
static struct px_link *
route (struct px_proxy *px, const char *ip, char target[SF_ADDRESS], int *port)
{
  unsigned b = 0, c = 0, d = 0;
  int vm, worker;

  if (sscanf (ip, "127.%u.%u.%u", &b, &c, &d) != 3)
    return NULL;
  *port = px->farm_port;
  vm = (int)b - SF_LINK_NET;
  worker = (int)d - 1;
  if (b == SO_CALLERS_NET && d >= 1 && (int)d <= px->vms)
    {
      snprintf (target, SF_ADDRESS, "127.0.%d.%u", SO_VM_NET, d);
      *port = px->vm_port;
      return px_of_callers (px, worker);
    }
  if (vm < 0 || vm >= px->vms)
    return NULL;
  if (c == SO_STORE_NET)
    {
      sf_store_ip (target, vm);
      return px_of_store (px, vm);
    }
  if (worker < 0 || worker >= px->workers)
    return NULL;
  sf_worker_ip (target, worker);
  return px_of_worker (px, vm, worker);
}

static void
reset (int fd)
{
  struct linger now = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (fd);
}

/* Tells a caller that nothing was sent on: the VM took no connection.  */
static void
refuse (int fd)
{
  static const char answer[] = "HTTP/1.1 502 not sent\r\nContent-Length: 0"
                               "\r\nConnection: close\r\n\r\n";

  if (send (fd, answer, sizeof answer - 1, MSG_NOSIGNAL) < 0)
    reset (fd);
  else
    close (fd);
}

static void
add_pair (struct px_proxy *px, int fd)
{
  struct sockaddr_in a = { 0 };
  socklen_t size = sizeof a;
  char ip[INET_ADDRSTRLEN], target[SF_ADDRESS];
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
  /* On loopback this ends at once, one way or the other.  */
  if (!link || connect (back, (struct sockaddr *)&a, sizeof a))
    {
      close (back);
      if (port == px->vm_port)
        refuse (fd);
      else
        reset (fd);
      return;
    }
  set_nonblocking (fd);
  set_nonblocking (back);
  p = g_new0 (struct pair, 1);
  p->fd[0] = fd;
  p->fd[1] = back;
  p->link = link;
  p->seen_resets = atomic_load (&link->resets);
  p->kept[0] = g_queue_new ();
  p->kept[1] = g_queue_new ();
  g_ptr_array_add (px->pairs, p);
}

static void
free_pair (struct pair *p)
{
  for (int i = 0; i < 2; i++)
    {
      if (p->dead)
        reset (p->fd[i]);
      else
        close (p->fd[i]);
      g_queue_free_full (p->kept[i], g_free);
    }
  g_free (p);
}

static void
keep (struct pair *p, int from, const char *data, size_t size)
{
  struct chunk *c = g_malloc (sizeof *c + size);

  c->due_ms = sf_now () + atomic_load (&p->link->delay_ms);
  c->size = size;
  c->sent = 0;
  memcpy (c->data, data, size);
  g_queue_push_tail (p->kept[from], c);
  p->bytes[from] += size;
}

static void
read_side (struct pair *p, int from)
{
  char data[CHUNK];
  ssize_t n = recv (p->fd[from], data, sizeof data, 0);

  if (n < 0)
    {
      p->dead |= errno != EAGAIN && errno != EINTR;
      return;
    }
  p->ended[from] = n == 0;
  keep (p, from, data, (size_t)n);
}

static struct chunk *
due (const struct pair *p, int from)
{
  struct chunk *c = g_queue_peek_head (p->kept[from]);

  if (!c || c->due_ms > sf_now () || atomic_load (&p->link->silent[from]))
    return NULL;
  return c;
}

static void
write_side (struct pair *p, int from)
{
  struct chunk *c;

  while ((c = due (p, from)) != NULL)
    {
      ssize_t n = 0;

      if (c->size == 0)
        {
          shutdown (p->fd[1 - from], SHUT_WR);
          p->closed[from] = 1;
        }
      else
        n = send (p->fd[1 - from], c->data + c->sent, c->size - c->sent,
                  MSG_NOSIGNAL);
      if (n < 0)
        {
          p->dead |= errno != EAGAIN && errno != EINTR;
          return;
        }
      c->sent += (size_t)n;
      if (c->sent < c->size)
        return;
      p->bytes[from] -= c->size;
      g_free (g_queue_pop_head (p->kept[from]));
    }
}

static int
is_over (struct pair *p)
{
  if (p->seen_resets != atomic_load (&p->link->resets))
    p->dead = 1;
  return p->dead || (p->closed[0] && p->closed[1]);
}

static void
watch (const struct pair *p, struct pollfd out[2])
{
  for (int i = 0; i < 2; i++)
    {
      out[i] = (struct pollfd){ p->fd[i], 0, 0 };
      if (!p->ended[i] && p->bytes[i] < MAX_KEPT)
        out[i].events |= POLLIN;
      if (due (p, 1 - i))
        out[i].events |= POLLOUT;
      /* poll reports a hang-up again and again when nothing is asked.  */
      if (!out[i].events)
        out[i].fd = -1;
    }
}

static void
serve_pairs (struct px_proxy *px, const struct pollfd *fds, guint polled)
{
  for (guint i = polled; i > 0; i--)
    {
      struct pair *p = px->pairs->pdata[i - 1];

      for (int side = 0; side < 2; side++)
        {
          short got = fds[1 + 2 * (i - 1) + (guint)side].revents;

          if (got & (POLLIN | POLLHUP | POLLERR) && !p->ended[side])
            read_side (p, side);
        }
      write_side (p, 0);
      write_side (p, 1);
      if (!is_over (p))
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
        watch (px->pairs->pdata[i], &fds[1 + 2 * i]);
      poll (fds, 1 + 2 * n, TICK_MS);
      serve_pairs (px, fds, n);
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
  g_free (px->link);
}
