/* State of reads and writes, against a store that answers after a delay or not
   at all.  */
#include <string.h>

#include "skr/access.h"
#include "suite.h"

enum
{
  TICK_MS = 20,
  START_MS = 50000,
  MAX_WRITES = 64
};

/* The store, and the writes of this VM that wait for it.  */
static struct
{
  int silent, refuses;
  int reads_silent;
  int delay_ms;
  int64_t answer_at_ms[MAX_WRITES];
  int waiting, probes;
} store;

static struct ac_access access;
static int64_t now;

static void
send_write (void)
{
  ac_sent (&access, AC_WRITES, now);
  if (!store.silent && store.waiting < MAX_WRITES)
    store.answer_at_ms[store.waiting++] = now + store.delay_ms;
}

static void
step (void)
{
  now += TICK_MS;
  for (int i = store.waiting; i-- > 0;)
    if (store.answer_at_ms[i] <= now)
      {
        ac_replied (&access, AC_WRITES,
                    store.refuses ? AC_NOT_DONE : AC_ANSWERED, now);
        store.answer_at_ms[i] = store.answer_at_ms[--store.waiting];
      }
  ac_tick (&access, now);
  if (ac_read_probe_is_due (&access, now))
    {
      ac_read_probe_sent (&access, now);
      if (!store.reads_silent)
        ac_read_probe_answered (&access);
    }
  if (!ac_probe_is_due (&access, now))
    return;
  ac_probe_sent (&access, now);
  store.probes++;
  if (!store.silent && store.waiting < MAX_WRITES)
    store.answer_at_ms[store.waiting++] = now + store.delay_ms;
}

static void
run (int ms)
{
  for (int64_t end = now + ms; now < end;)
    step ();
}

static enum ac_state
writes (void)
{
  return access.path[AC_WRITES].state;
}

static void
setup (void)
{
  memset (&store, 0, sizeof store);
  store.delay_ms = 4;
  now = START_MS;
  ac_init (&access, now);
}

/* Guards against submissions that are held until the caller's deadline.  */
static void
test_unanswered_write_means_stalled (void)
{
  setup ();
  run (200);
  store.silent = 1;
  send_write ();
  run (780);
  CU_ASSERT_EQUAL (writes (), AC_AVAILABLE);
  run (40);
  CU_ASSERT_EQUAL (writes (), AC_STALLED);
  CU_ASSERT (ac_outage_ms (&access, AC_WRITES, now) >= 800);
  store.silent = 0;
  run (500);
  CU_ASSERT_EQUAL (writes (), AC_AVAILABLE);
}

/* Guards against a VM without requests that learns of a stall only from the
   first one, which then waits.  */
static void
test_idle_vm_notices_a_stall (void)
{
  setup ();
  run (5000);
  store.silent = 1;
  run (2500);
  CU_ASSERT_EQUAL (writes (), AC_STALLED);
}

/* Guards against a refusal while the store serves other VMs.  */
static void
test_write_of_another_vm_means_available (void)
{
  setup ();
  store.silent = 1;
  send_write ();
  for (int i = 0; i < 10; i++)
    {
      run (400);
      ac_write_seen (&access, now);
      CU_ASSERT_EQUAL (writes (), AC_AVAILABLE);
    }
  CU_ASSERT (ac_is_cut_off (&access, now));
  run (900);
  CU_ASSERT_EQUAL (writes (), AC_STALLED);
  CU_ASSERT (!ac_is_cut_off (&access, now));
  ac_write_seen (&access, now);
  CU_ASSERT_EQUAL (writes (), AC_AVAILABLE);
}

/* Guards against a refusal by a VM that was suspended while its write was
   answered.  */
static void
test_suspension_is_no_stall (void)
{
  setup ();
  send_write ();
  now += 3000;
  ac_tick (&access, now);
  CU_ASSERT_EQUAL (writes (), AC_AVAILABLE);
  step ();
  CU_ASSERT_EQUAL (writes (), AC_AVAILABLE);
  run (2000);
  CU_ASSERT_EQUAL (writes (), AC_AVAILABLE);
}

/* Guards against a refusal while the store is slow by a factor of 50.  */
static void
test_slow_store_is_no_stall (void)
{
  setup ();
  store.delay_ms = 200;
  for (int i = 0; i < 100; i++)
    {
      if (i % 3 == 0)
        send_write ();
      step ();
      CU_ASSERT_EQUAL (writes (), AC_AVAILABLE);
    }
}

/* Guards against a refusal during a take-over, in which the lease row does not
   change for 2.2 s.  */
static void
test_take_over_is_no_stall (void)
{
  setup ();
  for (int i = 0; i < 110; i++)
    {
      if (i % 10 == 0)
        send_write ();
      step ();
      CU_ASSERT_EQUAL (writes (), AC_AVAILABLE);
    }
  CU_ASSERT (store.probes <= 3);
}

/* Guards against a refusal after a single write was lost with its
   connection.  */
static void
test_one_lost_write_is_no_stall (void)
{
  setup ();
  ac_sent (&access, AC_WRITES, now);
  for (int i = 0; i < 100; i++)
    {
      step ();
      CU_ASSERT_EQUAL (writes (), AC_AVAILABLE);
    }
}

/* Guards against taking a few refusals under load for an outage.  */
static void
test_refusals (void)
{
  setup ();
  store.refuses = 1;
  send_write ();
  run (200);
  CU_ASSERT_EQUAL (writes (), AC_AVAILABLE);
  for (int i = 0; i < 5; i++)
    {
      send_write ();
      run (100);
    }
  CU_ASSERT_EQUAL (writes (), AC_REFUSED);
  ac_write_seen (&access, now);
  CU_ASSERT_EQUAL (writes (), AC_REFUSED);
  CU_ASSERT (ac_is_cut_off (&access, now));
  store.refuses = 0;
  run (500);
  CU_ASSERT_EQUAL (writes (), AC_AVAILABLE);
}

/* Guards against refusals by a VM that the store refuses whole, as it then
   sees no writes of others.  */
static void
test_cut_off_without_reads (void)
{
  setup ();
  store.refuses = 1;
  for (int i = 0; i < 10; i++)
    {
      send_write ();
      run (100);
    }
  CU_ASSERT (!ac_is_cut_off (&access, now));
  for (int i = 0; i < 10; i++)
    {
      ac_replied (&access, AC_READS, AC_NOT_DONE, now);
      run (100);
    }
  CU_ASSERT (ac_is_cut_off (&access, now));
}

/* Guards against refusals by a VM that the store does not answer at all, while
   an earlier poll is still answered.  */
static void
test_cut_off_without_answers (void)
{
  setup ();
  store.silent = store.reads_silent = 1;
  send_write ();
  run (820);
  ac_replied (&access, AC_READS, AC_ANSWERED, now);
  CU_ASSERT_EQUAL (writes (), AC_STALLED);
  CU_ASSERT (ac_is_cut_off (&access, now));
  store.reads_silent = 0;
  run (500);
  CU_ASSERT_EQUAL (writes (), AC_STALLED);
  CU_ASSERT (!ac_is_cut_off (&access, now));
}

/* Guards against giving up a request that the store could still serve.  */
static void
test_outage_outlasts_the_deadline (void)
{
  setup ();
  store.silent = 1;
  send_write ();
  run (1000);
  CU_ASSERT (!ac_outlasts (&access, AC_WRITES, 1700, now));
  CU_ASSERT (ac_outlasts (&access, AC_WRITES, 900, now));
  CU_ASSERT (!ac_outlasts (&access, AC_READS, 0, now));
}

/* Guards against reads that are taken for available because writes are, and
   the reverse.  */
static void
test_reads_have_their_own_state (void)
{
  setup ();
  ac_sent (&access, AC_READS, now);
  run (1480);
  CU_ASSERT_EQUAL (access.path[AC_READS].state, AC_AVAILABLE);
  run (40);
  CU_ASSERT_EQUAL (access.path[AC_READS].state, AC_STALLED);
  CU_ASSERT_EQUAL (writes (), AC_AVAILABLE);
  ac_replied (&access, AC_READS, AC_ANSWERED, now);
  CU_ASSERT_EQUAL (access.path[AC_READS].state, AC_AVAILABLE);
}

/* Guards against an outage after which all callers return at once.  */
static void
test_retry_after_grows_and_spreads (void)
{
  int seconds[16] = { 0 }, used = 0;
  struct ac_refusal r;

  setup ();
  r = ac_refuse (&access, 1, now);
  CU_ASSERT_EQUAL (r.retry_after_s, 1);
  store.silent = 1;
  send_write ();
  run (8000);
  r = ac_refuse (&access, 2, now);
  CU_ASSERT (r.retry_after_s >= 3);
  for (uint64_t id = 100; id < 300; id++)
    {
      r = ac_refuse (&access, id, now);
      CU_ASSERT_FATAL (r.retry_after_s >= 1 && r.retry_after_s < 16);
      seconds[r.retry_after_s]++;
    }
  for (int i = 0; i < 16; i++)
    {
      used += seconds[i] > 0;
      CU_ASSERT (seconds[i] <= 100);
    }
  CU_ASSERT (used >= 3);
}

/* Guards against new callers that return ahead of those that wait since
   before.  */
static void
test_older_callers_return_first (void)
{
  int latest_old = 0, earliest_new = 100;

  setup ();
  for (uint64_t id = 0; id < 200; id++)
    ac_refuse (&access, id, now);
  now += 2000;
  for (uint64_t id = 0; id < 50; id++)
    {
      struct ac_refusal old = ac_refuse (&access, id, now);
      struct ac_refusal new = ac_refuse (&access, 1000 + id, now);

      CU_ASSERT_EQUAL (old.times, 1);
      if (old.retry_after_s > latest_old)
        latest_old = old.retry_after_s;
      if (new.retry_after_s < earliest_new)
        earliest_new = new.retry_after_s;
    }
  CU_ASSERT (latest_old <= earliest_new);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "stalled", test_unanswered_write_means_stalled },
    { "idle", test_idle_vm_notices_a_stall },
    { "other VM", test_write_of_another_vm_means_available },
    { "suspended", test_suspension_is_no_stall },
    { "slow", test_slow_store_is_no_stall },
    { "take-over", test_take_over_is_no_stall },
    { "one lost", test_one_lost_write_is_no_stall },
    { "refusals", test_refusals },
    { "refused whole", test_cut_off_without_reads },
    { "silent whole", test_cut_off_without_answers },
    { "outlasts", test_outage_outlasts_the_deadline },
    { "reads", test_reads_have_their_own_state },
    { "retry-after", test_retry_after_grows_and_spreads },
    { "older first", test_older_callers_return_first },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("access", tests);
}
