/* State machine of one call, from its acceptance to its end.  It does no I/O
   and reads no clock: each event carries the time and yields a set of
   actions.

   A non-repeatable call is claimed in the table before it is dispatched.  It
   is dispatched a second time only after proof that the upstream did not run
   it.  A repeatable call writes nothing to the table and is retried on
   another upstream as the retry budget allows.  */
#ifndef FILTER_CALL_H
#define FILTER_CALL_H

#include <stdint.h>

#include "filter/budget.h"
#include "filter/write.h"

enum
{
  FL_CALL_MAX_ATTEMPTS = 8,
  FL_CALL_POLL_MS = 50,            /* first poll of another VM's claim */
  FL_CALL_POLL_MAX_MS = 500,       /* limit of the doubling interval */
  FL_CALL_RECORD_WAIT_MS = 250,    /* an answer's wait for its row */
  FL_CALL_RECORD_RETRY_MS = 600000 /* retries of writing the end */
};

enum fl_call_state
{
  FL_CALL_NEW,
  FL_CALL_CLAIMING,
  FL_CALL_CLAIMED_ELSEWHERE, /* by another VM; polls its row */
  FL_CALL_WAITING,           /* for an upstream's slot */
  FL_CALL_DISPATCHED,
  FL_CALL_ENDED
};

enum fl_end
{
  FL_END_NONE,
  FL_END_DONE,
  FL_END_FAILED,  /* it ran, and the upstream reported a failure */
  FL_END_NOT_RUN, /* provably not dispatched, or refused by upstreams */
  FL_END_UNKNOWN,
  FL_END_OTHER_BODY /* the key was used with a different body */
};

enum fl_end_reason
{
  FL_REASON_NONE,
  FL_REASON_DEADLINE,
  FL_REASON_TABLE_DOWN,        /* the table is unavailable */
  FL_REASON_NO_UPSTREAM,       /* no upstream accepted it */
  FL_REASON_ANSWER_LOST,       /* dispatched, but no answer arrived */
  FL_REASON_CLAIMED_ELSEWHERE, /* in progress on another VM, or that VM died */
  FL_REASON_STORED_END /* the end is stored in an earlier attempt's row */
};

/* State of the row of another attempt with the same key.  */
enum fl_row_state
{
  FL_STATE_ABSENT,
  FL_STATE_CLAIMED,
  FL_STATE_CLAIM_ORPHANED, /* the VM that claimed it is gone */
  FL_STATE_DONE,
  FL_STATE_FAILED,
  FL_STATE_NOT_RUN,
  FL_STATE_UNKNOWN,
  FL_STATE_OTHER_BODY
};

/* Result of one attempt on an upstream.  */
enum fl_upstream_end
{
  FL_UP_DONE,    /* complete answer to this request */
  FL_UP_FAILED,  /* the request was started and failed */
  FL_UP_NOT_RUN, /* proof that the request was not started */
  FL_UP_BUSY,    /* not started because no slot was free */
  FL_UP_LOST     /* no answer: it may have run */
};

enum fl_call_event_kind
{
  FL_EV_START,
  FL_EV_TABLE,   /* reply to FL_DO_CLAIM or FL_DO_READ */
  FL_EV_SLOT,    /* a slot is reserved for the call */
  FL_EV_NO_SLOT, /* no upstream exists to wait for */
  FL_EV_UPSTREAM,
  FL_EV_RECORD, /* reply to FL_DO_RECORD or FL_DO_RECORD_READ */
  FL_EV_TICK
};

struct fl_call_event
{
  enum fl_call_event_kind kind;
  struct fl_conditions at;
  enum fl_reply reply;         /* table, record */
  enum fl_row row;             /* table, record: with FL_REPLY_ROW */
  enum fl_row_state row_state; /* table: when another attempt owns the row */
  enum fl_upstream_end upstream;
};

/* Actions; a set of bits.  */
enum fl_call_do
{
  FL_DO_CLAIM = 1 << 0,
  FL_DO_READ = 1 << 1,
  FL_DO_REQUEST_SLOT = 1 << 2, /* wait for a slot; FL_EV_SLOT follows */
  FL_DO_CANCEL_SLOT = 1 << 3,  /* withdraw the wait for a slot */
  FL_DO_DISPATCH = 1 << 4,     /* to the upstream of FL_EV_SLOT */
  FL_DO_RELEASE_SLOT = 1 << 5, /* free the slot of FL_EV_SLOT */
  FL_DO_ANSWER = 1 << 6,       /* answer the caller by end and why */
  FL_DO_RECORD = 1 << 7,       /* write the end to the call's row */
  FL_DO_RECORD_READ = 1 << 8,  /* read the row back */
  FL_DO_MARK_UNKNOWN = 1 << 9  /* record a dead VM's claim as unknown */
};

struct fl_call
{
  enum fl_call_state state;
  enum fl_end end;
  enum fl_end_reason reason;
  int repeatable;
  int claimed;      /* this attempt owns the row, or may own it */
  int sole_attempt; /* the table shows that no other attempt ran */
  int answered;
  int ambiguous; /* an attempt may have run */
  int failed;    /* an attempt ran and failed */
  int attempts, in_flight, slot_wanted;
  int busy_attempts;  /* attempts that found no free slot */
  int record_pending; /* write the end again after this write */
  int64_t deadline_ms;
  int64_t answer_by_ms; /* latest answer, while it waits for record */
  int64_t poll_ms, poll_due_ms;
  int64_t sent_ms, hedge_after_ms; /* hedge_after_ms 0: no hedge */
  struct fl_write claim, record;
  struct fl_budget *budget;
};

struct fl_call_spec
{
  int repeatable;
  int64_t deadline_ms;      /* on the clock of the events' times */
  int64_t hedge_after_ms;   /* after a dispatch; 0: no hedge */
  struct fl_budget *budget; /* the caller's; must outlive the call */
};

void fl_call_init (struct fl_call *c, const struct fl_call_spec *spec);
/* Handles EV and returns the actions to take, a set of fl_call_do.  */
unsigned fl_call_step (struct fl_call *c, const struct fl_call_event *ev);
/* Returns when the next FL_EV_TICK is due; INT64_MAX: never.  */
int64_t fl_call_due_ms (const struct fl_call *c);
/* True once the call is answered and no attempt, slot request or write is
   pending.  */
int fl_call_is_over (const struct fl_call *c);

#endif
