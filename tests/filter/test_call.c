/* State machine of one call.  The tests guard against a non-repeatable call
   that is dispatched twice, an end that is reported without proof, retries
   beyond the budget, and work after the deadline.  */
#include <stdlib.h>

#include "filter/call.h"
#include "suite.h"

enum
{
  DEADLINE_MS = 1000,
  HEDGE_MS = 100
};

static struct fl_budget budget;
static struct fl_call call;
static int64_t now;
static int down;

static unsigned
step (struct fl_call_event ev)
{
  ev.at = (struct fl_conditions){ now, 0.5, down };
  return fl_call_step (&call, &ev);
}

static unsigned
event (enum fl_call_event_kind kind)
{
  return step ((struct fl_call_event){ .kind = kind });
}

static unsigned
table (enum fl_reply reply)
{
  return step ((struct fl_call_event){ .kind = FL_EV_TABLE, .reply = reply });
}

static unsigned
row (enum fl_row whose, enum fl_row_state state)
{
  return step ((struct fl_call_event){ .kind = FL_EV_TABLE,
                                       .reply = FL_REPLY_ROW,
                                       .row = whose,
                                       .row_state = state });
}

static unsigned
recorded (enum fl_reply reply)
{
  return step ((struct fl_call_event){ .kind = FL_EV_RECORD, .reply = reply });
}

static unsigned
record_row (enum fl_row whose)
{
  return step ((struct fl_call_event){
      .kind = FL_EV_RECORD, .reply = FL_REPLY_ROW, .row = whose });
}

static unsigned
upstream (enum fl_upstream_end end)
{
  return step (
      (struct fl_call_event){ .kind = FL_EV_UPSTREAM, .upstream = end });
}

static void
begin (int repeatable, int64_t hedge_ms)
{
  now = 0;
  down = 0;
  budget = (struct fl_budget){ 1, 0 };
  fl_call_init (&call, &(struct fl_call_spec){ .repeatable = repeatable,
                                               .deadline_ms = DEADLINE_MS,
                                               .hedge_after_ms = hedge_ms,
                                               .budget = &budget });
}

/* Runs a non-repeatable call until it is dispatched.  */
static void
dispatch_once (void)
{
  begin (0, 0);
  CU_ASSERT_EQUAL (event (FL_EV_START), FL_DO_CLAIM);
  CU_ASSERT_EQUAL (table (FL_REPLY_OK), FL_DO_REQUEST_SLOT);
  CU_ASSERT_EQUAL (event (FL_EV_SLOT), FL_DO_DISPATCH);
}

static void
test_claim_before_dispatch_and_row_before_answer (void)
{
  dispatch_once ();
  CU_ASSERT_EQUAL (upstream (FL_UP_DONE), FL_DO_RECORD);
  CU_ASSERT_EQUAL (call.end, FL_END_DONE);
  CU_ASSERT_FALSE (fl_call_is_over (&call));
  CU_ASSERT_EQUAL (recorded (FL_REPLY_OK), FL_DO_ANSWER);
  CU_ASSERT (fl_call_is_over (&call));
}

static void
test_answer_does_not_wait_for_a_table_that_fails (void)
{
  dispatch_once ();
  upstream (FL_UP_DONE);
  CU_ASSERT_EQUAL (recorded (FL_REPLY_REFUSED), FL_DO_ANSWER);
  CU_ASSERT_FALSE (fl_call_is_over (&call));
  now = 100;
  CU_ASSERT_EQUAL (event (FL_EV_TICK), FL_DO_RECORD);
  CU_ASSERT_EQUAL (recorded (FL_REPLY_OK), 0);
  CU_ASSERT (fl_call_is_over (&call));
}

static void
test_answer_waits_a_bounded_time_for_a_slow_table (void)
{
  dispatch_once ();
  upstream (FL_UP_DONE);
  CU_ASSERT_EQUAL (fl_call_due_ms (&call), FL_CALL_RECORD_WAIT_MS);
  now = FL_CALL_RECORD_WAIT_MS;
  CU_ASSERT_EQUAL (event (FL_EV_TICK), FL_DO_ANSWER);
}

static void
test_lost_claim_is_read_back (void)
{
  begin (0, 0);
  event (FL_EV_START);
  CU_ASSERT_EQUAL (table (FL_REPLY_LOST), FL_DO_READ);
  CU_ASSERT_EQUAL (row (FL_ROW_OURS, 0), FL_DO_REQUEST_SLOT);
}

static void
test_lost_claim_that_is_absent_is_sent_again (void)
{
  begin (0, 0);
  event (FL_EV_START);
  table (FL_REPLY_LOST);
  CU_ASSERT_EQUAL (row (FL_ROW_BEFORE, FL_STATE_ABSENT), FL_DO_CLAIM);
  /* The first commit took effect late: the conflict shows the row of this
     attempt.  */
  CU_ASSERT_EQUAL (row (FL_ROW_OURS, 0), FL_DO_REQUEST_SLOT);
}

static void
test_a_row_that_was_not_run_is_claimed_anew (void)
{
  begin (0, 0);
  event (FL_EV_START);
  CU_ASSERT_EQUAL (row (FL_ROW_BEFORE, FL_STATE_NOT_RUN), FL_DO_CLAIM);
  CU_ASSERT_FALSE (call.sole_attempt);
  CU_ASSERT_EQUAL (table (FL_REPLY_OK), FL_DO_REQUEST_SLOT);
  CU_ASSERT (call.sole_attempt);
  /* Another VM claimed the row first; the call runs there.  */
  begin (0, 0);
  event (FL_EV_START);
  row (FL_ROW_BEFORE, FL_STATE_NOT_RUN);
  CU_ASSERT_EQUAL (row (FL_ROW_OTHER, FL_STATE_CLAIMED), 0);
  CU_ASSERT_EQUAL (call.state, FL_CALL_CLAIMED_ELSEWHERE);
}

/* Guards against a call that runs on this VM too although another VM has
   claimed it.  */
static void
test_two_vms_one_runs (void)
{
  begin (0, 0);
  event (FL_EV_START);
  CU_ASSERT_EQUAL (row (FL_ROW_OTHER, FL_STATE_CLAIMED), 0);
  CU_ASSERT_EQUAL (call.state, FL_CALL_CLAIMED_ELSEWHERE);
  now = fl_call_due_ms (&call);
  CU_ASSERT_EQUAL (event (FL_EV_TICK), FL_DO_READ);
  CU_ASSERT_EQUAL (row (FL_ROW_OTHER, FL_STATE_DONE), FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_DONE);
  CU_ASSERT_EQUAL (call.attempts, 0);
  CU_ASSERT (fl_call_is_over (&call));
}

static void
test_waiting_for_another_vm_ends_at_the_deadline (void)
{
  begin (0, 0);
  event (FL_EV_START);
  row (FL_ROW_OTHER, FL_STATE_CLAIMED);
  now = DEADLINE_MS;
  CU_ASSERT (event (FL_EV_TICK) & FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_UNKNOWN);
  CU_ASSERT_EQUAL (call.reason, FL_REASON_CLAIMED_ELSEWHERE);
}

/* Guards against a call that is dispatched again, or waits, when the VM that
   claimed it has failed.  */
static void
test_claim_of_a_dead_vm_is_unknown_at_once (void)
{
  begin (0, 0);
  event (FL_EV_START);
  CU_ASSERT_EQUAL (row (FL_ROW_OTHER, FL_STATE_CLAIM_ORPHANED),
                   FL_DO_ANSWER | FL_DO_MARK_UNKNOWN);
  CU_ASSERT_EQUAL (call.end, FL_END_UNKNOWN);
  CU_ASSERT_EQUAL (call.attempts, 0);
}

static void
test_repeat_gets_the_row_s_end (void)
{
  static const struct
  {
    enum fl_row_state state;
    enum fl_end end;
  } cases[] = { { FL_STATE_DONE, FL_END_DONE },
                { FL_STATE_FAILED, FL_END_FAILED },
                { FL_STATE_NOT_RUN, FL_END_NOT_RUN },
                { FL_STATE_UNKNOWN, FL_END_UNKNOWN },
                { FL_STATE_OTHER_BODY, FL_END_OTHER_BODY } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      begin (0, 0);
      event (FL_EV_START);
      CU_ASSERT_EQUAL (row (FL_ROW_OTHER, cases[i].state), FL_DO_ANSWER);
      CU_ASSERT_EQUAL (call.end, cases[i].end);
      CU_ASSERT_EQUAL (call.reason, FL_REASON_STORED_END);
      CU_ASSERT_EQUAL (call.attempts, 0);
    }
}

static void
test_lost_answer_is_unknown_and_never_sent_again (void)
{
  dispatch_once ();
  CU_ASSERT_EQUAL (upstream (FL_UP_LOST), FL_DO_RECORD | FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_UNKNOWN);
  CU_ASSERT_EQUAL (recorded (FL_REPLY_OK), 0);
  CU_ASSERT_EQUAL (call.attempts, 1);
  CU_ASSERT (fl_call_is_over (&call));
}

/* Guards against an upstream's answer that is discarded because it comes after
   the deadline, so that the stored end stays unknown.  */
static void
test_late_answer_is_kept (void)
{
  dispatch_once ();
  now = DEADLINE_MS;
  CU_ASSERT_EQUAL (event (FL_EV_TICK), FL_DO_RECORD | FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_UNKNOWN);
  CU_ASSERT_EQUAL (recorded (FL_REPLY_OK), 0);
  CU_ASSERT_FALSE (fl_call_is_over (&call));
  CU_ASSERT_EQUAL (upstream (FL_UP_DONE), FL_DO_RECORD);
  CU_ASSERT_EQUAL (call.end, FL_END_DONE);
  CU_ASSERT_EQUAL (recorded (FL_REPLY_OK), 0);
  CU_ASSERT (fl_call_is_over (&call));
}

/* Guards against an upstream's answer that is discarded because it comes while
   the unknown end is being recorded.  */
static void
test_late_answer_during_the_record_is_kept (void)
{
  dispatch_once ();
  now = DEADLINE_MS;
  event (FL_EV_TICK);
  CU_ASSERT_EQUAL (upstream (FL_UP_DONE), 0);
  CU_ASSERT_EQUAL (recorded (FL_REPLY_OK), FL_DO_RECORD);
  recorded (FL_REPLY_OK);
  CU_ASSERT (fl_call_is_over (&call));
}

static void
test_proof_of_not_run_goes_to_another_upstream (void)
{
  dispatch_once ();
  CU_ASSERT_EQUAL (upstream (FL_UP_NOT_RUN), FL_DO_REQUEST_SLOT);
  CU_ASSERT_EQUAL (event (FL_EV_SLOT), FL_DO_DISPATCH);
  CU_ASSERT_EQUAL (upstream (FL_UP_DONE), FL_DO_RECORD);
}

static void
test_refusal_is_final_at_once_when_the_budget_is_used_up (void)
{
  dispatch_once ();
  while (fl_budget_withdraw (&budget, now))
    continue;
  CU_ASSERT_EQUAL (upstream (FL_UP_NOT_RUN), FL_DO_RECORD | FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_NOT_RUN);
  CU_ASSERT_EQUAL (call.reason, FL_REASON_NO_UPSTREAM);
}

/* Guards against a busy upstream's answer that is charged to the retry budget.
 */
static void
test_taken_slot_costs_no_retry (void)
{
  dispatch_once ();
  while (fl_budget_withdraw (&budget, now))
    continue;
  for (int i = 0; i < 50; i++)
    {
      CU_ASSERT_EQUAL (upstream (FL_UP_BUSY), FL_DO_REQUEST_SLOT);
      CU_ASSERT_EQUAL (event (FL_EV_SLOT), FL_DO_DISPATCH);
    }
  now = DEADLINE_MS;
  upstream (FL_UP_BUSY);
  CU_ASSERT_NOT_EQUAL (call.end, FL_END_DONE);
  CU_ASSERT_NOT_EQUAL (call.state, FL_CALL_WAITING);
}

static void
test_known_table_outage_refuses_at_once (void)
{
  begin (0, 0);
  down = 1;
  CU_ASSERT_EQUAL (event (FL_EV_START), FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_NOT_RUN);
  CU_ASSERT_EQUAL (call.reason, FL_REASON_TABLE_DOWN);
  CU_ASSERT (fl_call_is_over (&call));
}

static void
test_failing_table_is_tried_again_until_the_outage_is_known (void)
{
  begin (0, 0);
  event (FL_EV_START);
  CU_ASSERT_EQUAL (table (FL_REPLY_REFUSED), 0);
  now = fl_call_due_ms (&call);
  CU_ASSERT (now < DEADLINE_MS);
  CU_ASSERT_EQUAL (event (FL_EV_TICK), FL_DO_CLAIM);
  down = 1;
  CU_ASSERT_EQUAL (table (FL_REPLY_REFUSED), FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_NOT_RUN);
}

static void
test_unresolved_claim_is_recorded_as_not_run (void)
{
  begin (0, 0);
  event (FL_EV_START);
  table (FL_REPLY_LOST);
  down = 1;
  CU_ASSERT_EQUAL (table (FL_REPLY_REFUSED), FL_DO_RECORD | FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_NOT_RUN);
  CU_ASSERT_FALSE (fl_call_is_over (&call));
  CU_ASSERT_EQUAL (record_row (FL_ROW_BEFORE), FL_DO_RECORD);
  recorded (FL_REPLY_OK);
  CU_ASSERT (fl_call_is_over (&call));
}

static void
test_claim_that_comes_after_the_deadline_is_not_dispatched (void)
{
  begin (0, 0);
  event (FL_EV_START);
  now = DEADLINE_MS;
  CU_ASSERT_EQUAL (event (FL_EV_TICK), FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_NOT_RUN);
  CU_ASSERT_EQUAL (table (FL_REPLY_OK), FL_DO_RECORD);
  recorded (FL_REPLY_OK);
  CU_ASSERT (fl_call_is_over (&call));
  CU_ASSERT_EQUAL (call.attempts, 0);
}

static void
test_paused_process_does_not_dispatch_past_the_deadline (void)
{
  begin (0, 0);
  event (FL_EV_START);
  table (FL_REPLY_OK);
  now = DEADLINE_MS + 5000;
  CU_ASSERT_EQUAL (event (FL_EV_SLOT),
                   FL_DO_RELEASE_SLOT | FL_DO_RECORD | FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_NOT_RUN);
}

/* Guards against a call that never ends, or overwrites the row, when another
   VM owns the row by the time its end is recorded.  */
static void
test_row_taken_by_another_ends_the_record (void)
{
  dispatch_once ();
  upstream (FL_UP_DONE);
  CU_ASSERT_EQUAL (record_row (FL_ROW_OTHER), FL_DO_ANSWER);
  CU_ASSERT (fl_call_is_over (&call));
}

static void
test_no_upstream_refuses_at_once (void)
{
  begin (0, 0);
  event (FL_EV_START);
  table (FL_REPLY_OK);
  CU_ASSERT_EQUAL (event (FL_EV_NO_SLOT), FL_DO_RECORD | FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_NOT_RUN);
}

/* Guards against a repeatable call that is refused or waits while the table is
   down.  */
static void
test_repeatable_goes_on_without_the_table (void)
{
  begin (1, 0);
  down = 1;
  CU_ASSERT_EQUAL (event (FL_EV_START), FL_DO_REQUEST_SLOT);
  event (FL_EV_SLOT);
  CU_ASSERT_EQUAL (upstream (FL_UP_DONE), FL_DO_ANSWER);
  CU_ASSERT (fl_call_is_over (&call));
}

static void
test_repeatable_is_retried_within_budget_and_deadline (void)
{
  begin (1, 0);
  event (FL_EV_START);
  event (FL_EV_SLOT);
  CU_ASSERT_EQUAL (upstream (FL_UP_LOST), FL_DO_REQUEST_SLOT);
  event (FL_EV_SLOT);
  CU_ASSERT_EQUAL (upstream (FL_UP_LOST), FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_UNKNOWN);
}

static void
test_an_attempt_that_may_have_run_is_never_called_not_run (void)
{
  begin (1, 0);
  event (FL_EV_START);
  event (FL_EV_SLOT);
  upstream (FL_UP_LOST);
  event (FL_EV_SLOT);
  CU_ASSERT_EQUAL (upstream (FL_UP_NOT_RUN), FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_UNKNOWN);
}

/* Guards against a failed call that is reported with another end.  */
static void
test_failure_is_told_as_failure (void)
{
  begin (1, 0);
  event (FL_EV_START);
  event (FL_EV_SLOT);
  CU_ASSERT_EQUAL (upstream (FL_UP_FAILED), FL_DO_REQUEST_SLOT);
  event (FL_EV_SLOT);
  CU_ASSERT_EQUAL (upstream (FL_UP_NOT_RUN), FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_FAILED);
  dispatch_once ();
  CU_ASSERT_EQUAL (upstream (FL_UP_FAILED), FL_DO_RECORD);
  CU_ASSERT_EQUAL (call.end, FL_END_FAILED);
}

/* Guards against a hedged call that ends when one of its two attempts is lost
   although the other still runs.  */
static void
test_hedge_takes_the_first_whole_answer (void)
{
  begin (1, HEDGE_MS);
  event (FL_EV_START);
  event (FL_EV_SLOT);
  now = fl_call_due_ms (&call);
  CU_ASSERT_EQUAL (now, HEDGE_MS);
  CU_ASSERT_EQUAL (event (FL_EV_TICK), FL_DO_REQUEST_SLOT);
  CU_ASSERT_EQUAL (event (FL_EV_SLOT), FL_DO_DISPATCH);
  CU_ASSERT_EQUAL (upstream (FL_UP_LOST), 0);
  CU_ASSERT_EQUAL (upstream (FL_UP_DONE), FL_DO_ANSWER);
  CU_ASSERT_EQUAL (call.end, FL_END_DONE);
  CU_ASSERT (fl_call_is_over (&call));
}

/* Guards against a hedge that still waits for a slot after the first attempt
   has answered.  */
static void
test_hedge_slot_that_comes_too_late_is_given_back (void)
{
  begin (1, HEDGE_MS);
  event (FL_EV_START);
  event (FL_EV_SLOT);
  now = HEDGE_MS;
  event (FL_EV_TICK);
  CU_ASSERT_EQUAL (upstream (FL_UP_DONE), FL_DO_ANSWER | FL_DO_CANCEL_SLOT);
  CU_ASSERT (fl_call_is_over (&call));
}

static void
test_never_hedged_unless_repeatable (void)
{
  begin (0, HEDGE_MS);
  event (FL_EV_START);
  table (FL_REPLY_OK);
  event (FL_EV_SLOT);
  now = HEDGE_MS + 1;
  CU_ASSERT_EQUAL (event (FL_EV_TICK), 0);
}

/* Guards against more retries than the budget's initial number, its floor of
   one in FL_BUDGET_FLOOR_INTERVAL_MS, or its maximum.  */
static void
test_budget_is_a_tenth_and_a_floor (void)
{
  int taken = 0;

  fl_budget_init (&budget, 0);
  for (int i = 0; i < FL_BUDGET_INITIAL_RETRIES; i++)
    CU_ASSERT (fl_budget_withdraw (&budget, 0));
  CU_ASSERT_FALSE (
      fl_budget_withdraw (&budget, FL_BUDGET_FLOOR_INTERVAL_MS - 1));
  CU_ASSERT (fl_budget_withdraw (&budget, FL_BUDGET_FLOOR_INTERVAL_MS));
  for (int i = 0; i < 2000; i++)
    fl_budget_deposit (&budget);
  while (fl_budget_withdraw (&budget, FL_BUDGET_FLOOR_INTERVAL_MS))
    taken++;
  CU_ASSERT_EQUAL (taken, FL_BUDGET_MAX_RETRIES);
}

#define TEST(name)                                                            \
  {                                                                           \
#name, name                                                               \
  }

int
main (void)
{
  static const CU_TestInfo tests[] = {
    TEST (test_claim_before_dispatch_and_row_before_answer),
    TEST (test_answer_does_not_wait_for_a_table_that_fails),
    TEST (test_answer_waits_a_bounded_time_for_a_slow_table),
    TEST (test_lost_claim_is_read_back),
    TEST (test_lost_claim_that_is_absent_is_sent_again),
    TEST (test_a_row_that_was_not_run_is_claimed_anew),
    TEST (test_two_vms_one_runs),
    TEST (test_waiting_for_another_vm_ends_at_the_deadline),
    TEST (test_claim_of_a_dead_vm_is_unknown_at_once),
    TEST (test_repeat_gets_the_row_s_end),
    TEST (test_lost_answer_is_unknown_and_never_sent_again),
    TEST (test_late_answer_is_kept),
    TEST (test_late_answer_during_the_record_is_kept),
    TEST (test_proof_of_not_run_goes_to_another_upstream),
    TEST (test_refusal_is_final_at_once_when_the_budget_is_used_up),
    TEST (test_taken_slot_costs_no_retry),
    TEST (test_known_table_outage_refuses_at_once),
    TEST (test_failing_table_is_tried_again_until_the_outage_is_known),
    TEST (test_unresolved_claim_is_recorded_as_not_run),
    TEST (test_claim_that_comes_after_the_deadline_is_not_dispatched),
    TEST (test_paused_process_does_not_dispatch_past_the_deadline),
    TEST (test_row_taken_by_another_ends_the_record),
    TEST (test_no_upstream_refuses_at_once),
    TEST (test_repeatable_goes_on_without_the_table),
    TEST (test_repeatable_is_retried_within_budget_and_deadline),
    TEST (test_an_attempt_that_may_have_run_is_never_called_not_run),
    TEST (test_failure_is_told_as_failure),
    TEST (test_hedge_takes_the_first_whole_answer),
    TEST (test_hedge_slot_that_comes_too_late_is_given_back),
    TEST (test_never_hedged_unless_repeatable),
    TEST (test_budget_is_a_tenth_and_a_floor),
    CU_TEST_INFO_NULL,
  };

  return run_suite ("call", tests);
}
