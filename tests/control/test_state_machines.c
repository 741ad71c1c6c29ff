/* Tests of the state machines for workers, gangs, grants, the distribution of
   cells and the relocation of jobs.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/gang.h"
#include "control/grant.h"
#include "control/member.h"
#include "control/relocate.h"
#include "control/share.h"
#include "suite.h"

static const struct mb_times times = { .lease_ms = 2000,
                                       .suspect_after_ms = 1000,
                                       .max_request_ms = 300,
                                       .poll_ms = 100,
                                       .poll_max_ms = 800 };

static struct mb_worker
listed_worker (void)
{
  struct mb_worker w;
  json_t *vm
      = json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:i}", "id", "w1",
                   "address", "127.0.0.1:1", "rack", "r1", "state", "live",
                   "accelerators", 8, "slots", 8, "connections", 60);

  CU_ASSERT_EQUAL (mb_parse (&w, vm), CT_OK);
  json_decref (vm);
  return w;
}

/* A listed worker is up only after it has answered.  */
static void
test_list_alone_makes_no_worker (void)
{
  struct mb_worker w = listed_worker ();

  CU_ASSERT_EQUAL (mb_step (&w, 100, &times), MB_NONE);
  mb_answered (&w, 100);
  CU_ASSERT_EQUAL (mb_step (&w, 100, &times), MB_JOINED);
  CU_ASSERT_EQUAL (mb_step (&w, 100, &times), MB_NONE);
}

/* A worker is leaving if it reports so, if the list says so, or if it is no
   longer listed.  */
static void
test_each_word_of_leaving_counts (void)
{
  struct mb_worker w = listed_worker ();

  mb_answered (&w, 100);
  mb_step (&w, 100, &times);
  mb_set_leaving (&w, 1);
  CU_ASSERT_EQUAL (mb_step (&w, 110, &times), MB_STARTED_LEAVING);
  mb_set_leaving (&w, 0);
  CU_ASSERT_EQUAL (mb_step (&w, 120, &times), MB_JOINED);
  mb_update_listing (&w, NULL);
  CU_ASSERT_EQUAL (mb_step (&w, 130, &times), MB_STARTED_LEAVING);
  w.listed = 1;
  w.listed_leaving = 1;
  CU_ASSERT_EQUAL (mb_step (&w, 140, &times), MB_NONE);
  CU_ASSERT_EQUAL (w.state, MB_LEAVING);
}

/* A worker that stops answering is down only when its task leases have
   certainly expired, because its tasks may run until then.  */
static void
test_worker_is_down_only_after_its_leases (void)
{
  struct mb_worker w = listed_worker ();

  mb_answered (&w, 100);
  mb_step (&w, 100, &times);
  w.renewed_ms = 900;
  CU_ASSERT (mb_may_renew (&w, 1100, &times));
  CU_ASSERT_FALSE (mb_may_renew (&w, 1101, &times));
  CU_ASSERT_EQUAL (mb_step (&w, 900 + 2000 + 300, &times), MB_NONE);
  CU_ASSERT_EQUAL (mb_step (&w, 900 + 2000 + 301, &times), MB_LOST);
  mb_answered (&w, 4000);
  CU_ASSERT_EQUAL (mb_step (&w, 4000, &times), MB_JOINED);
}

/* The poll interval is a sixteenth of the age of the last order, within its
   limits, and a new order shortens it at once.  */
static void
test_polls_follow_the_age_of_the_last_order (void)
{
  struct mb_worker w = listed_worker ();

  mb_order_sent (&w, 1000, &times);
  mb_poll_sent (&w, 1000, &times);
  CU_ASSERT_EQUAL (w.next_poll_ms, 1100);
  mb_poll_sent (&w, 1000 + 16 * 300, &times);
  CU_ASSERT_EQUAL (w.next_poll_ms, 1000 + 16 * 300 + 300);
  mb_poll_sent (&w, 3600000, &times);
  CU_ASSERT_EQUAL (w.next_poll_ms, 3600000 + 800);
  mb_order_sent (&w, 3600010, &times);
  CU_ASSERT_EQUAL (w.next_poll_ms, 3600110);
  mb_order_sent (&w, 3600050, &times); /* does not postpone the poll */
  CU_ASSERT_EQUAL (w.next_poll_ms, 3600110);
}

static void
test_bad_list_entry (void)
{
  struct mb_worker w;
  json_t *vm = json_pack ("{s:s, s:s, s:s, s:i, s:i}", "id", "w1", "address",
                          "127.0.0.1:1", "rack", "r1", "accelerators", 65,
                          "slots", 8);

  CU_ASSERT_EQUAL (mb_parse (&w, vm), CT_EINVAL);
  json_object_set_new (vm, "accelerators", json_integer (-1));
  CU_ASSERT_EQUAL (mb_parse (&w, vm), CT_EINVAL);
  json_object_del (vm, "rack");
  CU_ASSERT_EQUAL (mb_parse (&w, vm), CT_EINVAL);
  json_decref (vm);
}

static const struct dc_place two_workers[]
    = { { 5, 0x0f }, { 9, 0xff }, { 5, 0xf0 } };

static void
test_gang_has_a_part_for_each_worker (void)
{
  struct wk_gang g;

  CU_ASSERT_EQUAL (wk_init (&g, "j", 1, 3, two_workers, 0), CT_OK);
  CU_ASSERT_EQUAL (g.parts, 2);
  CU_ASSERT_EQUAL (wk_find_part (&g, 5)->tasks, 2);
  CU_ASSERT_EQUAL (g.tasks_by_part[wk_find_part (&g, 9)->first_task], 1);
  wk_fini (&g);
}

static void
answer (struct wk_gang *g, uint32_t worker, enum wk_answer how,
        enum wk_state state, int64_t now_ms)
{
  struct wk_part *p = wk_find_part (g, worker);
  enum wk_order order = wk_next_order (g, p, now_ms);

  wk_note_order (p);
  wk_note_answer (g, p, order, how, state, now_ms);
}

static void
test_no_part_runs_before_all_are_held (void)
{
  struct wk_gang g;

  wk_init (&g, "j", 1, 3, two_workers, 0);
  answer (&g, 5, WK_OK, WK_HELD, 10);
  CU_ASSERT_EQUAL (wk_next_order (&g, wk_find_part (&g, 5), 20),
                   WK_ORDER_NONE);
  CU_ASSERT_FALSE (wk_all_in_state (&g, WK_HELD));
  answer (&g, 9, WK_OK, WK_HELD, 20);
  CU_ASSERT (wk_all_in_state (&g, WK_HELD));
  wk_set_phase (&g, WK_RUN, 30);
  CU_ASSERT_EQUAL (wk_next_order (&g, wk_find_part (&g, 5), 30), WK_ORDER_RUN);
  wk_fini (&g);
}

static void
test_refused_hold_fails_the_gang (void)
{
  struct wk_gang g;

  wk_init (&g, "j", 1, 3, two_workers, 0);
  answer (&g, 5, WK_OK, WK_HELD, 10);
  answer (&g, 9, WK_REFUSED, WK_NEW, 10);
  CU_ASSERT (wk_hold_failed (&g, 10));
  wk_set_phase (&g, WK_STOP, 10);
  CU_ASSERT_EQUAL (wk_next_order (&g, wk_find_part (&g, 5), 10),
                   WK_ORDER_STOP);
  CU_ASSERT_EQUAL (wk_next_order (&g, wk_find_part (&g, 9), 10),
                   WK_ORDER_NONE);
  CU_ASSERT_EQUAL (wk_find_part (&g, 9)->state, WK_GONE);
  wk_fini (&g);
}

/* A hold without an answer may have been carried out, so that part must be
   stopped as well.  */
static void
test_silent_hold_is_stopped_too (void)
{
  struct wk_gang g;

  wk_init (&g, "j", 1, 3, two_workers, 0);
  answer (&g, 9, WK_NO_ANSWER, WK_NEW, 10);
  CU_ASSERT_FALSE (wk_hold_failed (&g, WK_HOLD_TIMEOUT_MS - 1));
  CU_ASSERT (wk_hold_failed (&g, WK_HOLD_TIMEOUT_MS));
  wk_set_phase (&g, WK_STOP, WK_HOLD_TIMEOUT_MS);
  CU_ASSERT_EQUAL (
      wk_next_order (&g, wk_find_part (&g, 9), WK_HOLD_TIMEOUT_MS),
      WK_ORDER_STOP);
  /* The hold was never sent.  */
  CU_ASSERT_EQUAL (
      wk_next_order (&g, wk_find_part (&g, 5), WK_HOLD_TIMEOUT_MS),
      WK_ORDER_NONE);
  wk_fini (&g);
}

/* Guards against capacity that counts as free while a worker holds it: the
   refusal of a repeated hold says nothing about the first one.  */
static void
test_refused_repeat_of_a_hold_is_stopped (void)
{
  struct wk_gang g;

  wk_init (&g, "j", 1, 3, two_workers, 0);
  answer (&g, 9, WK_NO_ANSWER, WK_NEW, 10);
  answer (&g, 9, WK_REFUSED, WK_NEW, 10 + WK_RETRY_MAX_MS);
  CU_ASSERT (wk_hold_failed (&g, 10 + WK_RETRY_MAX_MS));
  wk_set_phase (&g, WK_STOP, 10 + WK_RETRY_MAX_MS);
  CU_ASSERT_EQUAL (
      wk_next_order (&g, wk_find_part (&g, 9), 10 + WK_RETRY_MAX_MS),
      WK_ORDER_STOP);
  answer (&g, 9, WK_ABSENT, WK_NEW, 10 + WK_RETRY_MAX_MS);
  CU_ASSERT_EQUAL (wk_find_part (&g, 9)->state, WK_GONE);
  wk_fini (&g);
}

/* A task list that was requested before the last confirmation, or that shows
   an earlier state, must not change a part.  */
static void
test_old_lists_say_nothing (void)
{
  struct wk_gang g;
  struct wk_part *p;

  wk_init (&g, "j", 1, 3, two_workers, 0);
  answer (&g, 5, WK_OK, WK_HELD, 100);
  p = wk_find_part (&g, 5);
  wk_part_not_listed (p, 90); /* requested before the hold was confirmed */
  CU_ASSERT_EQUAL (p->state, WK_HELD);
  wk_part_listed (p, WK_RUNNING, 110);
  wk_part_listed (p, WK_HELD, 120);
  CU_ASSERT_EQUAL (p->state, WK_RUNNING);
  wk_part_not_listed (p, 130);
  CU_ASSERT_EQUAL (p->state, WK_GONE);
  wk_fini (&g);
}

/* The end of a part is acknowledged only after the job's row was written.  */
static void
test_end_is_kept_until_it_is_written (void)
{
  struct wk_gang g;
  struct wk_part *p;

  wk_init (&g, "j", 1, 3, two_workers, 0);
  p = wk_find_part (&g, 5);
  wk_part_listed (p, WK_DONE, 10);
  CU_ASSERT_EQUAL (wk_next_order (&g, p, 20), WK_ORDER_NONE);
  g.may_ack = 1;
  CU_ASSERT_EQUAL (wk_next_order (&g, p, 20), WK_ORDER_ACK);
  wk_fini (&g);
}

enum
{
  VALID_MS = 4000
};

static const struct gr_amount whole = { 2, 50 };

/* The grants of changing numbers of entry VMs never exceed the worker's
   capacity in sum.  */
static void
test_grants_never_sum_over_the_worker (void)
{
  static const char *const names[] = { "a", "b", "c", "d", "e" };
  struct gr_grants book;

  gr_init (&book);
  for (int64_t now = 0; now < 60000; now += 500)
    {
      int entries = 1 + (int)(now / 500 * 7 % 5);
      struct gr_amount used;

      for (int i = 0; i < entries; i++)
        gr_grant (&book, "w1", whole, names[i], i, entries, now,
                  now + VALID_MS);
      used = gr_in_use (&book, "w1", now);
      CU_ASSERT (used.slots <= whole.slots);
      CU_ASSERT (used.connections <= whole.connections);
    }
  gr_fini (&book);
}

/* Shares become equal once the larger grants of earlier entry VMs have
   expired.  */
static void
test_grants_become_even (void)
{
  struct gr_grants book;
  struct gr_amount a, b;

  gr_init (&book);
  a = gr_grant (&book, "w1", whole, "a", 0, 1, 0, VALID_MS);
  CU_ASSERT_EQUAL (a.slots, 2);
  a = gr_grant (&book, "w1", whole, "a", 0, 2, 1000, 1000 + VALID_MS);
  b = gr_grant (&book, "w1", whole, "b", 1, 2, 1000, 1000 + VALID_MS);
  CU_ASSERT_EQUAL (a.slots, 1);
  /* Entry VM a may not have received its smaller grant yet.  */
  CU_ASSERT_EQUAL (b.slots, 0);
  for (int64_t now = 2000; now <= 8000; now += 1000)
    {
      a = gr_grant (&book, "w1", whole, "a", 0, 2, now, now + VALID_MS);
      b = gr_grant (&book, "w1", whole, "b", 1, 2, now, now + VALID_MS);
    }
  CU_ASSERT_EQUAL (a.slots, 1);
  CU_ASSERT_EQUAL (b.slots, 1);
  CU_ASSERT_EQUAL (a.connections, 25);
  CU_ASSERT_EQUAL (b.connections, 25);
  gr_fini (&book);
}

/* VMs with fewer cells take free cells first, and a VM with at least two more
   than another releases one.  */
static void
test_cells_go_to_those_with_few (void)
{
  struct sh_distribution none = { 0, 3, 3, 0 }, one = { 1, 3, 3, 0 };
  struct sh_distribution three = { 3, 3, 2, 0 }, two = { 2, 3, 2, 1 };

  CU_ASSERT (sh_take_delay (&none, 0.99) < sh_take_delay (&one, 0));
  CU_ASSERT (sh_should_release (&three));
  CU_ASSERT_FALSE (sh_should_release (&two));
  CU_ASSERT_FALSE (sh_should_release (&one));
}

static struct hm_capacity
capacity_of (const char *cell, int32_t workers, int64_t free)
{
  struct hm_capacity r = { .known = 1, .free = free };

  snprintf (r.cell, sizeof r.cell, "%s", cell);
  for (int32_t i = 0; i < workers; i++)
    hm_add_worker (&r, 8, 6);
  return r;
}

/* Capacity counts whole tasks per worker, limited by accelerators and
   slots.  */
static void
test_room_counts_whole_tasks (void)
{
  struct hm_capacity r = capacity_of ("d1", 2, 0), copy;
  json_t *row;

  CU_ASSERT (hm_fits (&r, (struct hm_demand){ 4, 4 }));
  CU_ASSERT (hm_fits (&r, (struct hm_demand){ 12, 1 })); /* limited by slots */
  CU_ASSERT (hm_fits (&r, (struct hm_demand){ 12, 0 }));
  CU_ASSERT_FALSE (hm_fits (&r, (struct hm_demand){ 3, 5 }));
  CU_ASSERT_FALSE (hm_fits (&r, (struct hm_demand){ 13, 0 }));
  row = json_pack ("{s:s, s:i, s:o}", "holder", "vm", "free", 3, "shapes",
                   hm_print (&r));
  hm_parse (&copy, "d1", row);
  CU_ASSERT_EQUAL (copy.known, 1);
  CU_ASSERT_EQUAL (copy.free, 3);
  CU_ASSERT (hm_fits (&copy, (struct hm_demand){ 4, 4 }));
  json_object_set_new (row, "holder", json_string (""));
  hm_parse (&copy, "d1", row);
  CU_ASSERT_EQUAL (copy.known, 0);
  json_decref (row);
}

/* A gang that exceeds its cell's capacity moves to the fitting cell with the
   most free accelerators, or ends if no cell fits it.  */
static void
test_gang_without_room (void)
{
  struct hm_capacity own = capacity_of ("d1", 1, 8);
  struct hm_capacity other[3]
      = { capacity_of ("d2", 1, 8), capacity_of ("d3", 2, 3),
          capacity_of ("d4", 2, 9) };
  struct hm_demand demand = { 2, 8 };
  const struct hm_capacity *to;
  int64_t since = 0, end = 1000 + HM_END_AFTER_MS;

  CU_ASSERT_EQUAL (hm_decide (&own, other, 3, demand, &since, 1000, &to),
                   HM_STAY);
  CU_ASSERT_EQUAL (
      hm_decide (&own, other, 3, demand, &since, 999 + HM_MOVE_AFTER_MS, &to),
      HM_STAY);
  CU_ASSERT_EQUAL (
      hm_decide (&own, other, 3, demand, &since, 1000 + HM_MOVE_AFTER_MS, &to),
      HM_MOVE);
  CU_ASSERT_PTR_EQUAL (to, &other[2]);
  CU_ASSERT_EQUAL (hm_decide (&own, other, 1, demand, &since, end - 1, &to),
                   HM_STAY);
  CU_ASSERT_EQUAL (hm_decide (&own, other, 1, demand, &since, end, &to),
                   HM_END);
  other[0].known = 0;
  CU_ASSERT_EQUAL (hm_decide (&own, other, 1, demand, &since, end, &to),
                   HM_STAY);
  /* A worker came back, so the waiting time restarts.  */
  hm_add_worker (&own, 8, 6);
  CU_ASSERT_EQUAL (hm_decide (&own, other, 3, demand, &since, end, &to),
                   HM_STAY);
  CU_ASSERT_EQUAL (since, 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "test_list_alone_makes_no_worker", test_list_alone_makes_no_worker },
    { "test_each_word_of_leaving_counts", test_each_word_of_leaving_counts },
    { "test_worker_is_down_only_after_its_leases",
      test_worker_is_down_only_after_its_leases },
    { "test_polls_follow_the_age_of_the_last_order",
      test_polls_follow_the_age_of_the_last_order },
    { "test_bad_list_entry", test_bad_list_entry },
    { "test_gang_has_a_part_for_each_worker",
      test_gang_has_a_part_for_each_worker },
    { "test_no_part_runs_before_all_are_held",
      test_no_part_runs_before_all_are_held },
    { "test_refused_hold_fails_the_gang", test_refused_hold_fails_the_gang },
    { "test_refused_repeat_of_a_hold_is_stopped",
      test_refused_repeat_of_a_hold_is_stopped },
    { "test_silent_hold_is_stopped_too", test_silent_hold_is_stopped_too },
    { "test_old_lists_say_nothing", test_old_lists_say_nothing },
    { "test_end_is_kept_until_it_is_written",
      test_end_is_kept_until_it_is_written },
    { "test_grants_never_sum_over_the_worker",
      test_grants_never_sum_over_the_worker },
    { "test_grants_become_even", test_grants_become_even },
    { "test_cells_go_to_those_with_few", test_cells_go_to_those_with_few },
    { "test_room_counts_whole_tasks", test_room_counts_whole_tasks },
    { "test_gang_without_room", test_gang_without_room },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("parts", tests);
}
