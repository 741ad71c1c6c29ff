/* Shares of accounts and the order that they give to waiting requests.  */
#include <string.h>

#include "skr/share.h"
#include "suite.h"

enum
{
  MAX = 16
};

static struct fs_table t;
static struct fs_request request[MAX];
static int order[MAX], requests;
static const struct fs_amount capacity = { { 100, 100, 100 } };
static const struct fs_amount none = { { 0, 0, 0 } };

/* Counts one update in which account I uses IN_USE[I] accelerators.  */
static void
update (const double *in_use, int n, int64_t now)
{
  fs_begin_update (&t, &capacity);
  for (int i = 0; i < n; i++)
    {
      struct fs_amount task = { { 0, 0, in_use[i] } };

      if (in_use[i] > 0)
        fs_add_running (&t, i, &task);
      fs_add_waiting (&t, i, 1);
    }
  fs_end_update (&t, now);
}

/* Account 0 uses most of the fleet, the others little.  */
static void
setup (void)
{
  static const double in_use[] = { 90, 5, 5 };

  fs_init (&t);
  requests = 0;
  for (int i = 0; i < 3; i++)
    fs_find (&t, (const char *[]){ "large", "b", "c" }[i]);
  update (in_use, 3, 1000);
}

/* Adds a request whose tasks fill the fleet for WORK_MS.  */
static void
add (int account, int64_t latest_start_ms, int64_t work_ms, int64_t ready_ms)
{
  request[requests++]
      = (struct fs_request){ .account = account,
                             .ready_ms = ready_ms,
                             .latest_start_ms = latest_start_ms,
                             .work = { { 0, 0, 100.0 * (double)work_ms } } };
}

static int
order_now (int64_t now)
{
  return fs_order (&t, request, requests, &none, now, order);
}

static void
expect_order (const int *expected)
{
  CU_ASSERT_EQUAL (memcmp (order, expected, sizeof (int) * (size_t)requests),
                   0);
}

/* The largest fraction counts, whatever resource it is of.  */
static void
test_dominant_resource (void)
{
  struct fs_amount task = { { 10, 40, 20 } };

  setup ();
  fs_begin_update (&t, &capacity);
  fs_add_running (&t, 1, &task);
  fs_end_update (&t, 1000000);
  CU_ASSERT_DOUBLE_EQUAL (fs_get (&t, 1)->share, 0.4, 1e-6);
  CU_ASSERT_EQUAL (fs_get (&t, 1)->running, 1);
  fs_fini (&t);
}

/* An account that has just used a lot does not count as new at once, and is
   forgiven after some half-lives.  */
static void
test_past_use_decays (void)
{
  static const double idle[] = { 0, 5, 5 };

  setup ();
  CU_ASSERT (fs_get (&t, 0)->is_over);
  update (idle, 3, 1000 + FS_HALF_LIFE_MS);
  CU_ASSERT_DOUBLE_EQUAL (fs_get (&t, 0)->share, 0.45, 1e-6);
  CU_ASSERT (fs_get (&t, 0)->is_over);
  update (idle, 3, 1000 + 8 * FS_HALF_LIFE_MS);
  CU_ASSERT_FALSE (fs_get (&t, 0)->is_over);
  fs_fini (&t);
}

/* With a weight of 0 or below, an account would be entitled to nothing, or the
   division would fail.  */
static void
test_weights (void)
{
  static const double in_use[] = { 60, 20, 20 };

  setup ();
  CU_ASSERT_EQUAL (fs_set_weight (&t, 1, 0), 1);
  CU_ASSERT_EQUAL (fs_set_weight (&t, 2, -7), 1);
  CU_ASSERT_EQUAL (fs_set_weight (&t, 0, 2), 0);
  CU_ASSERT_EQUAL (fs_get (&t, 1)->weight, 1);
  CU_ASSERT_EQUAL (fs_get (&t, 2)->weight, 1);
  update (in_use, 3, 1000000);
  CU_ASSERT_DOUBLE_EQUAL (fs_get (&t, 0)->entitled, 0.5 / 3 + 0.25, 1e-6);
  CU_ASSERT_DOUBLE_EQUAL (fs_get (&t, 1)->entitled, 0.5 / 3 + 0.125, 1e-6);
  fs_fini (&t);
}

/* An account beside much heavier ones would be above its share with its first
   task, and would always wait.  */
static void
test_small_weight_keeps_half_an_equal_split (void)
{
  static const double in_use[] = { 50, 40, 10 };

  setup ();
  fs_set_weight (&t, 0, 1000);
  fs_set_weight (&t, 1, 1000);
  update (in_use, 3, 1000000);
  CU_ASSERT_FALSE (fs_get (&t, 2)->is_over);
  CU_ASSERT (fs_get (&t, 2)->entitled >= 0.5 / 3);
  fs_fini (&t);
}

/* A single account has nobody to give way to.  */
static void
test_alone (void)
{
  static const double in_use[] = { 100 };

  fs_init (&t);
  fs_find (&t, "only");
  update (in_use, 1, 1000);
  CU_ASSERT_FALSE (fs_get (&t, 0)->is_over);
  fs_fini (&t);
}

/* Fairness must not make requests late that can be on time: if all can, the
   order by latest start stays.  */
static void
test_no_change_if_all_are_on_time (void)
{
  setup ();
  add (0, 11000, 2000, 1000);
  add (0, 12000, 1000, 1000);
  add (1, 20000, 1000, 1000);
  CU_ASSERT_EQUAL (order_now (1000), 0);
  expect_order ((const int[]){ 0, 1, 2 });
  fs_fini (&t);
}

/* A backlog of a large account made all others late.  Only as much of it is
   moved as the others need, and what is late anyway goes first.  */
static void
test_moves_as_little_as_needed (void)
{
  setup ();
  add (0, 500, 4000, 0); /* late already */
  add (0, 3000, 500, 1000);
  add (1, 5000, 100, 1000);
  add (0, 9000, 1000, 1000);
  CU_ASSERT_EQUAL (order_now (1000), 1);
  expect_order ((const int[]){ 1, 2, 0, 3 });
  CU_ASSERT_EQUAL (request[0].ahead, 2);
  CU_ASSERT (request[2].is_at_risk);
  CU_ASSERT (request[2].wait_ms > 4000);
  fs_fini (&t);
}

/* What was moved stays behind every request that it would make late.  */
static void
test_moved_stays_behind_all_at_risk (void)
{
  setup ();
  add (0, 500, 4000, 0);
  add (1, 2000, 100, 1000);
  add (2, 4000, 100, 1000);
  add (1, 60000, 100, 1000);
  CU_ASSERT_EQUAL (order_now (1000), 1);
  expect_order ((const int[]){ 1, 2, 0, 3 });
  fs_fini (&t);
}

/* Accounts within their shares do not pass each other.  */
static void
test_equals_keep_their_order (void)
{
  setup ();
  add (1, 500, 40000, 0);
  add (2, 600, 40000, 0);
  add (1, 700, 40000, 0);
  CU_ASSERT_EQUAL (order_now (1000), 0);
  expect_order ((const int[]){ 0, 1, 2 });
  fs_fini (&t);
}

/* A request of an account above its share that is always passed over would
   never start.  By age it goes first, one a second, as a whole aged backlog
   would starve the others.  */
static void
test_age (void)
{
  int64_t now = 1000 + FS_AGE_MAX_MS;

  setup ();
  add (0, 15000, 4000, 1000);
  add (0, 15000, 4000, 1000);
  add (1, 22000, 100, 1000);
  CU_ASSERT_EQUAL (order_now (now - 1), 2);
  expect_order ((const int[]){ 2, 0, 1 });
  CU_ASSERT_EQUAL (order_now (now), 1);
  expect_order ((const int[]){ 0, 2, 1 });
  CU_ASSERT (request[0].is_aged);
  fs_aged_started (&t, 0, &request[0].work, now);
  CU_ASSERT_EQUAL (order_now (now + 4000 * 100 / FS_AGED_PERCENT - 1), 2);
  CU_ASSERT_EQUAL (order_now (now + 4000 * 100 / FS_AGED_PERCENT), 1);
  fs_fini (&t);
}

/* An account that left the configuration is known by its work alone.  */
static void
test_account_without_configuration (void)
{
  static const double in_use[] = { 90, 5, 5, 2 };
  int gone;

  setup ();
  gone = fs_find (&t, "gone");
  CU_ASSERT_EQUAL (gone, 3);
  CU_ASSERT_EQUAL (fs_find (&t, "gone"), gone);
  CU_ASSERT_EQUAL (fs_count (&t), 4);
  update (in_use, 4, 2000);
  CU_ASSERT_EQUAL (fs_get (&t, gone)->weight, 1);
  CU_ASSERT (fs_get (&t, gone)->entitled > 0.1);
  fs_fini (&t);
}

/* Changes are told once each, so that an account at its share does not fill
   the log.  */
static void
test_changes_are_bounded (void)
{
  static const double idle[] = { 0, 5, 5 }, busy[] = { 90, 5, 5 };
  int64_t now = 100000;

  setup ();
  CU_ASSERT_EQUAL (fs_take_change (&t, 0, 1000), 1);
  CU_ASSERT_EQUAL (fs_take_change (&t, 0, 1000), 0);
  update (idle, 3, now);
  CU_ASSERT_EQUAL (fs_take_change (&t, 0, now), 1);
  update (busy, 3, now + 10);
  CU_ASSERT_EQUAL (fs_take_change (&t, 0, now + 10), 0);
  CU_ASSERT_EQUAL (fs_take_change (&t, 0, now + FS_CHANGE_INTERVAL_MS), 1);
  fs_fini (&t);
}

/* A fleet without workers has no capacity to divide by.  */
static void
test_no_capacity (void)
{
  setup ();
  fs_begin_update (&t, &none);
  fs_end_update (&t, 2000);
  add (0, 500, 4000, 0);
  add (1, 900, 4000, 0);
  order_now (2000);
  CU_ASSERT_EQUAL (order[0] + order[1], 1);
  fs_fini (&t);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "dominant resource", test_dominant_resource },
    { "past use", test_past_use_decays },
    { "weights", test_weights },
    { "small weight", test_small_weight_keeps_half_an_equal_split },
    { "alone", test_alone },
    { "all on time", test_no_change_if_all_are_on_time },
    { "least change", test_moves_as_little_as_needed },
    { "behind all at risk", test_moved_stays_behind_all_at_risk },
    { "equals", test_equals_keep_their_order },
    { "age", test_age },
    { "not configured", test_account_without_configuration },
    { "changes", test_changes_are_bounded },
    { "no capacity", test_no_capacity },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("share", tests);
}
