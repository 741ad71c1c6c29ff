/* A bounded queue of pointers that joins two threads.  */
#ifndef SKR_RING_H
#define SKR_RING_H

#include <pthread.h>

struct rg_ring
{
  pthread_mutex_t lock;
  pthread_cond_t filled;
  void **slot;
  unsigned capacity, head, count;
  int closed;
  void (*wake) (void *arg); /* called after a push, outside the lock */
  void *wake_arg;
};

/* Returns 0 or BS_ENOMEM; rg_fini may follow either.  */
int rg_init (struct rg_ring *ring, unsigned capacity);
/* Items still queued stay the caller's: pop them first.  */
void rg_fini (struct rg_ring *ring);
/* For a reader that sleeps elsewhere, such as in a poll: WAKE runs on the
   writer's thread after each push.  */
void rg_on_push (struct rg_ring *ring, void (*wake) (void *), void *arg);
/* Returns 0, BS_EFULL or BS_ECLOSED; never waits.  */
int rg_push (struct rg_ring *ring, void *item);
/* Waits up to TIMEOUT_MS (0: not at all).  Returns 0, BS_ETIMEOUT, or
   BS_ECLOSED once the ring is closed and empty.  */
int rg_pop (struct rg_ring *ring, void **item, int timeout_ms);
void rg_close (struct rg_ring *ring);

#endif
