/* Orders that wait to be sent.  Only a limited number is in progress at a
   time, so that the answers of a large round of starts come back before their
   timeouts, however many are ordered at once.  Does no I/O and does not know
   what an order is.  */
#ifndef SKR_BATCH_ORDER_QUEUE_H
#define SKR_BATCH_ORDER_QUEUE_H

#include <glib.h>

/* Classes of orders, the first to send first.  Stops leave a part of the limit
   to starts: workers that do not answer their stops must not hold up all
   starts.  */
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
  int in_progress[OQ_CLASSES];
  int limit, min_limit, max_limit;
  int fast_answers;      /* since the limit was changed */
  int64_t next_lower_ms; /* the limit is not lowered before */
  int is_overloaded;     /* this process reads the answers late */
  int64_t overloaded_until_ms;
};

/* Sets Q up for at most MAX_LIMIT orders in progress, and at least MIN_LIMIT
   when answers are slow.  */
void oq_init (struct oq_queue *q, int min_limit, int max_limit);
/* An order was answered after TOOK_MS.  Workers answer at once, so slow
   answers mean that this process or its links are overloaded: the limit
   falls, and rises again with fast answers.  */
void oq_note_answer (struct oq_queue *q, int64_t took_ms, int64_t now_ms);
/* An order was not answered.  The limit falls only if this process is
   overloaded: otherwise the worker is silent.  */
void oq_note_timeout (struct oq_queue *q, int64_t now_ms);
/* Time after which an order counts as not answered: MIN_MS, or longer if this
   process is overloaded, so that it does not take its own delay for silence of
   the workers.  */
int oq_timeout_ms (const struct oq_queue *q, int min_ms);
/* Notes that the answers have been read late for BACKLOG_MS; 0: they are not.
   What is noted holds for a while, as the load comes back at once.  */
void oq_note_backlog (struct oq_queue *q, int64_t backlog_ms, int64_t now_ms);
/* Frees the waiting items by FREE_ITEM and forgets the orders in progress.  Q
   may be used again.  */
void oq_clear (struct oq_queue *q, GDestroyNotify free_item);
/* Appends ITEM to its class.  */
void oq_push (struct oq_queue *q, enum oq_class class, void *item);
/* Removes the next item and counts it as in progress, until oq_done.  Returns
   NULL if nothing waits or the limit is reached.  */
void *oq_pop (struct oq_queue *q);
/* An order of CLASS that oq_pop returned has its outcome.  */
void oq_done (struct oq_queue *q, enum oq_class class);
/* Number of orders in progress.  */
int oq_in_progress (const struct oq_queue *q);
/* Number of waiting items.  */
int oq_waiting (const struct oq_queue *q);

#endif
