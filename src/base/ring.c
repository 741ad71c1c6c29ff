#include <errno.h>
#include <stdlib.h>
#include <time.h>

#include "skr/base.h"
#include "skr/ring.h"

int
rg_init (struct rg_ring *ring, unsigned capacity)
{
  pthread_condattr_t attr;

  *ring = (struct rg_ring){ .capacity = capacity };
  ring->slot = calloc (capacity, sizeof *ring->slot);
  pthread_mutex_init (&ring->lock, NULL);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&ring->filled, &attr);
  pthread_condattr_destroy (&attr);
  return ring->slot ? BS_OK : BS_ENOMEM;
}

void
rg_fini (struct rg_ring *ring)
{
  pthread_cond_destroy (&ring->filled);
  pthread_mutex_destroy (&ring->lock);
  free (ring->slot);
}

void
rg_on_push (struct rg_ring *ring, void (*wake) (void *), void *arg)
{
  ring->wake = wake;
  ring->wake_arg = arg;
}

int
rg_push (struct rg_ring *ring, void *item)
{
  int error = BS_OK;

  pthread_mutex_lock (&ring->lock);
  if (ring->closed)
    error = BS_ECLOSED;
  else if (ring->count == ring->capacity)
    error = BS_EFULL;
  else
    {
      ring->slot[(ring->head + ring->count) % ring->capacity] = item;
      ring->count++;
      pthread_cond_signal (&ring->filled);
    }
  pthread_mutex_unlock (&ring->lock);
  if (!error && ring->wake)
    ring->wake (ring->wake_arg);
  return error;
}

static struct timespec
deadline_after (int timeout_ms)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  ts.tv_sec += timeout_ms / 1000;
  ts.tv_nsec += timeout_ms % 1000 * 1000000L;
  if (ts.tv_nsec >= 1000000000L)
    {
      ts.tv_sec++;
      ts.tv_nsec -= 1000000000L;
    }
  return ts;
}

int
rg_pop (struct rg_ring *ring, void **item, int timeout_ms)
{
  struct timespec until = deadline_after (timeout_ms);
  int error = BS_OK;

  pthread_mutex_lock (&ring->lock);
  while (!ring->count && !ring->closed && timeout_ms > 0)
    if (pthread_cond_timedwait (&ring->filled, &ring->lock, &until)
        == ETIMEDOUT)
      break;
  if (ring->count)
    {
      *item = ring->slot[ring->head];
      ring->head = (ring->head + 1) % ring->capacity;
      ring->count--;
    }
  else
    error = ring->closed ? BS_ECLOSED : BS_ETIMEOUT;
  pthread_mutex_unlock (&ring->lock);
  return error;
}

int
rg_count (struct rg_ring *ring)
{
  int n;

  pthread_mutex_lock (&ring->lock);
  n = (int)ring->count;
  pthread_mutex_unlock (&ring->lock);
  return n;
}

void
rg_close (struct rg_ring *ring)
{
  pthread_mutex_lock (&ring->lock);
  ring->closed = 1;
  pthread_cond_broadcast (&ring->filled);
  pthread_mutex_unlock (&ring->lock);
}
