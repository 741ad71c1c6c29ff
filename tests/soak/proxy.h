/* Loopback proxy between callers, VMs, workers and the store.  Each pair of
   them is a link with faults of its own.  */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>

/* Faults of one link.  Direction 0 leads from the side that connected.  */
struct px_link
{
  atomic_int delay_ms;
  atomic_int silent[2]; /* bytes are kept until it is over */
  atomic_int resets;    /* raised to reset all connections */
};

struct px_proxy
{
  int listener, port, vms, workers;
  /* Where the ends are; set before px_start.  */
  int farm_port, vm_port;
  struct px_link *link;
  GPtrArray *pairs;
  pthread_t thread;
  atomic_int stopping;
};

/* Returns 0, or -1 when no address could be bound.  */
int px_init (struct px_proxy *px, int vms, int workers);
int px_start (struct px_proxy *px);
void px_fini (struct px_proxy *px);

struct px_link *px_of_callers (struct px_proxy *px, int vm);
struct px_link *px_of_store (struct px_proxy *px, int vm);
struct px_link *px_of_worker (struct px_proxy *px, int vm, int worker);

#endif
