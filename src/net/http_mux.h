/* Waits for the sockets and timers of curl multi handles by epoll, so that the
   cost of a wake-up does not grow with the number of transfers.

   Hosts are spread over several handles.  Curl visits all connections of a
   handle for each transfer that ends, and again for each connection that it
   closes.

   All functions but mx_wake are called on one thread.  */
#ifndef SKR_NET_HTTP_MUX_H
#define SKR_NET_HTTP_MUX_H

#include <curl/curl.h>
#include <stdatomic.h>

#include "skr/base.h"

enum
{
  MX_HANDLES = 32
};

struct mx_mux;

struct mx_handle
{
  struct mx_mux *mux;
  CURLM *multi;     /* NULL: not used yet */
  int64_t timer_ms; /* when curl wants to be called; -1: no timer */
};

/* What epoll watches a socket for.  */
struct mx_socket
{
  uint32_t watched; /* by epoll; 0: it does not know the socket */
  uint32_t wanted;  /* by curl; 0: the connection is idle */
  int is_open;      /* the number is that of a socket of curl's */
  int handle;
};

struct mx_mux
{
  struct mx_handle handle[MX_HANDLES];
  int epoll, wake_fd;
  atomic_int woken; /* a wake-up was written and not read yet */
  struct bs_clock clock;
  long connections_per_host;
  struct mx_socket *socket; /* by number */
  int sockets;
};

/* Sets M up.  Returns BS_OK or BS_ENOMEM; mx_fini may be called in either
   case.  */
int mx_init (struct mx_mux *m, int connections_per_host);
/* Frees the handles, which must have no transfers.  */
void mx_fini (struct mx_mux *m);
/* The handle for transfers with HOST; NULL when memory is exhausted.  */
CURLM *mx_multi (struct mx_mux *m, const char *host);
/* To be called when a new socket has the number FD.  */
void mx_socket_opened (struct mx_mux *m, int fd);
/* To be called before the socket FD is closed.  */
void mx_socket_closed (struct mx_mux *m, int fd);
/* Makes the current or the next mx_wait return.  Called on any thread.  */
void mx_wake (struct mx_mux *m);
/* Waits until a socket is ready, a timer expires or mx_wake is called, and
   lets curl handle what is ready.  Returns 1 if there may be more.  */
int mx_wait (struct mx_mux *m);
/* Returns the next message of a transfer that has ended, or NULL.  */
CURLMsg *mx_next_message (struct mx_mux *m);

#endif
