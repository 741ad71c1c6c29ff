/* Handles the answers of fake workers as the loop does.  */
#ifndef TESTS_BATCH_WORKER_EVENTS_H
#define TESTS_BATCH_WORKER_EVENTS_H

#include "batch/batch.h"

static inline void
handle_worker_events (struct batch *b)
{
  void *item;

  while (rg_pop (&b->events, &item, 0) == BS_OK)
    {
      struct ba_event *e = item;

      if (e->kind == BA_ORDER_REPLY)
        wk_on_order_reply (b, e->u.order.order, &e->u.order.answer);
      else
        {
          wk_on_listing (b, e->u.listing.order, e->u.listing.listing);
          wk_free_order (e->u.listing.order);
          po_listing_free (e->u.listing.listing);
        }
      g_free (e);
    }
}

#endif
