#include "batch/order_queue.h"

void
oq_init (struct oq_queue *q, int limit)
{
  for (int i = 0; i < OQ_CLASSES; i++)
    g_queue_init (&q->waiting[i]);
  q->in_progress = 0;
  q->limit = limit;
}

void
oq_clear (struct oq_queue *q, GDestroyNotify free_item)
{
  for (int i = 0; i < OQ_CLASSES; i++)
    g_queue_clear_full (&q->waiting[i], free_item);
  q->in_progress = 0;
}

void
oq_push (struct oq_queue *q, enum oq_class class, void *item)
{
  g_queue_push_tail (&q->waiting[class], item);
}

void *
oq_pop (struct oq_queue *q)
{
  if (q->in_progress >= q->limit)
    return NULL;
  for (int i = 0; i < OQ_CLASSES; i++)
    if (!g_queue_is_empty (&q->waiting[i]))
      {
        q->in_progress++;
        return g_queue_pop_head (&q->waiting[i]);
      }
  return NULL;
}

void
oq_done (struct oq_queue *q)
{
  q->in_progress--;
}

int
oq_waiting (const struct oq_queue *q)
{
  int n = 0;

  for (int i = 0; i < OQ_CLASSES; i++)
    n += (int)q->waiting[i].length;
  return n;
}
