#include "net/quota.h"

void
qt_init (struct qt_quota *q, int max_open)
{
  *q = (struct qt_quota){ .max_open = max_open };
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
  enter (q, c, QT_SILENT);
  return ++q->open > q->max_open ? give_up_one (q) : NULL;
}

void
qt_head (struct qt_quota *q, struct qt_conn *c)
{
  if (c->state != QT_CLOSING)
    move (q, c, QT_WAITING);
}

int
qt_begin (struct qt_quota *q, struct qt_conn *c)
{
  if (c->state == QT_CLOSING)
    return 0;
  move (q, c, QT_WORKING);
  return 1;
}

void
qt_answered (struct qt_quota *q, struct qt_conn *c)
{
  move (q, c, QT_WAITING);
}

void
qt_close (struct qt_quota *q, struct qt_conn *c)
{
  q->open -= c->state != QT_CLOSING;
  move (q, c, QT_CLOSING);
}
