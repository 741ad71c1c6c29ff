#include <stdlib.h>
#include <string.h>

#include "control/lease.h"
#include "suite.h"

enum
{
  LEASE_MS = 3000,
  MARGIN_MS = 500
};

/* The lease row, shared by the simulated VMs.  */
static struct ce_row table;

static enum ce_result
write_row (struct ce_lease *l, const struct ce_row *row, int64_t *rev,
           struct ce_row *found)
{
  if (l->row.version != table.version)
    {
      *found = table;
      return CE_CONFLICT;
    }
  *rev = table.version + 1;
  table = *row;
  table.version = *rev;
  return CE_WRITTEN;
}

static enum ce_result
commit (struct ce_lease *l, int64_t now_ms, const struct ce_row *row)
{
  struct ce_row found;
  int64_t rev = 0;
  enum ce_result r = write_row (l, row, &rev, &found);

  return ce_result (l, now_ms, r, rev, &found);
}

static enum ce_result
take (struct ce_lease *l, int64_t now_ms)
{
  struct ce_row row;

  ce_take_over (l, now_ms, &row);
  return commit (l, now_ms, &row);
}

static enum ce_result
renew (struct ce_lease *l, int64_t now_ms)
{
  struct ce_row row;

  ce_renew (l, now_ms, &row);
  return commit (l, now_ms, &row);
}

static void
set_up_leases (struct ce_lease *a, struct ce_lease *b)
{
  memset (&table, 0, sizeof table);
  ce_init (a, "vm-a", "aaaa", LEASE_MS, MARGIN_MS);
  ce_init (b, "vm-b", "bbbb", LEASE_MS, MARGIN_MS);
}

static void
test_taker_waits_for_the_whole_lease (void)
{
  struct ce_lease a, b;

  set_up_leases (&a, &b);
  /* The row has not been read yet.  */
  CU_ASSERT_FALSE (ce_may_take_over (&a, 0, 0));
  ce_observe (&a, 0, &table);
  CU_ASSERT (ce_may_take_over (&a, 0, 0));
  CU_ASSERT_EQUAL (take (&a, 0), CE_WRITTEN);
  ce_observe (&b, 100, &table);
  CU_ASSERT_FALSE (ce_may_take_over (&b, 100 + LEASE_MS - 1, 0));
  CU_ASSERT (ce_may_take_over (&b, 100 + LEASE_MS, 0));
  CU_ASSERT_FALSE (ce_may_act (&a, 100 + LEASE_MS));
  CU_ASSERT_EQUAL (take (&b, 100 + LEASE_MS), CE_WRITTEN);
  CU_ASSERT_EQUAL (table.epoch, 2);
}

static void
test_renewal_starts_the_wait_anew (void)
{
  struct ce_lease a, b;

  set_up_leases (&a, &b);
  ce_observe (&a, 0, &table);
  take (&a, 0);
  ce_observe (&b, 0, &table);
  renew (&a, 2000);
  ce_observe (&b, 2100, &table);
  CU_ASSERT_FALSE (ce_may_take_over (&b, LEASE_MS, 0));
  CU_ASSERT_FALSE (ce_may_take_over (&b, 2100 + LEASE_MS - 1, 0));
  CU_ASSERT (ce_may_take_over (&b, 2100 + LEASE_MS, 0));
}

/* The take-over delay starts when the lease is first seen as available.  */
static void
test_delay_counts_from_the_first_moment (void)
{
  struct ce_lease a, b;

  set_up_leases (&a, &b);
  ce_observe (&a, 0, &table);
  CU_ASSERT_FALSE (ce_may_take_over (&a, 1000, 400));
  CU_ASSERT_FALSE (ce_may_take_over (&a, 1399, 400));
  CU_ASSERT (ce_may_take_over (&a, 1400, 400));
}

static void
test_two_takers_race (void)
{
  struct ce_lease a, b;
  struct ce_row x, y;

  set_up_leases (&a, &b);
  ce_observe (&a, 0, &table);
  ce_observe (&b, 0, &table);
  ce_take_over (&a, 10, &x);
  ce_take_over (&b, 10, &y);
  CU_ASSERT_EQUAL (commit (&b, 20, &y), CE_WRITTEN);
  CU_ASSERT_EQUAL (commit (&a, 20, &x), CE_CONFLICT);
  CU_ASSERT (ce_is_holder (&b));
  CU_ASSERT_FALSE (ce_is_holder (&a));
  CU_ASSERT_FALSE (ce_may_take_over (&a, 20 + LEASE_MS - 1, 0));
}

/* The lease is valid from the time its write was sent, not answered.  */
static void
test_validity_counts_from_the_sending (void)
{
  struct ce_lease a, b;
  struct ce_row row;

  set_up_leases (&a, &b);
  ce_observe (&a, 0, &table);
  ce_take_over (&a, 0, &row);
  CU_ASSERT_EQUAL (commit (&a, 1500, &row), CE_WRITTEN);
  CU_ASSERT (ce_may_act (&a, LEASE_MS - MARGIN_MS - 1));
  CU_ASSERT_FALSE (ce_may_act (&a, LEASE_MS - MARGIN_MS));
}

/* A holder that was paused past its lease must not act, and its next renewal
   conflicts.  */
static void
test_paused_holder_finds_out (void)
{
  struct ce_lease a, b;

  set_up_leases (&a, &b);
  ce_observe (&a, 0, &table);
  take (&a, 0);
  ce_observe (&b, 10, &table);
  take (&b, 10 + LEASE_MS);
  CU_ASSERT_FALSE (ce_may_act (&a, 60000));
  /* It has not read yet that another VM holds the lease.  */
  CU_ASSERT (ce_is_holder (&a));
  CU_ASSERT_EQUAL (renew (&a, 60000), CE_CONFLICT);
  CU_ASSERT_FALSE (ce_is_holder (&a));
  CU_ASSERT_STRING_EQUAL (table.holder, "vm-b");
}

/* The answer to a take-over is lost, but the write was applied: reading the
   row again shows that the lease is held.  */
static void
test_lost_answer_of_a_take_over (void)
{
  struct ce_lease a, b;
  struct ce_row row, found;
  int64_t rev;

  set_up_leases (&a, &b);
  ce_observe (&a, 0, &table);
  ce_take_over (&a, 0, &row);
  write_row (&a, &row, &rev, &found);
  CU_ASSERT_EQUAL (ce_result (&a, 100, CE_UNKNOWN, 0, NULL), CE_UNKNOWN);
  CU_ASSERT_FALSE (ce_may_act (&a, 100));
  CU_ASSERT_EQUAL (ce_resolve (&a, 200, &table), CE_WRITTEN);
  CU_ASSERT (ce_may_act (&a, 200));
  CU_ASSERT_FALSE (ce_may_act (&a, LEASE_MS - MARGIN_MS));
}

/* The request of a take-over is lost: reading the row again shows that the
   lease is not held.  */
static void
test_lost_request_of_a_take_over (void)
{
  struct ce_lease a, b;
  struct ce_row row;

  set_up_leases (&a, &b);
  ce_observe (&a, 0, &table);
  ce_take_over (&a, 0, &row);
  ce_result (&a, 100, CE_UNKNOWN, 0, NULL);
  CU_ASSERT_EQUAL (ce_resolve (&a, 200, &table), CE_NOT_WRITTEN);
  CU_ASSERT_FALSE (ce_may_act (&a, 200));
  ce_observe (&b, 300, &table);
  take (&b, 300);
  CU_ASSERT (ce_is_holder (&b));
}

/* A renewal that was considered failed is applied after the row was read
   again.  The next renewal conflicts with it, and the holder keeps the lease.
   The late renewal does not extend the lease, because another VM may have read
   it before the next one was sent.  */
static void
test_late_renewal_is_ones_own (void)
{
  struct ce_lease a, b;
  struct ce_row row;

  set_up_leases (&a, &b);
  ce_observe (&a, 0, &table);
  take (&a, 0);
  ce_renew (&a, 1000, &row);
  ce_result (&a, 1100, CE_UNKNOWN, 0, NULL);
  CU_ASSERT_EQUAL (ce_resolve (&a, 1200, &table), CE_NOT_WRITTEN);
  row.version = table.version + 1;
  table = row;
  CU_ASSERT_EQUAL (renew (&a, 2000), CE_NOT_WRITTEN);
  CU_ASSERT (ce_is_holder (&a));
  CU_ASSERT_FALSE (ce_may_act (&a, LEASE_MS - MARGIN_MS));
  CU_ASSERT_EQUAL (renew (&a, 2100), CE_WRITTEN);
  CU_ASSERT (ce_may_act (&a, LEASE_MS));
}

/* A take-over that was considered failed is applied later: the lease is held,
   but must be renewed before it is used.  */
static void
test_late_take_over_is_renewed_before_use (void)
{
  struct ce_lease a, b;
  struct ce_row row;

  set_up_leases (&a, &b);
  ce_observe (&a, 0, &table);
  ce_take_over (&a, 0, &row);
  ce_result (&a, 100, CE_UNKNOWN, 0, NULL);
  CU_ASSERT_EQUAL (ce_resolve (&a, 200, &table), CE_NOT_WRITTEN);
  ce_observe (&a, 300, &table);
  row.version = table.version + 1;
  table = row;
  CU_ASSERT_EQUAL (take (&a, 2000), CE_WRITTEN);
  CU_ASSERT (ce_is_holder (&a));
  CU_ASSERT_FALSE (ce_may_act (&a, 2000));
  CU_ASSERT_EQUAL (renew (&a, 2000), CE_WRITTEN);
  CU_ASSERT (ce_may_act (&a, 2000));
}

/* Two processes of the same VM compete like different VMs.  */
static void
test_earlier_process_of_the_same_vm_is_another (void)
{
  struct ce_lease a, b;
  struct ce_row x, y;

  set_up_leases (&a, &b);
  ce_init (&b, "vm-a", "cccc", LEASE_MS, MARGIN_MS);
  ce_observe (&a, 0, &table);
  ce_observe (&b, 0, &table);
  ce_take_over (&a, 0, &x);
  ce_take_over (&b, 0, &y);
  CU_ASSERT_EQUAL (commit (&a, 0, &x), CE_WRITTEN);
  CU_ASSERT_EQUAL (commit (&b, 0, &y), CE_CONFLICT);
}

/* After the restore of an old row the next take-over must use a higher epoch
   than any seen before.  */
static void
test_restored_row_does_not_lower_the_epoch (void)
{
  struct ce_lease a, b;
  struct ce_row old;

  set_up_leases (&a, &b);
  ce_observe (&a, 0, &table);
  take (&a, 0);
  old = table;
  ce_observe (&b, 0, &table);
  take (&b, LEASE_MS);
  renew (&b, LEASE_MS + 100);
  table = old; /* the table is restored from a snapshot */
  CU_ASSERT_EQUAL (renew (&b, LEASE_MS + 200), CE_CONFLICT);
  CU_ASSERT_EQUAL (take (&b, 3 * LEASE_MS), CE_WRITTEN);
  CU_ASSERT_EQUAL (table.epoch, 3);
}

static void
test_epoch_seen_at_a_worker (void)
{
  struct ce_lease a, b;

  set_up_leases (&a, &b);
  ce_observe (&a, 0, &table);
  take (&a, 0);
  CU_ASSERT_FALSE (ce_observe_epoch (&a, 10, 1));
  CU_ASSERT (ce_observe_epoch (&a, 10, 7));
  CU_ASSERT_FALSE (ce_is_holder (&a));
  ce_observe (&a, 20, &table);
  take (&a, 20 + LEASE_MS);
  CU_ASSERT_EQUAL (table.epoch, 8);
}

/* After a table outage the wait for a take-over restarts, so that the holder
   can renew first.  */
static void
test_outage_gives_the_holder_the_first_try (void)
{
  struct ce_lease a, b;

  set_up_leases (&a, &b);
  ce_observe (&a, 0, &table);
  take (&a, 0);
  ce_observe (&b, 0, &table);
  ce_read_failed (&b);
  CU_ASSERT_FALSE (ce_may_take_over (&b, 10 * LEASE_MS, 0));
  ce_observe (&b, 10 * LEASE_MS, &table);
  CU_ASSERT_FALSE (ce_may_take_over (&b, 11 * LEASE_MS - 1, 0));
  CU_ASSERT_EQUAL (renew (&a, 10 * LEASE_MS + 100), CE_WRITTEN);
  CU_ASSERT (ce_may_act (&a, 10 * LEASE_MS + 100));
}

static void
test_released_lease_is_free_at_once (void)
{
  struct ce_lease a, b;
  struct ce_row row;

  set_up_leases (&a, &b);
  ce_observe (&a, 0, &table);
  take (&a, 0);
  ce_release (&a, 100, &row);
  CU_ASSERT_FALSE (ce_may_act (&a, 100));
  CU_ASSERT_EQUAL (commit (&a, 110, &row), CE_WRITTEN);
  ce_observe (&b, 120, &table);
  CU_ASSERT (ce_may_take_over (&b, 120, 0));
  take (&b, 120);
  CU_ASSERT_EQUAL (table.epoch, 2);
}

static void
test_row_round_trip (void)
{
  struct ce_row row = { "vm-a", "aaaa", 3, LEASE_MS, 9, 0 }, back;
  json_t *value = ce_print (&row), *bad = json_pack ("{s:s}", "holder", "x");

  CU_ASSERT_EQUAL (ce_parse (&back, value, 12), CT_OK);
  CU_ASSERT_EQUAL (back.epoch, 3);
  CU_ASSERT_EQUAL (back.beat, 9);
  CU_ASSERT_EQUAL (back.version, 12);
  CU_ASSERT_STRING_EQUAL (back.token, "aaaa");
  CU_ASSERT_EQUAL (ce_parse (&back, bad, 1), CT_EINVAL);
  CU_ASSERT_EQUAL (ce_parse (&back, NULL, 0), CT_OK);
  CU_ASSERT_EQUAL (back.version, 0);
  json_decref (value);
  json_decref (bad);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "test_taker_waits_for_the_whole_lease",
      test_taker_waits_for_the_whole_lease },
    { "test_renewal_starts_the_wait_anew", test_renewal_starts_the_wait_anew },
    { "test_delay_counts_from_the_first_moment",
      test_delay_counts_from_the_first_moment },
    { "test_two_takers_race", test_two_takers_race },
    { "test_validity_counts_from_the_sending",
      test_validity_counts_from_the_sending },
    { "test_paused_holder_finds_out", test_paused_holder_finds_out },
    { "test_lost_answer_of_a_take_over", test_lost_answer_of_a_take_over },
    { "test_lost_request_of_a_take_over", test_lost_request_of_a_take_over },
    { "test_late_renewal_is_ones_own", test_late_renewal_is_ones_own },
    { "test_late_take_over_is_renewed_before_use",
      test_late_take_over_is_renewed_before_use },
    { "test_earlier_process_of_the_same_vm_is_another",
      test_earlier_process_of_the_same_vm_is_another },
    { "test_restored_row_does_not_lower_the_epoch",
      test_restored_row_does_not_lower_the_epoch },
    { "test_epoch_seen_at_a_worker", test_epoch_seen_at_a_worker },
    { "test_outage_gives_the_holder_the_first_try",
      test_outage_gives_the_holder_the_first_try },
    { "test_released_lease_is_free_at_once",
      test_released_lease_is_free_at_once },
    { "test_row_round_trip", test_row_round_trip },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("lease", tests);
}
