/* Upstreams, the slots of them that each entry VM may use, and the retention
   of idempotency keys.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "filter/pool.h"
#include "filter/retention.h"
#include "suite.h"

enum
{
  ENTRIES = 7,
  WORKERS = 12,
  SLOTS = 8,
  CONNECTIONS = 60,
  SEED = 11
};

static struct fl_pool pool[ENTRIES];
static struct fl_vm vm[ENTRIES + WORKERS];
static char name[ENTRIES + WORKERS][16];
static gsl_rng *rng;

static void
fill_list (void)
{
  for (int i = 0; i < ENTRIES + WORKERS; i++)
    {
      int is_entry = i < ENTRIES;

      snprintf (name[i], sizeof name[i], "%c%d", is_entry ? 'e' : 'w', i);
      vm[i] = (struct fl_vm){ .id = name[i],
                              .address = name[i],
                              .cell = "d1",
                              .is_entry = is_entry,
                              .slots = is_entry ? 0 : SLOTS,
                              .connections = is_entry ? 0 : CONNECTIONS };
    }
}

static void
start (void)
{
  fill_list ();
  for (int e = 0; e < ENTRIES; e++)
    {
      fl_pool_init (&pool[e], name[e]);
      fl_pool_set_vms (&pool[e], vm, ENTRIES + WORKERS);
    }
}

/* Returns a worker whose slots are in part the first entry VM's share.  */
static int
usable (void)
{
  int w = 0;

  while (!pool[0].up[w].share_slots)
    w++;
  return w;
}

static void
test_shares_add_up_to_the_worker_s_slots (void)
{
  start ();
  for (int w = 0; w < WORKERS; w++)
    {
      int slots = 0, connections = 0;

      for (int e = 0; e < ENTRIES; e++)
        {
          slots += fl_pool_allowed_slots (&pool[e], w, 0);
          connections += pool[e].up[w].share_connections;
        }
      CU_ASSERT_EQUAL (slots, SLOTS);
      CU_ASSERT_EQUAL (connections, CONNECTIONS);
    }
}

/* Guards against a remaining VM whose share of slots shrinks when another
   VM leaves.  */
static void
test_a_vm_that_leaves_moves_only_its_share (void)
{
  int before[WORKERS];

  start ();
  for (int w = 0; w < WORKERS; w++)
    before[w] = pool[0].up[w].share_slots;
  vm[ENTRIES - 1].leaving = 1;
  fl_pool_set_vms (&pool[0], vm, ENTRIES + WORKERS);
  for (int w = 0; w < WORKERS; w++)
    CU_ASSERT (pool[0].up[w].share_slots >= before[w]);
}

static struct pr_credits *
grant (int64_t epoch, int64_t stamp_ms, int slots)
{
  static struct pr_credits c;

  memset (&c, 0, sizeof c);
  snprintf (c.cell, sizeof c.cell, "d1");
  c.epoch = epoch;
  c.stamp_ms = stamp_ms;
  c.valid_ms = 1000;
  c.count = 1;
  snprintf (c.credit[0].worker, PR_ID_SIZE, "%s", vm[ENTRIES].id);
  c.credit[0].slots = slots;
  c.credit[0].connections = CONNECTIONS;
  return &c;
}

/* Guards against a VM that uses its share of slots while a grant is valid, or
   the grant after it has expired.  */
static void
test_grant_goes_before_the_share_and_runs_out (void)
{
  start ();
  CU_ASSERT_EQUAL (fl_pool_apply_grant (&pool[0], grant (3, 0, 2), 10), FL_OK);
  CU_ASSERT_EQUAL (fl_pool_allowed_slots (&pool[0], 0, 999), 2);
  for (int w = 1; w < WORKERS; w++)
    CU_ASSERT_EQUAL (fl_pool_allowed_slots (&pool[0], w, 999), 0);
  CU_ASSERT_EQUAL (fl_pool_allowed_slots (&pool[0], 0, 1000),
                   pool[0].up[0].share_slots);
}

static void
test_old_epoch_and_late_grant_are_refused (void)
{
  start ();
  fl_pool_apply_grant (&pool[0], grant (3, 0, 2), 0);
  CU_ASSERT_EQUAL (fl_pool_apply_grant (&pool[0], grant (2, 0, 8), 0),
                   FL_ESTALE);
  CU_ASSERT_EQUAL (fl_pool_apply_grant (&pool[0], grant (4, 0, 8), 1000),
                   FL_ESTALE);
  CU_ASSERT_EQUAL (fl_pool_allowed_slots (&pool[0], 0, 500), 2);
}

/* Guards against a VM that uses more slots in total than it is allowed.  */
static void
test_taken_slots_never_pass_what_is_allowed (void)
{
  int taken = 0, allowed = 0;

  start ();
  for (int w = 0; w < WORKERS; w++)
    allowed += fl_pool_allowed_slots (&pool[0], w, 0);
  while (fl_pool_acquire (&pool[0], 0, FL_POOL_NONE, rng) >= 0)
    taken++;
  CU_ASSERT_EQUAL (taken, allowed);
  CU_ASSERT_EQUAL (fl_pool_acquire (&pool[0], 0, FL_POOL_NONE, rng), FL_EBUSY);
}

/* Guards against requests to an upstream that the list, or its own answer,
   shows as leaving.  */
static void
test_nothing_new_goes_to_a_leaving_upstream (void)
{
  int w;

  start ();
  w = usable ();
  vm[ENTRIES + w].leaving = 1;
  fl_pool_set_vms (&pool[0], vm, ENTRIES + WORKERS);
  CU_ASSERT_EQUAL (fl_pool_allowed_slots (&pool[0], w, 0), 0);
  start ();
  pool[0].up[w].in_flight = 1;
  fl_pool_release (&pool[0], w, FL_OUTCOME_LEAVING, 0);
  CU_ASSERT_EQUAL (fl_pool_allowed_slots (&pool[0], w, 0), 0);
  /* The upstream's own notice is newer than the list.  */
  fl_pool_set_vms (&pool[0], vm, ENTRIES + WORKERS);
  CU_ASSERT_EQUAL (fl_pool_allowed_slots (&pool[0], w, 1), 0);
}

/* Guards against an upstream with a new address that is still treated as
   leaving, as the process before it was.  */
static void
test_a_new_process_under_an_old_name_starts_clean (void)
{
  int w;

  start ();
  w = usable ();
  pool[0].up[w].in_flight = 1;
  fl_pool_release (&pool[0], w, FL_OUTCOME_LEAVING, 0);
  vm[ENTRIES + w].address = "elsewhere";
  fl_pool_set_vms (&pool[0], vm, ENTRIES + WORKERS);
  CU_ASSERT (fl_pool_allowed_slots (&pool[0], w, 1) > 0);
}

static void
fail (int w, int times)
{
  for (int i = 0; i < times; i++)
    {
      pool[0].up[w].in_flight++;
      fl_pool_release (&pool[0], w, FL_OUTCOME_FAILED, 0);
    }
}

static void
test_ejection_needs_failures_in_a_row (void)
{
  int w;

  start ();
  w = usable ();
  fail (w, FL_POOL_EJECT_FAILURES - 1);
  pool[0].up[w].in_flight++;
  fl_pool_release (&pool[0], w, FL_OUTCOME_OK, 0);
  fail (w, FL_POOL_EJECT_FAILURES - 1);
  CU_ASSERT (fl_pool_allowed_slots (&pool[0], w, 0) > 0);
  fail (w, 1);
  CU_ASSERT_EQUAL (fl_pool_allowed_slots (&pool[0], w, 0), 0);
  CU_ASSERT (fl_pool_allowed_slots (&pool[0], w, FL_POOL_EJECT_MS) > 0);
}

/* Guards against a request to a worker within FL_POOL_BUSY_MS of its busy
   answer, and against a worker that stays excluded after that time.  */
static void
test_worker_that_is_full_gets_nothing_for_a_moment (void)
{
  int w, taken;

  start ();
  w = usable ();
  for (int i = 0; i < WORKERS; i++)
    if (i != w)
      pool[0].up[i].in_use = 0;
  taken = fl_pool_acquire (&pool[0], 0, FL_POOL_NONE, rng);
  CU_ASSERT_EQUAL (taken, w);
  fl_pool_release (&pool[0], w, FL_OUTCOME_BUSY, 0);
  CU_ASSERT_EQUAL (
      fl_pool_acquire (&pool[0], FL_POOL_BUSY_MS - 1, FL_POOL_NONE, rng),
      FL_EBUSY);
  CU_ASSERT_EQUAL (
      fl_pool_acquire (&pool[0], FL_POOL_BUSY_MS, FL_POOL_NONE, rng), w);
}

/* Guards against an upstream that is used right after a connection to it
   failed, or that stays excluded after FL_POOL_UNREACHED_EJECT_MS.  */
static void
test_an_unreached_upstream_is_passed_by_for_a_moment (void)
{
  int w;

  start ();
  w = usable ();
  pool[0].up[w].in_flight++;
  fl_pool_release (&pool[0], w, FL_OUTCOME_UNREACHED, 0);
  CU_ASSERT_EQUAL (fl_pool_allowed_slots (&pool[0], w, 0), 0);
  CU_ASSERT (fl_pool_allowed_slots (&pool[0], w, FL_POOL_UNREACHED_EJECT_MS)
             > 0);
}

/* Guards against the ejection of so many upstreams that fewer than
   FL_POOL_MIN_OPEN_PERCENT stay usable.  */
static void
test_ejection_keeps_a_floor (void)
{
  int open = 0;

  start ();
  for (int w = 0; w < WORKERS; w++)
    fail (w, FL_POOL_EJECT_FAILURES);
  for (int w = 0; w < WORKERS; w++)
    open += pool[0].up[w].ejected_until_ms == 0;
  CU_ASSERT_EQUAL (open, WORKERS * FL_POOL_MIN_OPEN_PERCENT / 100);
}

static void
test_a_retry_avoids_the_last_upstream (void)
{
  start ();
  for (int i = 0; i < 200; i++)
    {
      int avoid = usable ();
      int w = fl_pool_acquire (&pool[0], 0, avoid, rng);

      CU_ASSERT (w >= 0 && w != avoid);
      if (w >= 0)
        fl_pool_release (&pool[0], w, FL_OUTCOME_OK, 0);
    }
}

/* Guards against FL_EBUSY where no upstream exists; that must be FL_ENOENT. */
static void
test_no_upstream_is_told_from_a_busy_one (void)
{
  fl_pool_init (&pool[0], "e0");
  fl_pool_set_vms (&pool[0], vm, ENTRIES);
  CU_ASSERT_EQUAL (fl_pool_acquire (&pool[0], 0, FL_POOL_NONE, rng),
                   FL_ENOENT);
}

#define TEST(name)                                                            \
  {                                                                           \
#name, name                                                               \
  }

/* Exactly one VM deletes the rows of each account.  When a VM is removed, only
   its accounts move to others.  */
static void
test_one_vm_deletes_the_keys_of_an_account (void)
{
  enum
  {
    ACCOUNTS = 40
  };
  char account[16];
  int owner[ACCOUNTS], most = 0;

  for (int left = 0; left < 2; left++)
    {
      int owned[ENTRIES] = { 0 };

      for (int e = left; e < ENTRIES; e++)
        {
          fl_pool_init (&pool[e], name[e]);
          fl_pool_set_vms (&pool[e], vm + left, ENTRIES + WORKERS - left);
        }
      for (int a = 0; a < ACCOUNTS; a++)
        {
          int owners = 0, who = -1;

          snprintf (account, sizeof account, "account%d", a);
          for (int e = left; e < ENTRIES; e++)
            if (fl_retention_is_owner (&pool[e], account))
              {
                owners++;
                who = e;
              }
          CU_ASSERT_EQUAL (owners, 1);
          CU_ASSERT (!left || owner[a] == 0 || owner[a] == who);
          owner[a] = who;
          owned[who]++;
          if (owned[who] > most)
            most = owned[who];
        }
    }
  CU_ASSERT (most < ACCOUNTS / 2);
}

/* Guards against an idempotency key that is deleted before its retention time
   or without a known time, or kept after it.  */
static void
test_keys_are_kept_for_their_time (void)
{
  json_t *row = json_pack ("{s:s, s:i}", "state", "done", "at", 1000);
  json_t *none = json_pack ("{s:s}", "state", "done");

  CU_ASSERT_FALSE (fl_retention_is_over (row, 1999, 1000));
  CU_ASSERT (fl_retention_is_over (row, 2000, 1000));
  CU_ASSERT_FALSE (fl_retention_is_over (row, 500, 1000));
  CU_ASSERT_FALSE (fl_retention_is_over (none, 9000, 1000));
  json_decref (row);
  json_decref (none);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    TEST (test_shares_add_up_to_the_worker_s_slots),
    TEST (test_a_vm_that_leaves_moves_only_its_share),
    TEST (test_grant_goes_before_the_share_and_runs_out),
    TEST (test_old_epoch_and_late_grant_are_refused),
    TEST (test_taken_slots_never_pass_what_is_allowed),
    TEST (test_nothing_new_goes_to_a_leaving_upstream),
    TEST (test_a_new_process_under_an_old_name_starts_clean),
    TEST (test_ejection_needs_failures_in_a_row),
    TEST (test_an_unreached_upstream_is_passed_by_for_a_moment),
    TEST (test_worker_that_is_full_gets_nothing_for_a_moment),
    TEST (test_ejection_keeps_a_floor),
    TEST (test_a_retry_avoids_the_last_upstream),
    TEST (test_no_upstream_is_told_from_a_busy_one),
    TEST (test_one_vm_deletes_the_keys_of_an_account),
    TEST (test_keys_are_kept_for_their_time),
    CU_TEST_INFO_NULL,
  };
  int code;

  rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (rng, SEED);
  code = run_suite ("pool", tests);
  gsl_rng_free (rng);
  return code;
}
