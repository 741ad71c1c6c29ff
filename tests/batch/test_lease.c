#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch/lease.h"
#include "suite.h"

static const struct le_end no_end;

static const struct le_settings set
    = { .valid_ms = 1600, .takeover_ms = 2100, .renew_ms = 500 };

static struct le_lease a, b;

static void
setup (void)
{
  le_init (&a, &set, "vm-a", "token-a");
  le_init (&b, &set, "vm-b", "token-b");
  le_table_read (&a, 0);
  le_table_read (&b, 0);
}

/* Process A writes the row at VERSION; process B sees it at NOW.  */
static void
acquire_by_a (int64_t version, int64_t now)
{
  char *value = le_acquire_value (&a, &no_end);

  le_acquired (&a, version, now, now);
  le_row_seen (&b, version, value, now);
  free (value);
}

static void
test_free_lease_is_acquired (void)
{
  setup ();
  CU_ASSERT (le_may_acquire (&a, 0));
  acquire_by_a (10, 0);
  CU_ASSERT (le_valid (&a, 1500));
  CU_ASSERT_FALSE (le_valid (&a, 1600));
  CU_ASSERT_FALSE (le_may_acquire (&b, 2099));
  CU_ASSERT (le_may_acquire (&b, 2100));
}

/* Guards against a fencing token that falls, after which the workers refuse
   each new holder.  */
static void
test_foreign_row_does_not_lower_epoch (void)
{
  static const char *const rows[]
      = { "", "[[[", "{\"epoch\":-5}", "{\"epoch\":9223372036854775807}",
          "{\"epoch\":\"9\"}" };

  setup ();
  acquire_by_a (10, 0);
  for (int i = 0; i < 5; i++)
    {
      le_row_seen (&b, 11 + i, rows[i], 10);
      CU_ASSERT_EQUAL (b.epoch, 1);
    }
}

/* The change feed may deliver this process's own row before the write's
   reply.  */
static void
test_own_row_before_reply_raises_epoch_once (void)
{
  char *value;

  setup ();
  value = le_acquire_value (&a, &no_end);
  le_row_seen (&a, 10, value, 5);
  CU_ASSERT_EQUAL (le_attempt_state (&a), LE_ATTEMPT_DONE);
  le_acquired (&a, 10, 0, 10);
  CU_ASSERT_EQUAL (a.epoch, 1);
  free (value);
}

/* An attempt that waits for its retry must not be sent once another VM has
   written the row.  */
static void
test_attempt_is_stale_after_row_change (void)
{
  char *value;

  setup ();
  value = le_acquire_value (&b, &no_end);
  free (value);
  CU_ASSERT_EQUAL (le_attempt_state (&b), LE_ATTEMPT_OPEN);
  acquire_by_a (10, 0);
  CU_ASSERT_EQUAL (le_attempt_state (&b), LE_ATTEMPT_STALE);
}

static void
test_holder_detects_loss (void)
{
  char *value;

  setup ();
  acquire_by_a (10, 0);
  value = le_acquire_value (&b, &no_end);
  CU_ASSERT (le_row_seen (&a, 11, value, 3000));
  CU_ASSERT_FALSE (le_valid (&a, 3000));
  free (value);
}

static void
test_store_outage_restarts_takeover_time (void)
{
  setup ();
  acquire_by_a (10, 0);
  le_store_recovered (&b, 5000);
  CU_ASSERT_FALSE (le_may_acquire (&b, 5100));
  CU_ASSERT (le_may_acquire (&b, 7100));
}

static void
test_restarted_vm_acquires_own_lease_at_once (void)
{
  struct le_lease restarted;
  char *value;

  setup ();
  acquire_by_a (10, 0);
  le_init (&restarted, &set, "vm-a", "token-a2");
  value = le_renew_value (&a, &(int64_t){ 0 });
  le_row_seen (&restarted, 11, value, 100);
  CU_ASSERT (le_may_acquire (&restarted, 100));
  free (value);
}

static void
test_serial_identifies_write_with_lost_reply (void)
{
  int64_t serial, found;
  char *value;

  setup ();
  acquire_by_a (10, 0);
  value = le_renew_value (&a, &serial);
  CU_ASSERT (le_conflict (&a, 12, value, 600, &found));
  CU_ASSERT_EQUAL (found, serial);
  le_renewed (&a, 12, serial, 500, 600);
  CU_ASSERT_EQUAL (a.version, 12);
  free (value);
  value = le_release_value (&a);
  CU_ASSERT_FALSE (le_conflict (&a, 13, value, 700, &found));
  free (value);
}

/* Guards against a holder that raises its token for a worker that came back
   and takes the row that it wrote so, whose reply was lost, for another's.  */
static void
test_raised_epoch_stays_the_holders (void)
{
  int64_t serial, found;
  char *value;

  setup ();
  acquire_by_a (10, 0);
  CU_ASSERT_FALSE (le_wants_raise (&a));
  CU_ASSERT_EQUAL (le_raise (&a), 2);
  CU_ASSERT (le_wants_raise (&a));
  CU_ASSERT_EQUAL (a.epoch, 1);
  value = le_renew_value (&a, &serial);
  CU_ASSERT (le_conflict (&a, 12, value, 600, &found));
  CU_ASSERT_EQUAL (found, serial);
  le_renewed (&a, 12, serial, 500, 600);
  CU_ASSERT_EQUAL (a.epoch, 2);
  CU_ASSERT_FALSE (le_wants_raise (&a));
  le_row_seen (&b, 12, value, 600);
  free (value);
  /* The next holder's token is higher than each that was used.  */
  free (le_acquire_value (&b, &no_end));
  CU_ASSERT_EQUAL (b.attempt_epoch, 3);
}

/* A VM of 0.12 cores took the lease of 350 workers over from one of 0.5 and
   could not serve them.  */
static void
test_smaller_vm_knows_that_it_is (void)
{
  struct le_settings small = set, large = set;
  char *value;

  small.cpu_milli = 120;
  large.cpu_milli = 500;
  le_init (&a, &large, "vm-a", "token-a");
  le_init (&b, &small, "vm-b", "token-b");
  le_table_read (&a, 0);
  le_table_read (&b, 0);
  CU_ASSERT_FALSE (le_is_small (&b));
  acquire_by_a (10, 0);
  CU_ASSERT (le_is_small (&b));
  CU_ASSERT_FALSE (le_is_small (&a));
  value = le_release_value (&a);
  le_row_seen (&b, 11, value, 10);
  free (value);
  CU_ASSERT (le_is_small (&b));
  /* It is the holder in the end, and another of its size does not wait.  */
  value = le_acquire_value (&b, &no_end);
  le_acquired (&b, 12, 20, 20);
  le_init (&a, &small, "vm-a", "token-a");
  le_row_seen (&a, 12, value, 30);
  CU_ASSERT_FALSE (le_is_small (&a));
  free (value);
}

/* A row of an older release does not tell the processor time.  */
static void
test_row_without_processor_time (void)
{
  struct le_settings small = set;

  small.cpu_milli = 120;
  le_init (&b, &small, "vm-b", "token-b");
  le_row_seen (&b, 10,
               "{\"token\":\"t\",\"vm\":\"v\",\"epoch\":1,\"serial\":1}", 0);
  CU_ASSERT_FALSE (le_is_small (&b));
}

/* Process A holds the lease; B takes it over, once END was reported.  Returns
   the crashes in a row as B knows them.  */
static int
ends_after (const struct le_end *end)
{
  setup ();
  acquire_by_a (10, 0);
  free (le_acquire_value (&b, end));
  le_acquired (&b, 11, 3000, 3000);
  return b.caution.ends;
}

/* Guards against a crash that is not counted, and against kills, planned
   stops, late ends and ends of other processes that are.  */
static void
test_only_short_terms_that_crashed_count (void)
{
  struct le_end end = { .token = "token-a", .age_ms = 100 };
  int64_t serial;
  char *value;

  CU_ASSERT_EQUAL (ends_after (&end), 1);
  CU_ASSERT_EQUAL (ends_after (&no_end), 0);
  end.age_ms = CA_SHORT_MS;
  CU_ASSERT_EQUAL (ends_after (&end), 0);
  end.age_ms = 100;
  strcpy (end.token, "another");
  CU_ASSERT_EQUAL (ends_after (&end), 0);
  /* The holder had released the lease before it ended.  */
  strcpy (end.token, "token-a");
  setup ();
  acquire_by_a (10, 0);
  value = le_release_value (&a);
  le_row_seen (&b, 11, value, 100);
  free (value);
  free (le_acquire_value (&b, &end));
  le_acquired (&b, 12, 100, 100);
  CU_ASSERT_EQUAL (b.caution.ends, 0);
  /* The count outlasts terms that end as planned.  */
  CU_ASSERT_EQUAL (ends_after (&end), 1);
  value = le_renew_value (&b, &serial);
  le_row_seen (&a, 12, value, 3100);
  free (value);
  CU_ASSERT_EQUAL (a.caution.ends, 1);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "free lease", test_free_lease_is_acquired },
    { "foreign row", test_foreign_row_does_not_lower_epoch },
    { "own row first", test_own_row_before_reply_raises_epoch_once },
    { "stale attempt", test_attempt_is_stale_after_row_change },
    { "loss", test_holder_detects_loss },
    { "silence", test_store_outage_restarts_takeover_time },
    { "restart", test_restarted_vm_acquires_own_lease_at_once },
    { "lost reply", test_serial_identifies_write_with_lost_reply },
    { "raised", test_raised_epoch_stays_the_holders },
    { "smaller VM", test_smaller_vm_knows_that_it_is },
    { "older row", test_row_without_processor_time },
    { "crashes in a row", test_only_short_terms_that_crashed_count },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("lease", tests);
}
