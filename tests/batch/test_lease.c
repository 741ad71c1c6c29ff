#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch/lease.h"
#include "suite.h"

static const struct le_settings set
    = { .valid_ms = 1600, .takeover_ms = 2100, .renew_ms = 500 };

static struct le_lease a, b;

static void
begin (void)
{
  le_init (&a, &set, "vm-a", "token-a");
  le_init (&b, &set, "vm-b", "token-b");
  le_table_read (&a, 0);
  le_table_read (&b, 0);
}

/* A writes the row at VERSION; B sees it at NOW.  */
static void
take_by_a (int64_t version, int64_t now)
{
  char *value = le_acquire_value (&a);

  le_acquired (&a, version, now, now);
  le_row_seen (&b, version, value, now);
  free (value);
}

static void
test_free_row_is_taken_and_kept (void)
{
  begin ();
  CU_ASSERT (le_may_acquire (&a, 0));
  take_by_a (10, 0);
  CU_ASSERT (le_valid (&a, 1500));
  CU_ASSERT_FALSE (le_valid (&a, 1600));
  CU_ASSERT_FALSE (le_may_acquire (&b, 2099));
  CU_ASSERT (le_may_acquire (&b, 2100));
}

/* The feed may tell of the own take before its write is answered.  */
static void
test_own_take_seen_first_counts_its_epoch_once (void)
{
  char *value;

  begin ();
  value = le_acquire_value (&a);
  le_row_seen (&a, 10, value, 5);
  CU_ASSERT_EQUAL (le_attempt_state (&a), LE_ATTEMPT_DONE);
  le_acquired (&a, 10, 0, 10);
  CU_ASSERT_EQUAL (a.epoch, 1);
  free (value);
}

/* A take that waits to be sent again must not go out once the row is
   another's.  */
static void
test_take_is_stale_when_the_row_changed (void)
{
  char *value;

  begin ();
  value = le_acquire_value (&b);
  free (value);
  CU_ASSERT_EQUAL (le_attempt_state (&b), LE_ATTEMPT_OPEN);
  take_by_a (10, 0);
  CU_ASSERT_EQUAL (le_attempt_state (&b), LE_ATTEMPT_STALE);
}

static void
test_holder_learns_that_it_lost (void)
{
  char *value;

  begin ();
  take_by_a (10, 0);
  value = le_acquire_value (&b);
  CU_ASSERT (le_row_seen (&a, 11, value, 3000));
  CU_ASSERT_FALSE (le_valid (&a, 3000));
  free (value);
}

static void
test_unchanged_row_proves_nothing_after_silence (void)
{
  begin ();
  take_by_a (10, 0);
  le_store_recovered (&b, 5000);
  CU_ASSERT_FALSE (le_may_acquire (&b, 5100));
  CU_ASSERT (le_may_acquire (&b, 7100));
}

static void
test_restarted_vm_takes_its_own_lease_at_once (void)
{
  struct le_lease again;
  char *value;

  begin ();
  take_by_a (10, 0);
  le_init (&again, &set, "vm-a", "token-a2");
  value = le_renew_value (&a, &(int64_t){ 0 });
  le_row_seen (&again, 11, value, 100);
  CU_ASSERT (le_may_acquire (&again, 100));
  free (value);
}

static void
test_lost_answer_is_told_by_the_serial (void)
{
  int64_t serial, found;
  char *value;

  begin ();
  take_by_a (10, 0);
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

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "taken and kept", test_free_row_is_taken_and_kept },
    { "own take seen first", test_own_take_seen_first_counts_its_epoch_once },
    { "stale take", test_take_is_stale_when_the_row_changed },
    { "loss", test_holder_learns_that_it_lost },
    { "silence", test_unchanged_row_proves_nothing_after_silence },
    { "restart", test_restarted_vm_takes_its_own_lease_at_once },
    { "lost answer", test_lost_answer_is_told_by_the_serial },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("lease", tests);
}
