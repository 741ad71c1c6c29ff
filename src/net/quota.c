#include "net/quota.h"

void
qt_init (struct qt_quota *q, int max_open, size_t max_held)
{
  *q = (struct qt_quota){ .max_open = max_open, .max_held = max_held };
  g_queue_init (&q->holding);
  g_queue_init (&q->silent);
  g_queue_init (&q->waiting);
}

static GQueue *
queue_of (struct qt_quota *q, enum qt_state state)
{
  switch (state)
    {
    case QT_SILENT:
      return &q->silent;
    case QT_WAITING:
      return &q->waiting;
    case QT_WORKING:
    case QT_CLOSING:
      break;
    }
  return NULL;
}

static void
enter (struct qt_quota *q, struct qt_conn *c, enum qt_state state)
{
  GQueue *queue = queue_of (q, state);

  c->state = state;
  c->place = (GList){ .data = c };
  if (queue)
    g_queue_push_tail_link (queue, &c->place);
}

static void
move (struct qt_quota *q, struct qt_conn *c, enum qt_state state)
{
  GQueue *queue = queue_of (q, c->state);

  if (queue)
    g_queue_unlink (queue, &c->place);
  enter (q, c, state);
}

/* Takes from the larger group, so that neither a crowd that sends nothing nor
   one that sends whole heads costs the others their connections.  */
static struct qt_conn *
give_up_one (struct qt_quota *q)
{
  GQueue *from
      = q->silent.length > q->waiting.length ? &q->silent : &q->waiting;
  struct qt_conn *c = g_queue_peek_head (from);

  if (!c)
    return NULL;
  move (q, c, QT_CLOSING);
  q->open--;
  q->closed++;
  return c;
}

struct qt_conn *
qt_open (struct qt_quota *q, struct qt_conn *c)
{
  c->held = 0;
  enter (q, c, QT_SILENT);
  return ++q->open > q->max_open ? give_up_one (q) : NULL;
}

void
qt_head (struct qt_quota *q, struct qt_conn *c)
{
  if (c->state != QT_CLOSING)
    move (q, c, QT_WAITING);
}

/* Cost of SIZE bytes that C has held so far.  */
static int64_t
cost (const struct qt_conn *c, size_t size, int64_t now_ms)
{
  return (now_ms - c->since_ms + 1) * (int64_t)size;
}

/* Returns the connection with the most costly unfinished body if C had
   SIZE bytes.  */
static struct qt_conn *
most_costly (struct qt_quota *q, struct qt_conn *c, size_t size,
             int64_t now_ms)
{
  struct qt_conn *most = c;
  int64_t highest = cost (c, size, now_ms);

  for (GList *l = q->holding.head; l; l = l->next)
    {
      struct qt_conn *other = l->data;

      if (other != c && cost (other, other->held, now_ms) > highest)
        {
          most = other;
          highest = cost (other, other->held, now_ms);
        }
    }
  return most;
}

struct qt_conn *
qt_hold (struct qt_quota *q, struct qt_conn *c, size_t size, int64_t now_ms)
{
  struct qt_conn *victim;

  if (!c->held)
    c->since_ms = now_ms;
  if (q->held - c->held + size > q->max_held)
    {
      victim = most_costly (q, c, size, now_ms);
      qt_release (q, victim);
      q->dropped++;
      return victim;
    }
  if (!c->held)
    {
      c->holding = (GList){ .data = c };
      g_queue_push_tail_link (&q->holding, &c->holding);
    }
  q->held += size - c->held;
  c->held = size;
  return NULL;
}

void
qt_release (struct qt_quota *q, struct qt_conn *c)
{
  if (c->held && c->state != QT_WORKING)
    g_queue_unlink (&q->holding, &c->holding);
  q->held -= c->held;
  c->held = 0;
}

int
qt_begin (struct qt_quota *q, struct qt_conn *c)
{
  if (c->state == QT_CLOSING)
    return 0;
  if (c->held)
    g_queue_unlink (&q->holding, &c->holding);
  move (q, c, QT_WORKING);
  return 1;
}

void
qt_answered (struct qt_quota *q, struct qt_conn *c)
{
  qt_release (q, c);
  move (q, c, QT_WAITING);
}

void
qt_close (struct qt_quota *q, struct qt_conn *c)
{
  q->open -= c->state != QT_CLOSING;
  qt_release (q, c);
  move (q, c, QT_CLOSING);
}
