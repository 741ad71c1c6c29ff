/* The queue of orders that wait to be sent.  */
#include "batch/order_queue.h"
#include "suite.h"

static char items[6];

/* Work that waits for capacity is delayed by a stop that waits.  */
static void
test_classes_in_order (void)
{
  struct oq_queue q;

  oq_init (&q, 10);
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
  CU_ASSERT_EQUAL (q.in_progress, 5);
}

static void
test_limit (void)
{
  struct oq_queue q;

  oq_init (&q, 2);
  for (int i = 0; i < 4; i++)
    oq_push (&q, OQ_BATCH, &items[i]);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[0]);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[1]);
  CU_ASSERT_PTR_NULL (oq_pop (&q));
  oq_done (&q);
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

/* Replies of an earlier term are not counted in the next one.  */
static void
test_clear (void)
{
  struct oq_queue q;

  oq_init (&q, 1);
  oq_push (&q, OQ_STOP, &items[0]);
  oq_push (&q, OQ_BATCH, &items[1]);
  oq_push (&q, OQ_BATCH, &items[2]);
  oq_pop (&q);
  oq_clear (&q, count_freed);
  CU_ASSERT_EQUAL (freed, 2);
  CU_ASSERT_EQUAL (oq_waiting (&q), 0);
  oq_push (&q, OQ_BATCH, &items[3]);
  CU_ASSERT_PTR_EQUAL (oq_pop (&q), &items[3]);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "classes", test_classes_in_order },
    { "limit", test_limit },
    { "clear", test_clear },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("order queue", tests);
}
