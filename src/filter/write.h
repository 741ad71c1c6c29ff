/* One write to the table, taken to an end that is known.  A lost answer is
   resolved by reading the row back; the caller tells whether the row found
   is the one it wanted to write.  Pure: replies in, what to do out.  */
#ifndef FILTER_WRITE_H
#define FILTER_WRITE_H

#include <stdint.h>

enum
{
  FL_WRITE_BACKOFF_MS = 50,       /* first wait after a failure */
  FL_WRITE_BACKOFF_MAX_MS = 5000, /* it doubles up to this */
};

/* How the table replied to a commit or a read.  */
enum fl_reply
{
  FL_REPLY_OK,      /* committed */
  FL_REPLY_ROW,     /* a conflict or a read shows the row as it is */
  FL_REPLY_REFUSED, /* nothing was written or read */
  FL_REPLY_LOST     /* no answer; a commit may have taken effect */
};

/* What a shown row is to the writer.  */
enum fl_row
{
  FL_ROW_BEFORE, /* absent, or what the write wants to replace */
  FL_ROW_OURS,   /* as the write wants it */
  FL_ROW_OTHER   /* somebody else's */
};

enum fl_write_state
{
  FL_WRITE_IDLE,
  FL_WRITE_COMMIT, /* a commit is in progress */
  FL_WRITE_READ,   /* a read is in progress */
  FL_WRITE_WAIT,   /* backs off until due_ms */
  FL_WRITE_ENDED
};

enum fl_write_end
{
  FL_WRITTEN,
  FL_WRITE_CONFLICT, /* the row is somebody else's */
  FL_WRITE_REFUSED,  /* provably not written */
  FL_WRITE_UNKNOWN   /* given up, and it may take effect yet */
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
  enum fl_write_end end;  /* when ended */
  int may_be_committed;   /* a commit's answer was lost */
  int retry_while_down;   /* goes on while the table is known down */
  int64_t retry_until_ms; /* no new try from here on */
  int64_t due_ms;         /* of the next try, in FL_WRITE_WAIT */
  int64_t backoff_ms;
};

/* The outside at one moment.  */
struct fl_moment
{
  int64_t now_ms;
  double jitter;  /* 0 to 1, drawn anew for each event */
  int table_down; /* known down: an immediate retry is pointless */
};

enum fl_write_do fl_write_start (struct fl_write *w, int64_t until_ms,
                                 int patient);
/* ROW counts only with FL_REPLY_ROW.  */
enum fl_write_do fl_write_reply (struct fl_write *w,
                                 const struct fl_moment *at,
                                 enum fl_reply reply, enum fl_row row);
/* To be called at DUE_MS or later.  */
enum fl_write_do fl_write_tick (struct fl_write *w,
                                const struct fl_moment *at);

/* True while a reply is awaited.  */
int fl_write_in_progress (const struct fl_write *w);

#endif
