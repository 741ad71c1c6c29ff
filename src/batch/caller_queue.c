#include "batch/caller_queue.h"

enum
{
  SMALL_BODY_BYTES = 16 * 1024,
  /* While large requests wait, one is taken after so many small ones.  */
  SMALL_FOR_A_LARGE = 8,
  /* A tick must follow in time for the lease, whose renewals are 400 ms apart
     by default.  */
  MAX_TURN_MS = 40
};

void
cq_init (struct cq_queue *q)
{
  *q = (struct cq_queue){ 0 };
  g_queue_init (&q->small);
  g_queue_init (&q->large);
}

void
cq_push (struct cq_queue *q, struct hs_exchange *ex)
{
  int is_small = hs_get_request (ex)->body_size <= SMALL_BODY_BYTES;

  g_queue_push_tail (is_small ? &q->small : &q->large, ex);
}

void
cq_begin_turn (struct cq_queue *q, int64_t now_ms)
{
  q->turn_ms = now_ms;
}

struct hs_exchange *
cq_take_any (struct cq_queue *q)
{
  int is_large_due = q->large.head && q->taken >= SMALL_FOR_A_LARGE;

  if (!q->small.head || is_large_due)
    {
      q->taken = 0;
      return g_queue_pop_head (&q->large);
    }
  q->taken++;
  return g_queue_pop_head (&q->small);
}

struct hs_exchange *
cq_take (struct cq_queue *q, int64_t now_ms)
{
  return now_ms - q->turn_ms < MAX_TURN_MS ? cq_take_any (q) : NULL;
}

int
cq_count (const struct cq_queue *q)
{
  return (int)(q->small.length + q->large.length);
}
