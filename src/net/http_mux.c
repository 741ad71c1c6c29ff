#include <glib.h>
#include <stdint.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_mux.h"

enum
{
  MAX_EVENTS = 64,        /* handled between two looks at the timers */
  MAX_WAIT_MS = 1000,     /* longest wait without a timer */
  MAX_TIMER_MS = 1 << 20, /* keeps the time of a timer within its type */
  WAKE = MX_HANDLES       /* stands for the wake-up among the handles */
};

static uint32_t
to_epoll (int what)
{
  switch (what)
    {
    case CURL_POLL_IN:
      return EPOLLIN;
    case CURL_POLL_OUT:
      return EPOLLOUT;
    case CURL_POLL_INOUT:
      return EPOLLIN | EPOLLOUT;
    default:
      return 0;
    }
}

static int
to_curl (uint32_t events)
{
  int mask = 0;

  if (events & EPOLLIN)
    mask |= CURL_CSELECT_IN;
  if (events & EPOLLOUT)
    mask |= CURL_CSELECT_OUT;
  if (events & (EPOLLERR | EPOLLHUP))
    mask |= CURL_CSELECT_ERR;
  return mask;
}

/* An event's data: the handle and its socket.  */
static uint64_t
pack (int handle, int fd)
{
  return (uint64_t)handle << 32 | (uint32_t)fd;
}

static struct mx_socket *
find_socket (struct mx_mux *m, int fd)
{
  int needed = fd + 1;

  if (needed > m->sockets)
    {
      m->socket = g_renew (struct mx_socket, m->socket, 2 * needed);
      memset (m->socket + m->sockets, 0,
              (size_t)(2 * needed - m->sockets) * sizeof *m->socket);
      m->sockets = 2 * needed;
    }
  return &m->socket[fd];
}

void
mx_socket_opened (struct mx_mux *m, int fd)
{
  *find_socket (m, fd) = (struct mx_socket){ .is_open = 1 };
}

void
mx_socket_closed (struct mx_mux *m, int fd)
{
  *find_socket (m, fd) = (struct mx_socket){ 0 };
}

static void
watch (struct mx_mux *m, struct mx_socket *s, int fd, int op)
{
  struct epoll_event e
      = { .events = s->wanted, .data.u64 = pack (s->handle, fd) };

  epoll_ctl (m->epoll, op, fd, &e);
  s->watched = s->wanted;
}

/* Curl's callback for the events that it wants of socket FD.  An idle
   connection stays watched, as the next request wants the same events: that
   saves two system calls a request.  */
static int
watch_socket (CURL *easy, curl_socket_t fd, int what, void *arg, void *known)
{
  struct mx_handle *h = arg;
  struct mx_mux *m = h->mux;
  struct mx_socket *s = find_socket (m, fd);

  (void)easy;
  (void)known;
  s->wanted = to_epoll (what);
  s->handle = (int)(h - m->handle);
  if (s->wanted && s->wanted != s->watched)
    watch (m, s, fd, s->watched ? EPOLL_CTL_MOD : EPOLL_CTL_ADD);
  return 0;
}

static int
set_timer (CURLM *multi, long timeout_ms, void *arg)
{
  struct mx_handle *h = arg;

  (void)multi;
  if (timeout_ms > MAX_TIMER_MS)
    timeout_ms = MAX_TIMER_MS;
  h->timer_ms = timeout_ms < 0 ? -1 : bs_now_ms (&h->mux->clock) + timeout_ms;
  return 0;
}

int
mx_init (struct mx_mux *m, int connections_per_host)
{
  struct epoll_event e = { .events = EPOLLIN };

  memset (m, 0, sizeof *m);
  m->clock = bs_clock_system ();
  m->connections_per_host = connections_per_host;
  m->epoll = epoll_create1 (EPOLL_CLOEXEC);
  m->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  e.data.u64 = pack (WAKE, m->wake_fd);
  if (m->epoll < 0 || m->wake_fd < 0
      || epoll_ctl (m->epoll, EPOLL_CTL_ADD, m->wake_fd, &e))
    return BS_ENOMEM;
  return BS_OK;
}

void
mx_fini (struct mx_mux *m)
{
  for (int i = 0; i < MX_HANDLES; i++)
    if (m->handle[i].multi)
      curl_multi_cleanup (m->handle[i].multi);
  g_free (m->socket);
  if (m->epoll >= 0)
    close (m->epoll);
  if (m->wake_fd >= 0)
    close (m->wake_fd);
}

CURLM *
mx_multi (struct mx_mux *m, const char *host)
{
  struct mx_handle *h = &m->handle[g_str_hash (host) % MX_HANDLES];

  if (h->multi)
    return h->multi;
  h->mux = m;
  h->timer_ms = -1;
  h->multi = curl_multi_init ();
  if (!h->multi)
    return NULL;
  curl_multi_setopt (h->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     m->connections_per_host);
  curl_multi_setopt (h->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (h->multi, CURLMOPT_SOCKETDATA, h);
  curl_multi_setopt (h->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (h->multi, CURLMOPT_TIMERDATA, h);
  return h->multi;
}

void
mx_wake (struct mx_mux *m)
{
  uint64_t one = 1;

  if (!atomic_exchange (&m->woken, 1))
    (void)!write (m->wake_fd, &one, sizeof one);
}

/* The flag is cleared last: with the flag set and nothing to read no wake-up
   would be written any more.  What was queued before a wake-up that is left
   out is seen by the caller, who looks after mx_wait returned.  */
static void
consume_wake (struct mx_mux *m)
{
  uint64_t count;

  (void)!read (m->wake_fd, &count, sizeof count);
  atomic_store (&m->woken, 0);
}

/* Milliseconds until the first timer.  */
static int
wait_ms (const struct mx_mux *m)
{
  int64_t first_ms = -1, left_ms;

  for (int i = 0; i < MX_HANDLES; i++)
    {
      const struct mx_handle *h = &m->handle[i];

      if (h->multi && h->timer_ms >= 0
          && (first_ms < 0 || h->timer_ms < first_ms))
        first_ms = h->timer_ms;
    }
  if (first_ms < 0)
    return MAX_WAIT_MS;
  left_ms = first_ms - bs_now_ms (&m->clock);
  if (left_ms < 0)
    return 0;
  return left_ms < MAX_WAIT_MS ? (int)left_ms : MAX_WAIT_MS;
}

/* Ends an idle connection that the server closed, or on which it sent bytes.
   Curl reuses a connection with bytes to read, and they would count as the
   answer to the next request.  */
static void
end_idle_connection (struct mx_mux *m, int fd)
{
  watch (m, &m->socket[fd], fd, EPOLL_CTL_DEL);
  shutdown (fd, SHUT_RDWR);
}

static void
handle_event (struct mx_mux *m, const struct epoll_event *e)
{
  int handle = (int)(e->data.u64 >> 32), fd = (int)(uint32_t)e->data.u64;
  int running;

  if (handle == WAKE)
    consume_wake (m);
  else if (m->socket[fd].wanted)
    curl_multi_socket_action (m->handle[handle].multi, fd, to_curl (e->events),
                              &running);
  else if (m->socket[fd].is_open)
    end_idle_connection (m, fd);
}

static void
handle_timers (struct mx_mux *m)
{
  int64_t now_ms = bs_now_ms (&m->clock);
  int running;

  for (int i = 0; i < MX_HANDLES; i++)
    {
      struct mx_handle *h = &m->handle[i];

      if (!h->multi || h->timer_ms < 0 || now_ms < h->timer_ms)
        continue;
      h->timer_ms = -1;
      curl_multi_socket_action (h->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

int
mx_wait (struct mx_mux *m)
{
  struct epoll_event e[MAX_EVENTS];
  int n = epoll_wait (m->epoll, e, MAX_EVENTS, wait_ms (m));

  for (int i = 0; i < n; i++)
    handle_event (m, &e[i]);
  handle_timers (m);
  return n == MAX_EVENTS;
}

CURLMsg *
mx_next_message (struct mx_mux *m)
{
  CURLMsg *msg = NULL;
  int left;

  for (int i = 0; i < MX_HANDLES && !msg; i++)
    if (m->handle[i].multi)
      msg = curl_multi_info_read (m->handle[i].multi, &left);
  return msg;
}
