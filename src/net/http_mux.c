#include <stdint.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "net/http_mux.h"

enum
{
  MAX_EVENTS = 64,       /* handled between two looks at the timer */
  MAX_WAIT_MS = 1000,    /* longest wait without a timer */
  MAX_TIMER_MS = 1 << 20 /* keeps the time of a timer within its type */
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

/* Curl's callback for the events that it wants of socket FD.  KNOWN is not
   NULL if the socket was added before.  */
static int
watch_socket (CURL *easy, curl_socket_t fd, int what, void *arg, void *known)
{
  struct mx_poll *p = arg;
  struct epoll_event e = { .events = to_epoll (what), .data.fd = fd };

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      epoll_ctl (p->epoll, EPOLL_CTL_DEL, fd, NULL);
      return 0;
    }
  epoll_ctl (p->epoll, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &e);
  if (!known)
    curl_multi_assign (p->multi, fd, p);
  return 0;
}

static int
set_timer (CURLM *multi, long timeout_ms, void *arg)
{
  struct mx_poll *p = arg;

  (void)multi;
  if (timeout_ms > MAX_TIMER_MS)
    timeout_ms = MAX_TIMER_MS;
  p->timer_ms = timeout_ms < 0 ? -1 : bs_now_ms (&p->clock) + timeout_ms;
  return 0;
}

int
mx_init (struct mx_poll *p, CURLM *multi)
{
  struct epoll_event e = { .events = EPOLLIN };

  p->multi = multi;
  p->clock = bs_clock_system ();
  p->timer_ms = -1;
  atomic_store (&p->woken, 0);
  p->epoll = epoll_create1 (EPOLL_CLOEXEC);
  p->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  e.data.fd = p->wake_fd;
  if (p->epoll < 0 || p->wake_fd < 0
      || epoll_ctl (p->epoll, EPOLL_CTL_ADD, p->wake_fd, &e))
    return BS_ENOMEM;
  curl_multi_setopt (multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (multi, CURLMOPT_SOCKETDATA, p);
  curl_multi_setopt (multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (multi, CURLMOPT_TIMERDATA, p);
  return BS_OK;
}

void
mx_fini (struct mx_poll *p)
{
  if (p->epoll >= 0)
    close (p->epoll);
  if (p->wake_fd >= 0)
    close (p->wake_fd);
}

void
mx_wake (struct mx_poll *p)
{
  uint64_t one = 1;

  if (!atomic_exchange (&p->woken, 1))
    (void)!write (p->wake_fd, &one, sizeof one);
}

/* The flag is cleared first: what was queued before a wake-up that is then
   left out is seen by the caller, who looks after mx_wait returned.  */
static void
consume_wake (struct mx_poll *p)
{
  uint64_t count;

  atomic_store (&p->woken, 0);
  (void)!read (p->wake_fd, &count, sizeof count);
}

static int
wait_ms (const struct mx_poll *p)
{
  int64_t left_ms;

  if (p->timer_ms < 0)
    return MAX_WAIT_MS;
  left_ms = p->timer_ms - bs_now_ms (&p->clock);
  if (left_ms < 0)
    return 0;
  return left_ms < MAX_WAIT_MS ? (int)left_ms : MAX_WAIT_MS;
}

void
mx_wait (struct mx_poll *p)
{
  struct epoll_event e[MAX_EVENTS];
  int n = epoll_wait (p->epoll, e, MAX_EVENTS, wait_ms (p)), running;

  for (int i = 0; i < n; i++)
    if (e[i].data.fd == p->wake_fd)
      consume_wake (p);
    else
      curl_multi_socket_action (p->multi, e[i].data.fd, to_curl (e[i].events),
                                &running);
  if (p->timer_ms < 0 || bs_now_ms (&p->clock) < p->timer_ms)
    return;
  p->timer_ms = -1;
  curl_multi_socket_action (p->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}
