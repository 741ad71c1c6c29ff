#include "batch/order_queue.h"

enum
{
  FAST_ANSWER_MS = 100,
  SLOW_ANSWER_MS = 200,      /* well below the timeout of a start */
  OVERLOAD_BACKLOG_MS = 150, /* well below the timeout of a start */
  OVERLOAD_HOLD_MS = 1000,
  OVERLOAD_TIMEOUT_MS = 1500, /* below the time until a start expires */
  LOWER_INTERVAL_MS = 100 /* answers to the orders sent before a change come
                             in meanwhile */
};

void
oq_init (struct oq_queue *q, int min_limit, int max_limit)
{
  *q = (struct oq_queue){ .limit = max_limit,
                          .min_limit = min_limit,
                          .max_limit = max_limit };
  for (int i = 0; i < OQ_CLASSES; i++)
    g_queue_init (&q->waiting[i]);
}

static void
lower_limit (struct oq_queue *q, int64_t now_ms)
{
  if (now_ms < q->next_lower_ms)
    return;
  q->limit = MAX (q->limit * 3 / 4, q->min_limit);
  q->next_lower_ms = now_ms + LOWER_INTERVAL_MS;
  q->fast_answers = 0;
}

void
oq_note_timeout (struct oq_queue *q, int64_t now_ms)
{
  if (q->is_overloaded)
    lower_limit (q, now_ms);
}

int
oq_timeout_ms (const struct oq_queue *q, int min_ms)
{
  return q->is_overloaded ? MAX (min_ms, OVERLOAD_TIMEOUT_MS) : min_ms;
}

void
oq_note_backlog (struct oq_queue *q, int64_t backlog_ms, int64_t now_ms)
{
  if (backlog_ms >= OVERLOAD_BACKLOG_MS)
    q->overloaded_until_ms = now_ms + OVERLOAD_HOLD_MS;
  q->is_overloaded = now_ms < q->overloaded_until_ms;
}

void
oq_note_answer (struct oq_queue *q, int64_t took_ms, int64_t now_ms)
{
  if (took_ms >= SLOW_ANSWER_MS)
    lower_limit (q, now_ms);
  else if (took_ms < FAST_ANSWER_MS && ++q->fast_answers >= q->limit / 8)
    {
      q->limit = MIN (q->limit + 1, q->max_limit);
      q->fast_answers = 0;
    }
}

void
oq_clear (struct oq_queue *q, GDestroyNotify free_item)
{
  for (int i = 0; i < OQ_CLASSES; i++)
    g_queue_clear_full (&q->waiting[i], free_item);
  for (int i = 0; i < OQ_CLASSES; i++)
    q->in_progress[i] = 0;
}

void
oq_push (struct oq_queue *q, enum oq_class class, void *item)
{
  g_queue_push_tail (&q->waiting[class], item);
}

int
oq_in_progress (const struct oq_queue *q)
{
  int n = 0;

  for (int i = 0; i < OQ_CLASSES; i++)
    n += q->in_progress[i];
  return n;
}

static int
may_send (const struct oq_queue *q, int class)
{
  if (g_queue_is_empty ((GQueue *)&q->waiting[class]))
    return 0;
  return class != OQ_STOP || q->in_progress[OQ_STOP] < q->limit * 3 / 4;
}

void *
oq_pop (struct oq_queue *q)
{
  if (oq_in_progress (q) >= q->limit)
    return NULL;
  for (int i = 0; i < OQ_CLASSES; i++)
    if (may_send (q, i))
      {
        q->in_progress[i]++;
        return g_queue_pop_head (&q->waiting[i]);
      }
  return NULL;
}

void
oq_done (struct oq_queue *q, enum oq_class class)
{
  q->in_progress[class]--;
}

int
oq_waiting (const struct oq_queue *q)
{
  int n = 0;

  for (int i = 0; i < OQ_CLASSES; i++)
    n += (int)q->waiting[i].length;
  return n;
}
