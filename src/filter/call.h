/* One call from its acceptance to its end.  Pure: an event in, a set of
   actions out, the time passed in.

   A call that may not be repeated is claimed in the table before it is
   dispatched, and dispatched once: again only after a proof that the
   upstream did not run it.  A call that may be repeated writes nothing and
   is retried on another upstream under the retry budget.  */
#ifndef FILTER_CALL_H
#define FILTER_CALL_H

#include <stdint.h>

#include "filter/budget.h"
#include "filter/write.h"

enum
{
  FL_CALL_MAX_ATTEMPTS = 8,
  FL_CALL_POLL_MS = 50,            /* first poll of another VM's claim */
  FL_CALL_POLL_MAX_MS = 500,       /* the wait doubles up to this */
  FL_CALL_RECORD_WAIT_MS = 250,    /* an answer waits so long for its row */
  FL_CALL_RECORD_RETRY_MS = 600000 /* tries to write the end for so long */
};

enum fl_call_state
{
  FL_CALL_NEW,
  FL_CALL_CLAIMING,
  FL_CALL_CLAIMED_ELSEWHERE, /* another VM's claim: its row is polled */
  FL_CALL_WAITING,           /* for a slot */
  FL_CALL_DISPATCHED,
  FL_CALL_ENDED
};

enum fl_end
{
  FL_END_NONE,
  FL_END_DONE,
  FL_END_FAILED,  /* it ran, and the upstream reports failure */
  FL_END_NOT_RUN, /* provably not dispatched, or refused by upstreams */
  FL_END_UNKNOWN,
  FL_END_OTHER_BODY /* the key belongs to another body */
};

enum fl_why
{
  FL_WHY_NONE,
  FL_WHY_DEADLINE,
  FL_WHY_TABLE,     /* the table does not answer */
  FL_WHY_UPSTREAMS, /* none could take it */
  FL_WHY_LOST,      /* dispatched, and the answer is missing */
  FL_WHY_ELSEWHERE, /* in progress at another VM, or it died there */
  FL_WHY_ROW        /* as an earlier attempt's row says */
};

/* State of a row that belongs to another attempt.  */
enum fl_row_state
{
  FL_STATE_ABSENT,
  FL_STATE_CLAIMED,
  FL_STATE_CLAIMED_DEAD, /* and the VM that claimed it is gone */
  FL_STATE_DONE,
  FL_STATE_FAILED,
  FL_STATE_NOT_RUN,
  FL_STATE_UNKNOWN,
  FL_STATE_OTHER_BODY
};

/* How an upstream ended an attempt.  */
enum fl_upstream_end
{
  FL_UP_DONE,    /* whole answer to this very request */
  FL_UP_FAILED,  /* started and failed */
  FL_UP_NOT_RUN, /* proof that it was not started */
  FL_UP_BUSY,    /* the same: every slot there was taken */
  FL_UP_LOST
};

enum fl_call_event_kind
{
  FL_EV_START,
  FL_EV_TABLE,   /* reply to FL_DO_CLAIM or FL_DO_READ */
  FL_EV_SLOT,    /* an upstream's slot is held for it */
  FL_EV_NO_SLOT, /* there is no upstream that it could wait for */
  FL_EV_UPSTREAM,
  FL_EV_RECORD, /* reply to FL_DO_RECORD or FL_DO_RECORD_READ */
  FL_EV_TICK
};

struct fl_call_event
{
  enum fl_call_event_kind kind;
  struct fl_moment at;
  enum fl_reply reply;         /* table, record */
  enum fl_row row;             /* table, record: with FL_REPLY_ROW */
  enum fl_row_state row_state; /* table: of another's row */
  enum fl_upstream_end upstream;
};

/* Actions, a set of bits.  */
enum fl_call_do
{
  FL_DO_CLAIM = 1 << 0,
  FL_DO_READ = 1 << 1,
  FL_DO_WANT = 1 << 2,     /* ask for a slot; FL_EV_SLOT follows */
  FL_DO_UNWANT = 1 << 3,   /* leave the queue for slots */
  FL_DO_DISPATCH = 1 << 4, /* to the upstream of FL_EV_SLOT */
  FL_DO_RELEASE = 1 << 5,  /* give the slot of FL_EV_SLOT back */
  FL_DO_ANSWER = 1 << 6,   /* to the caller, by END and WHY */
  FL_DO_RECORD = 1 << 7,   /* write END to the row */
  FL_DO_RECORD_READ = 1 << 8,
  FL_DO_MARK_UNKNOWN = 1 << 9 /* once: the dead VM's claim as unknown */
};

struct fl_call
{
  enum fl_call_state state;
  enum fl_end end;
  enum fl_why why;
  int repeatable;
  int claimed; /* the row is ours, or may be */
  int proved;  /* the table says that no other attempt ran */
  int answered;
  int ambiguous; /* an attempt's effect is unknown */
  int failed;    /* an attempt ran and failed */
  int attempts, in_flight, slot_wanted;
  int busy_attempts; /* attempts that met no free slot */
  int record_pending;
  int64_t deadline_ms;
  int64_t answer_by_ms; /* with an end that waits for its row */
  int64_t poll_ms, poll_due_ms;
  int64_t sent_ms, hedge_after_ms; /* 0: no hedge */
  struct fl_write claim, record;
  struct fl_budget *budget;
};

struct fl_call_spec
{
  int repeatable;
  int64_t deadline_ms;    /* on the clock of the events */
  int64_t hedge_after_ms; /* after a dispatch; 0: never */
  struct fl_budget *budget;
};

void fl_call_init (struct fl_call *c, const struct fl_call_spec *spec);
/* Returns a set of fl_call_do.  */
unsigned fl_call_step (struct fl_call *c, const struct fl_call_event *ev);
/* When the next FL_EV_TICK is due; INT64_MAX: never.  */
int64_t fl_call_due_ms (const struct fl_call *c);
/* True once nothing is left to do or to wait for.  */
int fl_call_over (const struct fl_call *c);

#endif
