/* State machine of one write to the table.  It does no I/O: each reply yields
   the next operation.  A lost answer is resolved by reading the row back; the
   caller tells whether the row found is the one that it wanted to write.  */
#ifndef FILTER_WRITE_H
#define FILTER_WRITE_H

#include <stdint.h>

enum
{
  FL_WRITE_BACKOFF_MS = 50,       /* first wait after a failure */
  FL_WRITE_BACKOFF_MAX_MS = 5000, /* limit of the doubling wait */
};

/* How the table replied to a commit or a read.  */
enum fl_reply
{
  FL_REPLY_OK,      /* committed */
  FL_REPLY_ROW,     /* the current row, after a conflict or a read */
  FL_REPLY_REFUSED, /* nothing was written or read */
  FL_REPLY_LOST     /* no answer; a commit may have taken effect */
};

/* How the row found relates to the write.  */
enum fl_row
{
  FL_ROW_BEFORE, /* absent, or the value that the write replaces */
  FL_ROW_OURS,   /* the value that the write puts there */
  FL_ROW_OTHER   /* another writer's */
};

enum fl_write_state
{
  FL_WRITE_IDLE,
  FL_WRITE_COMMIT, /* a commit is in progress */
  FL_WRITE_READ,   /* a read is in progress */
  FL_WRITE_WAIT,   /* backoff until due_ms */
  FL_WRITE_ENDED
};

enum fl_write_end
{
  FL_WRITTEN,
  FL_WRITE_CONFLICT, /* another writer owns the row */
  FL_WRITE_REFUSED,  /* certainly not written */
  FL_WRITE_UNKNOWN   /* given up, but a commit may still take effect */
};

enum fl_write_do
{
  FL_WRITE_NOTHING,
  FL_WRITE_DO_COMMIT,
  FL_WRITE_DO_READ
};

struct fl_write
{
  enum fl_write_state state;
  enum fl_write_end end;  /* valid in FL_WRITE_ENDED */
  int may_be_committed;   /* the answer of a commit was lost */
  int retry_while_down;   /* also while the table is known to be down */
  int64_t retry_until_ms; /* no new attempt at or after this time */
  int64_t due_ms;         /* next attempt, in FL_WRITE_WAIT */
  int64_t backoff_ms;
};

/* Conditions at the time of an event.  */
struct fl_conditions
{
  int64_t now_ms;
  double jitter;  /* 0 to 1, a new random value for each event */
  int table_down; /* known outage: an immediate retry is pointless */
};

/* Starts a write.  Returns the first operation.  */
enum fl_write_do fl_write_start (struct fl_write *w, int64_t until_ms,
                                 int patient);
/* Handles the reply to the last operation and returns the next one.  ROW is
   used only with FL_REPLY_ROW.  */
enum fl_write_do fl_write_reply (struct fl_write *w,
                                 const struct fl_conditions *at,
                                 enum fl_reply reply, enum fl_row row);
/* Returns the operation that is due.  To be called at W's due_ms or later.  */
enum fl_write_do fl_write_tick (struct fl_write *w,
                                const struct fl_conditions *at);

/* True while a reply is awaited.  */
int fl_write_in_progress (const struct fl_write *w);

#endif
