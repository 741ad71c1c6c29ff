/* Requests of callers that wait for the loop.  The loop's own work, which has
   leases to renew, goes before them: a turn ends after a bounded time.  Small
   requests go before large ones, which a crowd may send at once. */
#ifndef BATCH_CALLER_QUEUE_H
#define BATCH_CALLER_QUEUE_H

#include <glib.h>

#include "skr/serve.h"

struct cq_queue
{
  GQueue small, large; /* of struct hs_exchange */
  int taken;           /* small ones since the last large one */
  int64_t turn_ms;     /* when the turn began */
};

void cq_init (struct cq_queue *q);
void cq_push (struct cq_queue *q, struct hs_exchange *ex);
/* Begins a turn.  */
void cq_begin_turn (struct cq_queue *q, int64_t now_ms);
/* Returns the next request of the turn, at least one if any waits; NULL at its
   end.  */
struct hs_exchange *cq_take (struct cq_queue *q, int64_t now_ms);
/* Returns the next request without regard to turns, or NULL.  */
struct hs_exchange *cq_take_any (struct cq_queue *q);
int cq_count (const struct cq_queue *q);

#endif
