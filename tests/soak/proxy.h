/* Loopback proxy between callers, VMs, workers and the store.  Faults are set
   separately for each link between two of them.  */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>

/* Faults of one link.  Direction 0 starts at the connecting side.  */
struct px_link
{
  atomic_int delay_ms;
  atomic_int paused[2]; /* bytes are queued while it is set */
  atomic_int resets;    /* incremented to reset all connections */
};

struct px_proxy
{
  int listener, port, vms, workers;
  /* Ports of the targets; set before px_start.  */
  int platform_port, vm_port;
  struct px_link *links;
  GPtrArray *pairs;
  pthread_t thread;
  atomic_int stopping;
};

/* Returns 0, or -1 if no address could be bound.  */
int px_init (struct px_proxy *px, int vms, int workers);
int px_start (struct px_proxy *px);
void px_fini (struct px_proxy *px);

struct px_link *px_callers_link (struct px_proxy *px, int vm);
struct px_link *px_store_link (struct px_proxy *px, int vm);
struct px_link *px_worker_link (struct px_proxy *px, int vm, int worker);

#endif
