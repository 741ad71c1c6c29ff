#include "filter/call.h"

void
fl_call_init (struct fl_call *c, const struct fl_call_spec *spec)
{
  *c = (struct fl_call){ .state = FL_CALL_NEW,
                         .repeatable = spec->repeatable,
                         .deadline_ms = spec->deadline_ms,
                         .hedge_after_ms = spec->hedge_after_ms,
                         .budget = spec->budget,
                         .poll_ms = FL_CALL_POLL_MS };
}

static unsigned
write_action (enum fl_write_do what, unsigned commit, unsigned read)
{
  switch (what)
    {
    case FL_WRITE_DO_COMMIT:
      return commit;
    case FL_WRITE_DO_READ:
      return read;
    case FL_WRITE_NOTHING:
      break;
    }
  return 0;
}

static unsigned
answer_once (struct fl_call *c)
{
  if (c->answered)
    return 0;
  c->answered = 1;
  return FL_DO_ANSWER;
}

static unsigned
cancel_slot_request (struct fl_call *c)
{
  if (!c->slot_wanted)
    return 0;
  c->slot_wanted = 0;
  return FL_DO_CANCEL_SLOT;
}

static unsigned
start_record (struct fl_call *c, const struct fl_conditions *at)
{
  if (c->record.state != FL_WRITE_IDLE && c->record.state != FL_WRITE_ENDED)
    {
      c->record_pending = 1;
      return 0;
    }
  return write_action (
      fl_write_start (&c->record, at->now_ms + FL_CALL_RECORD_RETRY_MS, 1),
      FL_DO_RECORD, FL_DO_RECORD_READ);
}

/* Ends the call.  A refusal or an unknown end is answered at once.  An end
   that is known as done or failed is first written to the call's row, so that
   a repeat on another VM finds it; the answer waits for that write, at most
   FL_CALL_RECORD_WAIT_MS.  */
static unsigned
finish (struct fl_call *c, const struct fl_conditions *at, enum fl_end how,
        enum fl_end_reason why)
{
  unsigned act = cancel_slot_request (c);

  c->state = FL_CALL_ENDED;
  c->end = how;
  c->reason = why;
  if (c->claimed)
    act |= start_record (c, at);
  if (c->claimed && (how == FL_END_DONE || how == FL_END_FAILED))
    {
      c->answer_by_ms = at->now_ms + FL_CALL_RECORD_WAIT_MS;
      return act;
    }
  return act | answer_once (c);
}

static unsigned
give_up (struct fl_call *c, const struct fl_conditions *at,
         enum fl_end_reason why)
{
  if (c->ambiguous)
    return finish (c, at, FL_END_UNKNOWN, why);
  return finish (c, at, c->failed ? FL_END_FAILED : FL_END_NOT_RUN, why);
}

static unsigned
request_slot (struct fl_call *c)
{
  c->state = FL_CALL_WAITING;
  c->slot_wanted = 1;
  return FL_DO_REQUEST_SLOT;
}

static unsigned
on_start (struct fl_call *c, const struct fl_conditions *at)
{
  if (at->now_ms >= c->deadline_ms)
    return give_up (c, at, FL_REASON_DEADLINE);
  fl_budget_deposit (c->budget);
  if (c->repeatable)
    return request_slot (c);
  if (at->table_down)
    return give_up (c, at, FL_REASON_TABLE_DOWN);
  c->state = FL_CALL_CLAIMING;
  return write_action (fl_write_start (&c->claim, c->deadline_ms, 0),
                       FL_DO_CLAIM, FL_DO_READ);
}

static unsigned
poll_later (struct fl_call *c, const struct fl_conditions *at)
{
  c->state = FL_CALL_CLAIMED_ELSEWHERE;
  c->poll_due_ms = at->now_ms + c->poll_ms / 2
                   + (int64_t)((double)c->poll_ms / 2 * at->jitter);
  c->poll_ms *= 2;
  if (c->poll_ms > FL_CALL_POLL_MAX_MS)
    c->poll_ms = FL_CALL_POLL_MAX_MS;
  return 0;
}

/* Follows the row of another attempt with the same key.  */
static unsigned
on_other_attempt_row (struct fl_call *c, const struct fl_conditions *at,
                      enum fl_row_state state)
{
  switch (state)
    {
    case FL_STATE_DONE:
      return finish (c, at, FL_END_DONE, FL_REASON_STORED_END);
    case FL_STATE_FAILED:
      return finish (c, at, FL_END_FAILED, FL_REASON_STORED_END);
    case FL_STATE_NOT_RUN:
      c->sole_attempt = 1;
      return finish (c, at, FL_END_NOT_RUN, FL_REASON_STORED_END);
    case FL_STATE_UNKNOWN:
      return finish (c, at, FL_END_UNKNOWN, FL_REASON_STORED_END);
    case FL_STATE_OTHER_BODY:
      return finish (c, at, FL_END_OTHER_BODY, FL_REASON_STORED_END);
    case FL_STATE_CLAIM_ORPHANED:
      return finish (c, at, FL_END_UNKNOWN, FL_REASON_CLAIMED_ELSEWHERE)
             | FL_DO_MARK_UNKNOWN;
    case FL_STATE_ABSENT: /* the row was deleted, which proves nothing */
      return finish (c, at, FL_END_UNKNOWN, FL_REASON_CLAIMED_ELSEWHERE);
    case FL_STATE_CLAIMED:
      break;
    }
  if (at->now_ms >= c->deadline_ms)
    return finish (c, at, FL_END_UNKNOWN, FL_REASON_CLAIMED_ELSEWHERE);
  return poll_later (c, at);
}

static unsigned
on_claim_end (struct fl_call *c, const struct fl_call_event *ev)
{
  switch (c->claim.end)
    {
    case FL_WRITTEN:
      c->claimed = c->sole_attempt = 1;
      if (c->state == FL_CALL_ENDED)
        return start_record (c, &ev->at);
      if (ev->at.now_ms >= c->deadline_ms)
        return give_up (c, &ev->at, FL_REASON_DEADLINE);
      return request_slot (c);
    case FL_WRITE_CONFLICT:
      return c->state == FL_CALL_ENDED
                 ? 0
                 : on_other_attempt_row (c, &ev->at, ev->row_state);
    case FL_WRITE_REFUSED:
      return c->state == FL_CALL_ENDED
                 ? 0
                 : give_up (c, &ev->at, FL_REASON_TABLE_DOWN);
    case FL_WRITE_UNKNOWN:
      break;
    }
  /* The claim may still be committed.  The call was never dispatched, so
     its row is recorded as not run.  */
  c->claimed = 1;
  return c->state == FL_CALL_ENDED
             ? start_record (c, &ev->at)
             : give_up (c, &ev->at, FL_REASON_TABLE_DOWN);
}

static unsigned
on_table (struct fl_call *c, const struct fl_call_event *ev)
{
  enum fl_write_do what;

  if (c->state == FL_CALL_CLAIMED_ELSEWHERE)
    {
      if (ev->reply == FL_REPLY_ROW)
        return on_other_attempt_row (c, &ev->at, ev->row_state);
      if (ev->at.table_down || ev->at.now_ms >= c->deadline_ms)
        return finish (c, &ev->at, FL_END_UNKNOWN,
                       FL_REASON_CLAIMED_ELSEWHERE);
      return poll_later (c, &ev->at);
    }
  if (!fl_write_in_progress (&c->claim))
    return 0;
  what = fl_write_reply (&c->claim, &ev->at, ev->reply, ev->row);
  if (c->claim.state == FL_WRITE_ENDED)
    return on_claim_end (c, ev);
  return write_action (what, FL_DO_CLAIM, FL_DO_READ);
}

static unsigned
on_slot (struct fl_call *c, const struct fl_conditions *at)
{
  int hedge = c->state == FL_CALL_DISPATCHED;

  c->slot_wanted = 0;
  if (c->state == FL_CALL_ENDED || (hedge && !c->in_flight))
    return FL_DO_RELEASE_SLOT;
  if (at->now_ms >= c->deadline_ms)
    return FL_DO_RELEASE_SLOT
           | (hedge ? 0 : give_up (c, at, FL_REASON_DEADLINE));
  c->state = FL_CALL_DISPATCHED;
  c->sent_ms = at->now_ms;
  c->attempts++;
  c->in_flight++;
  return FL_DO_DISPATCH;
}

/* The upstream had no free slot for the dispatch.  The call waits for a slot
   again.  This does not count as a retry, because it costs the upstream
   nothing.  */
static unsigned
requeue_for_slot (struct fl_call *c, const struct fl_conditions *at)
{
  c->busy_attempts++;
  if (c->in_flight)
    return 0;
  if (at->now_ms >= c->deadline_ms)
    return give_up (c, at, FL_REASON_DEADLINE);
  return cancel_slot_request (c) | request_slot (c);
}

static unsigned
retry (struct fl_call *c, const struct fl_conditions *at,
       enum fl_end_reason why)
{
  if (at->now_ms >= c->deadline_ms)
    return give_up (c, at, FL_REASON_DEADLINE);
  if (c->attempts - c->busy_attempts >= FL_CALL_MAX_ATTEMPTS
      || !fl_budget_withdraw (c->budget, at->now_ms))
    return give_up (c, at, why);
  return cancel_slot_request (c) | request_slot (c);
}

/* Records a result that arrives after the call was answered as unknown, so
   that a repeat with the same key gets it.  */
static unsigned
on_late_upstream (struct fl_call *c, const struct fl_call_event *ev)
{
  if (!c->claimed || c->end != FL_END_UNKNOWN)
    return 0;
  switch (ev->upstream)
    {
    case FL_UP_DONE:
      c->end = FL_END_DONE;
      break;
    case FL_UP_FAILED:
      c->end = FL_END_FAILED;
      break;
    case FL_UP_NOT_RUN:
    case FL_UP_BUSY:
      c->end = FL_END_NOT_RUN;
      break;
    case FL_UP_LOST:
      return 0;
    }
  return start_record (c, &ev->at);
}

static unsigned
on_upstream (struct fl_call *c, const struct fl_call_event *ev)
{
  c->in_flight--;
  if (c->state == FL_CALL_ENDED)
    return on_late_upstream (c, ev);
  if (ev->upstream == FL_UP_BUSY)
    return requeue_for_slot (c, &ev->at);
  if (ev->upstream == FL_UP_DONE)
    return finish (c, &ev->at, FL_END_DONE, FL_REASON_NONE);
  if (ev->upstream == FL_UP_LOST)
    c->ambiguous = 1;
  if (ev->upstream == FL_UP_FAILED)
    c->failed = 1;
  if (!c->repeatable && ev->upstream != FL_UP_NOT_RUN)
    return give_up (c, &ev->at, FL_REASON_ANSWER_LOST);
  if (c->in_flight)
    return 0;
  return retry (c, &ev->at,
                ev->upstream == FL_UP_NOT_RUN ? FL_REASON_NO_UPSTREAM
                                              : FL_REASON_ANSWER_LOST);
}

static unsigned
on_record (struct fl_call *c, const struct fl_call_event *ev)
{
  enum fl_write_do what
      = fl_write_reply (&c->record, &ev->at, ev->reply, ev->row);
  unsigned act = write_action (what, FL_DO_RECORD, FL_DO_RECORD_READ);

  /* A write that failed or ended no longer delays the answer.  */
  if (c->record.state == FL_WRITE_WAIT || c->record.state == FL_WRITE_ENDED)
    act |= answer_once (c);
  if (c->record.state == FL_WRITE_ENDED && c->record_pending
      && c->record.end != FL_WRITE_CONFLICT)
    {
      c->record_pending = 0;
      act |= start_record (c, &ev->at);
    }
  return act;
}

static unsigned
on_deadline (struct fl_call *c, const struct fl_conditions *at)
{
  switch (c->state)
    {
    case FL_CALL_CLAIMING:
    case FL_CALL_WAITING:
      return give_up (c, at, FL_REASON_DEADLINE);
    case FL_CALL_CLAIMED_ELSEWHERE:
      return finish (c, at, FL_END_UNKNOWN, FL_REASON_CLAIMED_ELSEWHERE);
    case FL_CALL_DISPATCHED:
      return finish (c, at, FL_END_UNKNOWN, FL_REASON_ANSWER_LOST);
    case FL_CALL_NEW:
    case FL_CALL_ENDED:
      break;
    }
  return 0;
}

static int
hedge_due (const struct fl_call *c, int64_t now_ms)
{
  return c->repeatable && c->state == FL_CALL_DISPATCHED && c->hedge_after_ms
         && c->in_flight == 1 && !c->slot_wanted
         && now_ms >= c->sent_ms + c->hedge_after_ms;
}

static unsigned
tick_claim (struct fl_call *c, const struct fl_call_event *ev)
{
  enum fl_write_do what;

  if (c->claim.state != FL_WRITE_WAIT)
    return 0;
  what = fl_write_tick (&c->claim, &ev->at);
  if (c->claim.state == FL_WRITE_ENDED)
    return on_claim_end (c, ev);
  return write_action (what, FL_DO_CLAIM, FL_DO_READ);
}

static unsigned
on_tick (struct fl_call *c, const struct fl_call_event *ev)
{
  const struct fl_conditions *at = &ev->at;
  unsigned act = 0;

  if (c->state != FL_CALL_ENDED && at->now_ms >= c->deadline_ms)
    act |= on_deadline (c, at);
  act |= tick_claim (c, ev);
  if (c->state == FL_CALL_CLAIMED_ELSEWHERE && at->now_ms >= c->poll_due_ms)
    {
      c->poll_due_ms = INT64_MAX;
      act |= FL_DO_READ;
    }
  if (hedge_due (c, at->now_ms))
    {
      c->hedge_after_ms = 0;
      if (fl_budget_withdraw (c->budget, at->now_ms))
        {
          c->slot_wanted = 1;
          act |= FL_DO_REQUEST_SLOT;
        }
    }
  if (c->record.state == FL_WRITE_WAIT)
    act |= write_action (fl_write_tick (&c->record, at), FL_DO_RECORD,
                         FL_DO_RECORD_READ);
  if (c->state == FL_CALL_ENDED && at->now_ms >= c->answer_by_ms)
    act |= answer_once (c);
  return act;
}

unsigned
fl_call_step (struct fl_call *c, const struct fl_call_event *ev)
{
  switch (ev->kind)
    {
    case FL_EV_START:
      return on_start (c, &ev->at);
    case FL_EV_TABLE:
      return on_table (c, ev);
    case FL_EV_SLOT:
      return on_slot (c, &ev->at);
    case FL_EV_NO_SLOT:
      c->slot_wanted = 0;
      return c->state == FL_CALL_WAITING
                 ? give_up (c, &ev->at, FL_REASON_NO_UPSTREAM)
                 : 0;
    case FL_EV_UPSTREAM:
      return on_upstream (c, ev);
    case FL_EV_RECORD:
      return on_record (c, ev);
    case FL_EV_TICK:
      return on_tick (c, ev);
    }
  return 0;
}

static int64_t
earlier (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

int64_t
fl_call_due_ms (const struct fl_call *c)
{
  int64_t due = INT64_MAX;

  if (c->state != FL_CALL_ENDED)
    due = c->deadline_ms;
  else if (!c->answered)
    due = c->answer_by_ms;
  if (c->claim.state == FL_WRITE_WAIT)
    due = earlier (due, c->claim.due_ms);
  if (c->record.state == FL_WRITE_WAIT)
    due = earlier (due, c->record.due_ms);
  if (c->state == FL_CALL_CLAIMED_ELSEWHERE)
    due = earlier (due, c->poll_due_ms);
  if (c->state == FL_CALL_DISPATCHED && c->hedge_after_ms && c->in_flight == 1)
    due = earlier (due, c->sent_ms + c->hedge_after_ms);
  return due;
}

static int
write_over (const struct fl_write *w)
{
  return w->state == FL_WRITE_IDLE || w->state == FL_WRITE_ENDED;
}

int
fl_call_is_over (const struct fl_call *c)
{
  return c->state == FL_CALL_ENDED && c->answered && !c->in_flight
         && !c->slot_wanted && write_over (&c->claim)
         && write_over (&c->record);
}
