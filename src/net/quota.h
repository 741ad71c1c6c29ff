/* What the clients of one HTTP server may hold, and whose connection is given
   up when that is used up.  No function blocks or calls the system; the server
   passes the time and locks.

   No client is judged by the time that it takes: a slow link, or a process
   that stood still itself, costs nobody a connection unless others need it. */
#ifndef NET_QUOTA_H
#define NET_QUOTA_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

enum qt_state
{
  QT_SILENT,  /* has not sent the head of a request yet */
  QT_WAITING, /* sends a request, reads an answer, or is idle */
  QT_WORKING, /* its request is handled; it is not given up */
  QT_CLOSING  /* was given up */
};

/* A connection; memory of the caller, from qt_open to qt_close.  */
struct qt_conn
{
  enum qt_state state;
  GList place; /* in the queue of its state */
  /* Of the body of its request beyond the part that each connection may hold:
     bytes, and when the first of them was asked for.  */
  size_t held;
  int64_t since_ms;
  GList holding; /* in the queue of unfinished bodies, while HELD is not 0 */
};

struct qt_quota
{
  int max_open;
  size_t max_held; /* bytes of all connections */
  int open;        /* connections that are not closing */
  size_t held;
  int64_t closed;  /* connections given up so far */
  int64_t dropped; /* bodies given up so far */
  GQueue holding;  /* connections with an unfinished body that counts */
  /* The connections of these states, in the order in which they entered
     them.  */
  GQueue silent, waiting;
};

void qt_init (struct qt_quota *q, int max_open, size_t max_held);
/* Adds C.  Returns the connection to be closed for it, now QT_CLOSING, or
   NULL.  It is the oldest of the silent or of the waiting ones, whichever are
   more; C itself if requests are handled on all others.  */
struct qt_conn *qt_open (struct qt_quota *q, struct qt_conn *c);
/* The head of a request has arrived.  */
void qt_head (struct qt_quota *q, struct qt_conn *c);
/* Asks for the body of C to hold SIZE bytes, more than it does.  Returns NULL
   if it may; else the connection whose body is to be dropped before C asks
   again, now without any, which may be C itself.  It is the unfinished body
   that has cost most, in bytes held and time: one that arrives as fast as the
   link permits costs less than one that is held open.  */
struct qt_conn *qt_hold (struct qt_quota *q, struct qt_conn *c, size_t size,
                         int64_t now_ms);
/* C holds nothing any more.  */
void qt_release (struct qt_quota *q, struct qt_conn *c);
/* The whole request has arrived.  Returns 0 if it must not be handled, as C is
   closing.  */
int qt_begin (struct qt_quota *q, struct qt_conn *c);
/* The request was answered.  */
void qt_answered (struct qt_quota *q, struct qt_conn *c);
/* Removes C.  */
void qt_close (struct qt_quota *q, struct qt_conn *c);

#endif
