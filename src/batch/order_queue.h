/* Orders that wait to be sent.  Only a limited number is in progress at a
   time, so that the answers of a large round of starts come back before their
   timeouts, however many are ordered at once.  Does no I/O and does not know
   what an order is.  */
#ifndef SKR_BATCH_ORDER_QUEUE_H
#define SKR_BATCH_ORDER_QUEUE_H

#include <glib.h>

/* Classes of orders, the first to send first.  */
enum oq_class
{
  OQ_STOP,   /* frees capacity that other work waits for */
  OQ_URGENT, /* starts of the highest priority */
  OQ_BATCH,
  OQ_CLASSES
};

struct oq_queue
{
  GQueue waiting[OQ_CLASSES]; /* of the caller's items */
  int in_progress, limit;     /* orders */
};

/* Sets Q up for at most LIMIT orders in progress.  */
void oq_init (struct oq_queue *q, int limit);
/* Frees the waiting items by FREE_ITEM and forgets the orders in progress.  Q
   may be used again.  */
void oq_clear (struct oq_queue *q, GDestroyNotify free_item);
/* Appends ITEM to its class.  */
void oq_push (struct oq_queue *q, enum oq_class class, void *item);
/* Removes the next item and counts it as in progress, until oq_done.  Returns
   NULL if nothing waits or the limit is reached.  */
void *oq_pop (struct oq_queue *q);
/* An order that oq_pop returned has its outcome.  */
void oq_done (struct oq_queue *q);
/* Number of waiting items.  */
int oq_waiting (const struct oq_queue *q);

#endif
