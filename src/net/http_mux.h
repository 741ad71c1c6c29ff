/* Waits for the sockets and timers of a curl multi handle by epoll, so that
   the cost of a wake-up does not grow with the number of transfers.  All
   functions but mx_wake are called on one thread.  */
#ifndef SKR_NET_HTTP_MUX_H
#define SKR_NET_HTTP_MUX_H

#include <curl/curl.h>
#include <stdatomic.h>

#include "skr/base.h"

struct mx_poll
{
  CURLM *multi; /* the caller's */
  int epoll, wake_fd;
  atomic_int woken; /* a wake-up was written and not read yet */
  struct bs_clock clock;
  int64_t timer_ms; /* when curl wants to be called; -1: no timer */
};

/* Sets P up for MULTI, whose socket and timer callbacks it takes over.
   Returns BS_OK or BS_ENOMEM; mx_fini may be called in either case.  */
int mx_init (struct mx_poll *p, CURLM *multi);
/* Call it after the multi handle was freed.  */
void mx_fini (struct mx_poll *p);
/* Makes the current or the next mx_wait return.  Called on any thread.  */
void mx_wake (struct mx_poll *p);
/* Waits until a socket is ready, a timer expires or mx_wake is called, and
   lets curl handle what is ready.  */
void mx_wait (struct mx_poll *p);

#endif
