/* A bounded, thread-safe FIFO queue of pointers.  */
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

/* Returns 0 or BS_ENOMEM; rg_fini may be called in either case.  */
int rg_init (struct rg_ring *ring, unsigned capacity);
/* Does not free queued items: the caller pops them before.  */
void rg_fini (struct rg_ring *ring);
/* Sets a function that is called on the writer's thread after each push, for
   a reader that sleeps outside rg_pop, such as in poll.  */
void rg_on_push (struct rg_ring *ring, void (*wake) (void *), void *arg);
/* Appends ITEM without waiting for space.  Returns 0, BS_EFULL or
   BS_ECLOSED.  */
int rg_push (struct rg_ring *ring, void *item);
/* Removes the oldest item, waiting for one up to TIMEOUT_MS (0: does not
   wait).  Returns 0, BS_ETIMEOUT, or BS_ECLOSED when the ring is closed and
   empty.  */
int rg_pop (struct rg_ring *ring, void **item, int timeout_ms);
/* Number of queued items.  */
int rg_count (struct rg_ring *ring);
/* Makes pushes fail and wakes all readers.  Queued items can still be
   popped.  */
void rg_close (struct rg_ring *ring);

#endif
