/* The queue of orders that wait to be sent.  */
#include "batch/order_queue.h"
#include "suite.h"

static char items[6];

/* Work that waits for capacity is delayed by a stop that waits.  */
static void
test_classes_in_order (void)
{
  struct oq_queue q;

  oq_init (&q, 1, 10);
  oq_push (&q, OQ_BATCH, &items[0]);
  oq_push (&q, OQ_URGENT, &items[1]);
  oq_push (&q, OQ_BATCH, &items[2]);
  oq_push (&q, OQ_STOP, &items[3]);
  oq_push (&q, OQ_URGENT, &items[4]);
  CU_ASSERT_EQUAL (oq_waiting (&q), 5);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[3]);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[1]);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[4]);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[0]);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[2]);
  CU_ASSERT_PTR_NULL (oq_pop (&q));
  CU_ASSERT_EQUAL (oq_in_progress (&q), 5);
}

static void
test_limit (void)
{
  struct oq_queue q;

  oq_init (&q, 1, 2);
  for (int i = 0; i < 4; i++)
    oq_push (&q, OQ_BATCH, &items[i]);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[0]);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[1]);
  CU_ASSERT_PTR_NULL (oq_pop (&q));
  oq_done (&q, OQ_BATCH);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[2]);
  CU_ASSERT_PTR_NULL (oq_pop (&q));
}

static int freed;

static void
count_freed (void *item)
{
  (void)item;
  freed++;
}

/* Stops to workers that do not answer take all places for a while.  */
static void
test_stops_leave_room_for_starts (void)
{
  struct oq_queue q;

  oq_init (&q, 8, 8);
  for (int i = 0; i < 20; i++)
    oq_push (&q, OQ_STOP, &items[0]);
  oq_push (&q, OQ_URGENT, &items[1]);
  oq_push (&q, OQ_BATCH, &items[2]);
  for (int i = 0; i < 6; i++)
    CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[0]);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[1]);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[2]);
  CU_ASSERT_PTR_NULL (oq_pop (&q));
  oq_done (&q, OQ_STOP);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[0]);
  oq_clear (&q, count_freed);
}

/* Replies of an earlier term are not counted in the next one.  */
static void
test_clear (void)
{
  struct oq_queue q;

  oq_init (&q, 1, 1);
  oq_push (&q, OQ_STOP, &items[0]);
  oq_push (&q, OQ_BATCH, &items[1]);
  oq_push (&q, OQ_BATCH, &items[2]);
  oq_pop (&q);
  freed = 0;
  oq_clear (&q, count_freed);
  CU_ASSERT_EQUAL (freed, 2);
  CU_ASSERT_EQUAL (oq_waiting (&q), 0);
  oq_push (&q, OQ_BATCH, &items[3]);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[3]);
}

/* A small VM became the holder of many workers: with 256 orders in progress
   each answer took longer than the timeout of a start, and each was sent
   again.  The limit falls until the answers come in time.  */
static void
test_limit_follows_answers (void)
{
  struct oq_queue q;
  int64_t now_ms = 1000;

  oq_init (&q, 24, 256);
  for (int i = 0; i < 500; i++, now_ms += 5)
    oq_note_answer (&q, q.limit * 4, now_ms); /* 4 ms of work an order */
  CU_ASSERT (q.limit * 4 < 300);
  CU_ASSERT (q.limit >= 24);
  for (int i = 0; i < 20000; i++, now_ms += 5)
    oq_note_answer (&q, 5, now_ms);
  CU_ASSERT_EQUAL (q.limit, 256);
  for (int i = 0; i < 500; i++, now_ms += 5)
    oq_note_answer (&q, 1000, now_ms);
  CU_ASSERT_EQUAL (q.limit, 24);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "classes", test_classes_in_order },
    { "limit", test_limit },
    { "stops", test_stops_leave_room_for_starts },
    { "clear", test_clear },
    { "limit follows answers", test_limit_follows_answers },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("order queue", tests);
}
